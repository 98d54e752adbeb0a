"""test_gateway.py: HTTP behaviour of a gateway towards callers and endpoints, against the platform stand-in"""
import json
import os
import signal
import subprocess
import tempfile
import threading
import time

from gateway_world import (BUILD, HOST, Gateway, World, answer_of, call, connect, document, get,
                           request, run_tests)
from platform_standin import Reader, Server, Store, wait_for


def test_forwarding(world):
    gateway = world.gateway
    ident, status, headers, body, whole = call(gateway, "/once/x?y=z", method="POST", body=b"abc",
                                               X_Cometspindle_Tenant="forged", X_Other="kept")
    assert (status, whole) == (200, True) and body.endswith(b" got abc"), (status, body)
    run = next(run for server in world.servers for run in server.runs if run[0] == ident)
    seen = run[2]
    assert run[1] == "/once/x?y=z" and run[3] == b"abc"
    assert seen["x-cometspindle-tenant"] == "team" and seen["x-other"] == "kept"
    assert "authorization" not in seen
    assert 0 < int(seen["x-cometspindle-deadline-ms"]) <= 5000
    assert headers["x-cometspindle-server-stamp"] == seen["x-cometspindle-expect-instance"]
    assert call(gateway, "/safe/x", key="nobody")[1] == 401
    assert call(gateway, "/safe/x", key=None)[1] == 401
    assert call(gateway, "/open/x", key=None)[1] == 200
    assert call(gateway, "/none/x")[1] == 404
    assert call(gateway, "/once/x", method="POST", body=b"a" * 6000)[1] == 413
    assert call(gateway, "/once/x", X_Long="a" * 3000)[1] == 431


# Headers that control endpoints. Only the gateway may set them, so a caller's values must not be forwarded.
FORGED = {"X-Cometspindle-Tenant": "forged", "X-Cometspindle-Expect-Instance": "forged",
          "x-cometspindle-hold": "forged", "X-Cometspindle-Pin-Ms": "4000",
          "X-COMETSPINDLE-KV-BACKUP": "127.0.0.1:1", "Kv-From": "127.0.0.1:1/forged",
          "Kv-Fetch": "127.0.0.1:1", "X-Cometspindle-Expect-Version": "77"}


def test_forged_headers():
    """Covers every kind of route, a retried request and a resumed stream."""
    world = World(retry_slack=5000)  # enough retry budget, also for one of 128 VMs
    def full_once(server, sock, path, headers, body):
        server.ran(path, headers, body)
        server.scripts.pop("full")
        server.write_head(sock, headers, 503, "X-Cometspindle-Not-Executed: 1\r\n", 0)
    def whole(server, sock, path, headers, body):
        server.ran(path, headers, body)
        server.write_head(sock, headers, extra="Content-Type: text/event-stream\r\n")
        server.events(sock, 1, 4)
        sock.sendall(b"0\r\n\r\n")
    def torn(server, sock, path, headers, body):
        server.ran(path, headers, body)
        server.write_head(sock, headers, extra="Content-Type: text/event-stream\r\n")
        if "last-event-id" not in headers:
            server.events(sock, 1, 2)
            return False
        server.events(sock, 3, 4)
        sock.sendall(b"0\r\n\r\n")
        return True
    world.script("full", full_once)
    world.script("whole", whole)
    world.script("torn", torn)
    for path, attempts in (("/safe/x", 1), ("/once/x", 1), ("/open/x", 1), ("/sse/whole", 1),
                           ("/safe/full", 2), ("/again/torn", 2)):
        ident, status, _, _, _ = call(world.gateway, path, method="POST", body=b"b", X_Other="kept",
                                      X_Cometspindle_Model="m", **FORGED)
        seen = [run[2] for server in world.servers for run in server.runs if run[0] == ident]
        assert (len(seen), status) == (attempts, 503 if path == "/safe/full" else 200), (path, len(seen), status)
        for headers in seen:
            assert headers["x-other"] == "kept" and headers["x-cometspindle-model"] == "m"
            for name, value in FORGED.items():
                assert headers.get(name.lower()) != value, (path, name)
    world.gateway.end()


def test_smuggling(world):
    for extra in ("Content-Length: 3\r\nTransfer-Encoding: chunked", "Content-Length : 3",
                  "Content-Length: 3\r\nContent-Length: 4", "Content-Length: -1"):
        ident, _ = request("/once/x", method="POST")
        sock = connect(world.gateway.ports["callers"])
        sock.sendall((f"POST /once/x HTTP/1.1\r\nHost: {HOST}\r\nX-Cometspindle-Request-Id: "
                      f"{ident}\r\n{extra}\r\n\r\nabcGET /once/y HTTP/1.1\r\n\r\n").encode())
        status, headers, _, _ = answer_of(sock)
        assert status == 400 and headers["connection"] == "close", (extra, status)
        assert Reader(sock).head() == (None, None)
        assert world.runs(ident) == 0


def test_persistent_connection(world):
    sock = connect(world.gateway.ports["callers"])
    first, data = request("/safe/a")
    second, more = request("/safe/b")
    sock.sendall(data + more)  # pipelined: the second request waits for the first
    reader = Reader(sock)
    for ident in (first, second):
        line, headers = reader.head()
        reader.body(headers)
        assert line.split()[1] == "200" and headers["x-cometspindle-request-id"] == ident
    chunked, data = request("/once/c", method="POST", Transfer_Encoding="chunked")
    data = data.replace(b"Content-Length: 0\r\n", b"") + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    for byte in data:
        sock.sendall(bytes([byte]))
    line, headers = reader.head()
    assert reader.body(headers)[0].endswith(b" got abcde")


def test_refused_by_server(world):
    def full(server, sock, path, headers, body):
        server.write_head(sock, headers, 503, "X-Cometspindle-Not-Executed: 1\r\n", 0)
    world.servers[0].scripts["full"] = full
    world.servers[1].scripts["full"] = full
    for _ in range(4):
        ident, status, headers, _, _ = call(world.gateway, "/once/full", method="POST")
        assert status == 503 and float(headers["retry-after"]) > 0
        assert "x-cometspindle-server-stamp" not in headers
    world.servers[1].scripts.pop("full")
    assert any(call(world.gateway, "/safe/full")[1] == 200 for _ in range(4))


def test_broken_before_answer(world):
    def run_and_close(server, sock, path, headers, body):
        server.ran(path, headers, body)
        return False
    world.script("close", run_and_close)
    ident, status, headers, _, _ = call(world.gateway, "/once/close", method="POST")
    # the request may have run, so it is neither refused with 503 nor retried
    assert status == 502 and world.runs(ident) == 1
    ident, status, _, _, _ = call(world.gateway, "/safe/close")
    assert status == 502 and world.runs(ident) <= 2


def test_foreign_answer(world):
    def foreign(server, sock, path, headers, body):
        server.ran(path, headers, body)
        server.write_head(sock, {"x-cometspindle-request-id": "f" * 16}, length=3)
        sock.sendall(b"bad")
        server.write_head(sock, headers, length=4)
        sock.sendall(b"good")
    def surplus(server, sock, path, headers, body):
        Server.plain(server, sock, path, headers, body)
        server.write_head(sock, headers, length=3)
        sock.sendall(b"bad")
    world.script("foreign", foreign)
    world.script("surplus", surplus)
    for _ in range(5):
        ident, status, _, body, whole = call(world.gateway, "/once/foreign", method="POST")
        assert (status, body, whole) == (200, b"good", True)
        assert call(world.gateway, "/once/surplus", method="POST")[3].endswith(b" got ")
        assert call(world.gateway, "/once/x", method="POST")[3].endswith(b" got ")


def test_unframed_and_truncated(world):
    def unframed(server, sock, path, headers, body):
        ident = headers["x-cometspindle-request-id"]
        sock.sendall((f"HTTP/1.1 200 OK\r\nX-Cometspindle-Request-Id: {ident}\r\n"
                      f"X-Cometspindle-Server-Stamp: s\r\n\r\nwhole").encode())
        return False
    def cut(server, sock, path, headers, body):
        server.write_head(sock, headers, length=600000)
        sock.sendall(b"x" * 400000)
        return False
    def unstamped(server, sock, path, headers, body):
        ident = headers["x-cometspindle-request-id"]
        sock.sendall((f"HTTP/1.1 200 OK\r\nX-Cometspindle-Request-Id: {ident}\r\n"
                      f"Content-Length: 2\r\n\r\nno").encode())
    world.script("unframed", unframed)
    world.script("cut", cut)
    world.script("unstamped", unstamped)
    assert call(world.gateway, "/once/unframed", method="POST")[3:] == (b"whole", True)
    _, status, _, body, whole = call(world.gateway, "/once/cut", method="POST")
    assert status == 200 and not whole and len(body) <= 400000
    assert call(world.gateway, "/once/unstamped", method="POST")[1] == 502


def test_streams(world):
    def whole(server, sock, path, headers, body):
        server.ran(path, headers, body)
        server.write_head(sock, headers, extra="Content-Type: text/event-stream\r\n")
        server.events(sock, 1, 5)
        sock.sendall(b"0\r\n\r\n")
    def torn(server, sock, path, headers, body):
        """Breaks off inside an event, and resumes the stream if asked to."""
        server.ran(path, headers, body)
        server.write_head(sock, headers, extra="Content-Type: text/event-stream\r\n")
        if "last-event-id" in headers:
            server.events(sock, int(headers["last-event-id"]) + 1, 6)
            sock.sendall(b"0\r\n\r\n")
            return True
        server.events(sock, 1, 3)
        server.chunk(sock, b"id: 4\nda")
        return False
    world.script("whole", whole)
    world.script("torn", torn)
    _, status, headers, body, complete = call(world.gateway, "/sse/whole", method="POST")
    assert status == 200 and complete and body.count(b"id: ") == 5
    ident, status, headers, body, complete = call(world.gateway, "/sse/torn", method="POST")
    assert status == 200 and not complete and body.count(b"\n\n") == 3 and b"id: 4" not in body
    assert world.runs(ident) == 1
    ident, status, headers, body, complete = call(world.gateway, "/again/torn", method="POST")
    assert complete and [f"id: {n}" for n in range(1, 7)] == \
        [line for line in body.decode().split("\n") if line.startswith("id")]
    assert world.runs(ident) == 2  # resumed at another server, after the last complete event
    assert headers["x-cometspindle-server-stamp"] in body.decode().split("\n")[1]


def test_output_hints(world):
    """A hint makes the size of a stream known, unless it is absurd; each reaches the log and the metrics."""
    def whole(server, sock, path, headers, body):
        server.ran(path, headers, body)
        server.write_head(sock, headers, extra="Content-Type: text/event-stream\r\n")
        server.events(sock, 1, 5)
        sock.sendall(b"0\r\n\r\n")
    world.script("whole", whole)
    gateway = world.gateway
    for hint, hinted in (("20", 1), ("1000000000000", 0), ("4000000", 0), ("many", 0), ("-1", 0)):
        ident, status, _, _, complete = call(gateway, "/sse/whole", method="POST", X_Cometspindle_Token_Count="600,4000",
                                             X_Cometspindle_Length_Hint=hint)
        assert status == 200 and complete, hint
        lines = gateway.log_text().decode().split("\n")
        admitted = next(line for line in lines if "event=admitted" in line and ident in line)
        sent = next(line for line in lines if "event=sent" in line and ident in line)
        assert f" output={hint if hinted else 4000} " in admitted and f" hinted={hinted} " in admitted, admitted
        assert (" slot_ms=0 " in sent) == (not hinted) and " returned=0" in sent, sent
    assert b"event=output_hint_ignored" in gateway.log_text()
    _, _, metrics, _ = get(gateway.ports["control"], "/metrics")
    assert b'comet_order_requests_total{size="known"} 1\n' in metrics, metrics
    assert b'comet_order_requests_total{size="unknown"} 4\n' in metrics


def test_only_server_fails():
    """An error response of the only server is forwarded with its stamp; a broken connection to it is retried once."""
    world = World(servers=1)
    seen = []

    def error(server, sock, path, headers, body):
        server.ran(path, headers, body)
        server.write_head(sock, headers, 500, length=0)

    def breaks_once(server, sock, path, headers, body):
        seen.append(headers["x-cometspindle-request-id"])
        if len(seen) == 1:
            return False
        return Server.plain(server, sock, path, headers, body)
    world.script("error", error)
    world.script("breaks", breaks_once)
    ident, status, headers, _, _ = call(world.gateway, "/safe/error")
    assert status == 500 and headers["x-cometspindle-server-stamp"] == "i-0"
    assert world.runs(ident) == 1
    assert call(world.gateway, "/safe/breaks")[1] == 200 and len(set(seen)) == 1
    world.gateway.end()


def test_caller_leaves(world):
    started = threading.Event()
    left = threading.Event()

    def slow(server, sock, path, headers, body):
        started.set()
        if sock.recv(1) == b"":
            left.set()
        return False
    world.script("slow", slow)
    _, data = request("/once/slow", method="POST")
    sock = connect(world.gateway.ports["callers"])
    sock.sendall(data)
    assert started.wait(20)
    sock.close()
    assert left.wait(20)


def test_limit_at_start():
    """A VM that has not discovered the others yet does not know the remaining quota, and must not refuse requests."""
    store = Store()
    config = document(1)
    config["tenants"][0].update(rate_per_s=1000, burst=0)
    store.put("op/config", config)
    Server(store, "i-0", "svc")
    gateway = Gateway(store)
    wait_for(gateway.ready)
    for _ in range(8):  # 80 tokens of the 800 that the VM does not assume to be spent
        assert call(gateway, "/safe/x")[1] == 200
    gateway.end()


def test_planned_stop():
    world = World(leave_ms=2000)
    release = threading.Event()

    def slow(server, sock, path, headers, body):
        server.ran(path, headers, body)
        release.wait(20)
        answer = b"late"
        server.write_head(sock, headers, length=len(answer))
        sock.sendall(answer)
    world.script("slow", slow)
    ident, data = request("/once/slow", method="POST")
    sock = connect(world.gateway.ports["callers"])
    sock.sendall(data)
    wait_for(lambda: world.runs(ident) == 1)
    world.gateway.process.send_signal(signal.SIGTERM)
    wait_for(lambda: get(world.gateway.ports["readiness"], "/readyz")[0] == 503)
    # still served, and the caller is told to close its connection
    _, status, headers, _, _ = call(world.gateway, "/safe/x")
    assert status == 200 and headers["connection"] == "close"
    release.set()
    status, headers, body, whole = answer_of(sock)
    assert (status, body, whole) == (200, b"late", True)
    world.gateway.end()


def test_stop_with_open_connections():
    """The grace period ends while one request is running and another is half sent; the process exits without a leak."""
    world = World(leave_ms=100, grace_s=1)
    release = threading.Event()

    def hang(server, sock, path, headers, body):
        server.ran(path, headers, body)
        release.wait(20)
    world.script("hang", hang)
    ident, data = request("/once/hang", method="POST")
    sock = connect(world.gateway.ports["callers"])
    sock.sendall(data)
    half = connect(world.gateway.ports["callers"])
    half.sendall(data[:40])
    wait_for(lambda: world.runs(ident) == 1)
    text = world.gateway.end()
    assert "event=stopped open=1" in text, text
    release.set()


def test_requests_open_at_the_end_of_a_stop_are_answered():
    """A request that still runs, and one that waits for a slot, when the grace period ends: their connections closed
    without a response, although the process knew that it had to end."""
    world = World(servers=1, leave_ms=100, grace_s=1)
    release = threading.Event()

    def hang(server, sock, path, headers, body):
        server.ran(path, headers, body)
        release.wait(20)
    world.script("hang", hang)
    socks = [connect(world.gateway.ports["callers"]) for _ in range(16)]  # one server with 4 slots
    for sock in socks:
        sock.sendall(request("/once/hang", method="POST", deadline_ms=20000)[1])
    wait_for(lambda: len(world.servers[0].runs) >= 4)
    world.gateway.stop()
    statuses = sorted(answer_of(sock)[0] for sock in socks)
    assert statuses.count(502) >= 4 and set(statuses) <= {502, 503}, statuses
    world.gateway.end(stopping=True)
    release.set()


def test_deadline_that_passes_before_the_request_is_complete():
    """The request was sent to an endpoint with an absurd deadline, and had no deadline timer at the VM."""
    world = World(servers=1)
    _, data = request("/once/x", method="POST", body=b"x" * 10, deadline_ms=300)
    sock = connect(world.gateway.ports["callers"])
    sock.sendall(data[:-5])
    time.sleep(0.6)
    sock.sendall(data[-5:])
    assert answer_of(sock)[0] == 503
    assert not world.servers[0].runs
    world.gateway.end()


def test_promises_of_endpoints_without_stamp_are_not_forwarded():
    """A response without the endpoint's stamp may be any process's: its 503 does not say that the request has not run."""
    world = World(servers=1)
    for status in (408, 429, 503):
        def says_busy(server, sock, path, headers, body, status=status):
            server.ran(path, headers, body)
            ident = headers["x-cometspindle-request-id"]
            sock.sendall(f"HTTP/1.1 {status} Word\r\nX-Cometspindle-Request-Id: {ident}\r\n"
                         "Content-Length: 0\r\n\r\n".encode())
        world.script("busy", says_busy)
        assert call(world.gateway, "/once/busy", method="POST")[1] == 502, status
    world.gateway.end()


def test_paused_before_request():
    """Requests on idle connections that arrive while the gateway process is stopped must be answered once it continues.

    The idle timers ran before the received requests were read, so the connections were closed and the requests lost."""
    world = World()
    config = document(2)
    config["limits"]["idle_timeout_ms"] = 500
    world.store.put("op/config", config)
    wait_for(lambda: b"comet_routes_version 2" in get(world.gateway.ports["control"], "/metrics")[2])
    socks = [connect(world.gateway.ports["callers"]) for _ in range(20)]
    for sock in socks:
        sock.sendall(request("/safe/x")[1])
    assert [answer_of(sock)[0] for sock in socks] == [200] * len(socks)
    world.gateway.process.send_signal(signal.SIGSTOP)
    time.sleep(0.3)  # a timer expires, so that the event loop handles timers first when the process continues
    for sock in socks:
        sock.sendall(request("/safe/x")[1])
    time.sleep(1)  # twice the idle timeout
    world.gateway.process.send_signal(signal.SIGCONT)
    assert [answer_of(sock)[0] for sock in socks] == [200] * len(socks)
    world.gateway.end()


def check_metrics(text):
    """Checks the text format: each family starts with its TYPE line, and its samples follow each other."""
    families = set()
    family, kind = None, None
    for line in text.splitlines():
        if line.startswith("# TYPE "):
            family, kind = line.split()[2:]
            assert family not in families, line
            families.add(family)
            continue
        sample, value = line.rsplit(" ", 1)
        name = sample.split("{")[0]
        suffixes = ("_bucket", "_sum", "_count") if kind == "histogram" else ("",)
        assert name in [family + suffix for suffix in suffixes], line
        assert name.startswith("comet_") and float(value) >= 0, line


def test_status_pages(world):
    assert call(world.gateway, "/safe/x")[1] == 200
    status, _, body, _ = get(world.gateway.ports["control"], "/metrics")
    assert status == 200 and b'comet_requests_total{outcome="served"}' in body
    assert b'comet_answer_seconds_count{kind="safe"} 1' in body
    assert b'comet_request_ends_total{end="served",kind="safe",rank="1"} 1' in body
    assert b'comet_slot_asks_total{outcome="granted"} 0' in body
    assert b'comet_requests_waiting{service="svc"} 0' in body
    assert b'comet_repeats_left{service="svc"} ' in body
    assert b'comet_team_left{team="team"} ' in body
    assert b'comet_directory_losses_total 0' in body
    assert b'comet_directory_items_refused_total 0' in body
    assert b'comet_directory_revision 3' in body
    assert b'comet_endpoint_lapsed{endpoint="i-0",service="svc"} 0' in body
    check_metrics(body.decode())
    status, _, body, _ = get(world.gateway.ports["control"], "/v1/directory")
    assert status == 200 and len(json.loads(body)["entries"]) == 3
    assert get(world.gateway.ports["control"], "/other")[0] == 404
    world.gateway.process.send_signal(signal.SIGHUP)


def test_signal_while_starting():
    """A SIGHUP during the start must not end the process. The soak test found that it did."""
    store = Store()
    store.put("op/config", document(1))
    Server(store, "i-0", "svc")
    with tempfile.TemporaryDirectory() as folder:
        settings = Gateway(store, leave_ms=200)  # provides ports and a settings file
        settings.process.kill()
        settings.process.wait(30)
        path = folder + "/settings"
        os.mkfifo(path)
        process = subprocess.Popen([f"{BUILD}/cli/cometspindled", "--settings", path],
                                   stdout=settings.log, stderr=settings.log)
        with open(path, "w", encoding="utf-8") as pipe:  # blocks until the process opens it for reading
            process.send_signal(signal.SIGHUP)
            with open(settings.file.name, encoding="utf-8") as file:
                text = file.read()
            with open(path + ".new", "w", encoding="utf-8") as file:
                file.write(text)
            os.replace(path + ".new", path)  # the file that the reload reads
            pipe.write(text)
        wait_for(settings.ready)
        process.send_signal(signal.SIGTERM)
        assert process.wait(30) == 0


def test_log_reader_stops():
    """If the reader of the log stops reading or exits, log lines are lost but requests are still served."""
    for closes in (False, True):
        store = Store()
        store.put("op/config", document(1))
        Server(store, "i-0", "svc")
        reader, writer = os.pipe()
        gateway = Gateway(store, log=writer, leave_ms=200, log_lines_per_s=0)
        os.close(writer)
        if closes:
            os.close(reader)
        wait_for(gateway.ready)
        for _ in range(300):  # more lines than a pipe holds
            assert call(gateway, "/safe/x")[1] == 200
        if not closes:
            text = os.read(reader, 65536).decode()
            wait_for(lambda: "event=lines_left_out" in os.read(reader, 65536).decode())
            assert "event=answered" in text
            os.close(reader)
        gateway.process.send_signal(signal.SIGTERM)
        assert gateway.process.wait(30) == 0


def test_bad_settings():
    with tempfile.NamedTemporaryFile("w") as file:
        file.write('{"gateway": {"name": 5}}')
        file.flush()
        done = subprocess.run([f"{BUILD}/cli/cometspindled", "--settings", file.name],
                              capture_output=True, text=True, check=False)
    assert done.returncode == 1 and "gateway.name: must be a string" in done.stderr, done.stderr
    done = subprocess.run([f"{BUILD}/cli/cometspindled", "--settings", "/nonexistent"],
                          capture_output=True, text=True, check=False)
    assert done.returncode == 1 and "/nonexistent" in done.stderr


if __name__ == "__main__":
    run_tests(
        [test_forwarding, test_smuggling, test_persistent_connection, test_refused_by_server,
         test_broken_before_answer, test_foreign_answer, test_unframed_and_truncated, test_streams, test_output_hints,
         test_caller_leaves, test_status_pages],
        [test_paused_before_request, test_forged_headers, test_only_server_fails, test_limit_at_start,
         test_planned_stop, test_stop_with_open_connections, test_requests_open_at_the_end_of_a_stop_are_answered,
         test_deadline_that_passes_before_the_request_is_complete,
         test_promises_of_endpoints_without_stamp_are_not_forwarded, test_signal_while_starting, test_log_reader_stops, test_bad_settings])
