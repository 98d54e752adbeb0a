"""test_streams.py: what a caller receives if an attempt fails or turns silent while its response is forwarded

Guards against responses that mix the output of two attempts. An endpoint that stalled inside an event without
closing its connection was replaced after 600 ms. Its incomplete event stayed in the buffer, and the first event of
the next attempt was appended to it, so that the caller read "id: 4\\ndaid: 4\\ndata: piece 4". An endpoint that
closed its connection did not cause this, because that path cleared the buffer. The other tests cover further ways in
which bytes of one attempt, or of a response that is not a stream, could reach the response of another.
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


def start_stream(server, sock, headers):
    server.write_head(sock, headers, extra="Content-Type: text/event-stream\r\n")


def resume(server, sock, headers):
    """Sends the events after Last-Event-Id, or all events, and completes the stream."""
    start_stream(server, sock, headers)
    for number in range(int(headers.get("last-event-id", 0)) + 1, EVENTS + 1):
        server.chunk(sock, event(number))
    sock.sendall(b"0\r\n\r\n")


class AttemptScripts:
    """Plays the scripts in order, one for each attempt of a request; the last one also for all further attempts."""

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
    """Sends nothing more and keeps the connection open until the gateway closes it."""
    while sock.recv(4096):
        pass
    return False


def open_world(**more):
    world = World(retry_slack=100000, **more)  # enough retry budget, also for one of 128 VMs
    config = document(2)
    config["routes"].append(route("thrice", "streaming", 3, resumable=True))
    AttemptScripts(world, "whole", resume)
    world.store.put("op/config", config)
    wait_for(lambda: call(world.gateway, "/thrice/whole", method="POST")[1] == 200)
    return world


def call_each(world, cases, path):
    """Calls the path of every case concurrently and returns the responses in the order of the cases."""
    answers = [None] * len(cases)

    def one(number):
        answers[number] = call(world.gateway, path(cases[number]), method="POST")
    threads = [threading.Thread(target=one, args=(number,)) for number in range(len(cases))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return answers


def interrupt_at(number, length, ending):
    """Returns a script that sends the events before this one and the first length bytes of it, then calls ending."""
    def stop(server, sock, headers):
        start_stream(server, sock, headers)
        text = b"".join(event(before) for before in range(1, number)) + event(number)[:length]
        if text:
            server.chunk(sock, text)
        return ending(sock)
    return stop


def closes(_sock):
    """Closes the connection."""
    return False


def check_interruptions(ending):
    """Interrupts the first attempt of concurrent streams at every byte of the first event and of a later one.

    Failed endpoints are ejected for a while, so some streams end early or are refused. Every stream must consist of
    complete events in order, and a stream that lacks an event must not look complete."""
    world = open_world()
    cases = [(number, length) for number in (1, 4) for length in range(len(event(number)) + 1)]
    for server in world.servers:
        server.publish(slots=2 * len(cases))
    for number, length in cases:
        AttemptScripts(world, f"stop-{number}-{length}", interrupt_at(number, length, ending), resume)
    answers = call_each(world, cases, lambda case: "/again/stop-%d-%d" % case)
    parts = [b"".join(event(number) for number in range(1, last + 1)) for last in range(EVENTS + 1)]
    for case, (ident, status, _, body, whole) in zip(cases, answers):
        assert status in (200, 502, 503) and body in parts, (case, status, body)
        assert (status == 200 and whole) == (body == WHOLE), (case, status, body)
        assert status != 503 or world.runs(ident) == 0, case
    assert any(answer[3] == WHOLE for answer in answers)
    world.gateway.end()


def test_silent_inside_event():
    """A single stream is completed by a second attempt, which resumes after the last complete event."""
    for number, length in ((1, 8), (4, 8)):
        world = open_world()
        AttemptScripts(world, "stop", interrupt_at(number, length, stays_silent), resume)
        ident, status, _, body, whole = call(world.gateway, "/again/stop", method="POST")
        assert (status, body, whole) == (200, WHOLE, True), body
        assert world.runs(ident) == 2
        world.gateway.end()


def test_silent_at_every_byte():
    check_interruptions(stays_silent)


def test_broken_at_every_byte():
    check_interruptions(closes)


def truncated(server, sock, headers):
    """Sends three events and a part of the fourth, then closes the connection."""
    start_stream(server, sock, headers)
    server.chunk(sock, event(1) + event(2) + event(3) + b"id: 4\nda")
    return False


def other_answer(status, extra):
    """Returns a script that sends a response which does not belong to the stream but whose body looks like an event."""
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
NOT_RUN = {"full", "wrong"}  # of these, the responses of an endpoint that did not run the attempt


def test_resumed_by_other_response():
    """An interrupted stream is retried, and the retry is answered by a refusal or an error with a body.

    No byte of that body may reach the caller. The caller receives the complete events so far, and the rest of the
    stream if a further attempt is allowed: by the route, or because the endpoint did not run this one."""
    for name, answer in OTHER_ANSWERS.items():
        twice = (WHOLE, True) if name in NOT_RUN else (event(1) + event(2) + event(3), False)
        for path, expected, complete in (("/again/",) + twice, ("/thrice/", WHOLE, True)):
            world = open_world(servers=3)
            AttemptScripts(world, name, truncated, answer, resume)
            _, status, _, body, whole = call(world.gateway, path + name, method="POST")
            assert (status, body, whole) == (200, expected, complete), (path, name, body)
            world.gateway.end()


def test_silent_without_ids():
    """A stream whose events have no ids cannot be resumed, and must not be started again after the first events."""
    world = open_world()

    def nameless(server, sock, headers):
        start_stream(server, sock, headers)
        server.chunk(sock, b"data: piece 1\n\ndata: piece 2\n\n")
        return stays_silent(sock)
    AttemptScripts(world, "nameless", nameless)
    ident, status, _, body, whole = call(world.gateway, "/again/nameless", method="POST")
    assert (status, body, whole) == (200, b"data: piece 1\n\ndata: piece 2\n\n", False), body
    assert world.runs(ident) == 1
    world.gateway.end()


def test_silent_inside_long_answer():
    """A long response is forwarded as it arrives, and bytes of another attempt must not follow once it was started."""
    world = open_world()
    half, size = 300000, 600000

    def stop(server, sock, headers):
        server.write_head(sock, headers, length=size)
        sock.sendall(b"a" * half)
        return stays_silent(sock)

    def other(server, sock, headers):
        server.write_head(sock, headers, length=size)
        sock.sendall(b"b" * size)
    AttemptScripts(world, "long", stop, other)
    _, status, _, body, whole = call(world.gateway, "/safe/long")
    assert status == 200 and not whole and set(body) == {ord("a")}, (len(body), set(body))
    world.gateway.end()


def test_long_error():
    """An error response that is too long to be buffered is forwarded completely."""
    world = open_world()
    size = 300000

    def error(server, sock, headers):
        server.write_head(sock, headers, 500, length=size)
        sock.sendall(b"e" * size)
    AttemptScripts(world, "error", error)
    for path in ("/once/error", "/sse/error"):
        _, status, _, body, whole = call(world.gateway, path, method="POST")
        assert (status, len(body), whole) == (500, size, True), (path, status, len(body), whole)
    assert "event=cut" not in world.gateway.end()


def test_surplus_refusal():
    """An endpoint sends its refusal of the first attempt a second time, after the retry on the same connection.

    The second refusal must not be taken for the response of the retry, which the endpoint is running."""
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
    """A slow caller makes the gateway pause reading for longer than the silence timeout, while the endpoint stalls
    inside an event. Once the caller reads again, the stream is resumed at another endpoint."""
    world = open_world()
    filler = b"x" * 60000
    count = 200  # 12 MB, more than all buffers between endpoint and caller can hold

    def large(number):
        return b"id: %d\ndata: %s\n\n" % (number, filler)

    def stop(server, sock, headers):
        start_stream(server, sock, headers)
        for number in range(1, count):
            server.chunk(sock, large(number))
        server.chunk(sock, large(count)[:30000])
        return stays_silent(sock)

    def rest(server, sock, headers):
        start_stream(server, sock, headers)
        for number in range(int(headers["last-event-id"]) + 1, count + 1):
            server.chunk(sock, large(number))
        sock.sendall(b"0\r\n\r\n")
    AttemptScripts(world, "slow", stop, rest)
    ident, data = request("/again/slow", method="POST")
    sock = connect(world.gateway.ports["callers"])
    sock.sendall(data)
    time.sleep(1.2)  # twice the silence timeout
    status, _, body, whole = answer_of(sock)
    assert (status, whole) == (200, True), (status, len(body), world.runs(ident))
    assert body == b"".join(large(number) for number in range(1, count + 1))
    assert "event=silent" in world.gateway.end()


def test_killed_before_the_end():
    """An incomplete response must end with a connection reset, also if the gateway process is killed or its grace
    period is over. An HTTP/1.0 caller recognises the end of a stream only by the end of the connection, and the kernel would
    close the connection of a killed process in an orderly way."""
    for number in (signal.SIGKILL, signal.SIGTERM):
        world = open_world(leave_ms=100, grace_s=1)
        AttemptScripts(world, "stop", interrupt_at(4, 8, stays_silent))
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
    while got := sock.recv(4096):  # a complete stream ends with an orderly close
        text += got
    assert text.endswith(b"\r\n\r\n" + WHOLE), text
    world.gateway.end()


def piece(number, extra=b""):
    return extra + b"data: piece %d\n\n" % number


def script(*parts, ending=closes, **head):
    """Returns a script that sends a stream of these parts and then calls ending."""
    def play(server, sock, headers):
        server.write_head(sock, headers, **{"extra": "Content-Type: text/event-stream\r\n", **head})
        server.chunk(sock, b"".join(parts))
        return ending(sock)
    return play


def whole(sock):
    sock.sendall(b"0\r\n\r\n")
    return True


EVENTS_WITHOUT_LAST_ID = event(1) + event(2) + piece(3)
JSON_HEAD = "Content-Type: application/json\r\n"
# Script of the first attempt, script of the second one, expected body, and whether the response is complete.
# A stream may only be resumed after the last event that the caller has received, and only with its own rest.
RESUMPTIONS = {
    "nameless-last": (script(EVENTS_WITHOUT_LAST_ID), resume, EVENTS_WITHOUT_LAST_ID, False),
    "nameless-last-silent": (script(EVENTS_WITHOUT_LAST_ID, ending=stays_silent), resume,
                             EVENTS_WITHOUT_LAST_ID, False),
    "empty-id": (script(event(1) + piece(2, b"id:\n")), resume, event(1) + piece(2, b"id:\n"), False),
    "nameless-between": (script(event(1) + piece(2) + event(3)), resume,
                         event(1) + piece(2) + event(3) + event(4) + event(5) + event(6), True),
    "comment-last": (script(event(1) + event(2) + b": still here\n\n"), resume,
                     event(1) + event(2) + b": still here\n\n" + WHOLE[len(event(1) + event(2)):], True),
    "nothing": (script(event(1) + event(2)), script(ending=whole, status=204), event(1) + event(2), False),
    "other-type": (script(event(1) + event(2)), script(b"[1]\n\n", ending=whole, extra=JSON_HEAD), event(1) + event(2), False),
}


def test_resumption():
    for name, (first, second, expected, complete) in RESUMPTIONS.items():
        world = open_world()
        AttemptScripts(world, name, first, second)
        _, status, _, body, looks_whole = call(world.gateway, f"/again/{name}", method="POST")
        assert (status, body, looks_whole) == (200, expected, complete), (name, status, body, looks_whole)
        world.gateway.end()


def test_extra_blank_line():
    """An extra blank line after the last event does not end another event, also if it arrives separately."""
    world = open_world()

    def apart(server, sock, headers):
        start_stream(server, sock, headers)
        server.chunk(sock, WHOLE)
        time.sleep(0.05)
        server.chunk(sock, b"\n")
        sock.sendall(b"0\r\n\r\n")
    AttemptScripts(world, "apart", apart)
    for path in ("/sse/apart", "/again/apart"):
        ident, status, _, body, looks_whole = call(world.gateway, path, method="POST")
        assert (status, body.rstrip() + b"\n\n", looks_whole) == (200, WHOLE, True), body
        assert world.runs(ident) == 1
    world.gateway.end()


def plain_part(text, length):
    """Returns a script that sends the beginning of a plain response and closes the connection."""
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


LONG = b"e" * 300000  # more than the gateway buffers of a plain response
REFUSED_LONG = plain(LONG, 503, "X-Cometspindle-Not-Executed: 1\r\n")
GOOD = (200, b"good", True)
# Path, script of the first attempt, script of the second one, and the expected (status, body, whole).
RETRIES = [
    ("/safe/", plain_part(b"a" * 500, 1000), plain(b"good"), GOOD),
    ("/safe/", REFUSED_LONG, plain(b"good"), GOOD),
    ("/safe/", unstamped_long, plain(b"good"), GOOD),
    ("/safe/", plain(LONG, 500), plain(b"good"), (500, LONG, True)),
    ("/safe/", plain(LONG, 500, chunked=True), plain(b"good"), (500, LONG, True)),
    ("/again/", plain(LONG, 500, chunked=True), resume, (500, LONG, True)),
    ("/again/", script(piece(1) + piece(2)), resume, (200, piece(1) + piece(2), False)),
    ("/again/", script(event(1) + event(2)[:9], ending=whole), resume, (200, WHOLE, True)),
    ("/sse/", script(event(1) + event(2)[:9], ending=whole), resume, (200, event(1), False)),
    ("/sse/", script(event(1) + event(2), ending=whole), resume, (200, event(1) + event(2), True)),
]


def test_no_mixed_response():
    """A response comes from one attempt, unless another attempt has resumed the stream after a complete event."""
    for number, (path, first, second, answer) in enumerate(RETRIES):
        world = open_world()
        AttemptScripts(world, "x", first, second)
        _, status, _, body, looks_whole = call(world.gateway, path + "x", method="POST")
        assert (status, body, looks_whole) == answer, (number, status, body[:80], looks_whole)
        world.gateway.end()


def test_paused_gateway():
    """Endpoints that answer while the gateway process is stopped for longer than the silence timeout are not silent.

    The silence timers ran before the received bytes were read, so both endpoints were ejected (ejected=1 in ten
    event=silent lines), and nine of ten plain requests were refused."""
    world = open_world()
    frozen = threading.Event()
    sent = []

    def half(server, sock, headers):
        start_stream(server, sock, headers)
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
    streams, plain = AttemptScripts(world, "half", half), AttemptScripts(world, "late", late)
    for server in world.servers:
        server.publish(slots=8)
    paths = ["/again/half", "/safe/late"] * 3
    answers = []
    callers = [threading.Thread(target=lambda path=path: answers.append(call(world.gateway, path))) for path in paths]
    for caller in callers:
        caller.start()
    wait_for(lambda: len(streams.seen) + len(plain.seen) == len(paths))
    world.gateway.process.send_signal(signal.SIGSTOP)
    time.sleep(0.3)  # a timer expires, so that the event loop handles timers first when the process continues
    frozen.set()
    wait_for(lambda: len(sent) == len(paths))
    time.sleep(1.2)  # twice the silence timeout
    world.gateway.process.send_signal(signal.SIGCONT)
    for caller in callers:
        caller.join()
    assert sorted(answer[3] for answer in answers) == [b"good"] * 3 + [WHOLE] * 3, answers
    assert "event=silent" not in world.gateway.end()


def test_silent_stream_is_kept_while_no_other_endpoint_has_room():
    """A started stream that was given up for silence was cut off if no endpoint had room to resume it."""
    world = World()
    held, release = [], threading.Event()

    def hold(server, sock, path, headers, body):
        server.ran(path, headers, body)
        held.append(server.name)
        release.wait(20)
        server.write_head(sock, headers, length=0)

    def quiet(server, sock, path, headers, body):
        first = int(headers.get("last-event-id", 0)) + 1
        server.ran(path, headers, body)
        server.write_head(sock, headers, extra="Content-Type: text/event-stream\r\n")
        server.events(sock, first, 2)
        wait_for(lambda: b"event=silent " in world.gateway.log_text())
        time.sleep(0.3)
        release.set()
        server.events(sock, 3, 4)
        server.chunk(sock, b"")
    world.script("hold", hold)
    world.script("quiet", quiet)
    holders = []
    for _ in range(2 * (4 + 1) - 1):  # slots of both endpoints, and one more request each that may queue there
        sock = connect(world.gateway.ports["callers"])
        sock.sendall(request("/sse/hold", method="POST")[1])
        holders.append(sock)
    wait_for(lambda: len(held) == len(holders))
    ident, status, _, body, whole = call(world.gateway, "/again/quiet", method="POST")
    assert status == 200 and whole and body.count(b"id: ") == 4, (status, whole, body)
    assert world.runs(ident) == 1, world.runs(ident)
    for sock in holders:
        answer_of(sock)
    world.gateway.end()


if __name__ == "__main__":
    run_tests([], [test_silent_inside_event, test_silent_at_every_byte, test_broken_at_every_byte,
                   test_resumed_by_other_response, test_silent_without_ids, test_silent_inside_long_answer,
                   test_long_error, test_surplus_refusal,
                   test_silent_after_slow_reader, test_killed_before_the_end, test_resumption,
                   test_extra_blank_line, test_no_mixed_response,
                   test_silent_stream_is_kept_while_no_other_endpoint_has_room, test_paused_gateway])
