"""test_sound_parts.py: what runs beside a part of prompts that crashes endpoints, or beside endpoints that crash by
themselves, and VMs that learn of such a part

Guards against parts and requests that are refused although they crash nothing (test_crashing_parts.py has the others)."""
import random
import signal
import time

from gateway_world import ADDRESS, OTHER_ADDRESS, Gateway, request, run_tests
from platform_standin import Server, wait_for
from test_crashes import Fleet, call_at
from test_crashing_parts import CRASHING, FIRST, SOUND, Senders, crash_on_part, numbers, send


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
    run_tests([], [test_starting_vm_receives_parts, test_part_of_another_team_is_served,
                   test_part_of_requests_that_are_not_admitted_yet, test_endpoints_that_crash_by_themselves,
                   test_parts_of_answers_without_length])
