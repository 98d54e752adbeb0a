"""test_large_bodies.py: the memory of a gateway before callers that send large bodies"""
import os

from gateway_world import World, answer_of, connect, document, request, run_tests
from platform_standin import wait_for
from test_narrow_links import metric

BODY_BYTES = 4190000  # max_body_bytes is 4,194,304
KEPT = 20
# the sanitizer keeps freed blocks by default
ENV = {**os.environ, "ASAN_OPTIONS": os.environ.get("ASAN_OPTIONS", "") + ":quarantine_size_mb=1"}


def large_world():
    world = World(env=ENV)
    text = document(2)
    text["limits"]["max_body_bytes"] = 4194304
    world.store.put("op/config", text)
    wait_for(lambda: metric(world.gateway, "routes_version") == 2)
    return world


def memory_bytes(gateway):
    with open(f"/proc/{gateway.process.pid}/status", encoding="ascii") as status:
        return next(int(line.split()[1]) * 1024 for line in status if line.startswith("RssAnon"))


def test_kept_connections_hold_their_largest_bodies():
    """The 14th kept connection that had sent a body of 4.19 MB took the process close to its memory, long after all had
    been answered."""
    world = large_world()
    before = memory_bytes(world.gateway)
    socks = []
    for _ in range(KEPT):
        socks.append(connect(world.gateway.ports["callers"]))
        socks[-1].sendall(request("/once/plain", method="POST", body=b"b" * BODY_BYTES)[1])
        assert answer_of(socks[-1])[0] == 200
        for server in world.servers:
            server.runs.clear()
    grown = memory_bytes(world.gateway) - before
    assert grown < KEPT * BODY_BYTES / 2, grown
    world.gateway.end()


if __name__ == "__main__":
    run_tests([], [test_kept_connections_hold_their_largest_bodies])
