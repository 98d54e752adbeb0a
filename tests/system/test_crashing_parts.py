"""test_crashing_parts.py: a part that prompts share crashes each endpoint that begins to answer it

No two requests with the part were alike, so none of them crashed a third endpoint, and VMs sent them on and on. In the
logs of 18 crashes each had one attempt with the head of a response and no event, all of one team:

    event=attempt_failed request=... endpoint=i-5142 result=broken status=200 events=0 body_bytes=0
    event=request_counted fingerprint=... crashes=1 remote=0
"""
import itertools
import threading
import time

from gateway_world import request, run_tests
from platform_standin import wait_for
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


if __name__ == "__main__":
    run_tests([], [test_part_crashes_before_the_response, test_part_crashes_in_a_stream,
                   test_part_crashes_retryable_requests, test_part_makes_servers_silent,
                   test_part_makes_servers_silent_that_stay_listed,
                   test_end_of_an_answer_without_length_excuses_no_part])
