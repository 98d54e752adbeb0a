"""test_crashing_parts.py: a part that prompts share crashes each endpoint that begins to answer it

No two requests with the part were alike, so none of them crashed a third endpoint, and VMs sent them on and on. In the
logs of 18 crashes each had one attempt with the head of a response and no event, all of one team:

    event=attempt_failed request=... endpoint=i-5142 result=broken status=200 events=0 body_bytes=0
    event=request_counted fingerprint=... crashes=1 remote=0
"""
import itertools
import random
import signal
import threading
import time

from gateway_world import ADDRESS, OTHER_ADDRESS, Gateway, request, run_tests
from platform_standin import Server, wait_for
from test_crashes import Fleet, begin_stream, call_at

CRASHES = 5        # from this crash on, VMs may send MAX_AFTER such requests more, once CONTACT_S have passed
CONTACT_S = 3
MAX_AFTER = 3
FIRST, CRASHING, SOUND = "a1", "dead01", "50d4"  # ids of parts
numbers = itertools.count()


def send(fleet, *parts, path="/once/say", **more):
    """Sends a request that is like no other, to the VMs in turn. @return (status, headers)"""
    number = next(numbers)
    prompt = ",".join(f"{part}:60" for part in parts) + f",{number:08x}:500"
    _, data = request(path, method="POST", body=b"%d" % number, X_Cometspindle_Prefix_Hash=prompt, **more)
    return call_at(fleet.vms[number % len(fleet.vms)], data)


class Senders:
    """Threads that send the same kind of request again and again until the end of a with block."""

    def __init__(self, count, function):
        self.over = threading.Event()
        self.answers = []
        self.function = function
        self.threads = [threading.Thread(target=self.run) for _ in range(count)]

    def run(self):
        while not self.over.wait(0.02):
            self.answers.append(self.function())

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.over.set()
        for thread in self.threads:
            thread.join(20)

    def served(self):
        return sum(status == 200 for status, _ in self.answers)


def crash_on_part(fleet, how, after=lambda server, sock, headers: None, **times):
    """Makes each server crash that begins to run a request with the crashing part. times: of Server.crash()"""
    def script(server, sock, path, headers, body):
        if f"{CRASHING}:" not in headers.get("x-cometspindle-prefix-hash", ""):
            server.plain(sock, path, headers, body)
            return None
        fleet.attempts.append(server.name)
        try:
            after(server, sock, headers)
        finally:
            server.crash(how, **times)
        return None if how == "silence" else False
    fleet.script("say", script)


def check_part(how, path, after=lambda server, sock, headers: None, times=None, servers=8, callers=2, **more):
    fleet = Fleet(servers=servers)
    crash_on_part(fleet, how, after, **times or {})
    with Senders(3, lambda: send(fleet, FIRST, SOUND)) as sound:
        wait_for(lambda: sound.served() >= 20)
        with Senders(callers, lambda: send(fleet, FIRST, CRASHING, path=path, **more)) as crashing:
            wait_for(lambda: fleet.crashed() >= CRASHES)
            time.sleep(CONTACT_S)
            before = len(fleet.attempts)
            time.sleep(CONTACT_S)
            sent, served = len(sound.answers), sound.served()
            wait_for(lambda: len(sound.answers) >= sent + 60)
            served = sound.served() - served
        assert len(fleet.attempts) - before <= MAX_AFTER, (before, fleet.attempts)
        assert served >= 30, served
    # refused as not run, with a time to come back, so that a part that is blamed by mistake is not given up
    status, headers = crashing.answers[-1]
    assert status == 503 and float(headers["retry-after"]) > 0, crashing.answers[-1]
    fleet.end()


def test_part_crashes_before_the_response():
    check_part("reset", "/once/say")


def test_part_crashes_in_a_stream():
    check_part("reset", "/sse/say", begin_stream)


def test_part_crashes_retryable_requests():
    check_part("end", "/safe/say")


def test_part_makes_servers_silent():
    check_part("silence", "/once/say", deadline_ms=1500)


def test_part_makes_servers_silent_that_stay_listed():
    """Until the directory removes silent servers, their crashes are only suspected. More of them than would quarantine
    the part are enough to hold it back."""
    check_part("silence", "/once/say", times={"lapse_s": 3.5, "away_s": 4.5}, servers=40, callers=10, deadline_ms=1000)


def test_end_of_an_answer_without_length_excuses_no_part():
    """A response that ends with its connection may have been cut off by the crash."""
    def half(server, sock, headers):
        sock.sendall((f"HTTP/1.1 200 OK\r\nX-Cometspindle-Request-Id: {headers['x-cometspindle-request-id']}\r\n"
                      f"X-Cometspindle-Server-Stamp: {server.name}\r\n\r\nhalf of it").encode())
    check_part("end", "/safe/say", half)


def quarantine_part(fleet):
    crash_on_part(fleet, "reset")
    with Senders(2, lambda: send(fleet, FIRST, CRASHING)):
        wait_for(lambda: all(b"event=part_quarantined" in vm.log_text() for vm in fleet.vms))


def test_starting_vm_receives_parts():
    """A VM that replaces a killed one learns of the part from its peer before it crashes an endpoint."""
    fleet = Fleet(servers=8)
    quarantine_part(fleet)
    one, two = fleet.vms
    two.process.kill()
    two.process.wait()
    started = Gateway(fleet.store, address=OTHER_ADDRESS, ports=one.ports, seeds=f"{ADDRESS}:{one.ports['control']}")
    wait_for(started.ready)
    wait_for(lambda: b"event=part_quarantined" in started.log_text())
    fleet.vms = [started]
    before = len(fleet.attempts)
    assert [send(fleet, FIRST, CRASHING)[0] for _ in range(4)] == [503] * 4
    assert len(fleet.attempts) == before
    fleet.vms = [one, started]
    fleet.end()


def test_part_of_another_team_is_served():
    """Teams do not trust each other: what one sends must not bar the parts of another, whatever their ids are."""
    fleet = Fleet(servers=8, teams=[{"name": "other", "api_keys": ["o1"]}])
    quarantine_part(fleet)
    fleet.script("say", Server.plain)
    wait_for(lambda: send(fleet, FIRST, CRASHING, key="o1")[0] == 200)
    assert send(fleet, FIRST, CRASHING)[0] == 503
    fleet.end()


def check_crashes_blame_no_part(answer):
    """Endpoints crash one after the other while requests with a common part and with a rare one run."""
    fleet = Fleet(servers=8)
    fleet.script("say", answer)
    with Senders(4, lambda: send(fleet, FIRST, SOUND)) as common, Senders(2, lambda: send(fleet, "b2")) as rare:
        wait_for(lambda: common.served() >= 20 and rare.served() >= 5)
        for number in range(16):
            fleet.servers[number % 8].crash("reset")
            time.sleep(0.3)
        for senders in (common, rare):
            count = senders.served()
            wait_for(lambda: senders.served() >= count + 10)
    assert not any(b"event=part_quarantined" in vm.log_text() for vm in fleet.vms)
    fleet.end()


def test_part_of_requests_that_are_not_admitted_yet():
    """A part is quarantined while requests with it wait for the version of their streams. The VM crashed when it refused
    them, because it looked up the queue of a service that was not known yet."""
    fleet = Fleet(servers=8)
    one, two = fleet.vms
    crash_on_part(fleet, "reset")

    def send_to_one(path, **more):
        number = next(numbers)
        prompt = f"{FIRST}:60,{CRASHING}:60,{number:08x}:500"
        _, data = request(path, method="POST", body=b"%d" % number, X_Cometspindle_Prefix_Hash=prompt, **more)
        return call_at(one, data)
    while fleet.crashed() < 3:
        send_to_one("/once/say")
    two.process.send_signal(signal.SIGSTOP)  # lookups of versions stay open
    pauses = random.Random(1)

    def resume():
        time.sleep(pauses.random() * 0.3)
        return send_to_one("/again/say", Last_Event_Id=3, X_Cometspindle_Resumes="00000000000000aa")
    with Senders(40, resume):
        time.sleep(0.3)
        while b"event=part_quarantined" not in one.log_text():
            send_to_one("/once/say")
    assert one.process.poll() is None
    two.process.send_signal(signal.SIGCONT)
    fleet.end()


def test_endpoints_that_crash_by_themselves():
    def slow(server, sock, path, headers, body):
        time.sleep(0.1)
        server.plain(sock, path, headers, body)
    check_crashes_blame_no_part(slow)


def test_parts_of_answers_without_length():
    """All responses end with their connections. No such response proves that it is whole, so the part was blamed for
    endpoints that crashed by themselves, although its requests were served all the time."""
    def slow(server, sock, path, headers, body):
        time.sleep(0.1)
        sock.sendall((f"HTTP/1.1 200 OK\r\nX-Cometspindle-Request-Id: {headers['x-cometspindle-request-id']}\r\n"
                      f"X-Cometspindle-Server-Stamp: {server.name}\r\n\r\nwhole").encode())
        return False
    check_crashes_blame_no_part(slow)


if __name__ == "__main__":
    run_tests([], [test_part_crashes_before_the_response, test_part_crashes_in_a_stream,
                   test_part_crashes_retryable_requests, test_part_makes_servers_silent,
                   test_part_makes_servers_silent_that_stay_listed,
                   test_end_of_an_answer_without_length_excuses_no_part, test_starting_vm_receives_parts,
                   test_part_of_another_team_is_served, test_part_of_requests_that_are_not_admitted_yet,
                   test_endpoints_that_crash_by_themselves,
                   test_parts_of_answers_without_length])
