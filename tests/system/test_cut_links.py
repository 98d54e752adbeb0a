"""test_cut_links.py: VMs that lose their links to all endpoints, while callers and the other VMs reach them"""
import threading

from cut_links import KINDS
from gateway_world import answer_of, connect, request, run_tests
from platform_standin import wait_for
from vm_group import VmGroup, address_of

PATHS = (("/safe/x", "GET"), ("/once/x", "POST"), ("/sse/events", "POST"), ("/again/events", "POST"))
SERVED_AT_LEAST = 0.9  # part of the first attempts; callers of the rules accept two thirds


def is_cut(group, number):
    log = group.vms[number].log_text()
    return log.count(b"event=endpoints_unreachable") > log.count(b"event=endpoints_reachable")


def cut(group, kind, numbers):
    for number in numbers:
        group.links[number].cut(kind)
    for number in numbers:
        # requests of callers show the loss
        wait_for(lambda number=number: is_cut(group, number) or group.press(0.2, vms=[number], deadline_ms=1000) is None)


def restore(group, numbers):
    for number in numbers:
        group.links[number].restore()
    for number in numbers:
        wait_for(lambda number=number: not is_cut(group, number))


def served_part(statuses):
    return statuses.get(200, 0) / max(sum(statuses.values()), 1)


def assert_nothing_ran_twice(group, statuses_by_id):
    for ident, status in statuses_by_id.items():
        runs = sum(run[0] == ident for server in group.servers for run in server.runs)
        assert runs <= 1, (ident, runs)
        if status == 503:
            assert runs == 0, (ident, "a refused request ran")


def press_paths(group, numbers, count=4):
    """Sends requests of each kind to all these VMs at once; returns their statuses by id."""
    found = {}

    def run(number, path, method):
        for _ in range(count):
            ident, status, _, _, whole = group.call(number, path, method=method, deadline_ms=1000)
            found[ident] = status if whole else 0
    threads = [threading.Thread(target=run, args=(number, path, method)) for number in numbers
               for path, method in PATHS]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return found


def events(server, sock, path, headers, body):
    server.ran(path, headers, body)
    server.write_head(sock, headers, extra="Content-Type: text/event-stream\r\n")
    server.events(sock, 1, 3)
    server.chunk(sock, b"")


def start_group(vms, cuttable):
    group = VmGroup(vms=vms, servers=3, cuttable=cuttable)
    for server in group.servers:
        server.scripts["events"] = events
    group.press(0.5)
    return group


def check_cut(kind, vms, cuttable, header=""):
    """header: a header line of all responses of the endpoints."""
    group = start_group(vms, cuttable)
    group.extra_headers = {server.name: header for server in group.servers}
    group.press(0.5)
    numbers = range(vms - cuttable, vms)
    cut(group, kind, numbers)
    statuses = press_paths(group, range(vms))
    assert_nothing_ran_twice(group, statuses)
    failed = [ident for ident, status in statuses.items() if status != 200]
    assert len(failed) <= (1 - SERVED_AT_LEAST) * len(statuses), (kind, len(failed), len(statuses))
    restore(group, numbers)
    assert served_part(group.press(0.5)) == 1
    group.end()


def test_vm_without_links_serves_its_callers_hang():
    check_cut("hang", vms=3, cuttable=1)


def test_vm_without_links_serves_its_callers_reset():
    check_cut("reset", vms=3, cuttable=1)


def test_vm_without_links_serves_its_callers_live():
    check_cut("live", vms=3, cuttable=1)


def test_vm_without_links_when_all_endpoints_advertise_a_limit():
    check_cut("reset", vms=3, cuttable=1, header="Server-Limit: 1000\r\n")


def test_most_vms_without_links():
    for kind in KINDS:
        check_cut(kind, vms=4, cuttable=3)


def test_all_vms_without_links_refuse_and_recover():
    group = start_group(2, 2)
    cut(group, "reset", range(2))
    statuses = press_paths(group, range(2), count=2)
    assert_nothing_ran_twice(group, statuses)
    assert not any(status in (400, 401, 403, 404) for status in statuses.values()), statuses
    restore(group, range(2))
    assert served_part(group.press(0.5)) == 1
    group.end()


def test_stream_is_resumed_through_another_vm():
    """A stream that may be resumed goes on at another VM's endpoint when the links of its VM are lost in its middle."""
    group = start_group(3, 1)
    begun = threading.Event()

    def slow(server, sock, path, headers, body):
        first = int(headers.get("last-event-id", 0)) + 1
        server.ran(path, headers, body)
        server.write_head(sock, headers, extra="Content-Type: text/event-stream\r\n")
        if first == 1:
            server.events(sock, 1, 2)
            begun.set()
            threading.Event().wait(20)
        server.events(sock, first, 4)
        server.chunk(sock, b"")
    for server in group.servers:
        server.scripts["slow"] = slow
    ident, data = request("/again/slow", method="POST")
    sock = connect(group.ports["callers"], address_of(2))
    sock.sendall(data)
    assert begun.wait(20)
    group.links[2].cut("reset")
    status, _, body, whole = answer_of(sock)
    assert status == 200 and whole, (status, body)
    assert [line for line in body.split(b"\n") if line.startswith(b"id:")] == [
        b"id: %d" % number for number in range(1, 5)], body
    group.end()


def test_lost_links_are_no_crash_of_endpoints():
    """Requests in progress when the links are lost must not count as requests that crash endpoints."""
    group = start_group(3, 1)
    begun = []

    def stall(server, sock, path, headers, body):
        begun.append(server.name)
        threading.Event().wait(5)
        return False
    for server in group.servers:
        server.scripts["stall"] = stall
    socks = []
    for _ in range(6):
        sock = connect(group.ports["callers"], address_of(2))
        sock.sendall(request("/once/stall", method="POST")[1])
        socks.append(sock)
    wait_for(lambda: len(begun) == 6)
    cut(group, "reset", [2])
    for sock in socks:
        assert answer_of(sock)[0] == 502
    wait_for(lambda: b"event=crash_check_ended" in group.vms[2].log_text() or
             b"event=endpoint_crashed" in group.vms[2].log_text())
    log = group.vms[2].log_text()
    assert b"event=endpoint_crashed" not in log and b"event=request_counted" not in log
    group.end()


if __name__ == "__main__":
    run_tests([], [test_vm_without_links_serves_its_callers_hang, test_vm_without_links_serves_its_callers_reset,
                   test_vm_without_links_serves_its_callers_live,
                   test_vm_without_links_when_all_endpoints_advertise_a_limit, test_most_vms_without_links,
                   test_all_vms_without_links_refuse_and_recover, test_stream_is_resumed_through_another_vm,
                   test_lost_links_are_no_crash_of_endpoints])
