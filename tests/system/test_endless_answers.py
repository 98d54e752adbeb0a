"""test_endless_answers.py: bytes of an endpoint that are no answer to the request, and that never end

The VM read and discarded them until the deadline of the request, with all of its processor time, while other requests
waited. The servers here write until their connection is closed, or MANY_BYTES.
"""
import threading

from gateway_world import World, call, run_tests
from platform_standin import Server, wait_for

MANY_BYTES = 256 << 20  # more than the buffers of a connection and what a VM may read of such an answer
STAMP = "X-Cometspindle-Server-Stamp: s\r\n"


def endless(head, piece):
    """Returns a script that writes a head, and then a piece again and again."""
    def script(server, sock, path, headers, body):
        server.ran(path, headers, body)
        ident = headers["x-cometspindle-request-id"]
        block = piece * (65536 // len(piece) + 1)
        sock.sendall(head.replace("ID", ident).encode())
        server.endless_bytes = 0
        try:
            while server.endless_bytes < MANY_BYTES:
                sock.sendall(block)
                server.endless_bytes += len(block)
        finally:
            server.done.set()
        return False
    return script


OWN = "X-Cometspindle-Request-Id: ID\r\n"
CASES = {
    "garbage": ("", b"no answer at all\n"),
    "head_line": ("HTTP/1.1 200 OK\r\nX-Long: ", b"x"),
    "head_lines": ("HTTP/1.1 200 OK\r\n", b"X-Line: y\r\n"),
    "interim": ("", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "foreign": (f"HTTP/1.1 200 OK\r\nX-Cometspindle-Request-Id: other\r\n{STAMP}\r\n", b"x"),
    "unstamped": (f"HTTP/1.1 200 OK\r\n{OWN}\r\n", b"x"),
    "unstamped_chunks": (f"HTTP/1.1 200 OK\r\n{OWN}Transfer-Encoding: chunked\r\n\r\n", b"4\r\nmore\r\n"),
    "refusal": (f"HTTP/1.1 503 Full\r\n{OWN}X-Cometspindle-Not-Executed: 1\r\n\r\n", b"x"),
    "chunk_extension": (f"HTTP/1.1 200 OK\r\n{OWN}{STAMP}Transfer-Encoding: chunked\r\n\r\n4;", b"x"),
}


def check(case):
    """Sends a request that may run once, and one that may be repeated, to a server that never ends its answer."""
    for path, method in (("/once", "POST"), ("/safe", "GET")):
        world = World(servers=1)
        server = world.servers[0]
        server.done = threading.Event()
        world.script("endless", endless(*CASES[case]))
        status = call(world.gateway, f"{path}/endless", method=method)[1]
        assert server.done.wait(20)
        assert server.endless_bytes < MANY_BYTES, (path, server.endless_bytes)
        # a promise that the request has not run is true only if the server said so
        assert status in ((502, 503) if case == "refusal" else (502,)), (path, status)
        world.script("endless", Server.plain)
        wait_for(lambda: call(world.gateway, "/once/endless", method="POST")[1] == 200)
        world.gateway.end()


def test_endless_garbage():
    check("garbage")


def test_endless_head():
    check("head_line")
    check("head_lines")


def test_endless_interim_answers():
    check("interim")


def test_endless_answer_of_another_request():
    check("foreign")


def test_endless_body_without_stamp():
    check("unstamped")
    check("unstamped_chunks")


def test_endless_body_of_a_refusal():
    check("refusal")


def test_endless_chunk_extension():
    check("chunk_extension")


if __name__ == "__main__":
    run_tests([], [test_endless_garbage, test_endless_head, test_endless_interim_answers,
                   test_endless_answer_of_another_request, test_endless_body_without_stamp,
                   test_endless_body_of_a_refusal, test_endless_chunk_extension])
