"""End-to-end test: each kind of call is served, and invalid calls get the right error code."""
import json
import os
import socket
import sys
import urllib.error
import urllib.request

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts"))
import fleet as F  # noqa: E402


def call(fleet, path, body, headers=None, vm="vm1", key="a"):
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    request = urllib.request.Request(fleet.vms[vm]["caller"] + path, data=data)
    if key:
        request.add_header("Authorization", "Bearer " + fleet.team_key(key)[0])
    for name, value in (headers or {}).items():
        request.add_header(name, value)
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(request, timeout=20) as answer:
            return answer.status, answer.read().decode(), dict(answer.headers)
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode(), dict(error.headers)


def expect(what, got, want):
    if got != want:
        raise SystemExit(f"{what}: got {got!r}, want {want!r}")


def refusal(fleet, path, body, **kwargs):
    status, text, _ = call(fleet, path, body, **kwargs)
    error = json.loads(text)["error"]
    return status, error["code"], error["verdict"]


def check_served(fleet):
    chat = {"model": "m", "messages": [{"role": "user", "content": "hello"}], "max_tokens": 5}
    for vm in fleet.vms:
        status, text, headers = call(fleet, "/v1/chat/completions", chat, vm=vm)
        expect("chat", status, 200)
        expect("tokens", json.loads(text)["usage"]["completion_tokens"], 5)
        if "Request-Id" not in headers:
            raise SystemExit("no Request-Id")
    status, text, _ = call(fleet, "/v1/completions",
                           {"model": "m", "prompt": "x", "max_tokens": 3, "stream": True})
    expect("events", text.count("data: "), 4)
    expect("end", text.strip().endswith("data: [DONE]"), True)
    status, text, _ = call(fleet, "/v1/services/tiles/a/b", {"q": 1})
    expect("service", (status, json.loads(text)["path"]), (200, "/a/b"))
    entries = json.loads(F.fetch(fleet.vms["vm1"]["caller"] + "/v1/entries"))
    expect("entries", len(entries["entries"]), 2)
    expect("own first", entries["entries"][0]["address"], fleet.vms["vm1"]["caller"])


def check_refused(fleet):
    good = {"model": "m", "prompt": "x"}
    path = "/v1/completions"
    expect("no key", refusal(fleet, path, good, key=None), (401, "unauthorized", "not_run"))
    expect("bad json", refusal(fleet, path, b"{"), (400, "bad_request", "not_run"))
    expect("no model", refusal(fleet, path, {"model": "q", "prompt": "x"}),
           (404, "unknown_model", "not_run"))
    expect("no service", refusal(fleet, "/v1/services/none/x", {}),
           (404, "unknown_model", "not_run"))
    expect("no path", refusal(fleet, "/v1/nothing", {}), (404, "not_found", "not_run"))
    expect("no tier", refusal(fleet, path, good, headers={"Comet-Tier": "best"}),
           (400, "bad_request", "not_run"))
    expect("bad deadline", refusal(fleet, path, good, headers={"Comet-Deadline-Ms": "-1"}),
           (400, "bad_request", "not_run"))
    expect("once without key", refusal(fleet, path, good, headers={"Comet-Once": "1"}),
           (400, "bad_request", "not_run"))
    expect("large", refusal(fleet, path, b" " * 300000), (413, "too_large", "not_run"))
    expect("hopeless deadline",
           refusal(fleet, path, {"model": "m", "prompt": "x" * 9000, "max_tokens": 5000},
                   headers={"Comet-Deadline-Ms": "20"}), (504, "deadline_exceeded", "not_run"))


def raw(fleet, text, wait=True):
    """Sends raw bytes and returns the status line of the response, or ""."""
    host, port = fleet.vms["vm1"]["caller"][len("http://"):].split(":")
    with socket.create_connection((host, int(port)), timeout=10) as connection:
        connection.sendall(text)
        if not wait:
            return ""
        try:
            return connection.recv(4096).decode(errors="replace").split("\r\n")[0]
        except ConnectionError:
            return ""


def check_malformed_requests(fleet):
    """Truncated, oversized and malformed requests do not affect other callers."""
    head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n"
    raw(fleet, (head + "{").encode(), wait=False)  # closes the connection in the middle of the body
    flood = "GET /healthz HTTP/1.1\r\n" + "".join(
        f"X-{i}: {'y' * 200}\r\n" for i in range(500)) + "\r\n"
    status = raw(fleet, flood.encode())
    if status and " 200 " in status:
        raise SystemExit(f"header flood answered by {status}")
    raw(fleet, b"\x00\xff garbage\r\n\r\n", wait=False)
    slow = [socket.create_connection(
        (fleet.host, int(fleet.vms["vm1"]["caller"].rsplit(":", 1)[1]))) for _ in range(50)]
    for one in slow:
        one.sendall(head.encode())  # the body is never sent
    expect("alive", F.fetch(fleet.vms["vm1"]["caller"] + "/healthz"), b"ok\n")
    check_served(fleet)
    for one in slow:
        one.close()


def main():
    fleet = F.Fleet(vms=2, settings={"max_body_bytes": 200000, "traffic_threads": 2})
    try:
        fleet.start_engines(F.make_engines(4, 1),
                            [{"name": "tile1", "serves": "tiles", "zone": "z1", "delay_ms": 2}])
        fleet.publish(F.make_bundle(fleet, ["a", "b"]))
        fleet.publish_vms()
        fleet.start_platform()
        fleet.start_vms()
        fleet.wait_ready()
        check_served(fleet)
        check_refused(fleet)
        check_malformed_requests(fleet)
        for name in list(fleet.vms):
            expect("exit of " + name, fleet.end(name, F.signal.SIGTERM), 0)
        for vm, line in fleet.logs():
            if "Sanitizer" in line or "runtime error" in line or "event=violation" in line:
                raise SystemExit(f"{vm}: {line}")
    finally:
        fleet.close()


if __name__ == "__main__":
    main()
