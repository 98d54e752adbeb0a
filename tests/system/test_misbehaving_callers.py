"""test_misbehaving_callers.py: requests inside the limits, made to cost the VM as much as they can"""
from caller_crowd import (CROWD, check_memory, check_served, crowd_of, crowded_group, head_of, memory_bytes, received,
                          run_requests)
from gateway_world import answer_of, run_tests
from platform_standin import wait_for

SMALL_MEMORY_MB = 32
LONG_HEAD_BYTES = 65536


def same_lines():
    while True:
        yield b"a:"


def differing_lines():
    for number in range(10 ** 6):
        yield b"%x:" % number


def folded_lines():
    """Values that continue on lines of their own."""
    yield b"a: b"
    while True:
        yield b" c"


LINES = {"same": same_lines, "differing": differing_lines, "folded": folded_lines}


def test_heads_that_never_end():
    """Heads of lines "a:" took some 50 times their bytes while they arrived: 200 callers took 137 MB."""
    for what, lines in LINES.items():
        group = crowded_group()
        check_served(group)
        before = memory_bytes(group.vms[0])
        data = head_of(lines())[:-2]
        already = received(group.vms[0])
        socks = crowd_of(group, data)
        wait_for(lambda: received(group.vms[0]) >= already + CROWD * len(data))
        check_memory(group, before, what)
        check_served(group)
        for sock in socks:
            sock.close()
        check_served(group)
        group.end()


def test_complete_heads_of_short_lines():
    """Complete heads took as much while their requests ran, and afterwards for as long as callers kept their
    connections."""
    for what, lines in LINES.items():
        group = crowded_group()
        check_served(group)
        before = memory_bytes(group.vms[0])
        socks = run_requests(group, lambda lines=lines: head_of(lines(), path="/safe/hold"))
        check_memory(group, before, what)
        check_served(group)
        group.release.set()
        statuses = [answer_of(sock)[0] for sock in socks]
        assert set(statuses) <= {200, 429, 503}, statuses
        check_memory(group, before, what)
        check_served(group)
        group.end()


def test_requests_sent_ahead():
    """What callers sent behind a request that ran was kept, up to 80 KB for each, and was not counted."""
    group = crowded_group(memory_mb=SMALL_MEMORY_MB)
    check_served(group)
    before = memory_bytes(group.vms[0])
    ahead = b"".join(head_of([]) for _ in range(400))
    socks = run_requests(group, lambda: head_of([], path="/safe/hold"))
    for sock in socks:
        sock.setblocking(False)
        sock.send(ahead)
    check_served(group)
    check_memory(group, before, "ahead", SMALL_MEMORY_MB)
    group.release.set()
    for sock in socks:
        sock.settimeout(20)
        assert answer_of(sock)[0] == 200
    check_served(group)
    group.end()


def test_long_connection_lists():
    """Each list was split again for each header: eight heads took a VM minutes, so that it answered nobody."""
    lists = {
        "long": [b"Connection: " + b",".join(b"a" for _ in range(LONG_HEAD_BYTES // 4))],
        "differing": [b"Connection: " + b",".join(b"%x" % n for n in range(LONG_HEAD_BYTES // 12))],
        "many": [b"Connection: a,b"] * (LONG_HEAD_BYTES // 40),
    }
    for value in lists.values():
        group = crowded_group(LONG_HEAD_BYTES)
        socks = crowd_of(group, head_of(value + [b"%x:" % n for n in range(LONG_HEAD_BYTES)], LONG_HEAD_BYTES), 8)
        check_served(group)
        statuses = [answer_of(sock)[0] for sock in socks]
        assert set(statuses) <= {200, 429, 503}, statuses
        check_served(group)
        group.end()


if __name__ == "__main__":
    run_tests([], [test_heads_that_never_end, test_complete_heads_of_short_lines, test_requests_sent_ahead,
                   test_long_connection_lists])
