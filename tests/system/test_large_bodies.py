"""test_large_bodies.py: the memory of a gateway before callers that send large bodies, and servers that read them slowly"""
import os
import socket
import threading
import time

from gateway_world import ADDRESS, Gateway, World, answer_of, connect, document, request, run_tests
from platform_standin import Server, wait_for
from test_narrow_links import metric

MEMORY_MB = 110
BODY_BYTES = 4190000  # max_body_bytes is 4,194,304
KEPT = 20
# the sanitizer keeps freed blocks by default
ENV = {**os.environ, "ASAN_OPTIONS": os.environ.get("ASAN_OPTIONS", "") + ":quarantine_size_mb=1"}


def large_world():
    world = World(memory_mb=MEMORY_MB, env=ENV)
    text = document(2)
    text["limits"]["max_body_bytes"] = 4194304
    for route in text["routes"]:
        route["timeout_ms"] = 60000
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


def test_bodies_that_wait_for_slow_servers():
    """Bodies that waited for servers that were slow to read were kept three times each, without a bound. Now those beyond
    the bound are refused as not run, and small ones are served."""
    world = large_world()
    reading, slow = threading.Event(), Server.body_of
    statuses, lock = [], threading.Lock()

    def upload():
        ident, data = request("/once/plain", method="POST", body=b"b" * BODY_BYTES)
        sock = connect(world.gateway.ports["callers"])
        sock.sendall(data)
        status, headers, _, whole = answer_of(sock)
        assert whole
        with lock:
            statuses.append((ident, status, headers.get("retry-after")))
    Server.body_of = lambda server, reader, headers: (
        int(headers.get("content-length", 0)) < 100000 or reading.wait(20), slow(server, reader, headers))[1]
    threads = [threading.Thread(target=upload) for _ in range(KEPT)]
    for thread in threads:
        thread.start()
    wait_for(lambda: len(statuses) >= KEPT - 2)
    assert metric(world.gateway, "body_bytes_reserved") <= MEMORY_MB * 1048576 / 4
    sock = connect(world.gateway.ports["callers"])
    sock.sendall(request("/once/plain", method="POST", body=b"small")[1])
    assert answer_of(sock)[0] == 200
    reading.set()
    for thread in threads:
        thread.join()
    Server.body_of = slow
    refused = [(ident, retry) for ident, status, retry in statuses if status == 503]
    assert len(refused) == KEPT - 2 and [status for _, status, _ in statuses].count(200) == 2, statuses
    assert all(world.runs(ident) == 0 and float(retry) > 0 for ident, retry in refused)
    assert metric(world.gateway, "body_bytes_reserved") == 0
    world.gateway.end()


def test_responses_that_wait_for_slow_callers():
    """Callers that did not read their responses took 0.2 MB each, without a bound. The responses are delivered late."""
    world = large_world()
    for server in world.servers:
        server.publish(slots=200)
    callers, response = 200, b"r" * 3000000  # the kernel's buffers hold most of each
    started, lock = [], threading.Lock()

    def large(server, sock, path, headers, body):
        with lock:
            started.append(server.name)
        server.write_head(sock, headers, length=len(response))
        sock.sendall(response)
    world.script("large", large)
    before = memory_bytes(world.gateway)
    socks = []
    for number in range(callers):
        socks.append(socket.socket())
        socks[-1].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        socks[-1].connect((ADDRESS, world.gateway.ports["callers"]))
        socks[-1].sendall(request("/safe/large", deadline_ms=60000)[1])
        wait_for(lambda number=number: len(started) > number)
    time.sleep(1)
    grown = memory_bytes(world.gateway) - before
    assert grown < MEMORY_MB * 1048576 / 4, grown
    for sock in socks[::20]:
        status, _, body, whole = answer_of(sock)
        assert status == 200 and whole and body == response, (status, len(body))
    world.gateway.end()


if __name__ == "__main__":
    run_tests([], [test_kept_connections_hold_their_largest_bodies, test_bodies_that_wait_for_slow_servers,
                   test_responses_that_wait_for_slow_callers])
