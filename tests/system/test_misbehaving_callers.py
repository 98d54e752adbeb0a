"""test_misbehaving_callers.py: requests inside the limits, made to cost the VM as much as they can"""
from caller_crowd import CROWD, check_memory, check_served, crowd_of, crowded_group, head_of, memory_bytes, received
from gateway_world import run_tests
from platform_standin import wait_for


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


if __name__ == "__main__":
    run_tests([], [test_heads_that_never_end])
