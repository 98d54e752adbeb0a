"""gateway_fleet.py: hundreds of gateways as real processes before thousands of simulated endpoints

Starts the gateways on loopback addresses, sends a load from simulated callers, optionally applies one
fault, and prints what a VM costs: processor time, memory, datagrams and bytes by kind, calls to the
store by cause, and the time until a change is in force at all VMs. The store and the endpoints are
simulated by few processes. The last line is one JSON object. Exit 1 if the gateways did not become
ready, did not get a change or did not recover, or if a request ended with anything but an answer or a
refusal.
"""
import argparse
import asyncio
import base64
import json
import multiprocessing
import os
import random
import resource
import signal
import subprocess
import sys
import tempfile
import time
import urllib.parse

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tests", "system"))
from platform_standin import free_ports  # noqa: E402

BUILD = os.environ.get("COMET_BUILD", "build")
HOST = "h.example"
FAULTS = ("none", "kill_all", "kill_zone")
PAGE_ITEMS = 200
WATCHED_ITEMS_MAX = 2000
LOG_END_BYTES = 65536
REGISTER_STEP_S = 0.1
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


# second number of the loopback addresses of this fleet's VMs and endpoints
VM_NETWORK = 1 + os.getpid() % 120
ENDPOINT_NETWORK = VM_NETWORK + 120


def address_of(network, number):
    return f"127.{network}.{number // 250 % 250}.{1 + number % 250}"


async def read_head(reader):
    """Returns the request line and the headers in lower case, or (None, None) at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None, None
    lines = head.decode().split("\r\n")
    pairs = [line.split(": ", 1) for line in lines[1:] if line]
    return lines[0], {name.lower(): value for name, value in pairs}


class Store:
    """The platform's store: lists in pages, and watches that wait for changes."""

    def __init__(self):
        self.items = {}
        self.log = []
        self.revision = 0
        self.changed = asyncio.Event()  # replaced at each change
        self.calls = {"list": 0, "watch": 0, "key": 0}

    def put_now(self, key, value):
        self.revision += 1
        self.items[key] = {"private_key": key, "revision": self.revision,
                           "value": base64.b64encode(json.dumps(value).encode()).decode()}
        self.log.append(self.items[key])

    def put(self, key, value):
        self.put_now(key, value)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def listed(self, args):
        prefix, after = args.get("path_prefix", ""), args.get("since_rev", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        return {"entries": [self.items[key] for key in keys[:PAGE_ITEMS]],
                "has_more": len(keys) > PAGE_ITEMS, "current_rev": self.revision}

    async def watched(self, args):
        prefix, since = args.get("path_prefix", ""), int(args["since_rev"])

        def events():
            return [item for item in self.log[-WATCHED_ITEMS_MAX:]
                    if item["revision"] > since and item["private_key"].startswith(prefix)]
        end = time.monotonic() + int(args["wait_ms"]) / 1000
        while not events() and time.monotonic() < end:
            try:
                await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
            except asyncio.TimeoutError:
                break
        return {"events": events(), "current_rev": self.revision}

    async def serve(self, reader, writer):
        try:
            await self.answer_calls(reader, writer)
        except ConnectionError:
            pass  # a VM was killed
        finally:
            writer.close()

    async def answer_calls(self, reader, writer):
        while True:
            line, _ = await read_head(reader)
            if line is None:
                return
            path, _, query = line.split()[1].partition("?")
            args = dict(urllib.parse.parse_qsl(query))
            if path == "/kv-range":
                self.calls["list"] += 1
                answer = self.listed(args)
            elif path == "/kv-watch":
                self.calls["watch"] += 1
                answer = await self.watched(args)
            else:
                self.calls["key"] += 1
                answer = {**self.items[args["private_key"]], "current_rev": self.revision}
            body = json.dumps(answer).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


def raise_file_limit():
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))


class Endpoints:
    """All endpoints in one process: each answers a stream of events on an address of its own."""

    def __init__(self, addresses, port, ready):
        self.addresses = addresses
        self.port = port
        self.ready = ready

    async def serve(self, reader, writer):
        while True:
            line, headers = await read_head(reader)
            if line is None:
                break
            try:
                await reader.readexactly(int(headers.get("content-length", 0)))
                writer.write(("HTTP/1.1 200 OK\r\nX-Cometspindle-Request-Id: "
                              f"{headers['x-cometspindle-request-id']}\r\n"
                              "X-Cometspindle-Server-Stamp: s\r\nContent-Type: text/event-stream\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n").encode())
                for number in range(1, 6):
                    await asyncio.sleep(0.1)
                    event = b"id: %d\ndata: x\n\n" % number
                    writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                writer.write(b"0\r\n\r\n")
                await writer.drain()
            except (ConnectionError, asyncio.IncompleteReadError):
                break
        writer.close()

    async def run(self):
        for address in self.addresses:
            await asyncio.start_server(self.serve, address, self.port)
        self.ready.set()
        await asyncio.Event().wait()


def run_endpoints(addresses, port, ready):
    raise_file_limit()
    asyncio.run(Endpoints(addresses, port, ready).run())


class Vm:
    def __init__(self, number, fleet):
        self.ip = address_of(VM_NETWORK, number)
        self.zone = f"z{number % fleet.options.zones}"
        self.ports = fleet.ports
        values = {name: f"{self.ip}:{port}" for name, port in fleet.ports.items()}
        values.update(name=f"vm-{number}", zone=self.zone, seeds=fleet.seeds, leave_ms=300,
                      settled_ms=6000, cpu_share=0.5 if number < 6 * fleet.options.zones else 0.12,
                      directory=fleet.store_address, log_level="notice")
        self.file = tempfile.NamedTemporaryFile("w", suffix=".json")
        json.dump({"gateway": values}, self.file)
        self.file.flush()
        self.log = tempfile.TemporaryFile()
        self.start()

    def start(self):
        self.process = subprocess.Popen([f"{BUILD}/cli/cometspindled", "--settings", self.file.name],
                                        stdout=self.log, stderr=self.log)

    def processor_s(self):
        with open(f"/proc/{self.process.pid}/stat") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    def memory_mb(self):
        with open(f"/proc/{self.process.pid}/statm") as statm:
            return int(statm.read().split()[1]) * PAGE_BYTES / 1e6

    def log_end(self):
        """Returns the newest lines of its log."""
        length = os.fstat(self.log.fileno()).st_size
        return os.pread(self.log.fileno(), LOG_END_BYTES, max(length - LOG_END_BYTES, 0)).decode(
            errors="replace")

    async def is_ready(self):
        """Returns whether it has read all endpoints and routes."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ports["readiness"])
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            line, _ = await read_head(reader)
            writer.close()
        except OSError:
            return False
        return line is not None and line.split()[1] == "200"

    async def metrics(self):
        """Returns the samples of its metrics by name and labels, and the time as "read_s"; no samples while it does
        not answer."""
        read_s = time.monotonic()
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ports["control"])
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
            _, headers = await read_head(reader)
            body = await reader.readexactly(int(headers["content-length"]))
            writer.close()
        except (OSError, TypeError, asyncio.IncompleteReadError):
            return {"read_s": read_s}
        rows = [row.rsplit(" ", 1) for row in body.decode().splitlines() if not row.startswith("#")]
        return {"read_s": read_s, **{name: float(value) for name, value in rows}}


class Fleet:
    def __init__(self, options):
        self.options = options
        self.draw = random.Random(options.seed)
        self.store = Store()
        self.vms = []
        self.serial = 0
        self.version = 1
        self.statuses = {}
        self.waits_s = []

    def document(self):
        def route(name, priority, **more):
            return dict(name=name, hostname=HOST, path_prefix=f"/{name}/", type="streaming",
                        timeout_ms=6000, target_latency_ms=1000, gap_target_ms=600, service="llm",
                        priority=priority, max_attempts=1, **more)
        teams = [dict(name=f"team-{n}", api_keys=[f"key-{n}"], unit="token_stream", plain_tokens=10,
                      rate_per_s=100000, burst=100000) for n in range(self.options.teams)]
        return {"version": self.version, "routes": [route("urgent", 0), route("batch", 2)],
                "services": [{"name": "llm"}], "limits": {"idle_timeout_ms": 5000}, "tenants": teams}

    async def start(self):
        raise_file_limit()
        ready = multiprocessing.Event()
        addresses = [address_of(ENDPOINT_NETWORK, n) for n in range(self.options.endpoints)]
        port = free_ports(addresses[0])["callers"]
        self.endpoints = multiprocessing.Process(
            target=run_endpoints, args=(addresses, port, ready), daemon=True)
        self.endpoints.start()
        await asyncio.to_thread(ready.wait)
        self.store.put_now("op/config", self.document())
        entries = [(f"servers/i-{number}", {
            "service": "llm", "address": f"{address}:{port}",
            "zone": f"z{number % self.options.zones}", "slots": 6, "state": "ready", "sequence": 1,
            "version": "v1", "warmup_left_ms": 0, "born": 1700000000000 + number})
            for number, address in enumerate(addresses)]
        if self.options.register_s == 0:
            for entry in entries:
                self.store.put_now(*entry)
        server = await asyncio.start_server(self.store.serve, addresses[0], 0, backlog=2000)
        self.store_address = "%s:%d" % server.sockets[0].getsockname()[:2]
        self.ports = free_ports(address_of(VM_NETWORK, 0))
        self.seeds = ",".join(f"{address_of(VM_NETWORK, n)}:{self.ports['control']}" for n in range(3))
        self.vms = [Vm(number, self) for number in range(self.options.vms)]
        if self.options.register_s > 0:
            await self.register(entries)
        return await self.until(self.all_current, 60)

    async def register(self, entries):
        """Writes the endpoints' entries in equal steps while the VMs start."""
        steps = max(1, int(self.options.register_s / REGISTER_STEP_S))
        await asyncio.sleep(1)
        for step in range(steps):
            for entry in entries[step::steps]:
                self.store.put(*entry)
            await asyncio.sleep(REGISTER_STEP_S)

    async def all_current(self):
        """Returns whether all VMs have read everything."""
        if not await self.all_ready():
            return False
        found = await self.all_metrics()
        return all(one.get("comet_directory_revision") == self.store.revision for one in found)

    async def until(self, condition, limit_s):
        """Returns the seconds until condition() holds, or None after limit_s."""
        began = time.monotonic()
        while not await condition():
            if time.monotonic() - began > limit_s:
                return None
            await asyncio.sleep(0.1)
        return round(time.monotonic() - began, 2)

    async def all_ready(self):
        return all(await asyncio.gather(*(vm.is_ready() for vm in self.vms)))

    async def in_force(self):
        return all(f"event=routes_taken version={self.version} " in vm.log_end() for vm in self.vms)

    async def request(self):
        self.serial += 1
        vm = self.draw.choice(self.vms)
        urgent = self.draw.random() < 0.5
        body = b"x" * 500
        began = time.monotonic()
        try:
            reader, writer = await asyncio.open_connection(vm.ip, self.ports["callers"])
            writer.write((f"POST /{'urgent' if urgent else 'batch'}/x HTTP/1.1\r\nHost: {HOST}\r\n"
                          f"X-Cometspindle-Request-Id: {self.serial:016x}\r\n"
                          "X-Cometspindle-Deadline-Ms: 6000\r\n"
                          f"Authorization: Token key-{self.draw.randrange(self.options.teams)}\r\n"
                          f"X-Cometspindle-Token-Count: {self.draw.randrange(100, 4000)},30\r\n"
                          f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
            line, _ = await asyncio.wait_for(read_head(reader), 7)
            status = line.split()[1] if line else "0"
            self.waits_s.append(time.monotonic() - began)
            if status == "200":
                await asyncio.wait_for(reader.readuntil(b"0\r\n\r\n"), 7)
            writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status = "0"
        self.statuses[status] = self.statuses.get(status, 0) + 1

    async def load(self, seconds):
        """Requests at exponential intervals, for so long."""
        end = time.monotonic() + seconds
        tasks = set()
        while time.monotonic() < end:
            task = asyncio.create_task(self.request())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(self.draw.expovariate(self.options.rate))
        if tasks:
            await asyncio.wait(tasks, timeout=10)

    async def all_metrics(self):
        """Reads the metrics of one VM after the other, so that the store goes on answering."""
        return [await vm.metrics() for vm in self.vms]

    async def measure(self, seconds):
        """Returns the costs of a VM over so many seconds under load."""
        before = await self.all_metrics()
        processor = [vm.processor_s() for vm in self.vms]
        calls = dict(self.store.calls)
        began = time.monotonic()
        await self.load(seconds)
        passed = time.monotonic() - began
        used = sorted((vm.processor_s() - first) / passed for vm, first in zip(self.vms, processor))
        after = await self.all_metrics()
        memory = sorted(vm.memory_mb() for vm in self.vms)
        rates = {}
        for name in sorted(after[0]):
            if "bytes_total" in name or "datagrams_total" in name:
                values = sorted((late.get(name, 0) - early.get(name, 0)) /
                                (late["read_s"] - early["read_s"])
                                for early, late in zip(before, after))
                rates[name[len("comet_"):]] = [round(values[len(values) // 2], 1), round(values[-1], 1)]
        waits = sorted(self.waits_s) or [0]
        return {"seconds": round(passed, 1), "core_percent": [round(100 * used[len(used) // 2], 2),
                                                              round(100 * used[-1], 2)],
                "memory_mb": [round(memory[len(memory) // 2], 1), round(memory[-1], 1)],
                "store_calls": {kind: self.store.calls[kind] - calls[kind] for kind in calls},
                "per_s": rates, "statuses": self.statuses,
                "first_byte_ms": [round(1000 * waits[len(waits) // 2]),
                                  round(1000 * waits[len(waits) * 99 // 100])]}

    async def change_routes(self):
        self.version += 1
        self.store.put("op/config", self.document())
        return await self.until(self.in_force, 30)

    async def fault(self):
        """Applies the fault. Returns the seconds until all VMs know all endpoints again."""
        ended = [vm for vm in self.vms if self.options.fault == "kill_all" or vm.zone == "z0"]
        for vm in ended:
            vm.process.kill()
        for vm in ended:
            vm.process.wait()
            vm.start()
        calls = dict(self.store.calls)
        found = {"recovered_s": await self.until(self.all_ready, 60)}
        found["store_calls"] = {kind: self.store.calls[kind] - calls[kind] for kind in calls}
        return found

    async def run(self):
        options = self.options
        found = {"vms": options.vms, "endpoints": options.endpoints, "teams": options.teams,
                 "rate": options.rate, "seed": options.seed}
        found["started_s"] = await self.start()
        found["start_calls"] = dict(self.store.calls)
        await self.load(options.warm_s)
        found["load"] = await self.measure(options.seconds)
        found["in_force_s"] = await self.change_routes()
        if options.fault != "none":
            found["fault"] = await self.fault()
        return found

    def has_failed(self, found):
        """Returns whether the fleet has not done what it must at any speed."""
        times = [found["started_s"], found["in_force_s"], found.get("fault", {}).get("recovered_s", 0)]
        return (None in times or "200" not in self.statuses or
                any(status not in ("200", "429", "503") for status in self.statuses))

    def stop(self):
        for vm in self.vms:
            if vm.process.poll() is None:
                vm.process.send_signal(signal.SIGKILL)
            vm.process.wait()
        self.endpoints.terminate()


async def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--vms", type=int, default=200)
    parser.add_argument("--zones", type=int, default=5)
    parser.add_argument("--endpoints", type=int, default=3000)
    parser.add_argument("--teams", type=int, default=200)
    parser.add_argument("--rate", type=float, default=180, help="requests per second in all")
    parser.add_argument("--warm-s", type=float, default=8)
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--register-s", type=float, default=0,
                        help="the endpoints register over this time after the start")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--fault", choices=FAULTS, default="none")
    fleet = Fleet(parser.parse_args())
    # connections that are still open at the end are cancelled, which is no error
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    try:
        found = await fleet.run()
    finally:
        fleet.stop()
    for name, (middle, most) in found["load"].pop("per_s").items():
        if most > 0:
            print(f"{name}: {middle} per second at the VM in the middle, {most} at the busiest")
    print(json.dumps(found))
    return 1 if fleet.has_failed(found) else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
