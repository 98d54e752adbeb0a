"""test_streams.py: what a caller gets of a stream, or of a long answer, whose run is replaced

An endpoint's process stopped inside an event while its connection stood. After 600 ms without a byte the gateway
gave the run up and sent the request to another endpoint, which went on after the last whole event; the half event of
the first run stayed in the buffer, and the second run's bytes were put behind it. So the caller got one event that
no run had made. The log of such a request, and what its caller read:

    event=sent request=... endpoint=i-0 ... attempt=1
    event=silent request=... endpoint=i-0 silent_ms=600 doubted=1
    event=repeated request=... reason=silent attempts=1 events=3 unfinished_bytes=8
    event=sent request=... endpoint=i-1 ... attempt=2
    id: 3\\ndata: piece 3\\n\\n  id: 4\\ndaid: 4\\ndata: piece 4\\n\\n  id: 5\\n...

A run that ended with its connection was not the matter: that path cleared the buffer. Looking for the same cause
elsewhere showed other ways in which bytes of one run, or of an answer that is no stream, came to stand in another's.
"""
import signal
import threading
import time

from gateway_world import World, answer_of, call, connect, document, request, route, run_tests
from platform_standin import wait_for

EVENTS = 6


def event(number):
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


WHOLE = b"".join(event(number) for number in range(1, EVENTS + 1))


def begin(server, sock, headers):
    server.write_head(sock, headers, extra="Content-Type: text/event-stream\r\n")


def go_on(server, sock, headers):
    """Sends what follows the event that the request names, to the end."""
    begin(server, sock, headers)
    for number in range(int(headers.get("last-event-id", 0)) + 1, EVENTS + 1):
        server.chunk(sock, event(number))
    sock.sendall(b"0\r\n\r\n")


class First:
    """Hands the first sending of each request to one script, and each further one to others."""

    def __init__(self, world, name, *scripts):
        self.scripts = scripts
        self.seen = {}
        self.lock = threading.Lock()
        world.script(name, self)

    def __call__(self, server, sock, path, headers, body):
        server.ran(path, headers, body)
        ident = headers["x-cometspindle-request-id"]
        with self.lock:
            number = self.seen.get(ident, 0)
            self.seen[ident] = number + 1
        return self.scripts[min(number, len(self.scripts) - 1)](server, sock, headers)


def stays_silent(sock):
    """Nothing more comes, and the connection stands until the other side closes it."""
    while sock.recv(4096):
        pass
    return False


def open_world(**more):
    world = World(retry_slack=100000, **more)  # enough for the repeats, also in a part of 128 VMs
    config = document(2)
    config["routes"].append(route("thrice", "streaming", 3, resumable=True))
    First(world, "whole", go_on)
    world.store.put("op/config", config)
    wait_for(lambda: call(world.gateway, "/thrice/whole", method="POST")[1] == 200)
    return world


def call_each(world, cases, path):
    """Calls path of each case side by side; the answers in their order."""
    answers = [None] * len(cases)

    def one(number):
        answers[number] = call(world.gateway, path(cases[number]), method="POST")
    threads = [threading.Thread(target=one, args=(number,)) for number in range(len(cases))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return answers


def stop_at(number, length, ending):
    """A script: the events before one, so many of its bytes, and then nothing more."""
    def stop(server, sock, headers):
        begin(server, sock, headers)
        text = b"".join(event(before) for before in range(1, number)) + event(number)[:length]
        if text:
            server.chunk(sock, text)
        return ending(sock)
    return stop


def ends(_sock):
    """The connection ends."""
    return False


def stop_everywhere(ending):
    """Streams whose first run stops at each byte of an event, of the first one and of a later one, side by side.
    Endpoints that fail are left alone for a while, so that some streams end early, or are not begun; none has anything
    but whole events in their order, and none that lacks one looks whole."""
    world = open_world()
    cases = [(number, length) for number in (1, 4) for length in range(len(event(number)) + 1)]
    for server in world.servers:
        server.publish(slots=2 * len(cases))
    for number, length in cases:
        First(world, f"stop-{number}-{length}", stop_at(number, length, ending), go_on)
    answers = call_each(world, cases, lambda case: "/again/stop-%d-%d" % case)
    parts = [b"".join(event(number) for number in range(1, last + 1)) for last in range(EVENTS + 1)]
    for case, (ident, status, _, body, whole) in zip(cases, answers):
        assert status in (200, 502, 503) and body in parts, (case, status, body)
        assert (status == 200 and whole) == (body == WHOLE), (case, status, body)
        assert status != 503 or world.runs(ident) == 0, case
    assert any(answer[3] == WHOLE for answer in answers)
    world.gateway.end()


def test_silent_inside_event():
    """One stream alone is whole: its second run goes on after the last whole event of the first."""
    for number, length in ((1, 8), (4, 8)):
        world = open_world()
        First(world, "stop", stop_at(number, length, stays_silent), go_on)
        ident, status, _, body, whole = call(world.gateway, "/again/stop", method="POST")
        assert (status, body, whole) == (200, WHOLE, True), body
        assert world.runs(ident) == 2
        world.gateway.end()


def test_silent_everywhere():
    stop_everywhere(stays_silent)


def test_broken_everywhere():
    stop_everywhere(ends)


def torn(server, sock, headers):
    """Three events and a part of the fourth, then the connection ends."""
    begin(server, sock, headers)
    server.chunk(sock, event(1) + event(2) + event(3) + b"id: 4\nda")
    return False


def other_answer(status, extra):
    """An answer that is no part of the stream, with a body that could be taken for one."""
    def answer(server, sock, headers):
        text = b"id: 4\ndata: no piece\n\n"
        server.write_head(sock, headers, status, extra, length=len(text))
        sock.sendall(text)
    return answer


def unstamped(server, sock, headers):
    text = b"id: 4\ndata: no piece\n\n"
    ident = headers["x-cometspindle-request-id"]
    sock.sendall((f"HTTP/1.1 200 Word\r\nX-Cometspindle-Request-Id: {ident}\r\n"
                  f"Content-Length: {len(text)}\r\n\r\n").encode() + text)


OTHER_ANSWERS = {"full": other_answer(503, "X-Cometspindle-Not-Executed: 1\r\n"),
                 "wrong": other_answer(421, ""), "error": other_answer(500, ""), "unstamped": unstamped}


def test_answer_that_is_no_stream():
    """A stream that was cut is sent on, and gets a refusal or an error with a body: no byte of that body reaches the
    caller, who has the whole events so far, and their rest if a further endpoint may be tried."""
    for name, answer in OTHER_ANSWERS.items():
        for path, most, complete in (("/again/", event(1) + event(2) + event(3), False), ("/thrice/", WHOLE, True)):
            world = open_world(servers=3)
            First(world, name, torn, answer, go_on)
            _, status, _, body, whole = call(world.gateway, path + name, method="POST")
            assert (status, body, whole) == (200, most, complete), (path, name, body)
            world.gateway.end()


def test_silent_without_ids():
    """Events that name no id cannot be gone on after: the stream is not begun anew behind them."""
    world = open_world()

    def nameless(server, sock, headers):
        begin(server, sock, headers)
        server.chunk(sock, b"data: piece 1\n\ndata: piece 2\n\n")
        return stays_silent(sock)
    First(world, "nameless", nameless)
    ident, status, _, body, whole = call(world.gateway, "/again/nameless", method="POST")
    assert (status, body, whole) == (200, b"data: piece 1\n\ndata: piece 2\n\n", False), body
    assert world.runs(ident) == 1
    world.gateway.end()


def test_silent_inside_long_answer():
    """A long answer is passed on as it comes; once it has begun, no other run's bytes may follow."""
    world = open_world()
    half, size = 300000, 600000

    def stop(server, sock, headers):
        server.write_head(sock, headers, length=size)
        sock.sendall(b"a" * half)
        return stays_silent(sock)

    def other(server, sock, headers):
        server.write_head(sock, headers, length=size)
        sock.sendall(b"b" * size)
    First(world, "long", stop, other)
    _, status, _, body, whole = call(world.gateway, "/safe/long")
    assert status == 200 and not whole and set(body) == {ord("a")}, (len(body), set(body))
    world.gateway.end()


def test_long_error():
    """An endpoint's error that is too long to be held is passed on whole."""
    world = open_world()
    size = 300000

    def error(server, sock, headers):
        server.write_head(sock, headers, 500, length=size)
        sock.sendall(b"e" * size)
    First(world, "error", error)
    for path in ("/once/error", "/sse/error"):
        _, status, _, body, whole = call(world.gateway, path, method="POST")
        assert (status, len(body), whole) == (500, size, True), (path, status, len(body), whole)
    assert "event=cut" not in world.gateway.end()


def test_surplus_refusal():
    """An endpoint refuses, and says so once more when the request comes again over the same connection: the second
    refusal is of the first sending, while the second one runs."""
    world = World(servers=1, retry_slack=100000)
    refused = set()

    def twice(server, sock, path, headers, body):
        ident = headers["x-cometspindle-request-id"]
        refuse = "X-Cometspindle-Not-Executed: 1\r\n"
        if ident not in refused:
            refused.add(ident)
            server.connections = {**getattr(server, "connections", {}), ident: sock}
            server.write_head(sock, headers, 503, refuse, 0)
            return True
        if server.connections[ident] is sock:
            server.write_head(sock, headers, 503, refuse, 0)
        server.ran(path, headers, body)
        server.write_head(sock, headers, length=4)
        sock.sendall(b"good")
        return True
    world.script("twice", twice)
    ident, status, _, body, _ = call(world.gateway, "/safe/twice")
    assert (status, body) == (200, b"good"), (status, world.runs(ident))
    world.gateway.end()


def test_silent_after_slow_reader():
    """A caller reads so slowly that the gateway stops reading from the endpoint, for longer than any silence; the
    endpoint stops inside an event meanwhile. Once the caller has read on, the stream goes on at another endpoint."""
    world = open_world()
    filler = b"x" * 60000
    count = 200  # 12 MB: more than all buffers between endpoint and caller hold

    def large(number):
        return b"id: %d\ndata: %s\n\n" % (number, filler)

    def stop(server, sock, headers):
        begin(server, sock, headers)
        for number in range(1, count):
            server.chunk(sock, large(number))
        server.chunk(sock, large(count)[:30000])
        return stays_silent(sock)

    def rest(server, sock, headers):
        begin(server, sock, headers)
        for number in range(int(headers["last-event-id"]) + 1, count + 1):
            server.chunk(sock, large(number))
        sock.sendall(b"0\r\n\r\n")
    First(world, "slow", stop, rest)
    ident, data = request("/again/slow", method="POST")
    sock = connect(world.gateway.ports["callers"])
    sock.sendall(data)
    time.sleep(1.2)  # twice the time after which an endpoint is silent
    status, _, body, whole = answer_of(sock)
    assert (status, whole) == (200, True), (status, len(body), world.runs(ident))
    assert body == b"".join(large(number) for number in range(1, count + 1))
    assert "event=silent" in world.gateway.end()


def test_killed_before_the_end():
    """A caller of HTTP/1.0 knows the end of a stream only by the end of its connection, which a kernel also ends in
    order when the gateway's process is killed, or its time to stop is over: an answer that lacks its end is reset."""
    for number in (signal.SIGKILL, signal.SIGTERM):
        world = open_world(leave_ms=100, grace_s=1)
        First(world, "stop", stop_at(4, 8, stays_silent))
        _, data = request("/sse/stop", method="POST")
        sock = connect(world.gateway.ports["callers"])
        sock.sendall(data.replace(b"HTTP/1.1", b"HTTP/1.0"))
        text = b""
        while not text.endswith(event(3)):
            text += sock.recv(4096)
        world.gateway.process.send_signal(number)
        try:
            text += sock.recv(4096)
            ended = "in order"
        except ConnectionResetError:
            ended = "reset"
        assert ended == "reset", number
        assert text.endswith(b"\r\n\r\n" + event(1) + event(2) + event(3)), text
        world.gateway.process.wait(30)
    world = open_world()
    _, data = request("/sse/whole", method="POST")
    sock = connect(world.gateway.ports["callers"])
    sock.sendall(data.replace(b"HTTP/1.1", b"HTTP/1.0"))
    text = b""
    while got := sock.recv(4096):  # a whole one ends in order
        text += got
    assert text.endswith(b"\r\n\r\n" + WHOLE), text
    world.gateway.end()


def piece(number, extra=b""):
    return extra + b"data: piece %d\n\n" % number


def script(*parts, ending=ends, **head):
    """A stream of these bytes, and how it ends."""
    def play(server, sock, headers):
        server.write_head(sock, headers, **{"extra": "Content-Type: text/event-stream\r\n", **head})
        server.chunk(sock, b"".join(parts))
        return ending(sock)
    return play


def whole(sock):
    sock.sendall(b"0\r\n\r\n")
    return True


NAMELESS = event(1) + event(2) + piece(3)
JSON_HEAD = "Content-Type: application/json\r\n"
# What the first run sends, how it ends, what the second one answers; what the caller must have, and whether it looks whole.
# A run goes on only after the very event that the caller has last, and only with the rest of the same stream.
FOLLOWED = {
    "nameless-last": (script(NAMELESS), go_on, NAMELESS, False),
    "nameless-last-silent": (script(NAMELESS, ending=stays_silent), go_on, NAMELESS, False),
    "empty-id": (script(event(1) + piece(2, b"id:\n")), go_on, event(1) + piece(2, b"id:\n"), False),
    "nameless-between": (script(event(1) + piece(2) + event(3)), go_on, event(1) + piece(2) + event(3) + event(4) + event(5) + event(6), True),
    "comment-last": (script(event(1) + event(2) + b": still here\n\n"), go_on,
                     event(1) + event(2) + b": still here\n\n" + WHOLE[len(event(1) + event(2)):], True),
    "nothing": (script(event(1) + event(2)), script(ending=whole, status=204), event(1) + event(2), False),
    "other-type": (script(event(1) + event(2)), script(b"[1]\n\n", ending=whole, extra=JSON_HEAD), event(1) + event(2), False),
}


def test_what_may_follow():
    for name, (first, second, most, complete) in FOLLOWED.items():
        world = open_world()
        First(world, name, first, second)
        _, status, _, body, looks_whole = call(world.gateway, f"/again/{name}", method="POST")
        assert (status, body, looks_whole) == (200, most, complete), (name, status, body, looks_whole)
        world.gateway.end()


def test_blank_line_apart():
    """A blank line too many after the last event ends no event, however the kernel splits the two."""
    world = open_world()

    def apart(server, sock, headers):
        begin(server, sock, headers)
        server.chunk(sock, WHOLE)
        time.sleep(0.05)
        server.chunk(sock, b"\n")
        sock.sendall(b"0\r\n\r\n")
    First(world, "apart", apart)
    for path in ("/sse/apart", "/again/apart"):
        ident, status, _, body, looks_whole = call(world.gateway, path, method="POST")
        assert (status, body.rstrip() + b"\n\n", looks_whole) == (200, WHOLE, True), body
        assert world.runs(ident) == 1
    world.gateway.end()


def plain_part(text, length):
    """The beginning of a plain answer, then its connection ends."""
    def play(server, sock, headers):
        server.write_head(sock, headers, length=length)
        sock.sendall(text)
        return False
    return play


def plain(text, status=200, extra="", chunked=False):
    def play(server, sock, headers):
        server.write_head(sock, headers, status, extra, None if chunked else len(text))
        if chunked:
            server.chunk(sock, text)
            sock.sendall(b"0\r\n\r\n")
        else:
            sock.sendall(text)
        return True
    return play


def unstamped_long(server, sock, headers):
    ident = headers["x-cometspindle-request-id"]
    sock.sendall((f"HTTP/1.1 200 Word\r\nX-Cometspindle-Request-Id: {ident}\r\n"
                  f"Content-Length: {len(LONG)}\r\n\r\n").encode() + LONG)


LONG = b"e" * 300000  # more than is held of a plain answer
REFUSED_LONG = plain(LONG, 503, "X-Cometspindle-Not-Executed: 1\r\n")
GOOD = (200, b"good", True)
# Path, the first run, the second one; status, body, and whether it looks whole.
REPLACED = [
    ("/safe/", plain_part(b"a" * 500, 1000), plain(b"good"), GOOD),
    ("/safe/", REFUSED_LONG, plain(b"good"), GOOD),
    ("/safe/", unstamped_long, plain(b"good"), GOOD),
    ("/safe/", plain(LONG, 500), plain(b"good"), (500, LONG, True)),
    ("/safe/", plain(LONG, 500, chunked=True), plain(b"good"), (500, LONG, True)),
    ("/again/", plain(LONG, 500, chunked=True), go_on, (500, LONG, True)),
    ("/again/", script(piece(1) + piece(2)), go_on, (200, piece(1) + piece(2), False)),
    ("/again/", script(event(1) + event(2)[:9], ending=whole), go_on, (200, WHOLE, True)),
    ("/sse/", script(event(1) + event(2)[:9], ending=whole), go_on, (200, event(1), False)),
    ("/sse/", script(event(1) + event(2), ending=whole), go_on, (200, event(1) + event(2), True)),
]


def test_answer_of_one_run():
    """Each answer is of one run alone, unless its rest is of another that went on after a whole event."""
    for number, (path, first, second, answer) in enumerate(REPLACED):
        world = open_world()
        First(world, "x", first, second)
        _, status, _, body, looks_whole = call(world.gateway, path + "x", method="POST")
        assert (status, body, looks_whole) == answer, (number, status, body[:80], looks_whole)
        world.gateway.end()


def test_frozen_gateway():
    """The gateway's process was stopped for longer than an endpoint may be silent, and went on. Its timers came before
    the bytes that had arrived meanwhile, so that endpoints which had answered in time counted as silent: of ten plain
    requests nine were refused, since both endpoints were left alone then (event=silent ... doubted=1, ten times)."""
    world = open_world()
    frozen = threading.Event()
    sent = []

    def half(server, sock, headers):
        begin(server, sock, headers)
        server.chunk(sock, event(1) + event(2)[:8])
        frozen.wait(20)
        server.chunk(sock, event(2)[8:] + b"".join(event(number) for number in range(3, EVENTS + 1)))
        sock.sendall(b"0\r\n\r\n")
        sent.append(headers)

    def late(server, sock, headers):
        frozen.wait(20)
        server.write_head(sock, headers, length=4)
        sock.sendall(b"good")
        sent.append(headers)
    streams, plain = First(world, "half", half), First(world, "late", late)
    for server in world.servers:
        server.publish(slots=8)
    paths = ["/again/half", "/safe/late"] * 3
    answers = []
    callers = [threading.Thread(target=lambda path=path: answers.append(call(world.gateway, path))) for path in paths]
    for caller in callers:
        caller.start()
    wait_for(lambda: len(streams.seen) + len(plain.seen) == len(paths))
    world.gateway.process.send_signal(signal.SIGSTOP)
    time.sleep(0.3)  # some timer is over by then, so that the loop meets timers first on waking
    frozen.set()
    wait_for(lambda: len(sent) == len(paths))
    time.sleep(1.2)  # twice the time after which an endpoint is silent
    world.gateway.process.send_signal(signal.SIGCONT)
    for caller in callers:
        caller.join()
    assert sorted(answer[3] for answer in answers) == [b"good"] * 3 + [WHOLE] * 3, answers
    assert "event=silent" not in world.gateway.end()


if __name__ == "__main__":
    run_tests([], [test_silent_inside_event, test_silent_everywhere, test_broken_everywhere, test_answer_that_is_no_stream,
                   test_silent_without_ids, test_silent_inside_long_answer, test_long_error, test_surplus_refusal,
                   test_silent_after_slow_reader, test_killed_before_the_end, test_what_may_follow,
                   test_blank_line_apart, test_answer_of_one_run,
                   test_frozen_gateway])
