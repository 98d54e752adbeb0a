"""Starts a whole fleet on loopback for the demo, the benchmarks and the soak.

Everything lives in one temporary folder and every process started here is
ended here, by its id. Nothing in this file decides anything the product does.
"""
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.environ.get("COMET_BUILD", os.path.join(ROOT, "build"))
DAEMON = os.path.join(BUILD, "cli", "cometspindled")
CTL = os.path.join(BUILD, "cli", "spindlectl")
STANDIN = os.path.join(BUILD, "tests", "standin")
LOAD = os.path.join(BUILD, "tests", "load")

_reservations = []  # sockets that keep the ports of free_port()
_fleets = itertools.count(1)


def own_host():
    """A loopback address for one fleet alone, so that fleets side by side never share a port."""
    pid = os.getpid()
    return f"127.{1 + pid // 250 % 250}.{pid % 250}.{next(_fleets) % 250 + 1}"


def free_port(host):
    """A port that the kernel chose, reserved until this process ends: a port of a closed socket was given to a test's
    own server before the daemon could listen on it. Listeners share the reserved port because they set SO_REUSEADDR."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, 0))
    _reservations.append(sock)
    return sock.getsockname()[1]


def fetch(url, timeout=2):
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    with opener.open(url, timeout=timeout) as answer:
        return answer.read()


def write(path, text):
    with open(path + ".new", "w") as out:
        out.write(text)
    os.rename(path + ".new", path)


class Fleet:
    """Platform, engines, services and daemons, with files to steer them by."""

    def __init__(self, vms=3, zones=3, policy="comet", engine_processes=1, report_lag_ms=800,
                 settings=None):
        self.host = own_host()
        self.dir = tempfile.mkdtemp(prefix="comet-")
        self.procs = {}
        self.vms = {}
        self.engines = []
        self.services = []
        self.zones = zones
        self.policy = policy
        self.engine_processes = engine_processes
        self.report_lag_ms = report_lag_ms
        self.extra_settings = settings or {}
        self.version = 0
        self.bundle = None
        self.keys = {}
        self.old_logs = []
        self.made = 0
        self._run_keys()
        self.platform_port = free_port(self.host)
        for _ in range(vms):
            self.add_vm()

    # --- files ---

    def path(self, name):
        return os.path.join(self.dir, name)

    def _run_keys(self):
        subprocess.run([CTL, "key", "bundle", self.path("secret"), self.path("public")], check=True)
        subprocess.run([CTL, "key", "peer", self.path("peer")], check=True)

    def team_key(self, team):
        """The bearer key of a team, and its hash for the bundle."""
        if team not in self.keys:
            key = f"key-{team}-{random.Random(team).random()}"
            write(self.path("key"), key)
            hashed = subprocess.run([CTL, "key", "hash", self.path("key")], check=True,
                                    capture_output=True, text=True).stdout.strip()
            self.keys[team] = (key, hashed)
        return self.keys[team]

    def publish(self, bundle=None):
        """Signs and publishes the bundle as a new version."""
        self.bundle = bundle or self.bundle
        self.version += 1
        self.bundle["version"] = self.version
        write(self.path("bundle.json"), json.dumps(self.bundle))
        subprocess.run([CTL, "bundle", "sign", self.path("bundle.json"), self.path("secret"),
                        self.path("bundle.tmp")], check=True, stdout=subprocess.DEVNULL)
        os.rename(self.path("bundle.tmp"), self.path("bundle.signed"))

    def publish_vms(self):
        listed = [{k: vm[k] for k in ("name", "zone", "peer", "caller", "leaving")}
                  for vm in self.vms.values() if vm["listed"]]
        write(self.path("vms.json"), json.dumps({"vms": listed}))

    def platform_mode(self, mode):
        write(self.path("platform.mode"), mode)

    def slow(self, factors):
        write(self.path("engines.control"), json.dumps(factors))

    def cut(self, name, others):
        write(self.path(name + ".cut"), "\n".join(others))

    # --- processes ---

    def spawn(self, name, argv):
        log = open(self.path(name + ".log"), "ab")
        env = dict(os.environ, COMET_ABORT_ON_VIOLATION="1")
        self.procs[name] = subprocess.Popen(argv, stdout=log, stderr=log, env=env)
        log.close()

    def start_platform(self):
        write(self.path("platform.json"), json.dumps({
            "address": self.host, "port": self.platform_port, "bundle_file": self.path("bundle.signed"),
            "vms_file": self.path("vms.json"), "control_file": self.path("platform.mode")}))
        self.spawn("platform", [STANDIN, "platform", self.path("platform.json")])

    def start_engines(self, engines, services):
        """engines: dicts with name, step_us, prefill_us, batch, kv_tokens."""
        self.engines = engines
        self.services = services
        groups = [engines[i::self.engine_processes] for i in range(self.engine_processes)]
        self.slow({})
        for index, group in enumerate(groups):
            for engine in group:
                engine["address"] = self.host
                engine["port"] = free_port(self.host)
                engine["group"] = f"engines{index}"
            config = {"engines": group, "runs_file": self.path("runs"),
                      "report_lag_ms": self.report_lag_ms,
                      "control_file": self.path("engines.control")}
            write(self.path(f"engines{index}.json"), json.dumps(config))
            self.start_engine_group(index)
        for service in services:
            service["address"] = self.host
            service["port"] = free_port(self.host)
        write(self.path("services.json"),
              json.dumps({"services": services, "runs_file": self.path("runs")}))
        if services:
            self.spawn("services", [STANDIN, "service", self.path("services.json")])

    def start_engine_group(self, index):
        self.spawn(f"engines{index}",
                   [STANDIN, "engine", self.path(f"engines{index}.json")])

    def add_vm(self):
        self.made += 1
        name = f"vm{self.made}"
        caller_port, peer_port = free_port(self.host), free_port(self.host)
        zone = f"z{(self.made - 1) % self.zones + 1}"
        self.vms[name] = {
            "name": name, "zone": zone, "peer": f"tcp://{self.host}:{peer_port}",
            "caller": f"http://{self.host}:{caller_port}", "leaving": False, "listed": True}
        settings = {
            "name": name, "zone": zone, "listen_address": self.host,
            "listen_port": caller_port, "peer_endpoint": f"tcp://{self.host}:{peer_port}",
            "platform_url": f"http://{self.host}:{self.platform_port}",
            "peer_key_file": self.path("peer"), "bundle_key_file": self.path("public"),
            "policy": self.policy, "test_cut_file": self.path(name + ".cut")}
        settings.update(self.extra_settings)
        write(self.path(name + ".json"), json.dumps(settings))
        return name

    def start_vm(self, name):
        self.spawn(name, [DAEMON, "--settings", self.path(name + ".json")])

    def start_vms(self):
        self.publish_vms()
        for name in self.vms:
            self.start_vm(name)

    def ready(self, name):
        try:
            return fetch(self.vms[name]["caller"] + "/readyz", 1) == b"ready\n"
        except OSError:
            return False

    def wait_ready(self, names=None, seconds=30):
        end = time.monotonic() + seconds
        for name in names or list(self.vms):
            while not self.ready(name):
                if time.monotonic() > end:
                    raise RuntimeError(f"{name} not ready: " + self.tail(name))
                time.sleep(0.05)

    def tail(self, name, lines=5):
        with open(self.path(name + ".log"), errors="replace") as log:
            return "".join(log.readlines()[-lines:])

    def status(self, name):
        return json.loads(fetch(self.vms[name]["caller"] + "/status"))

    def metrics(self, name):
        out = {}
        for line in fetch(self.vms[name]["caller"] + "/metrics").decode().splitlines():
            if not line.startswith("#"):
                key, value = line.rsplit(" ", 1)
                out[key] = float(value)
        return out

    def engine_stats(self):
        """Stats of the first engine process (they are kept per process)."""
        return json.loads(fetch(f"http://{self.host}:{self.engines[0]['port']}/stats"))

    def entries(self):
        return [vm["caller"] for name, vm in self.vms.items()
                if name in self.procs and self.procs[name].poll() is None]

    def start_load(self, config, name="load"):
        config.setdefault("entries", self.entries())
        write(self.path(name + ".json"), json.dumps(config))
        return subprocess.Popen([LOAD, self.path(name + ".json")], stdout=subprocess.PIPE,
                                stderr=subprocess.DEVNULL)

    def run_load(self, config, name="load"):
        proc = self.start_load(config, name)
        out, _ = proc.communicate()
        return json.loads(out)

    def end(self, name, kind=signal.SIGKILL):
        proc = self.procs.pop(name, None)
        if proc is None:
            return None
        if proc.poll() is None:
            proc.send_signal(signal.SIGCONT)
            proc.send_signal(kind)
        return proc.wait()

    def logs(self):
        """All lines of all daemons."""
        for entry in sorted(os.listdir(self.dir)):
            if entry.startswith("vm") and entry.endswith(".log"):
                with open(self.path(entry), errors="replace") as log:
                    for line in log:
                        yield entry[:-4], line

    def runs(self):
        """Two maps by request id: how often a stand-in ran it, and which did."""
        counts, places = {}, {}
        try:
            with open(self.path("runs")) as runs:
                for line in runs:
                    key, place = line.split()
                    counts[key] = counts.get(key, 0) + 1
                    places[key] = place
        except FileNotFoundError:
            pass
        return counts, places

    def close(self, keep=False):
        for name in list(self.procs):
            self.end(name)
        if not keep:
            shutil.rmtree(self.dir, ignore_errors=True)


TIERS = [
    {"name": "urgent", "deadline_ms": 3000, "share_percent": 100},
    {"name": "prompt", "deadline_ms": 6000, "share_percent": 95},
    {"name": "normal", "deadline_ms": 12000, "share_percent": 90},
    {"name": "patient", "deadline_ms": 30000, "share_percent": 80},
]


def make_bundle(fleet, teams, models=("m",), limits=None, quotas=None, weights=None):
    """A bundle for the engines and services that the fleet started."""
    names = [tier["name"] for tier in TIERS]
    quotas = quotas or {}
    weights = weights or {}
    team_list = []
    for team in teams:
        entry = {"name": team, "key_hash": fleet.team_key(team)[1], "tiers": names,
                 "weight": weights.get(team, 1)}
        if team in quotas:
            entry["quota"] = quotas[team]
        team_list.append(entry)
    endpoints = [{"name": e["name"], "url": f"http://{fleet.host}:{e['port']}", "zone": e["zone"],
                  "serves": e.get("serves", list(models)), "batch": e["batch"],
                  "kv_tokens": e["kv_tokens"]} for e in fleet.engines]
    services = sorted({s["serves"] for s in fleet.services})
    endpoints += [{"name": s["name"], "url": f"http://{fleet.host}:{s['port']}", "zone": s["zone"],
                   "serves": [s["serves"]], "batch": 64} for s in fleet.services]
    return {"version": 0, "tiers": TIERS, "teams": team_list,
            "models": [{"name": m} for m in models],
            "services": [{"name": s} for s in services], "endpoints": endpoints,
            "limits": dict({"entries_valid_s": 2}, **(limits or {}))}


def make_engines(count, seed, zones=3, step_us=(4000, 20000), batch=(4, 8), prefill_part=200):
    """Unlike engines: a fast and a slow generation, drawn from a seed."""
    draw = random.Random(seed)
    engines = []
    for i in range(count):
        step = draw.randint(*step_us)
        engines.append({"name": f"e{i + 1}", "zone": f"z{i % zones + 1}", "step_us": step,
                        "prefill_us": max(20, step // prefill_part), "batch": draw.randint(*batch),
                        "kv_tokens": draw.choice([8192, 16384, 32768]), "queue": 64})
    return engines
