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
import re
import select
import threading
import time

from gateway_world import ADDRESS, OTHER_ADDRESS, Gateway, answer_of, connect, document, get, request, run_tests
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


def bar(fleet, path, **more):
    """Sends a request that crashes endpoints until all VMs have barred it."""
    for number in range(30):
        fleet.send(number, path, **more)
        if fleet.crashed() >= CRASHES:
            break
    wait_for(lambda: all(barred(vm) for vm in fleet.vms))


def barred(vm):
    """How many requests this VM has barred, by its metrics."""
    text = get(vm.ports["control"], "/metrics", vm.address)[2].decode()
    return int(re.search(r"^comet_requests_barred (\d+)$", text, re.M).group(1))


def test_caller_that_leaves():
    """The caller leaves as soon as its request runs, before the server crashes: nobody waits for an answer any more.

    Found by the soak, whose callers closed their connections after the first line: 7 crashes, of which one was
    counted.

        event=sent request=... endpoint=i-3 attempt=1
        event=caller_left request=... endpoint=i-3 held_ms=52 started=1
    """
    fleet = Fleet()
    fleet.crashing("crash", "end", lambda server, sock, headers: time.sleep(0.03))

    def send_and_leave(number):
        vm = fleet.vms[number % 2]
        before = len(fleet.runs)
        sock = connect(vm.ports["callers"], vm.address)
        sock.sendall(request("/once/crash", method="POST", body=b"the same")[1])
        wait_for(lambda: len(fleet.runs) > before or select.select([sock], [], [], 0)[0])
        sock.close()
    for number in range(30):
        send_and_leave(number)
        time.sleep(0.05)  # one crash an attempt
        if fleet.crashed() >= CRASHES:
            break
    assert fleet.crashed() >= CRASHES, fleet.runs
    time.sleep(KNOWN_AFTER_S)
    before = len(fleet.runs)
    for number in range(10):
        send_and_leave(number)
    assert len(fleet.runs) - before <= SENDINGS_AFTER, (before, fleet.runs)
    fleet.end()


def test_others_are_served():
    """What ran beside such a request, and the same bytes from another team, are served on."""
    fleet = Fleet(teams=[dict(document(1)["tenants"][0], name="other", api_keys=["o1"])])
    begun = threading.Semaphore(0)

    def slow(server, sock, path, headers, body):
        begun.release()
        time.sleep(0.5)
        server.plain(sock, path, headers, body)
    fleet.crashing("crash", "end", lambda server, sock, headers: time.sleep(0.1))
    fleet.script("slow", slow)
    over = threading.Event()
    beside = []

    def send_beside(number):
        while not over.is_set():
            beside.append(fleet.send(number, "/once/slow", key="o1", method="POST", body=b"beside"))
    threads = [threading.Thread(target=send_beside, args=(number,)) for number in range(8)]
    for thread in threads:
        thread.start()
    for _ in threads:
        begun.acquire(timeout=20)
    bar(fleet, "/once/crash", method="POST", body=b"the same")
    over.set()
    for thread in threads:
        thread.join(20)
    assert 400 not in [status for status, _ in beside], beside
    wait_for(lambda: fleet.send(0, "/once/slow", key="o1", method="POST", body=b"beside")[0] == 200)
    # the same bytes of another team: sent, as nobody has seen that they crash anything for that team
    before = len(fleet.runs)
    assert fleet.send(0, "/once/crash", method="POST", body=b"the same")[0] == 400
    assert fleet.send(0, "/once/crash", key="o1", method="POST", body=b"the same")[0] == 502
    assert len(fleet.runs) == before + 1
    # another request of the same team
    fleet.script("crash", Server.plain)
    wait_for(lambda: fleet.send(1, "/once/crash", method="POST", body=b"another")[0] == 200)
    fleet.end()


def test_vm_that_starts_is_told():
    """A VM that is killed, and the one that takes its place, knows of nothing; the others tell it."""
    fleet = Fleet()
    fleet.crashing("crash", "reset")
    bar(fleet, "/once/crash", method="POST", body=b"the same")
    one, two = fleet.vms
    two.process.kill()
    two.process.wait()
    started = Gateway(fleet.store, address=OTHER_ADDRESS, ports=one.ports, seeds=f"{ADDRESS}:{one.ports['control']}")
    fleet.vms = [one, started]
    wait_for(started.ready)
    wait_for(lambda: barred(started))
    before = len(fleet.runs)
    assert [fleet.send(number, "/once/crash", method="POST", body=b"the same")[0] for number in range(4)] == [400] * 4
    assert len(fleet.runs) == before
    fleet.end()


def test_endpoints_that_leave():
    """A request that is under way whenever an endpoint ends as planned is no crashing one."""
    fleet = Fleet()

    def leaves(server, sock, path, headers, body):
        fleet.runs.append(server.name)
        server.publish(state="draining")
        for vm in fleet.vms:
            line = f"event=endpoint_listed endpoint={server.name} ".encode()
            wait_for(lambda: line + b"" in vm.log_text() and b"draining=1" in vm.log_text().split(line)[-1][:200])
        server.crash("end")
        return False
    fleet.script("leaves", leaves)
    for number in range(CRASHES + 1):
        assert fleet.send(number, "/once/leaves", method="POST", body=b"the same")[0] == 502
    time.sleep(1)
    assert not any(barred(vm) for vm in fleet.vms)
    fleet.script("leaves", Server.plain)
    wait_for(lambda: fleet.send(0, "/once/leaves", method="POST", body=b"the same")[0] == 200)
    fleet.end()


def test_broken_answers_are_no_crashes():
    """An endpoint that breaks off answers, and lives, has not crashed."""
    fleet = Fleet()

    def breaks(server, sock, path, headers, body):
        fleet.runs.append(server.name)
        server.write_head(sock, headers, length=100)
        return False
    fleet.script("breaks", breaks)
    for number in range(8):
        assert fleet.send(number, "/once/breaks", method="POST", body=b"the same")[0] == 502
    time.sleep(1)
    assert not any(barred(vm) for vm in fleet.vms)
    assert len(fleet.runs) == 8
    fleet.end()


def test_end_of_an_answer_without_length_proves_nothing():
    """An answer that ends with its connection may have ended with its process."""
    def unframed(server, sock, headers):
        ident = headers["x-cometspindle-request-id"]
        sock.sendall((f"HTTP/1.1 200 OK\r\nX-Cometspindle-Request-Id: {ident}\r\n"
                      f"X-Cometspindle-Server-Stamp: {server.name}\r\n\r\nhalf of it").encode())
    check_stopped("/safe/crash", "end", unframed)


if __name__ == "__main__":
    run_tests([], [test_crash_at_once, test_crash_of_repeatable, test_crash_in_a_stream,
                   test_crash_in_a_resumable_stream, test_crash_late, test_crash_in_silence,
                   test_crash_in_silence_of_a_stream, test_caller_that_leaves, test_others_are_served, test_vm_that_starts_is_told,
                   test_endpoints_that_leave, test_broken_answers_are_no_crashes,
                   test_end_of_an_answer_without_length_proves_nothing])
