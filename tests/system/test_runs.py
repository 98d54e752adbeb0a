"""Tests how calls end at an endpoint, and what the caller receives.

The fleet is one real daemon and one scripted endpoint on a real socket: each test scripts
the replies of the endpoint, then checks the caller, the endpoint and the metrics.
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

# Timeout of each wait. The daemon normally needs only a few ticks.
WAIT_S = 10
# Longer than any test, so that no call reaches its deadline.
DEADLINE_MS = 120000
# Larger than the socket buffers and the buffers of the daemon together.
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
    """Scripted endpoint. Load reports are answered without the script."""

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
    """Sends the stream from the requested offset, by default from the start."""
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
    """Returns status, headers, body, and whether the response was complete."""
    answer = connection.getresponse()
    try:
        return answer.status, answer.headers, answer.read(), True
    except (http.client.IncompleteRead, ConnectionError) as error:
        return answer.status, answer.headers, getattr(error, "partial", b""), False


def test_error_answer_is_whole(world):
    """An endpoint's error answer to a streaming call was handled as an interrupted stream.

    The daemon tried three times to resume it (event=resume offset=20) and ended the caller's
    response as incomplete.
    """
    body = b'{"error":"bad body"}'
    world.endpoint.script = lambda sock, line, got: sock.sendall(sized(400, body))
    status, headers, got, whole = read(world.complete())
    assert (status, got, whole) == (400, body, True), (status, got, whole)
    assert world.endpoint.seen == ["POST /v1/completions"], world.endpoint.seen
    assert headers["Comet-Resume"] is None  # there is no stream to resume


def test_caller_resumes_within_final_mark(world):
    """A caller that lost its connection in or after the final marker could not complete its stream.

    The remaining bytes then contain no complete marker, so every resume at any VM ended as
    incomplete: offset=792 of 797 bytes gave b'NE]\\n\\n' and an error.
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
    """After a restart of the endpoint, a resume gets the complete 404 response of the endpoint.

    The 404 response was ended as incomplete, so the caller could not tell that a retry is useless.
    """
    world.endpoint.script = play_stream
    token = read(world.complete())[1]["Comet-Resume"]
    body = b'{"error":"no such stream"}'
    world.endpoint.script = lambda sock, line, got: sock.sendall(sized(404, body))
    status, headers, got, whole = read(world.send("GET", f"/v1/streams/{token}?offset=100"))
    assert (status, got, whole) == (404, body, True), (status, got, whole)


def test_caller_leaves_after_a_refusal(world):
    """A refused call that waited for a retry stayed queued after its caller disconnected.

    The call kept the endpoint of the refused dispatch, so the disconnect was reported as the end
    of a dispatch, which the node ignores for a waiting request. The request stayed in the queue
    and in the count of its tier until its deadline (comet_waiting stayed 1).
    """
    release = threading.Event()

    def script(sock, line, body):
        if b'"refuse"' in body:
            sock.sendall(sized(429, b"full"))
            return
        sock.sendall(STREAM_HEAD + chunk(EVENT % 0))
        release.wait(DEADLINE_MS / 1000)

    world.endpoint.script = script
    holds = world.complete()  # occupies the slot that the refused call needs
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
    """A once-only call that was refused after its caller disconnected was never removed.

    The dispatch after the refusal found no caller and returned the grant, but the call stayed open
    (comet_calls_open 1), so a planned stop waited for it forever.
    """
    release = threading.Event()

    def script(sock, line, body):
        release.wait(DEADLINE_MS / 1000)
        sock.sendall(sized(503, b"full"))

    world.endpoint.script = script
    caller = world.once("k1")
    wait_for("sent", lambda: world.endpoint.seen)
    caller.close()
    time.sleep(0.5)  # several sweeps for disconnected callers
    release.set()
    wait_for("forgotten", lambda: world.metric("comet_calls_open") == 0)


def is_stalled(world):
    """True if bytes are buffered for the caller and their number does not change."""
    held = world.metric("comet_buffered_bytes")
    time.sleep(0.5)
    return held > 0 and world.metric("comet_buffered_bytes") == held


def test_once_call_whose_slow_caller_leaves(world):
    """A once-only call runs to its end, even if its caller disconnects while reading slowly.

    The daemon stops reading from the endpoint while the caller is slow. After the disconnect,
    reading was never resumed: the endpoint blocked until the hard end of the call, a minute after
    its deadline, and the call counted as failed.
    """
    done = threading.Event()

    def script(sock, line, body):
        sock.sendall(sized(200, LARGE))
        done.set()

    world.endpoint.script = script
    caller = world.once("k2")
    caller.getresponse().read(1000)
    wait_for("held back", lambda: is_stalled(world))
    caller.sock.close()
    caller.close()
    wait_for("the endpoint could write all", done.is_set)
    wait_for("served", lambda: world.metric("comet_served_total") == 1)
    wait_for("forgotten", lambda: world.metric("comet_calls_open") == 0)


def test_silent_stream_whose_caller_leaves(world):
    """The disconnect of a caller was noticed only when the endpoint sent the next event.

    The connection was checked while it waited for data and then suspended again, so with a silent
    endpoint the run and its slot lasted until the hard end of the call.
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
    """The disconnect was not noticed on resumed streams, because the sweep skipped them."""
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


def restart_with_small_quarantine(world):
    """Restarts the daemon with a small sanitizer quarantine, which retains freed memory."""
    options = os.environ.get("ASAN_OPTIONS", "")
    os.environ["ASAN_OPTIONS"] = options + ":quarantine_size_mb=1:thread_local_quarantine_size_kb=64"
    world.fleet.end("vm1")
    world.fleet.start_vm("vm1")
    os.environ["ASAN_OPTIONS"] = options
    world.fleet.wait_ready()


def test_slow_caller_of_a_large_answer(world):
    """Data already read by a slow caller was freed only after the caller had read everything.

    At most 80 KiB wait for a caller, but the buffer of a slow caller is never empty, and sent data
    was freed only when it was: 8 MiB read took 8 MiB of memory, 56 MiB read took 60 MiB
    (comet_resident_bytes 78,365,000 for 15,856,000 at the start, comet_buffered_bytes 77,686).
    """
    restart_with_small_quarantine(world)
    world.endpoint.script = lambda sock, line, body: sock.sendall(sized(200, LARGE * 2))
    caller = world.once("k3")
    answer = caller.getresponse()
    answer.read(1024 * 1024)
    before = world.metric("comet_resident_bytes")
    for _ in range(30):
        answer.read(1024 * 1024)
        time.sleep(0.02)  # slow, so that the buffer is never empty
    time.sleep(0.5)  # metrics are published periodically
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
