"""deployment_2.py: a small deployment on loopback for the scripts of this review: VMs, store and servers

The VMs are processes of the command of deploy/system.toml, with the settings that deploy/settings.json.in gives for the
bounds and limits of the smallest sheet. Store and servers are the project's own stand-ins of tests/system.
"""
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests", "system"))
from platform_standin import Reader, Server, Store, free_ports, wait_for  # noqa: E402,F401

HOST = "h.example"
KEY = "k1"
CONTACT_S = 3.0  # contact_ms of the sheet: a machine is in touch after so long without a disruption


def route(name, kind, **more):
    return {"name": name, "hostname": HOST, "path_prefix": f"/{name}/", "type": kind, "timeout_ms": 15000,
            "target_latency_ms": 2000, "priority": 1, "service": "svc", "max_attempts": 1, **more}


def document(version, routes):
    return {"version": version, "routes": routes, "services": [{"name": "svc", "health_path": "/healthz"}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": [{"name": "team", "api_keys": [KEY], "unit": "token_stream", "plain_tokens": 200,
                         "rate_per_s": 1000000, "burst": 1000000}]}


class Vm:
    def __init__(self, number, address, ports, seeds, store_port, folder):
        self.address = address
        self.ports = ports
        at = {name: f"{address}:{port}" for name, port in ports.items()}
        settings = {"name": f"edge-{number}", "zone": "z", "zone_regions": {"z": "r"}, **at, "seeds": seeds,
                    "directory": f"127.0.0.1:{store_port}", "grace_s": 8, "settled_ms": 3000, "team_window_s": 8,
                    "team_overage": 0.25, "team_slack": 72000, "retry_window_s": 10, "retry_ratio": 0.2,
                    "retry_slack": 58, "cpu_share": 0.25, "memory_mb": 110, "link_mbps": 1000, "log_level": "info"}
        self.settings_path = os.path.join(folder, f"edge-{number}.json")
        with open(self.settings_path, "w") as file:
            json.dump({"gateway": settings}, file)
        self.log_path = os.path.join(folder, f"edge-{number}.log")
        self.start()

    def start(self):
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                ["target/cli/cometspindled", "--settings", self.settings_path], cwd=ROOT, stdout=log, stderr=log)

    def ready(self):
        try:
            with socket.create_connection((self.address, self.ports["readiness"]), 1) as sock:
                sock.settimeout(1)
                sock.sendall(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def log(self):
        with open(self.log_path, errors="replace") as file:
            return file.read()


class Deployment:
    def __init__(self, routes, vms=3, servers=3, slots=6):
        self.folder = tempfile.TemporaryDirectory()
        self.store = Store()
        self.store.put("op/config", document(1, routes))
        self.servers = [Server(self.store, f"i-{n}", "svc", slots=slots) for n in range(servers)]
        net = f"127.{1 + os.getpid() % 250}.{1 + os.getpid() // 250 % 250}."
        ports = free_ports(net + "1")
        seeds = ",".join(f"{net}{n + 1}:{ports['control']}" for n in range(min(vms, 3)))
        self.vms = []
        try:
            for n in range(vms):
                self.vms.append(Vm(n, f"{net}{n + 1}", ports, seeds, self.store.port, self.folder.name))
            for vm in self.vms:
                wait_for(vm.ready, 20)
        except BaseException:
            self.end()
            raise

    def end(self):
        for vm in self.vms:
            if vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
            vm.process.wait()
        self.folder.cleanup()


_numbers = itertools.count(1)  # next() is atomic: several threads may send


def request(path, method="GET", body=b"", deadline_ms=15000, headers=()):
    """Returns (id, bytes) of a request with a key."""
    ident = f"{os.getpid():08x}{next(_numbers):08x}"
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Cometspindle-Request-Id: {ident}",
             f"X-Cometspindle-Deadline-Ms: {deadline_ms}", f"Authorization: Token {KEY}", *headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ident, ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def read_answer(reader):
    """Returns (status, headers, body, whether the answer is complete); status 0: no head arrived."""
    line, headers = reader.head()
    if line is None:
        return 0, {}, b"", False
    body, whole = reader.body(headers)
    return int(line.split()[1]), headers, body, whole


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            line = f"{time.monotonic() - self.began:8.3f} s  {text}"
            self.file.write(line + "\n")
            self.file.flush()
            print(line, flush=True)
