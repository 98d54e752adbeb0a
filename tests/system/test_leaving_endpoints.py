"""test_leaving_endpoints.py: endpoints that say in their responses that they leave, while the store lists them as ready"""
import time

from gateway_world import ADDRESS, connect, request, run_tests
from platform_standin import Server, wait_for
from vm_group import VmGroup

LEAVING = "Server-Leaving: 1\r\n"
KNOWN_S = 1  # after a response that says so, until no VM sends requests; the users allow two seconds


def leave(group, name):
    group.extra_headers[name] = LEAVING


def has_left(group, name):
    return any(f"event=endpoint_leaves endpoint={name}".encode() in vm.log_text() for vm in group.vms)


def press_until_left(group, name, **more):
    wait_for(lambda: group.press(0.2, **more) and has_left(group, name))
    time.sleep(KNOWN_S)


def arrivals(group, name, since):
    return sum(at >= since for at in group.arrivals[name])


def assert_unused(group, name, seconds=1.5, **more):
    since = time.monotonic()
    statuses = group.press(seconds, **more)
    assert set(statuses) == {200}, statuses
    assert arrivals(group, name, since) == 0, arrivals(group, name, since)


def test_no_vm_sends_requests_to_an_endpoint_that_leaves():
    group = VmGroup(vms=4, servers=3)
    group.press(0.5)
    leave(group, "i-0")
    press_until_left(group, "i-0", vms=[1])  # the other VMs get no response of it
    group.servers[0].publish(state="ready", sequence=2)
    assert_unused(group, "i-0")
    group.end()


def test_leaving_is_learned_from_a_rejection():
    group = VmGroup(vms=2, servers=2)

    def reject(server, sock, path, headers, body):
        if server.name != "i-0":
            return group.serve(server, sock, path, headers, body)
        group.arrivals[server.name].append(time.monotonic())
        server.write_head(sock, headers, status=503, length=0, extra="X-Cometspindle-Not-Executed: 1\r\n" + LEAVING)
    for server in group.servers:
        server.scripts["x"] = reject
    press_until_left(group, "i-0")
    assert_unused(group, "i-0")
    group.end()


def test_leaving_is_learned_from_a_stream():
    """The stream that said so goes on at the endpoint; after a break it goes on at another one."""
    group = VmGroup(vms=1, servers=2)

    def stream(server, sock, path, headers, body):
        first = int(headers.get("last-event-id", 0)) + 1
        group.arrivals[server.name].append(time.monotonic())
        server.ran(path, headers, body)
        server.write_head(sock, headers, extra="Content-Type: text/event-stream\r\n" + (LEAVING if first == 1 else ""))
        server.events(sock, first, 2 if first == 1 else 4)
        if first == 1:
            wait_for(lambda: has_left(group, server.name))
            return False
        server.chunk(sock, b"")
    for server in group.servers:
        server.scripts["stream"] = stream
    _, status, _, body, whole = group.call(0, "/again/stream", method="POST")
    assert status == 200 and whole, (status, body)
    names = [line.split()[1].decode() for line in body.split(b"\n") if line.startswith(b"data:")]
    assert names[0] == names[1] != names[2] == names[3], names
    assert_unused(group, names[0])
    group.end()


def test_a_vm_that_starts_later_knows_endpoints_that_leave():
    group = VmGroup(vms=2, servers=3)
    leave(group, "i-0")
    press_until_left(group, "i-0")
    group.vms.append(group.start(2))
    wait_for(lambda: group.vms[2].ready() and group.vms[2].log_text().count(b"event=vm_heard") >= 2)
    time.sleep(KNOWN_S)
    assert_unused(group, "i-0", vms=[2])
    group.end()


def test_a_new_incarnation_starts_clean():
    group = VmGroup(vms=2, servers=2)
    leave(group, "i-0")
    press_until_left(group, "i-0")
    del group.extra_headers["i-0"]
    group.servers[0].start_again()
    for vm in group.vms:
        wait_for(lambda vm=vm: b"restarted=1" in vm.log_text())
    since = time.monotonic()
    wait_for(lambda: group.press(0.2) and arrivals(group, "i-0", since) > 0)
    group.end()


def test_requests_are_refused_while_all_endpoints_leave():
    """They are refused soon, with a time to come back after, and served once an endpoint has been added."""
    group = VmGroup(vms=2, servers=2)
    for server in group.servers:
        leave(group, server.name)
        press_until_left(group, server.name)
    since = time.monotonic()
    for number in range(6):
        ident, status, headers, _, _ = group.call(number % 2)
        assert status == 503 and float(headers["retry-after"]) > 0, (status, headers)
    assert all(arrivals(group, server.name, since) == 0 for server in group.servers)
    group.arrivals["i-2"] = []
    added = Server(group.store, "i-2", "svc", slots=8)
    added.scripts["x"] = group.serve
    for number in range(2):
        wait_for(lambda number=number: group.call(number)[1] == 200)
    assert_unused(group, "i-0")
    group.end()


def test_a_waiting_request_is_not_sent_to_an_endpoint_that_leaves():
    """A request waits for the only slot of an endpoint, whose response then says that it leaves."""
    group = VmGroup(vms=1, servers=1, slots=1)
    running = []

    def slow(server, sock, path, headers, body):
        running.append(headers["x-cometspindle-request-id"])
        time.sleep(0.5)
        server.ran(path, headers, body)
        server.write_head(sock, headers, extra=LEAVING, length=2)
        sock.sendall(b"ok")
    group.servers[0].scripts["slow"] = slow
    socks = []
    for _ in range(6):
        socks.append(connect(group.ports["callers"], ADDRESS[:-1] + "1"))
        socks[-1].sendall(request("/safe/slow")[1])
        time.sleep(0.02)
    wait_for(lambda: has_left(group, "i-0"))
    sent = len(running)
    time.sleep(1.5)
    assert len(running) == sent < 6, running
    group.end()


if __name__ == "__main__":
    run_tests([], [test_no_vm_sends_requests_to_an_endpoint_that_leaves, test_leaving_is_learned_from_a_rejection,
                   test_leaving_is_learned_from_a_stream, test_a_vm_that_starts_later_knows_endpoints_that_leave,
                   test_a_new_incarnation_starts_clean, test_requests_are_refused_while_all_endpoints_leave,
                   test_a_waiting_request_is_not_sent_to_an_endpoint_that_leaves])
