"""How a call's run at an endpoint ends, and what of it may reach the caller or outlive it.

The fleet is one real daemon and one scripted endpoint on a real socket: each test says what the
endpoint does with a request, and looks at what the caller, the endpoint and the metrics saw.
"""
import http.client
import json
import os
import socket
import sys
import threading
import time
import traceback

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts"))
import fleet as F  # noqa: E402

# Ends a wait that would last for ever; what is waited for comes within a few ticks of the daemon.
WAIT_S = 10
# Longer than any test, so that no deadline ends what a test looks at.
DEADLINE_MS = 120000
# More than the buffers of the sockets and of the daemon hold together.
LARGE = b"x" * (32 * 1024 * 1024)
EVENT = b'data: {"id":"cmpl-1","object":"text_completion","choices":[{"index":0,"text":" t%d"}]}\n\n'
STREAM = b"".join(EVENT % n for n in range(9)) + b"data: [DONE]\n\n"


def wait_for(what, condition):
    end = time.monotonic() + WAIT_S
    while not condition():
        if time.monotonic() > end:
            raise AssertionError(f"{what}: not within {WAIT_S} s")
        time.sleep(0.02)


class Endpoint:
    """Answers load reports by itself, and everything else as the script says."""

    def __init__(self, host):
        self.script = None
        self.seen = []
        self.listener = socket.create_server((host, 0), backlog=64)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            sock, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        with sock:
            try:
                stream = sock.makefile("rb")
                while True:
                    line = stream.readline().decode()
                    if not line:
                        return
                    headers = http.client.parse_headers(stream)
                    body = stream.read(int(headers.get("Content-Length", 0)))
                    if " /load " in line:
                        sock.sendall(sized(200, b'{"running":0,"queued":0}'))
                        continue
                    self.seen.append(line.rsplit(" ", 1)[0])
                    self.script(sock, line, body)
                    return
            except OSError:
                return  # the daemon closed first


def sized(status, body):
    return (f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


def chunk(body):
    return b"%x\r\n%s\r\n" % (len(body), body) if body else b""


STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def play_stream(sock, line, body):
    """The whole stream, or the rest of it from the offset asked for."""
    offset = int(line.split("offset=")[1].split()[0]) if "offset=" in line else 0
    sock.sendall(STREAM_HEAD + chunk(STREAM[offset:]) + b"0\r\n\r\n")


class World:
    def __init__(self):
        self.fleet = F.Fleet(vms=1)
        self.endpoint = Endpoint(self.fleet.host)
        place = {"zone": "z1", "port": self.endpoint.port}
        self.fleet.engines = [dict(place, name="e1", batch=2, kv_tokens=8192)]
        self.fleet.services = [dict(place, name="s1", serves="tiles")]
        self.fleet.publish(F.make_bundle(self.fleet, ["a"]))
        self.fleet.start_platform()
        self.fleet.start_vms()
        self.fleet.wait_ready()

    def connect(self):
        port = int(self.fleet.vms["vm1"]["caller"].rsplit(":", 1)[1])
        return http.client.HTTPConnection(self.fleet.host, port, timeout=WAIT_S)

    def send(self, method, path, body=None, **headers):
        """Sends a call and leaves its connection open."""
        connection = self.connect()
        headers = {name.replace("_", "-"): value for name, value in headers.items()}
        connection.request(method, path, body, dict(
            headers, Authorization="Bearer " + self.fleet.team_key("a")[0],
            **{"Comet-Tier": "urgent", "Comet-Deadline-Ms": str(DEADLINE_MS)}))
        return connection

    def complete(self, **more):
        body = dict({"model": "m", "prompt": "x", "max_tokens": 9, "stream": True}, **more)
        return self.send("POST", "/v1/completions", json.dumps(body))

    def once(self, key):
        return self.send("POST", "/v1/services/tiles/x", b"{}", Comet_Once="1", Idempotency_Key=key,
                         Comet_First_Sent_Ms=str(int(time.time() * 1000)))

    def metric(self, name):
        return sum(value for key, value in self.fleet.metrics("vm1").items()
                   if key.split("{")[0] == name)


def read(connection):
    """Status, headers, body, and whether the answer ended as it should."""
    answer = connection.getresponse()
    try:
        return answer.status, answer.headers, answer.read(), True
    except (http.client.IncompleteRead, ConnectionError) as error:
        return answer.status, answer.headers, getattr(error, "partial", b""), False


def test_error_answer_is_whole(world):
    """An endpoint's error answer to a streaming call was taken for a stream that was cut.

    The daemon asked three times for the rest of it and ended the caller's answer as broken:
    event=resume url=http://127.6.143.2:36459/v1/streams/25e7cef9.000d69100000 offset=20
    """
    body = b'{"error":"bad body"}'
    world.endpoint.script = lambda sock, line, got: sock.sendall(sized(400, body))
    status, headers, got, whole = read(world.complete())
    assert (status, got, whole) == (400, body, True), (status, got, whole)
    assert world.endpoint.seen == ["POST /v1/completions"], world.endpoint.seen
    assert headers["Comet-Resume"] is None  # there is no stream to go on with


def test_caller_resumes_within_final_mark(world):
    """A caller whose connection broke in or after the final mark could never end its stream.

    The rest that the endpoint sends then holds no whole mark, so that each resume of the caller,
    at any VM, was ended as broken: offset=792 of 797 bytes gave b'NE]\\n\\n' and an error.
    """
    world.endpoint.script = play_stream
    status, headers, got, whole = read(world.complete())
    assert (status, got, whole) == (200, STREAM, True)
    wrong = []
    for left in list(range(0, 17)) + [200, 600, len(STREAM) - 1, len(STREAM)]:
        offset = len(STREAM) - left
        connection = world.send("GET", f"/v1/streams/{headers['Comet-Resume']}?offset={offset}")
        status, _, got, whole = read(connection)
        if (status, got, whole) != (200, STREAM[offset:], True):
            wrong.append((offset, status, got, whole))
    assert not wrong, wrong


def test_resume_of_a_lost_stream_is_told(world):
    """The endpoint's process started again and knows no stream: the caller is told so, whole.

    The 404 came as 404, but ended as a broken answer: not to be told from one that may go on.
    """
    world.endpoint.script = play_stream
    token = read(world.complete())[1]["Comet-Resume"]
    body = b'{"error":"no such stream"}'
    world.endpoint.script = lambda sock, line, got: sock.sendall(sized(404, body))
    status, headers, got, whole = read(world.send("GET", f"/v1/streams/{token}?offset=100"))
    assert (status, got, whole) == (404, body, True), (status, got, whole)


def test_caller_leaves_after_a_refusal(world):
    """A call that an endpoint refused waits again; when its caller left, it was kept waiting.

    The endpoint of the refused dispatch stayed noted with the call, so its leaving was reported
    as the end of a dispatch, which the node passes over for a request that waits: it held its
    place in the queue, and its tier's count, until its deadline (comet_waiting stayed 1).
    """
    release = threading.Event()

    def script(sock, line, body):
        if b'"refuse"' in body:
            sock.sendall(sized(429, b"full"))
            return
        sock.sendall(STREAM_HEAD + chunk(EVENT % 0))
        release.wait(DEADLINE_MS / 1000)

    world.endpoint.script = script
    holds = world.complete()  # holds the place that the refused one would need
    holds.getresponse()
    refused = world.complete(prompt="refuse")
    wait_for("refused and waiting", lambda: world.metric("comet_retries_total") >= 1 and
             world.metric("comet_waiting") >= 1)
    refused.close()
    try:
        wait_for("nobody waits", lambda: world.metric("comet_waiting") == 0)
    finally:
        release.set()


def test_once_call_is_refused_after_its_caller_left(world):
    """A once-only call goes on when its caller leaves; refused then, it was never forgotten.

    The dispatch that follows a refusal found nobody to serve and gave the grant back, and the
    call stayed open for ever (comet_calls_open 1), so that a planned stop waited for it in vain.
    """
    release = threading.Event()

    def script(sock, line, body):
        release.wait(DEADLINE_MS / 1000)
        sock.sendall(sized(503, b"full"))

    world.endpoint.script = script
    caller = world.once("k1")
    wait_for("sent", lambda: world.endpoint.seen)
    caller.close()
    time.sleep(0.5)  # a few of the sweeps by which callers that left are noticed
    release.set()
    wait_for("forgotten", lambda: world.metric("comet_calls_open") == 0)


def held_back(world):
    """Whether bytes wait for the caller, and no more of them come."""
    held = world.metric("comet_buffered_bytes")
    time.sleep(0.5)
    return held > 0 and world.metric("comet_buffered_bytes") == held


def test_once_call_whose_slow_caller_leaves(world):
    """A once-only call runs to its end for its own sake, also when its answer is held back.

    Its endpoint is paused while a slow caller has enough to read; when that caller left, nobody
    ever let the endpoint go on: it hung in its writing until the call's hard end, a minute after
    its deadline, and the call counted as failed.
    """
    done = threading.Event()

    def script(sock, line, body):
        sock.sendall(sized(200, LARGE))
        done.set()

    world.endpoint.script = script
    caller = world.once("k2")
    caller.getresponse().read(1000)
    wait_for("held back", lambda: held_back(world))
    caller.sock.close()
    caller.close()
    wait_for("the endpoint could write all", done.is_set)
    wait_for("served", lambda: world.metric("comet_served_total") == 1)
    wait_for("forgotten", lambda: world.metric("comet_calls_open") == 0)


def test_silent_stream_whose_caller_leaves(world):
    """A caller that left a stream was noticed only when its endpoint sent the next event.

    Its connection was looked at while it waited for data, and then set aside to wait again: a
    silent endpoint kept the run, and the call its place, until the call's hard end.
    """
    left = threading.Event()

    def script(sock, line, body):
        sock.sendall(STREAM_HEAD + chunk(EVENT % 0))
        if sock.recv(1) == b"":
            left.set()

    world.endpoint.script = script
    caller = world.complete()
    caller.getresponse().read(10)
    caller.sock.close()
    caller.close()
    wait_for("the endpoint is left", left.is_set)
    wait_for("forgotten", lambda: world.metric("comet_calls_open") == 0)


def test_silent_resumed_stream_whose_caller_leaves(world):
    """The same for a stream that its caller resumed: such calls were not looked at."""
    left = threading.Event()

    def script(sock, line, body):
        sock.sendall(STREAM_HEAD + chunk(STREAM[:300]))
        if sock.recv(1) == b"":
            left.set()

    world.endpoint.script = play_stream
    token = read(world.complete())[1]["Comet-Resume"]
    world.endpoint.script = script
    caller = world.send("GET", f"/v1/streams/{token}?offset=100")
    assert caller.getresponse().read(10) == STREAM[100:110]
    caller.sock.close()
    caller.close()
    wait_for("the endpoint is left", left.is_set)
    wait_for("forgotten", lambda: world.metric("comet_calls_open") == 0)


def keep_no_freed_memory(world):
    """Starts the daemon again so that a sanitizer, which sets freed memory aside, sets little aside."""
    options = os.environ.get("ASAN_OPTIONS", "")
    os.environ["ASAN_OPTIONS"] = options + ":quarantine_size_mb=1:thread_local_quarantine_size_kb=64"
    world.fleet.end("vm1")
    world.fleet.start_vm("vm1")
    os.environ["ASAN_OPTIONS"] = options
    world.fleet.wait_ready()


def test_slow_caller_of_a_large_answer(world):
    """What a slow caller has read was kept until it had read all that came.

    At most 80 KiB wait for a caller, but with a slow one there always are some, and what went
    before them was freed only when there were none: 8 MiB read took 8 MiB of memory, 56 MiB read
    took 60 (comet_resident_bytes 78,365,000 for 15,856,000 at the start, comet_buffered_bytes 77,686).
    """
    keep_no_freed_memory(world)
    world.endpoint.script = lambda sock, line, body: sock.sendall(sized(200, LARGE * 2))
    caller = world.once("k3")
    answer = caller.getresponse()
    answer.read(1024 * 1024)
    before = world.metric("comet_resident_bytes")
    for _ in range(30):
        answer.read(1024 * 1024)
        time.sleep(0.02)  # slow: bytes wait for it all the time
    time.sleep(0.5)  # metrics are published now and then
    grown = world.metric("comet_resident_bytes") - before
    assert grown < 16 * 1024 * 1024, f"{grown / 1024 / 1024:.1f} MiB more after 30 MiB"


TESTS = [value for name, value in list(globals().items()) if name.startswith("test_")]


def main():
    failed = False
    for test in TESTS:
        if sys.argv[1:] and test.__name__ not in sys.argv[1:]:
            continue
        world = World()
        try:
            test(world)
        except Exception:
            failed = True
            traceback.print_exc(file=sys.stdout)
            print(world.fleet.tail("vm1", 20))
            print("FAILED", test.__name__, flush=True)
        else:
            print("OK", test.__name__, flush=True)
        finally:
            world.fleet.close()
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
