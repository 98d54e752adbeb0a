"""test_crashes.py: requests that crash the endpoints which run them

A caller sent the same request again and again, under a new id each time, to whatever VM it met. Each endpoint that
began to run it crashed. Every VM took every attempt for a new request, so that it was sent to an endpoint sixteen
times within 14 seconds, by eight of nine VMs; a tenth of all other requests failed with the endpoints. The log of two
of the attempts:

    event=sent request=... endpoint=i-c7a3 ... attempt=1          (VM a-2)
    event=sending_failed request=... endpoint=i-c7a3 result=broken status=200 events=0
    event=refused request=... status=502 reason=endpoint_broke
    event=sent request=... endpoint=i-df46 ... attempt=1          (VM b-2, 2 s later)
    event=sending_failed request=... endpoint=i-df46 result=broken status=200 events=0

The bound of sendings holds for one attempt, and nothing linked the attempts.
"""
import time

from gateway_world import ADDRESS, OTHER_ADDRESS, Gateway, answer_of, connect, document, request, run_tests
from platform_standin import Server, Store, wait_for

# So long after the third crash every VM must know of it, and at most so many sendings may follow then.
KNOWN_AFTER_S = 3
SENDINGS_AFTER = 3
CRASHES = 3


class Fleet:
    """Two VMs before some servers, one of them found by the other's word."""

    def __init__(self, servers=5, teams=None):
        self.store = Store()
        told = document(1)
        told["tenants"] += teams or []
        self.store.put("op/config", told)
        self.servers = [Server(self.store, f"i-{n}", "svc") for n in range(servers)]
        self.runs = []  # names of the server processes that began to run it
        one = Gateway(self.store, log_lines_per_s=2000)
        two = Gateway(self.store, address=OTHER_ADDRESS, ports=one.ports, log_lines_per_s=2000,
                      seeds=f"{ADDRESS}:{one.ports['control']}")
        self.vms = [one, two]
        for vm in self.vms:
            wait_for(vm.ready)
        wait_for(lambda: b"event=vm_heard" in one.log_text() and b"event=vm_heard" in two.log_text())

    def script(self, name, function):
        for server in self.servers:
            server.scripts[name] = function

    def crashing(self, name, how, after=lambda server, sock, headers: None):
        """A request to that path crashes each server that begins to run it."""
        def script(server, sock, path, headers, body):
            self.runs.append(server.name)
            try:
                after(server, sock, headers)
            finally:
                server.crash(how)
            return None if how == "silence" else False
        self.script(name, script)

    def send(self, number, path, **more):
        """Sends it to one of the VMs, in turn. @return (status, headers)"""
        vm = self.vms[number % len(self.vms)]
        ident, data = request(path, **more)
        return call_at(vm, data)

    def crashed(self):
        return sum(server.crashes for server in self.servers)

    def end(self):
        for vm in self.vms:
            vm.end()


def call_at(vm, data):
    sock = connect(vm.ports["callers"], vm.address)
    sock.sendall(data)
    status, headers, _, _ = answer_of(sock)
    sock.close()
    return status, headers


def begin_stream(server, sock, headers):
    server.write_head(sock, headers, extra="Content-Type: text/event-stream\r\n")
    server.events(sock, 1, 2)
    time.sleep(0.05)


def check_stopped(path, how, after=lambda server, sock, headers: None, **more):
    """A request that has crashed three servers is not sent on, and its caller is told so at once."""
    fleet = Fleet()
    fleet.crashing(path.split("/")[-1], how, after)
    for number in range(30):
        fleet.send(number, path, **more)
        if fleet.crashed() >= CRASHES:
            break
    assert fleet.crashed() >= CRASHES, fleet.runs
    time.sleep(KNOWN_AFTER_S)
    before = len(fleet.runs)
    answers = [fleet.send(number, path, **more) for number in range(10)]
    assert len(fleet.runs) - before <= SENDINGS_AFTER, (before, fleet.runs)
    # nothing is to be tried again: 400 is final, and no time is named to come back at
    for status, headers in answers[SENDINGS_AFTER:]:
        assert status == 400 and "retry-after" not in headers, answers
    fleet.end()


def test_crash_at_once():
    """The connection is reset before a byte of an answer, on a route whose requests may run once only."""
    check_stopped("/once/crash", "reset", method="POST", body=b"the same")


def test_crash_of_repeatable():
    """A request that may be repeated crashes a second server within one attempt."""
    check_stopped("/safe/crash", "end")


def test_crash_in_a_stream():
    """The stream breaks off after some events."""
    check_stopped("/sse/crash", "reset", begin_stream, method="POST", body=b"the same")


def test_crash_in_a_resumable_stream():
    """It is taken up after its last event, and crashes the next server too."""
    check_stopped("/again/crash", "end", begin_stream, method="POST", body=b"the same")


def test_crash_late():
    """The server works for a while before it crashes; the route is open to anybody."""
    check_stopped("/open/crash", "end", lambda server, sock, headers: time.sleep(0.3))


def test_crash_in_silence():
    """Nothing ends: the connections stand, and nobody answers any more."""
    check_stopped("/once/crash", "silence", method="POST", body=b"the same", deadline_ms=1500)


def test_crash_in_silence_of_a_stream():
    check_stopped("/again/crash", "silence", begin_stream, method="POST", body=b"the same", deadline_ms=1500)


if __name__ == "__main__":
    run_tests([], [test_crash_at_once, test_crash_of_repeatable, test_crash_in_a_stream,
                   test_crash_in_a_resumable_stream, test_crash_late, test_crash_in_silence,
                   test_crash_in_silence_of_a_stream])
