"""test_suspended.py: a VM that was suspended for seconds

The steady clock does not count the time in which a VM is suspended, and all deadlines and ages went by it: after 3 s
of it a request that waited with a deadline of 2.5 s was sent to an endpoint, and told that 1,798 ms were left; one of 5 s
was told 4,297 ms where some 1,200 were left.
"""
import re
import signal
import threading
import time

from gateway_world import BUILD, World, answer_of, call, connect, get, request, run_tests
from platform_standin import wait_for
from suspended_clock import SuspendedClock


class Suspendable(World):
    """A gateway before one server of one slot, whose clock can be made that of a VM that was suspended."""

    def __init__(self):
        self.clock = SuspendedClock(BUILD)
        super().__init__(servers=1, env=self.clock.environment())
        self.servers[0].publish(slots=1)

    def stop(self):
        self.gateway.process.send_signal(signal.SIGSTOP)
        wait_for(lambda: open(f"/proc/{self.gateway.process.pid}/stat", encoding="utf-8").read().split()[2] == "T")

    def go_on(self, seconds):
        """It was suspended for so long."""
        self.clock.add(seconds)
        self.gateway.process.send_signal(signal.SIGCONT)


def occupy(world, requests=4, sent=2):
    """All that the server may have at a time, until the event that is returned is set."""
    over = threading.Event()

    def held(server, sock, path, headers, body):
        server.ran(path, headers, body)
        over.wait(20)
        server.write_head(sock, headers, length=2)
        sock.sendall(b"ok")
    world.script("held", held)
    before = world.gateway.log_text().count(b"event=sent")
    socks = []
    for _ in range(requests):
        socks.append(connect(world.gateway.ports["callers"]))
        socks[-1].sendall(request("/once/held", method="POST", deadline_ms=30000)[1])
    wait_for(lambda: world.gateway.log_text().count(b"event=sent") >= before + sent)
    return over, socks


def send_and_wait(world, path, **more):
    """A request that waits for room in the gateway's queue."""
    sock = connect(world.gateway.ports["callers"])
    ident, data = request(path, **more)
    sock.sendall(data)
    wait_for(lambda: f"event=admitted request={ident}".encode() in world.gateway.log_text())
    time.sleep(0.1)
    assert f"event=sent request={ident}".encode() not in world.gateway.log_text()
    return sock, ident


def test_deadline_of_a_request_that_waits():
    """Its time is over while the VM is suspended: it is not sent to anybody."""
    world = Suspendable()
    over, _ = occupy(world)
    sock, ident = send_and_wait(world, "/once/x", method="POST", deadline_ms=2500)
    world.stop()
    world.go_on(3)
    over.set()
    assert answer_of(sock)[0] in (503, 504)
    time.sleep(0.2)
    assert world.runs(ident) == 0
    assert "event=process_paused" in world.gateway.end()


def test_what_is_left_of_a_deadline():
    """What an endpoint is told to be left does not count the time of the suspension, a second."""
    world = Suspendable()
    over, _ = occupy(world)
    sock, ident = send_and_wait(world, "/safe/x", deadline_ms=4900)
    world.stop()
    world.go_on(1)
    over.set()
    status = answer_of(sock)[0]
    told = [int(headers["x-cometspindle-deadline-ms"]) for run, _, headers, _ in world.servers[0].runs if run == ident]
    assert status == 503 or (told and told[0] <= 3900), (status, told)
    world.gateway.end()


def test_answers_come_before_timers():
    """An answer that came while the process was stopped is handled before the deadline that passed meanwhile: the caller
    got 504 for a request whose answer lay there."""
    world = World(servers=1)
    begun, over = threading.Event(), threading.Event()

    def held(server, sock, path, headers, body):
        server.ran(path, headers, body)
        begun.set()
        over.wait(20)
        server.write_head(sock, headers, length=2)
        sock.sendall(b"ok")
    world.script("held", held)
    for _ in range(3):
        begun.clear()
        over.clear()
        sock = connect(world.gateway.ports["callers"])
        sock.sendall(request("/once/held", method="POST", deadline_ms=1000)[1])
        assert begun.wait(20)
        world.gateway.process.send_signal(signal.SIGSTOP)
        time.sleep(0.3)
        over.set()
        time.sleep(1)  # its deadline passes; the answer lies unread
        world.gateway.process.send_signal(signal.SIGCONT)
        assert answer_of(sock)[0] == 200
    world.gateway.end()


def pace(world):
    """The server's pace as the gateway has learned it."""
    text = get(world.gateway.ports["control"], "/metrics")[2].decode()
    return re.search(r"^comet_endpoint_pace{.*} (.*)$", text, re.M).group(1)


def test_own_absence_is_not_learned():
    """A VM that was suspended while an endpoint worked does not take the time for the endpoint's."""
    world = Suspendable()
    for _ in range(5):
        assert call(world.gateway, "/once/x", method="POST")[1] == 200
    before = pace(world)
    over, socks = occupy(world, requests=1, sent=1)
    world.stop()
    world.go_on(3)
    over.set()
    assert answer_of(socks[0])[0] == 200
    assert pace(world) == before
    world.gateway.end()


if __name__ == "__main__":
    run_tests([], [test_deadline_of_a_request_that_waits, test_what_is_left_of_a_deadline,
                   test_answers_come_before_timers, test_own_absence_is_not_learned])
