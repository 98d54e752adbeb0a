"""test_pausing_callers.py: callers that stop inside a request and go on later, or never"""
import os
import resource
import select
import time

from caller_crowd import CROWD, check_served, crowd_of, crowded_group, head_of
from gateway_world import answer_of, connect, request, run_tests
from test_misbehaving_callers import same_lines

DESCRIPTORS = 120
TINY_MEMORY_MB = 16
BODY_BYTES = 16000


def test_callers_that_pause_inside_a_request():
    """One caller that paused in its head or in its body kept a VM without link_mbps busy for good."""
    whole = request("/once/plain", method="POST", body=b"b" * 3000, deadline_ms=600000)[1]
    head = whole.index(b"\r\n\r\n")
    for link_mbps in (None, 10, 100):
        group = crowded_group(link_mbps=link_mbps)
        for at in (60, head + 2, len(whole) - 1):
            for callers in (1, 8):
                socks = crowd_of(group, whole[:at], callers)
                for _ in range(3):  # the progress of requests is checked after 100 ms, when another one arrives
                    check_served(group)
                    time.sleep(0.15)
                for sock in socks:
                    sock.sendall(whole[at:])
                    assert answer_of(sock)[0] == 200, (link_mbps, at, callers)
                check_served(group)
        group.end()


def test_paused_requests_take_all_descriptors():
    """Connections that paused inside a head were never closed for new ones: a VM without descriptors accepted nobody
    and reached no endpoint."""
    group = crowded_group(vms=1)
    pid = group.vms[0].process.pid
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))
    for port in ("callers", "readiness", "control"):
        socks = []
        for _ in range(2 * DESCRIPTORS):
            socks.append(connect(group.ports[port], group.vms[0].address))
            socks[-1].sendall(b"GET / HTTP/1.1\r\nHost:")
        check_served(group)
        assert len(os.listdir(f"/proc/{pid}/fd")) <= DESCRIPTORS
        for sock in socks:
            sock.close()
    group.end()


def test_unfinished_requests_take_all_memory():
    """Callers that never finished their requests kept the memory for them; others were refused."""
    group = crowded_group(memory_mb=TINY_MEMORY_MB)
    unfinished = {
        "bodies": lambda: head_of([b"Content-Length: %d" % BODY_BYTES]) + b"b",
        "trickled": lambda: head_of([b"Transfer-Encoding: chunked"]) + b"4000\r\n" + b"b" * 0x3fff,
        "heads": lambda: head_of(same_lines())[:-2],
    }
    for what, data_of in unfinished.items():
        arrived = sum(len(times) for times in group.arrivals.values())
        socks = [sock for _ in range(CROWD) for sock in crowd_of(group, data_of(), 1)]
        for number in range(len(group.vms)):
            status = group.call(number, "/once/x", method="POST", body=b"b" * BODY_BYTES, deadline_ms=600000)[1]
            assert status == 200, (what, status)
        refused = 0
        for sock in socks:
            sock.settimeout(0)
            if select.select([sock], [], [], 0)[0]:
                sock.settimeout(20)
                status, headers, _, whole = answer_of(sock)
                assert (status, whole) == (503, True) and float(headers["retry-after"]) > 0, (what, status)
                refused += 1
        assert 0 < refused < CROWD, (what, refused)
        assert sum(len(times) for times in group.arrivals.values()) == arrived + len(group.vms), what
        for sock in socks:
            sock.close()
    group.end()


if __name__ == "__main__":
    run_tests([], [test_callers_that_pause_inside_a_request, test_paused_requests_take_all_descriptors,
                   test_unfinished_requests_take_all_memory])
