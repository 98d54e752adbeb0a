"""gateway_world.py: starts a gateway process against the platform stand-in; shared by the system tests"""
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import traceback

from platform_standin import Reader, Server, Store, free_ports, wait_for

BUILD = os.environ.get("COMET_BUILD", "build")
HOST = "h.example"


# A loopback address that only this process uses, so that no other process takes a port that the kernel has assigned.
ADDRESS = f"127.{1 + os.getpid() % 250}.{1 + os.getpid() // 250 % 250}.1"
OTHER_ADDRESS = ADDRESS[:-1] + "2"


class Gateway:
    started = []

    def __init__(self, store, log=None, address=ADDRESS, ports=None, env=None, **settings):
        self.ports = ports or free_ports(address)
        self.address = address
        values = {name: f"{address}:{port}" for name, port in self.ports.items()}
        values.update(name="vm", zone="z", seeds="", directory=f"127.0.0.1:{store.port}",
                      leave_ms=200)
        values.update(settings)
        self.file = tempfile.NamedTemporaryFile("w", suffix=".json")
        json.dump({"gateway": values}, self.file)
        self.file.flush()
        self.log = tempfile.TemporaryFile()
        self.process = subprocess.Popen(
            [f"{BUILD}/cli/cometspindled", "--settings", self.file.name], stdout=log or self.log,
            stderr=self.log, env=env)
        Gateway.started.append(self)

    def ready(self):
        try:
            return get(self.ports["readiness"], "/readyz", self.address)[0] == 200
        except OSError:
            return False

    def log_text(self):
        """Returns the log so far. Reads by offset, because the gateway process writes at the shared file position."""
        length = os.fstat(self.log.fileno()).st_size
        return os.pread(self.log.fileno(), length, 0)

    def tell(self):
        """Prints the exit code and the end of the log after a failed test, and kills the process."""
        self.log.seek(0)
        print(f"gateway {self.ports} exit code {self.process.poll()}, its log:\n" +
              self.log.read().decode(errors="replace")[-3000:])
        if self.process.poll() is None:
            self.process.kill()

    def stop(self):
        self.process.send_signal(signal.SIGTERM)

    def end(self, stopping=False):
        """Stops the process and checks its exit code and log. Sends only one signal, because the process may no longer
        handle a second one. stopping: the signal has been sent already."""
        if self.process.poll() is None and not stopping:
            self.stop()
        code = self.process.wait(30)
        self.log.seek(0)
        text = self.log.read().decode()
        assert code == 0, text[-3000:]
        assert "Sanitizer" not in text and "runtime error" not in text, text[-3000:]
        return text


def connect(port, address=ADDRESS):
    sock = socket.create_connection((address, port))
    sock.settimeout(20)
    return sock


def get(port, path, address=ADDRESS):
    sock = connect(port, address)
    sock.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    return answer_of(sock)


def answer_of(sock):
    """Reads a response and returns (status, headers, body, whole). whole is False if the response is incomplete."""
    reader = Reader(sock)
    line, headers = reader.head()
    if line is None:
        return 0, {}, b"", False
    body, whole = reader.body(headers)
    return int(line.split()[1]), headers, body, whole


counter = [0]


def request(path, method="GET", body=b"", key="k1", deadline_ms=5000, **headers):
    counter[0] += 1
    ident = f"{counter[0]:016x}"
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Cometspindle-Request-Id: {ident}",
             f"X-Cometspindle-Deadline-Ms: {deadline_ms}"]
    if key:
        lines.append(f"Authorization: Token {key}")
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ident, ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def call(gateway, path, **more):
    ident, data = request(path, **more)
    sock = connect(gateway.ports["callers"])
    sock.sendall(data)
    answer = answer_of(sock)
    sock.close()
    return (ident,) + answer


def route(name, kind, attempts, **more):
    return dict(name=name, hostname=HOST, path_prefix=f"/{name}/", type=kind, timeout_ms=5000,
                target_latency_ms=400, priority=1, service="svc", max_attempts=attempts, **more)


def document(version, keys=("k1", "k2")):
    return {"version": version, "routes": [
        route("safe", "safe", 2), route("once", "unsafe", 1), route("open", "safe", 1, public=True),
        route("sse", "streaming", 1), route("again", "streaming", 2, resumable=True)],
        "services": [{"name": "svc", "health_path": "/healthz"}],
        "limits": {"max_header_bytes": 2000, "max_body_bytes": 5000, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": [{"name": "team", "api_keys": list(keys), "unit": "token_stream",
                     "plain_tokens": 10, "rate_per_s": 1000000, "burst": 1000000}]}


class World:
    def __init__(self, servers=2, **settings):
        self.store = Store()
        self.store.put("op/config", document(1))
        self.servers = [Server(self.store, f"i-{n}", "svc") for n in range(servers)]
        self.gateway = Gateway(self.store, **settings)
        wait_for(self.gateway.ready)

    def runs(self, ident):
        return sum(run[0] == ident for server in self.servers for run in server.runs)

    def script(self, name, function):
        for server in self.servers:
            server.scripts[name] = function


def varint(value):
    out = b""
    while value > 0x7F:
        out += bytes([value & 0x7F | 0x80])
        value >>= 7
    return out + bytes([value])


def view(address, incarnation, number, revision):
    """Encodes a gossip datagram of a VM about itself, as defined in proto/view.proto."""
    body = struct.pack("<BQ", 1 << 3 | 1, incarnation)
    body += bytes([2 << 3]) + varint(number)
    body += struct.pack("<BI", 3 << 3 | 5, address)
    body += bytes([5 << 3]) + varint(revision)
    return bytes([1 << 3 | 2]) + varint(len(body)) + body


class OtherVms:
    """Simulates other VMs by their gossip alone. The gossip is sent to a gateway repeatedly and reports the revision
    up to which each VM has read the directory."""

    def __init__(self, gateway, count):
        self.gateway = gateway
        self.count = count
        self.revision = 0
        self.rounds = 0
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.over = threading.Event()
        threading.Thread(target=self.send_gossip, daemon=True).start()

    def send_gossip(self):
        while not self.over.wait(0.05):
            self.rounds += 1
            for number in range(1, self.count + 1):
                # addresses from 127.200.0.0 on, where no process listens
                data = view(0x7FC80000 + number, number, self.rounds, self.revision)
                self.sock.sendto(data, (self.gateway.address, self.gateway.ports["peers"]))


def get_or_empty(gateway, port, path="/"):
    try:
        return get(gateway.ports[port], path)[2]
    except OSError:
        return b""


def run_tests(with_world, alone):
    """Runs the tests named on the command line, or all of them. Exits with 1 if any test failed.

    Tests in with_world are called with a new World; tests in alone create what they need."""
    only = sys.argv[1:]
    failed = False
    for test in with_world + alone:
        if only and test.__name__ not in only:
            continue
        try:
            if test in alone:
                test()
            else:
                world = World()
                test(world)
                world.gateway.end()
        except Exception:
            failed = True
            traceback.print_exc(file=sys.stdout)
            for gateway in Gateway.started:
                gateway.tell()
            print("FAILED", test.__name__, flush=True)
        else:
            print("OK", test.__name__, flush=True)
        Gateway.started.clear()
    sys.exit(1 if failed else 0)
