"""soak_gateway.py: gateways as real processes under load while faults are drawn from a seed

Faults come from outside the processes only: a loopback proxy before the store and each server delays,
resets, cuts one way or silences connections; processes are stopped, paused, killed and started by
signals; documents change, servers drain, leave and start again under their ids, and others write to
their entries. Servers break off, stop, refuse and fail in the middle of what they write (soak_servers.py).
Promises are checked from what callers and servers see: every answer, also one that broke off, byte for byte
(soak_pieces.py). The last line is one JSON object; exit 1 if a promise was broken.
"""
import argparse
import collections
import json
import os
import random
import re
import selectors
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tests", "system"))
from cut_links import KINDS as CUT_KINDS, CutLinks  # noqa: E402
from narrow_link import narrow, words  # noqa: E402
from platform_standin import Reader, Store, free_ports, listen, wait_for  # noqa: E402
from suspended_clock import SuspendedClock  # noqa: E402
from soak_pieces import EVENTS, check_body, check_log_budget, check_stream  # noqa: E402
from soak_servers import SLOW_FACTOR, PieceServer, Speed  # noqa: E402

BUILD = os.environ.get("COMET_BUILD", "build")
HOST = "h.example"
PROCESS_FAULTS = {"kill", "stop", "pause", "hup", "suspend"}
SIZES = {"few": (3, 4, 6), "dozens": (6, 8, 16), "hundreds": (24, 16, 64)}  # VMs, servers, callers
FIRST_FAULTS = ["kill", "pause", "stop", "hup", "store_silent", "store_reset", "store_down",
                "server_delay", "server_reset", "server_one_way", "server_silent", "document", "drain"]
# what a seed draws depends on the list it draws from: seeds that are kept name theirs
ALL_FAULTS = FIRST_FAULTS + ["reborn", "foreign", "late_life"]
ANSWER_FAULTS = ["answer_stop", "answer_end", "answer_reset", "answer_refuse", "answer_error", "answer_bare"]
FAULTS = {"first": FIRST_FAULTS, "all": ALL_FAULTS, "every": ALL_FAULTS + ANSWER_FAULTS + ["answer_unnamed"],
          "answers": ANSWER_FAULTS * 3 + ["answer_unnamed", "kill", "stop", "server_reset", "server_silent",
                                          "drain", "reborn"],
          "crashes": ALL_FAULTS + ANSWER_FAULTS + ["crash"] * 6,
          "eras": ALL_FAULTS + ["store_back"] * 5 + ["suspend"] * 5 + ["crash"],
          "conditions": ALL_FAULTS + ANSWER_FAULTS * 3 + ["kill"] * 4 + ["versions"] + ["leave"] * 5 + ["rest"] * 5,
          "links": ALL_FAULTS + ANSWER_FAULTS + ["cut"] * 8 + ["limit"] * 3 + ["brittle"] * 2,
          "evacuations": ALL_FAULTS + ANSWER_FAULTS + ["evacuate"] * 6,
          "uneven": ALL_FAULTS + ANSWER_FAULTS + ["hints"] * 6,
          "shared": ALL_FAULTS + ANSWER_FAULTS + ["crash"] + ["part"] * 6 + ["crowd"] * 3 +
                    ["answer_hush", "answer_unframed", "answer_endless"] * 3,
          "bulk": ALL_FAULTS + ["document_large"] * 8 + ["document", "drain", "kill", "stop"] * 2}
BULK_VMS_MIN = 9  # of one zone, in which some read for the others
BULK_ROUTES_MAX = 4000
UNEVEN_CALLERS = 4  # factor on the number of callers, so that some are refused
UNEVEN_DEADLINES_MS = [400, 1000, 4000]
LARGE_PART, LARGE_SIZE = 0.1, 20  # share of large requests; their size, that of a usual one being 1
TOKENS_PER_SIZE = 50
# One of so many requests pauses inside, at a place that moves on by this many bytes from one to the next.
PAUSES, PAUSE_STEP, PAUSE_S, PAUSED_DEADLINE_MS = 16, 37, 0.25, 4000
STATED_LIMITS = {"link_mbps": 1000, "memory_mb": 256}  # settings that the deploy template gives, on half of the VMs
ABSURD_HINTS = [10 ** 12, 10 ** 6 + 1, -1, "x"]
LIMITS = ["0.5", "2", "8", "many"]  # that servers advertise; the last one is malformed
CRASHES_MAX = 3  # of one request, and so many sendings more once all must know of them
KNOWN_AFTER_S = 3
PART_CRASHES = 5  # servers that end under one part, after which CRASHES_MAX more requests with it may be sent
PART_S = 8  # for which requests with such a part come
COMMON_PARTS = "a1:60,50d4:60"  # of the prompts of all requests
PART_REFUSED = re.compile(r"event=refused request=(\S+) status=\d+ reason=part_crashes_endpoints")
CROWD_PART = 0.8  # of the new connections, which go to one VM
HELD_BACK_S = 3  # longer than any fault holds back what was sent before
TAKEN_UP_MAX = 3  # times that a caller goes on with a stream that broke off
VERSIONED = re.compile(rb"data: [0-9a-f]{16} \d+ (\S+)\.\d+ ")  # the server of an event
Outcome = collections.namedtuple("Outcome", "status whole last_id ident versions retry_after_s")
Load = collections.namedtuple("Load", "deadline_ms headers body")  # body None: the id of the request
Part = collections.namedtuple("Part", "ident how sent ended")  # when requests reached servers and when these ended
LEFT_OUT = re.compile(r"event=lines_left_out .*output_hint_ignored=(\d+)")
FOREIGN = ["", "{", "[]", "null", "\x00", '{"service":"svc"}', '{"service":5,"state":"ready"}']


class Proxy:
    """Passes connections on; mode: pass, delay, reset, one_way (answers are lost), silent."""

    def __init__(self, port):
        self.target = port
        self.mode = "pass"
        self.sock = listen()
        self.port = self.sock.getsockname()[1]
        self.links = set()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            near, _ = self.sock.accept()
            if self.mode == "reset":
                near.close()
                continue
            try:
                far = socket.create_connection(("127.0.0.1", self.target))
            except OSError:
                near.close()
                continue
            threading.Thread(target=self.run, args=(near, far), daemon=True).start()

    def run(self, near, far):
        self.links.add((near, far))
        for sock in (near, far):  # pieces stay apart
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        chooser = selectors.DefaultSelector()
        chooser.register(near, selectors.EVENT_READ, far)
        chooser.register(far, selectors.EVENT_READ, near)
        try:
            while self.mode != "reset":
                for key, _ in chooser.select(0.05):
                    if self.mode == "silent" or (self.mode == "one_way" and key.fileobj is far):
                        time.sleep(0.02)  # bytes stay where they are
                        continue
                    try:
                        data = key.fileobj.recv(65536)
                    except ConnectionResetError:  # passed on as what it is, not as an end in order
                        key.data.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                        return
                    if not data:
                        return
                    if self.mode == "delay":
                        time.sleep(0.15)
                    key.data.sendall(data)
        except OSError:
            pass
        finally:
            chooser.close()
            near.close()
            far.close()
            self.links.discard((near, far))


class Vm:
    """One gateway process on a loopback address of its own; started again when it ends."""

    def __init__(self, number, ports, seeds, store, zone, env=None, clock=None, **more):
        # addresses of this process alone; the port of each use is the same on all VMs
        self.ip = address_of(number)
        values = {name: f"{self.ip}:{port}" for name, port in ports.items()}
        values.update(name=f"vm-{number}", zone=zone, seeds=seeds, leave_ms=300,
                      directory=f"127.0.0.1:{store}", grace_s=3, log_lines_per_s=0, **more)
        self.callers = ports["callers"]
        self.control = ports["control"]
        self.file = tempfile.NamedTemporaryFile("w", suffix=".json")
        json.dump({"gateway": values}, self.file)
        self.file.flush()
        self.log = tempfile.TemporaryFile()
        self.clock = clock
        self.env = clock.environment() if clock else env
        self.bad_exits = []
        self.epoch = 0  # counts restarts and pauses
        self.start()

    def start(self):
        self.process = subprocess.Popen(
            [f"{BUILD}/cli/cometspindled", "--settings", self.file.name], stdout=self.log,
            stderr=self.log, env=self.env)

    def suspend(self, seconds):
        """It was suspended for so long, though hardly any time has passed."""
        self.send(signal.SIGSTOP)
        self.clock.add(seconds)
        time.sleep(0.05)
        self.send(signal.SIGCONT)

    def send(self, number):
        self.epoch += number != signal.SIGHUP
        if self.process.poll() is None:
            self.process.send_signal(number)

    def again(self, wanted):
        """Waits for the end of the process, which was asked for, and starts it anew."""
        code = self.process.wait(20)
        # a signal that comes while the loader still runs ends a process that has done nothing yet
        unborn = code == -signal.SIGTERM and f"pid={self.process.pid} " not in self.log_text()
        if code != wanted and not unborn:
            self.bad_exits.append(code)
        self.start()

    def log_text(self):
        self.log.seek(0)
        return self.log.read().decode(errors="replace")

    def metrics(self):
        """The page of its metrics; empty: it does not answer."""
        try:
            with socket.create_connection((self.ip, self.control), 2) as sock:
                sock.settimeout(2)
                sock.sendall(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
                reader = Reader(sock)
                _, headers = reader.head()
                return reader.body(headers or {})[0]
        except OSError:
            return b""

    def routes_version(self):
        """Of the document in force; 0: none, or it does not answer."""
        text = self.metrics().decode()
        found = [line.split()[1] for line in text.splitlines() if line.startswith("comet_routes_version ")]
        return int(float(found[0])) if found else 0


def address_of(number):
    return f"127.{1 + os.getpid() % 250}.{1 + os.getpid() // 250 % 250}.{1 + number}"


class CallerReader(Reader):
    """A caller's reader: what had come before a reset or silence counts as well."""

    def more(self):
        try:
            return super().more()
        except OSError:
            return False


def document(version, keys, attempts):
    def route(name, kind, attempts, **more):
        return dict(name=name, hostname=HOST, path_prefix=f"/{name}/", type=kind, timeout_ms=4000,
                    target_latency_ms=400, priority=len(name) % 3, service="svc",
                    max_attempts=attempts, **more)
    return {"version": version, "routes": [
        route("safe", "safe", 2), route("once", "unsafe", 1),
        route("again", "streaming", attempts, resumable=True), route("sse", "streaming", 1)],
        "services": [{"name": "svc"}], "limits": {"idle_timeout_ms": 5000},
        "tenants": [{"name": "team", "api_keys": keys, "unit": "token_stream", "plain_tokens": 10,
                     "rate_per_s": 10000000, "burst": 10000000}]}


class Soak:
    def __init__(self, seed, seconds, scale, kinds):
        self.seed = seed
        self.draw = random.Random(seed)
        self.seconds = seconds
        self.kinds = FAULTS[kinds]
        self.with_answers = "answer_stop" in self.kinds
        self.attempts = 3 if self.with_answers else 2  # of a stream that may be resumed
        self.vms_n, self.servers_n, self.callers_n = SIZES[scale]
        self.uneven = "hints" in self.kinds  # until the final checks, which send usual requests
        self.absurd_hints = 0  # number of present faults that put all hints out of bounds
        self.left_out = 0  # log lines about hints that the VMs left out, because of their budget
        if self.uneven:
            self.callers_n *= UNEVEN_CALLERS
        self.bulk = kinds == "bulk"
        if self.bulk:
            self.vms_n = max(self.vms_n, BULK_VMS_MIN)
        self.counts = {"requests": 0, "resent": 0, "served": 0, "refused": 0, "failed": 0, "no_answer": 0,
                       "broke_off": 0, "taken_up": 0, "taken_up_whole": 0,
                       "parts_watched": 0}
        self.faults = {}
        self.pairs = set()
        self.active = {}
        self.faulty = set()  # VMs whose process is killed, stopped or paused just now
        self.broken = {"twice": [], "not_run_but_ran": [], "wrong_answer": [], "joined_piece": [],
                       "out_of_order": [], "looks_complete": [], "wrong_key_served": [],
                       "not_served_after": [], "bad_exit": [], "sanitizer": [],
                       "sent_on": [], "refused_for_good": [], "not_in_force": [], "sent_to_evacuated": [],
                       "mixed_versions": [], "sent_to_leaving": [], "sent_in_rest": [],
                       "over_log_budget": [], "part_sent_on": [], "parts_refused": [], "endless_read": []}
        self.evacuating = threading.Lock()  # one zone at a time
        self.leaving = threading.Lock()  # one server at a time
        self.crashed = {}  # body of a request that crashes servers -> names of those that ran it
        self.with_parts = "part" in self.kinds
        self.parts = {}
        self.with_bad_part = set()  # ids of requests
        self.sharing = threading.Lock()  # one part at a time
        self.crowded = []  # VMs that get most new connections just now
        self.out_of_touch = []  # [begin, end] of each time in which a VM was not running
        self.told_not_run = set()
        self.once = set()
        self.lock = threading.Lock()
        self.over = False
        self.version = 1
        self.serial = 0

    def build(self):
        self.store = Store()
        self.store_proxy = Proxy(self.store.port)
        self.keys = ["k1", "k2"]
        self.newest = document(self.version, self.keys, self.attempts)
        self.store.put("op/config", self.newest)
        self.servers = []
        self.proxies = []
        for number in range(self.servers_n):
            server = PieceServer(self.store, f"i-{number}", "svc", 2, self.seed)
            proxy = Proxy(server.port)
            server.publish(address=f"127.0.0.1:{proxy.port}", zone=f"z{number % 3}")
            if self.uneven:
                server.speed = Speed(self.seed, server.name, 1 if number % 3 else SLOW_FACTOR)
            if "versions" in self.kinds:
                server.publish(version=f"v{number % 2}")
            server.epoch_of = lambda vm: self.vms[int(vm)].epoch
            server.scripts["crash"] = self.crash_server
            server.scripts["part"] = self.part_server
            self.servers.append(server)
            self.proxies.append(proxy)
        ports = free_ports(address_of(0))
        seeds = ",".join(f"{address_of(n)}:{ports['control']}" for n in range(2))
        self.store.era = 1 if "store_back" in self.kinds else None
        self.links = [CutLinks(self.proxies) if "cut" in self.kinds else None for _ in range(self.vms_n)]
        # Each setting is on in half of the seeds.
        more = {"returning_callers": self.seed % 2 == 0, "prefer_own_zone": self.seed // 2 % 2 == 0} \
            if self.uneven else {}
        self.vms = [Vm(n, ports, seeds, self.store_proxy.port, "z0" if self.bulk else f"z{n % 3}",
                       narrow(BUILD) if self.bulk and n % 3 else
                       self.links[n].environment() if self.links[n] else None,
                       SuspendedClock(BUILD) if "suspend" in self.kinds else None,
                       **more, **(STATED_LIMITS if n % 2 else {}))
                    for n in range(self.vms_n)]
        wait_for(lambda: all(self.attempt(vm, "safe", "plain", "k1").status == 200 for vm in self.vms))

    def breach(self, kind, what):
        with self.lock:
            self.broken[kind].append(what)

    def attempt(self, vm, route, script, key, sock=None, last_id=0, stream=None, load=None):
        """One request, whose answer is checked; a status of 0: none."""
        with self.lock:
            self.serial += 1
            ident = f"{self.serial:016x}"
            self.counts["requests"] += 1
        load = load or Load(4000, "", None)
        body = (load.body or ident).encode()
        more = load.headers + f"X-Vm: {self.vms.index(vm)}\r\n"
        more += f"Last-Event-Id: {last_id}\r\n" if last_id else ""
        more += f"Resumes: {stream}\r\n" if stream else ""
        more += f"X-Cometspindle-Prefix-Hash: {COMMON_PARTS},{ident}:500\r\n" if self.with_parts else ""
        data = (f"POST /{route}/{script} HTTP/1.1\r\nHost: {HOST}\r\nX-Cometspindle-Request-Id: "
                f"{ident}\r\nX-Cometspindle-Deadline-Ms: {load.deadline_ms}\r\nAuthorization: Token {key}\r\n{more}"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        own = sock is None
        status, headers, answer, whole = 0, {}, b"", False
        try:
            if own:
                sock = socket.create_connection((vm.ip, vm.callers), 2)
                sock.settimeout(8)
            if self.serial % PAUSES == 0 and load.deadline_ms >= PAUSED_DEADLINE_MS:
                at = int(ident, 16) * PAUSE_STEP % len(data)  # in the head or in the body
                sock.sendall(data[:at])
                time.sleep(PAUSE_S)
                data = data[at:]
            sock.sendall(data)
            reader = CallerReader(sock)
            line, headers = reader.head()
            if line:
                status = int(line.split()[1])
                answer, whole = reader.body(headers)
                if whole and reader.data:
                    self.breach("wrong_answer", f"{ident}: more behind its answer: {reader.data[:80]!r}")
        except OSError:
            pass  # no answer
        finally:
            if own and sock is not None:
                sock.close()
        return self.check(ident, route, script, key, status, headers or {}, answer, whole, last_id)

    def check(self, ident, route, script, key, status, headers, answer, whole, last_id):
        with self.lock:
            outcome = ("served" if status == 200 and whole else "refused" if status in (429, 503)
                       else "no_answer" if status == 0 else "failed")
            self.counts[outcome] += 1
            self.counts["broke_off"] += status == 200 and not whole
            if route in ("once", "sse"):
                self.once.add(ident)
            if status in (408, 421, 429, 503):
                self.told_not_run.add(ident)
        if status == 0:
            return Outcome(0, False, last_id, ident, set(), 0)
        if status == 400:
            self.breach("refused_for_good", f"{ident} {route}/{script}")
        if status == 200 and key == "never":
            self.breach("wrong_key_served", ident)
        runs = [run for server in self.servers for run in server.made.get(ident, ())]
        stamp = headers.get("x-cometspindle-server-stamp")
        found = (None, "")
        if status != 200:
            errors = [run.error for run in runs if run.error and run.server == stamp]
            if stamp and status not in [error[0] for error in errors]:
                found = "wrong_answer", f"{answer[:80]!r}"
            elif stamp:
                found = check_body([error[1] for error in errors], answer, whole)
        elif headers.get("x-cometspindle-request-id") != ident or (whole and not stamp):
            found = "wrong_answer", f"head {headers}"
        elif script == "stream":
            *found, last_id = check_stream(runs, answer, whole, last_id + 1)
        else:
            good = [run for run in runs if run.error is None]
            bodies = {run: run.large() if script == "large" else run.plain() for run in good}
            found = check_body(list(bodies.values()), answer, whole,
                               [body for run, body in bodies.items() if run.may_end_early()])
        if found[0]:
            self.breach(found[0], f"{ident} {route}/{script} status={status} whole={whole} stamp={stamp}: {found[1]}; "
                        f"runs {[(run.name, run.first, run.did) for run in runs]}")
        versions = {self.version_of(name) for name in VERSIONED.findall(answer)} if script == "stream" else set()
        if len(versions) > 1:
            self.breach("mixed_versions", f"{ident}: {versions} within an answer")
        return Outcome(status, whole, last_id, ident, versions, float(headers.get("retry-after", 0)))

    def version_of(self, name):
        return self.servers[int(name.split(b"+")[0][2:])].entry["version"]

    def take_up(self, vm, key, outcome, draw):
        """Goes on with a stream that broke off, at other VMs and as other requests: the whole must come together."""
        stream, versions = outcome.ident, outcome.versions
        for _ in range(TAKEN_UP_MAX):
            if outcome.whole or not outcome.last_id or self.over:
                return
            vm = draw.choice([one for one in self.vms if one is not vm])
            with self.lock:
                self.counts["taken_up"] += 1
            outcome = self.attempt(vm, "again", "stream", key, last_id=outcome.last_id, stream=stream)
            versions |= outcome.versions
            if len(versions) > 1:
                self.breach("mixed_versions", f"{stream}: {versions} over its tries")
            outcome = outcome._replace(whole=outcome.whole and outcome.status == 200)
            with self.lock:
                self.counts["taken_up_whole"] += outcome.whole

    def draw_load(self, draw):
        """A usual or a large request, with a hint of its size that may be missing or out of bounds."""
        size = LARGE_SIZE if draw.random() < LARGE_PART else 1
        hint = draw.choice([size * TOKENS_PER_SIZE] * 7 + [None] + ABSURD_HINTS[:2])
        if self.absurd_hints:
            hint = draw.choice(ABSURD_HINTS)
        headers = f"X-Size: {size}\r\nX-Cometspindle-Token-Count: 100,{2 * LARGE_SIZE * TOKENS_PER_SIZE}\r\n"
        headers += "" if hint is None else f"X-Cometspindle-Length-Hint: {hint}\r\n"
        return Load(draw.choice(UNEVEN_DEADLINES_MS), headers, None)

    def resend(self, vm, route, script, key, outcome, draw, load, begun):
        """Sends a refused request once more, under a new id and with the same body, to another VM."""
        left_s = load.deadline_ms / 1000 - (time.monotonic() - begun)
        if outcome.status not in (429, 503) or left_s <= 0:
            return outcome
        begun = time.monotonic()
        time.sleep(min(outcome.retry_after_s, left_s / 3))
        left_s -= time.monotonic() - begun
        with self.lock:
            self.counts["resent"] += 1
        load = load._replace(deadline_ms=max(1, int(left_s * 1000)), body=outcome.ident)
        vm = draw.choice([one for one in self.vms if one is not vm])
        return self.attempt(vm, route, script, key, load=load)

    def caller(self, seed):
        draw = random.Random(seed)
        more = random.Random(f"more {seed}")  # what kept seeds have not drawn
        sock = None
        while not self.over:
            vm = draw.choice(self.vms)
            route = draw.choice(["safe", "once", "again", "sse"])
            script = "plain" if route in ("safe", "once") else "stream"
            if script == "plain" and self.with_answers and more.random() < 0.3:
                script = "large"
            key = draw.choice(["k1", "k1", "k1", "k2", "never"])
            load = self.draw_load(more) if self.uneven else None
            begun = time.monotonic()
            crowded = self.crowded[:]
            if crowded and more.random() < CROWD_PART:
                vm = crowded[-1]
            if draw.random() < 0.5 and not crowded:  # keeps a connection until the process is gone
                if sock is None:
                    try:
                        sock = (vm, socket.create_connection((vm.ip, vm.callers), 2))
                        sock[1].settimeout(8)
                    except OSError:
                        sock = None
                        time.sleep(0.05)
                        continue
                vm = sock[0]
                outcome = self.attempt(vm, route, script, key, sock[1], load=load)
                if not outcome.whole or outcome.status in (400, 413, 431, 503):
                    sock[1].close()
                    sock = None
            else:
                outcome = self.attempt(vm, route, script, key, load=load)
            if load:
                outcome = self.resend(vm, route, script, key, outcome, more, load, begun)
            if route == "again" and outcome.status == 200:
                self.take_up(vm, key, outcome, more)
            time.sleep(draw.random() * 0.03)

    def run_fault(self, kind, length, vm):
        proxy = self.draw.choice(self.proxies)
        number = self.draw.randrange(len(self.servers))
        action = getattr(self, "fault_" + kind.split("_", maxsplit=1)[0])
        span = [time.monotonic(), float("inf")]
        if kind in PROCESS_FAULTS - {"hup"}:
            self.out_of_touch.append(span)
        try:
            action(kind, length, vm, proxy, number)
        finally:
            span[1] = time.monotonic()
            with self.lock:
                self.active.pop(threading.get_ident(), None)
                if kind in PROCESS_FAULTS:
                    self.faulty.discard(vm)

    def fault_kill(self, _kind, length, vm, _proxy, _number):
        vm.send(signal.SIGKILL)
        time.sleep(length / 4)
        vm.again(-signal.SIGKILL)

    def fault_stop(self, _kind, _length, vm, _proxy, _number):
        vm.send(signal.SIGTERM)
        vm.again(0)

    def fault_pause(self, _kind, length, vm, _proxy, _number):
        vm.send(signal.SIGSTOP)
        time.sleep(length)
        vm.send(signal.SIGCONT)

    def fault_suspend(self, _kind, length, vm, _proxy, _number):
        vm.suspend(2 * length)

    def fault_hup(self, _kind, _length, vm, _proxy, _number):
        # the loader runs before the program can hold a signal back: not promised then
        wait_for(lambda: vm.process.poll() is None and f"pid={vm.process.pid} " in vm.log_text())
        vm.send(signal.SIGHUP)

    def fault_cut(self, _kind, length, vm, _proxy, _number):
        """A VM loses its links to all servers, while callers, the store and the other VMs reach it."""
        links = self.links[self.vms.index(vm)]
        if links.is_cut():
            return
        links.cut(self.draw.choice(CUT_KINDS))
        time.sleep(length)
        links.restore()

    def fault_limit(self, _kind, length, _vm, _proxy, number):
        self.servers[number].advertised = f"Server-Limit: {self.draw.choice(LIMITS)}\r\n"
        time.sleep(length)
        self.servers[number].advertised = ""

    def fault_versions(self, *_):
        """Servers of two versions run all the time."""

    def fault_leave(self, _kind, length, _vm, _proxy, number):
        """VMs that know that a server leaves send it nothing until it starts again, though the store lists it."""
        server = self.servers[number]
        with self.leaving:
            server.advertised = "Server-Leaving: 1\r\n"
            time.sleep(length)
            line = b'comet_endpoint_leaving{endpoint="%s"' % server.name.encode()
            epochs = [vm.epoch for vm in self.vms]
            known = {str(n): epochs[n] for n, vm in enumerate(self.vms) if line in vm.metrics()}
            born = server.entry.get("born")
            time.sleep(HELD_BACK_S)
            ran = len(server.runs)
            time.sleep(length)
            new = [(run[0], run[2]["x-vm"]) for run in server.runs[ran:]
                   if known.get(run[2]["x-vm"]) == self.vms[int(run[2]["x-vm"])].epoch]
            if new and server.entry.get("born") == born:
                self.breach("sent_to_leaving", f"{server.name}: {new}")
            server.advertised = ""
            server.start_again()

    def fault_rest(self, _kind, length, _vm, _proxy, number):
        server = self.servers[number]
        server.rest_s = round(1 + length, 2)  # beyond the time in which it rejects
        server.habits.append("refuse")
        time.sleep(length)
        server.habits.remove("refuse")
        server.rest_s = 0

    def fault_brittle(self, _kind, length, _vm, _proxy, _number):
        for server in self.servers:
            server.advertised = f"Server-Brittle: {self.draw.randint(0, 4)}\r\n"
        time.sleep(length)
        for server in self.servers:
            server.advertised = ""

    def fault_hints(self, _kind, length, *_):
        """All hints are out of bounds, so that VMs have more of them to log than their budget allows."""
        with self.lock:
            self.absurd_hints += 1
        time.sleep(length)
        with self.lock:
            self.absurd_hints -= 1

    def heartbeats(self):
        """Servers write their entries anew, which is how what was lost in a copy comes back."""
        while not self.over:
            for server in self.servers:
                server.publish(sequence=server.entry["sequence"] + 1)
            time.sleep(0.7)

    def go_back(self, length):
        """The store comes back from a copy, once or twice; servers and operator write anew what was lost."""
        for _ in range(1 + (length > 1.5)):
            self.store.go_back(1 + int(length * 10))
            time.sleep(length / 4)
        living = {"servers/" + server.name for server in self.servers}
        for key in [key for key in self.store.items if key.startswith("servers/") and key not in living]:
            self.store.remove(key)  # its lease runs out
        with self.lock:
            self.store.put("op/config", self.newest)

    def fault_store(self, kind, length, _vm, _proxy, _number):
        if kind == "store_back":
            self.go_back(length)
            return
        if kind == "store_down":
            with self.store.lock:
                self.store.down = True
                self.store.lock.notify_all()
            time.sleep(length)
            self.store.down = False
            return
        self.store_proxy.mode = kind.split("_")[1]
        time.sleep(length)
        self.store_proxy.mode = "pass"

    def fault_server(self, kind, length, _vm, proxy, _number):
        proxy.mode = kind.split("_", 1)[1]
        time.sleep(length)
        proxy.mode = "pass"

    def fault_answer(self, kind, length, _vm, _proxy, number):
        habit = kind.split("_")[1]
        half = self.servers[number % 2::2]
        for server in half:
            server.habits.append(habit)
        time.sleep(length)
        for server in half:
            server.habits.remove(habit)
        time.sleep(0.2)  # what has begun under the habit is over
        for server in half:
            if server.said_wrong and not server.habits.count("refuse"):
                server.said_wrong = False
                server.start_again()

    def fault_document(self, kind, _length, _vm, _proxy, _number):
        with self.lock:
            self.version += 1
            version = self.version
            keys = self.draw.choice([["k1"], ["k1", "k2"]])
            self.newest = document(version, keys, self.attempts)
            if kind == "document_large":
                model = self.newest["routes"][0]
                self.newest["routes"] += [dict(model, name=word, path_prefix=f"/{word}/")
                                          for word in words(self.draw.randrange(BULK_ROUTES_MAX))]
            self.store.put("op/config", self.newest)

    def fault_drain(self, _kind, length, _vm, _proxy, number):
        self.servers[number].publish(state="draining")
        time.sleep(length)
        self.servers[number].publish(state="ready")

    def fault_evacuate(self, _kind, length, _vm, _proxy, number):
        """Once all VMs know that a zone is evacuated its servers run nothing new until it is restored."""
        zone = f"z{number % 3}"
        with self.evacuating:
            self.store.put(f"op/evacuate/{zone}", {})
            wait_for(lambda: all(b'zone_evacuated{zone="%s"}' % zone.encode() in vm.metrics() for vm in self.vms), 60)
            time.sleep(HELD_BACK_S)
            ran = self.runs_in(zone)
            time.sleep(length)
            new = self.runs_in(zone) - ran
            if new:
                self.breach("sent_to_evacuated", f"{zone}: {sorted(new)}")
            self.store.remove(f"op/evacuate/{zone}")

    def runs_in(self, zone):
        return {run[0] for server in self.servers if server.entry["zone"] == zone for run in server.runs}

    def fault_reborn(self, _kind, length, _vm, _proxy, number):
        self.servers[number].start_again()
        time.sleep(length / 4)
        self.servers[number].start_again()

    def fault_foreign(self, _kind, length, _vm, _proxy, number):
        """Somebody else overwrites a server's entry, until the server writes it again."""
        self.store.put(f"servers/i-{number}", FOREIGN[number % len(FOREIGN)])
        time.sleep(length)
        self.servers[number].publish()

    def fault_late(self, _kind, length, _vm, _proxy, number):
        """The last word of a server's earlier life comes after its next has begun."""
        server = self.servers[number]
        server.start_again()
        self.store.put(f"servers/i-{number}",
                       {**server.entry, "born": server.entry["born"] - 1, "state": "draining"})
        time.sleep(length)
        server.publish()

    def crash_server(self, server, sock, _path, headers, body):
        """A script of servers: the request crashes its server, in a way and at a moment that its body tells."""
        self.crashed[body].append(server.name)
        return self.crash_as_told(server, sock, headers, body)

    def part_server(self, server, sock, _path, headers, body):
        """The same for all requests with one part in their prompts."""
        part = self.parts[body.decode().split(" ")[3]]
        part.sent.append(time.monotonic())
        try:
            return self.crash_as_told(server, sock, headers, body, lambda: part.ended.append(time.monotonic()))
        except OSError:  # its connection was gone before; it crashes nevertheless
            server.crash(part.how, away_s=0.8, lapse_s=0.5)
            return False

    def crash_as_told(self, server, sock, headers, body, ended=lambda: None):
        how, _, when = body.decode().split(" ")[:3]
        if when == "late":
            time.sleep(0.2)
        if when == "inside":
            server.write_head(sock, headers, extra="Content-Type: text/event-stream\r\n")
            server.events(sock, 1, 2)
        if not server.dead:
            ended()
        server.crash(how, away_s=0.8, lapse_s=0.5)
        return None if how == "silence" else False

    def send_crashing(self, vm, body, part=None):
        """Sends such a request, under a new id. Returns its status; 0: none."""
        with self.lock:
            self.serial += 1
            ident = f"{self.serial:016x}"
        route = body.decode().split(" ")[1]
        prompt = ""
        if part:
            self.with_bad_part.add(ident)
            prompt = f"X-Cometspindle-Prefix-Hash: {COMMON_PARTS},{part.ident}:60,{ident}:500\r\n"
        script = "part" if part else "crash"
        data = (f"POST /{route}/{script} HTTP/1.1\r\nHost: {HOST}\r\nX-Cometspindle-Request-Id: {ident}\r\n"
                f"X-Cometspindle-Deadline-Ms: 1500\r\nAuthorization: Token k1\r\n{prompt}"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        try:
            with socket.create_connection((vm.ip, vm.callers), 2) as sock:
                sock.settimeout(8)
                sock.sendall(data)
                line, _ = CallerReader(sock).head()
                return int(line.split()[1]) if line else 0
        except OSError:
            return 0

    def fault_crash(self, _kind, _length, _vm, _proxy, number):
        draw = random.Random(f"crash {self.seed} {number} {len(self.crashed)}")
        body = " ".join([draw.choice(["reset", "end", "silence"]), draw.choice(["safe", "once", "again", "sse"]),
                         draw.choice(["at_once", "late", "inside"]), f"{draw.random()}"]).encode()
        self.crashed[body] = []
        for _ in range(8):
            self.send_crashing(draw.choice(self.vms), body)
            time.sleep(draw.random() * 0.3)

    def check_crashing(self):
        """Once all is well and must be known, requests that have crashed their share are hardly sent any more."""
        if not self.crashed:
            return
        time.sleep(KNOWN_AFTER_S)
        for body, names in self.crashed.items():
            before = len(names)
            if before < CRASHES_MAX:
                continue
            told = [self.send_crashing(vm, body) for vm in self.vms * 2]
            if len(names) - before > CRASHES_MAX:
                self.breach("sent_on", f"{body}: {before} crashes, then {len(names) - before}; {told}; {names}")

    def send_part(self, vm, part, draw):
        """Sends a request with a part that crashes servers; no two are alike."""
        body = " ".join([part.how, draw.choice(["safe", "once", "again", "sse"]),
                         draw.choice(["at_once", "late", "inside"]), part.ident, f"{draw.random()}"]).encode()
        return self.send_crashing(vm, body, part)

    def fault_part(self, _kind, length, _vm, _proxy, number):
        """VMs in touch hardly send any more requests with a part once it is known to end servers."""
        if not self.sharing.acquire(blocking=False):
            return
        draw = random.Random(f"part {self.seed} {number} {len(self.parts)}")
        ident = f"{draw.getrandbits(64):016x}"
        part = self.parts[ident] = Part(ident, draw.choice(["reset", "end", "silence"]), [], [])
        end = time.monotonic() + PART_S + length

        def send():
            while time.monotonic() < end:
                self.send_part(draw.choice(self.vms), part, draw)
                time.sleep(draw.random() * 0.2)
        senders = [threading.Thread(target=send) for _ in range(2)]
        for sender in senders:
            sender.start()
        for sender in senders:
            sender.join()
        self.sharing.release()
        if len(part.ended) < PART_CRASHES:
            return
        fifth = sorted(part.ended)[PART_CRASHES - 1]
        known = fifth + KNOWN_AFTER_S
        in_touch = not any(span[0] < known and span[1] > fifth for span in self.out_of_touch)
        later = [round(sent - known, 2) for sent in part.sent if sent > known]
        self.counts["parts_watched"] += in_touch
        if in_touch and len(later) > CRASHES_MAX:
            self.breach("part_sent_on", f"{part.ident} ({part.how}): {len(part.ended)} ended, sent at {later}")

    def check_parts(self):
        """The same once all is well."""
        if not self.parts:
            return
        time.sleep(KNOWN_AFTER_S)
        for part in self.parts.values():
            before = len(part.sent)
            if len(part.ended) < PART_CRASHES:
                continue
            told = [self.send_part(vm, part, random.Random(f"{part.ident} {at}"))
                    for at, vm in enumerate(self.vms * 2)]
            if len(part.sent) - before > CRASHES_MAX:
                self.breach("part_sent_on", f"{part.ident} ({part.how}): {before}, then {len(part.sent) - before}; "
                            f"{told}")

    def fault_crowd(self, _kind, length, vm, *_):
        self.crowded.append(vm)
        time.sleep(2 * length)
        self.crowded.remove(vm)

    def choose_vm(self, kind):
        """A VM for a fault: those on processes overlap on different VMs, and one VM is spared."""
        if kind not in PROCESS_FAULTS:
            return self.draw.choice(self.vms)
        free = [vm for vm in self.vms if vm not in self.faulty]
        if len(free) < 2:
            return None
        vm = self.draw.choice(free)
        self.faulty.add(vm)
        return vm

    def faults_on(self):
        end = time.monotonic() + self.seconds
        threads = []
        while time.monotonic() < end:
            kind = self.draw.choice(self.kinds)
            length = self.draw.uniform(0.3, 2.0)
            pause = self.draw.uniform(0.1, 0.8)
            with self.lock:
                vm = self.choose_vm(kind)
                if vm is None:
                    continue
                self.faults[kind] = self.faults.get(kind, 0) + 1
                self.pairs |= {tuple(sorted((kind, one))) for one in self.active.values()}
                thread = threading.Thread(target=self.run_fault, args=(kind, length, vm))
                thread.start()
                self.active[thread.ident] = kind
            threads.append(thread)
            time.sleep(pause)
        for thread in threads:
            thread.join()

    def check_in_force(self):
        """Once all is well, the newest document is in force everywhere."""
        for vm in self.vms:
            try:
                wait_for(lambda vm=vm: vm.routes_version() == self.newest["version"])
            except AssertionError:
                self.breach("not_in_force", f"{vm.ip}: {vm.routes_version()} of {self.newest['version']}")

    def finish(self):
        """Everything is well again: it must be served, and what was told must have been true."""
        self.uneven = False
        for vm in self.vms:
            last = []
            try:
                wait_for(lambda: last.append(self.attempt(vm, "safe", "plain", "k1").status) or
                         last[-5:] == [200] * 5)
            except AssertionError:
                self.breach("not_served_after", f"{vm.ip}: {last[-20:]}")
        self.check_in_force()
        self.check_crashing()
        self.check_parts()
        self.over = True
        time.sleep(0.5)
        runs = {}
        for server in self.servers:
            for run in server.runs:
                runs[run[0]] = runs.get(run[0], 0) + 1
        for server in self.servers:
            self.broken["sent_in_rest"] += server.too_many_in_rest
            self.broken["endless_read"] += server.read_on
        self.broken["twice"] += [i for i in self.once if runs.get(i, 0) > 1]
        # Runs are listed in made as they begin, also those whose error response could not be written.
        begun = set(runs).union(*(server.made for server in self.servers))
        self.broken["not_run_but_ran"] += sorted(self.told_not_run & begun)
        for vm in self.vms:
            vm.send(signal.SIGTERM)
        for vm in self.vms:
            code = vm.process.wait(20)
            text = vm.log_text()
            if code != 0 or vm.bad_exits:
                self.broken["bad_exit"].append([code] + vm.bad_exits)
            self.broken["over_log_budget"] += check_log_budget(text)
            self.broken["parts_refused"] += [ident for ident in PART_REFUSED.findall(text)
                                             if ident not in self.with_bad_part]
            self.left_out += sum(map(int, LEFT_OUT.findall(text)))
            if "Sanitizer" in text or "runtime error" in text:
                self.broken["sanitizer"].append(text[-2000:])

    def run(self):
        self.build()
        callers = [threading.Thread(target=self.caller, args=(self.draw.random(),), daemon=True)
                   for _ in range(self.callers_n)]
        for caller in callers:
            caller.start()
        if "store_back" in self.kinds:
            threading.Thread(target=self.heartbeats, daemon=True).start()
        try:
            self.faults_on()
            self.finish()
        finally:
            self.over = True
            for vm in self.vms:
                if vm.process.poll() is None:
                    vm.process.kill()
        return sum(len(found) for found in self.broken.values())


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--scale", choices=SIZES, default="few")
    parser.add_argument("--kinds", choices=FAULTS, default="all")
    parser.add_argument("--logs", help="where the logs go when a promise was broken")
    args = parser.parse_args()
    soak = Soak(args.seed, args.seconds, args.scale, args.kinds)
    broken = soak.run()
    if broken and args.logs:
        os.makedirs(args.logs, exist_ok=True)
        for number, vm in enumerate(soak.vms):
            with open(f"{args.logs}/seed{args.seed}-vm{number}.log", "w", encoding="utf-8") as file:
                file.write(vm.log_text())
        with open(f"{args.logs}/seed{args.seed}-broken.json", "w", encoding="utf-8") as file:
            json.dump(soak.broken, file, indent=1)
    print(json.dumps({"bench": "soak", "seed": args.seed, "scale": args.scale, **soak.counts,
                      "faults": soak.faults, "pairs": len(soak.pairs), "hints_left_out": soak.left_out,
                      "crashing": [len(names) for names in soak.crashed.values()],
                      "parts": [(len(part.sent), len(part.ended)) for part in soak.parts.values()],
                      "broken": {kind: len(found) for kind, found in soak.broken.items()},
                      "first": {kind: str(found[0])[:600] for kind, found in soak.broken.items() if found}}))
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
