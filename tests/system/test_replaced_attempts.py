"""test_replaced_attempts.py: a started stream whose endpoint is silent keeps its attempt until the next one has a slot

Guards against responses that were cut off although their endpoint could still finish them: the gateway gave up the
attempt because gossip showed room at another endpoint, and then the owner of the shard denied the slot."""
import signal
import socket
import struct
import threading
import time

from gateway_world import OTHER_ADDRESS, World, answer_of, call, connect, request, run_tests, varint, view
from platform_standin import wait_for
from vm_group import VmGroup

ASK, ANSWER = 2, 3  # fields of Datagram in proto/view.proto
THROUGH_VM = {"Comet_Through_Vm": "1"}
PATIENCE_MS = 20000


def read_varint(data, at):
    value, shift = 0, 0
    while True:
        byte = data[at]
        value |= (byte & 0x7F) << shift
        at, shift = at + 1, shift + 7
        if byte < 0x80:
            return value, at


def fields(data):
    """Returns the fields of a protobuf message: {number: last value}."""
    found, at = {}, 0
    while at < len(data):
        key, at = read_varint(data, at)
        if key & 7 == 0:
            found[key >> 3], at = read_varint(data, at)
        else:
            length, at = read_varint(data, at) if key & 7 == 2 else ({1: 8, 5: 4}[key & 7], at)
            found[key >> 3], at = data[at:at + length], at + length
    return found


def test_stream_goes_on_after_a_refusal():
    """The endpoint of a started stream is silent, and the next one refuses the request as not run. The refusal used up
    the attempts of the route, and the stream was cut off although an endpoint could still finish it."""
    for refusal in ("503 Full", "421 Other"):
        world = World(servers=2, retry_slack=5000)
        seen = []

        def silent_then_refused(server, sock, path, headers, body, refusal=refusal):
            seen.append(server.name)
            if len(seen) == 2:
                ident = headers["x-cometspindle-request-id"]
                sock.sendall(f"HTTP/1.1 {refusal}\r\nX-Cometspindle-Request-Id: {ident}\r\n"
                             "X-Cometspindle-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
                return
            server.write_head(sock, headers, extra="Content-Type: text/event-stream\r\n")
            if len(seen) == 1:
                server.events(sock, 1, 2)
                return  # silent from here on
            server.events(sock, int(headers["last-event-id"]) + 1, 4)
            sock.sendall(b"0\r\n\r\n")
        world.script("stream", silent_then_refused)
        _, status, _, body, whole = call(world.gateway, "/again/stream", method="POST", deadline_ms=PATIENCE_MS)
        assert (status, whole) == (200, True) and body.count(b"id: ") == 4, (refusal, status, whole, body, seen)
        world.gateway.end()


class Owner:
    """Another VM, preferred as the owner of all shards, which receives slot requests and denies them, or is mute."""

    def __init__(self, gateway, denies=True, on_ask=lambda: None):
        self.gateway = gateway
        self.on_ask = on_ask
        self.denies = denies
        self.address = struct.unpack(">I", socket.inet_aton(OTHER_ADDRESS))[0]
        self.asked = 0
        self.over = threading.Event()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((OTHER_ADDRESS, gateway.ports["peers"]))
        for run in (self.send_gossip, self.answer):
            threading.Thread(target=run, daemon=True).start()

    def send(self, datagram):
        self.sock.sendto(datagram, (self.gateway.address, self.gateway.ports["peers"]))

    def send_gossip(self):
        number = 0
        while not self.over.wait(0.05):
            number += 1
            body = fields(view(self.address, 1, number, 0))[1]
            # old enough and with more processor time than the gateway
            body += bytes([10 << 3]) + varint(60000) + bytes([12 << 3]) + varint(10000)
            self.send(bytes([1 << 3 | 2]) + varint(len(body)) + body)

    def answer(self):
        while True:
            ask = fields(self.sock.recv(65536)).get(ASK)
            if ask is None:
                continue
            self.asked += 1
            self.on_ask()
            if self.denies:
                body = struct.pack("<BI", 1 << 3 | 5, self.address) + bytes([2 << 3]) + varint(fields(ask)[2])
                self.send(bytes([ANSWER << 3 | 2]) + varint(len(body)) + body)


class Stream:
    """A stream whose first attempt is silent after two of four events, until it is told to go on."""

    def __init__(self, servers):
        self.go_on = threading.Event()
        self.breaks = False  # closes the connection instead of going on
        self.closed = threading.Event()
        for server in servers:
            server.scripts["quiet"] = self.play

    def play(self, server, sock, path, headers, body):
        first = int(headers.get("last-event-id", 0)) + 1
        server.ran(path, headers, body)
        server.write_head(sock, headers, extra="Content-Type: text/event-stream\r\n")
        if first == 1:
            server.events(sock, 1, 2)
            self.wait(sock)
            if self.breaks:
                return False
            first = 3
        server.events(sock, first, 4)
        server.chunk(sock, b"")
        return True

    def wait(self, sock):
        sock.settimeout(0.05)
        while not self.go_on.is_set():
            try:
                if not sock.recv(1):
                    self.closed.set()
                    return
            except socket.timeout:
                pass
        sock.settimeout(None)


def begin(world, **headers):
    """Sends the request and returns (id, socket) after its first event."""
    ident, data = request("/again/quiet", method="POST", deadline_ms=PATIENCE_MS, **headers)
    sock = connect(world.gateway.ports["callers"])
    sock.sendall(data)
    wait_for(lambda: world.runs(ident) == 1)
    return ident, sock


def check_denied(**headers):
    world = World(retry_slack=100000)
    stream = Stream(world.servers)
    ident, sock = begin(world, **headers)
    owner = Owner(world.gateway)
    wait_for(lambda: owner.asked > 2)  # asked again after the first denial
    stream.go_on.set()
    status, _, body, whole = answer_of(sock)
    assert status == 200 and whole and body.count(b"id: ") == 4, (status, whole, body)
    assert world.runs(ident) == 1, world.runs(ident)
    assert not stream.closed.is_set()
    log = world.gateway.end()
    assert "event=cut" not in log and "event=retried" not in log


def test_slot_denied():
    check_denied()


def test_slot_denied_for_a_request_of_another_vm():
    check_denied(**THROUGH_VM)


def test_owner_does_not_answer():
    """Without an answer the request is placed by gossip; the old attempt is closed when the next one is sent."""
    world = World(retry_slack=100000)
    stream = Stream(world.servers)
    ident, sock = begin(world)
    owner = Owner(world.gateway, denies=False)
    status, _, body, whole = answer_of(sock)
    assert status == 200 and whole and body.count(b"id: ") == 4, (status, whole, body)
    assert owner.asked > 0 and world.runs(ident) == 2, (owner.asked, world.runs(ident))
    assert stream.closed.wait(20)
    world.gateway.end()


def test_slot_granted():
    """With a slot from the owner the next attempt completes the stream, and the endpoints get their slots back."""
    group = VmGroup(vms=2, servers=3, retry_slack=100000)
    group.press(0.5)
    streams = Stream(group.servers)
    answers = []
    callers = [threading.Thread(target=lambda vm=vm: answers.append(
        group.call(vm, "/again/quiet", method="POST", deadline_ms=PATIENCE_MS))) for vm in (0, 1)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    for ident, status, _, body, whole in answers:
        assert status == 200 and whole and body.count(b"id: ") == 4, (status, whole, body)
        assert sum(run[0] == ident for server in group.servers for run in server.runs) == 2
    assert streams.closed.wait(20)
    logs = b"".join(vm.log_text() for vm in group.vms)
    second = [line for line in logs.splitlines() if b"event=sent " in line and b" attempt=2 " in line]
    assert any(b" owner=127." in line for line in second), second  # one of the VMs does not own the shard
    group.end()


def test_attempt_breaks_while_the_slot_is_requested():
    """The stream goes on at another endpoint, with one further attempt."""
    world = World(retry_slack=100000)
    stream = Stream(world.servers)
    stream.breaks = True
    ident, sock = begin(world)
    Owner(world.gateway, denies=False, on_ask=stream.go_on.set)
    status, _, body, whole = answer_of(sock)
    assert status == 200 and whole and body.count(b"id: ") == 4, (status, whole, body)
    assert world.runs(ident) == 2, world.runs(ident)
    world.gateway.end()


def test_caller_leaves():
    """The attempt is closed and the slot request is cancelled; the gateway goes on."""
    world = World(retry_slack=100000)
    stream = Stream(world.servers)
    _, sock = begin(world)
    owner = Owner(world.gateway)
    wait_for(lambda: owner.asked > 0)
    sock.close()
    assert stream.closed.wait(20)
    wait_for(lambda: b"event=caller_left" in world.gateway.log_text())
    owner.denies = False
    assert call(world.gateway, "/safe/x")[1] == 200
    world.gateway.end()


def test_all_endpoints_silent_together():
    """Both endpoints are silent for all their streams; each stream is completed at the other endpoint.

    Guards against streams that stayed at their silent endpoints until the deadline: each check of a silent attempt
    ejected the endpoint again, so no other stream could go there."""
    world = World(retry_slack=100000)
    streams = Stream(world.servers)
    callers = []
    while not all(server.runs for server in world.servers):
        callers.append(begin(world))
    world.gateway.process.send_signal(signal.SIGSTOP)  # all silence timers are due in one pass of the event loop
    time.sleep(0.8)
    world.gateway.process.send_signal(signal.SIGCONT)
    for ident, sock in callers:
        status, _, body, whole = answer_of(sock)
        assert status == 200 and whole and body.count(b"id: ") == 4, (status, whole, body)
        assert world.runs(ident) == 2, world.runs(ident)
    assert streams.closed.wait(20)
    world.gateway.end()


if __name__ == "__main__":
    run_tests([], [test_slot_denied, test_slot_denied_for_a_request_of_another_vm, test_owner_does_not_answer,
                   test_slot_granted, test_attempt_breaks_while_the_slot_is_requested, test_caller_leaves,
                   test_all_endpoints_silent_together, test_stream_goes_on_after_a_refusal])
