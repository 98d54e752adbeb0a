"""Many users come at once, each with one large request that the configuration allows, and keep their connections."""
import os
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from world import (MEMORY_MB, TROUBLE, Fleet, Reader, Server, Store, config, main, request, route)  # noqa: E402

UPLOADERS = 30 if TROUBLE else 14  # clients of zone yyc-a: 14; burst: x 2.14
LIMIT_BYTES = MEMORY_MB * 1024 * 1024
UPLOAD_BYTES = 4190000             # max_body_bytes is 4,194,304
CALLERS = 8
RUN_S = 20


class Count:
    def __init__(self):
        self.lock = threading.Lock()
        self.lost = []      # on a kept connection, run by a server, closed without an answer
        self.answered = 0
        self.kills = 0


def work(server, sock, ident, path, headers, body):
    server.ran(ident, f"{path} body {len(body)} B")
    time.sleep(0.4 if path.startswith("/puxa403/") else 0.03)
    answer = b"done " + ident.encode()
    sock.sendall(server.head(200, ident, len(answer)) + answer)
    return True


class Client:
    """A client that keeps its connection."""

    def __init__(self, name, fleet, record, servers, count):
        self.name, self.fleet, self.record, self.servers, self.count = name, fleet, record, servers, count
        self.sock = None
        self.reader = None
        self.used = 0  # requests answered on this connection

    def connect(self):
        try:
            self.sock = socket.create_connection((self.fleet.vms[0].ip, self.fleet.ports["front"]), 1)
            self.sock.settimeout(10)
            self.reader = Reader(self.sock)
            self.used = 0
            return True
        except OSError:
            self.sock = None
            return False

    def call(self, path, body):
        if self.sock is None and not self.connect():
            time.sleep(0.1)
            return
        ident, data = request(path, body=body)
        self.record.say(f"{self.name} sends {ident} {path} body {len(body)} B (request {self.used + 1} of its connection)")
        try:
            self.sock.sendall(data)
            line, headers = self.reader.head()
            whole = line is not None and self.reader.body(headers)[1]
            got = int(line.split()[1]) if whole else None
        except OSError:
            got = None
        if got is None:
            ran = any(ident in server.runs for server in self.servers)
            self.record.say(f"{self.name}: connection closed without an answer to {ident}; "
                            f"{'a server ran it' if ran else 'no server ran it'}")
            self.sock.close()
            self.sock = None
            if ran and self.used > 0:
                with self.count.lock:
                    self.count.lost.append(ident)
            return
        self.used += 1
        self.record.say(f"{self.name}: {ident} answered {got}")
        with self.count.lock:
            self.count.answered += 1


def caller(client, over):
    while time.monotonic() < over:
        client.call("/puxa403/2f", b"x" * 2000)
        time.sleep(0.03)


def uploader(client, over):
    client.call("/lohu930/2f", b"x" * 600)
    client.call("/lohu930/2f", b"y" * UPLOAD_BYTES)
    while time.monotonic() < over:
        time.sleep(2)
        client.call("/lohu930/2f", b"x" * 600)


def platform(fleet, record, count, over):
    """DEPLOY.md: a process that goes over memory_mb is killed, and started again after a short delay."""
    most = 0
    said = 0.0
    while time.monotonic() < over:
        vm = fleet.vms[0]
        used = vm.memory_bytes()
        most = max(most, used)
        if time.monotonic() - said > 1:
            said = time.monotonic()
            record.say(f"memory of {vm.name}: {used / 1048576:.1f} MB of {MEMORY_MB}")
        if used > LIMIT_BYTES:
            record.say(f"memory of {vm.name}: {used / 1048576:.1f} MB of {MEMORY_MB}: the platform kills it")
            vm.process.kill()
            vm.process.wait()
            count.kills += 1
            time.sleep(0.5)
            vm.start(first=False)
        time.sleep(0.02)
    record.say(f"most memory of {fleet.vms[0].name}: {most / 1048576:.1f} MB of {MEMORY_MB}")


def run(record, fleets):
    store = Store()
    store.put("op/config", config(1, [route("lohu930", "tile-api", "unsafe"), route("puxa403", "tile-api", "unsafe")]))
    servers = [Server(store, record, "tile-api", zone=zone, slots=12, work=work) for zone in ("yyc-a", "yyc-b", "yyc-c")]
    fleet = Fleet(3, store)
    fleets.append(fleet)
    fleet.start()
    count = Count()
    start = time.monotonic()
    over = start + RUN_S
    threads = [threading.Thread(target=platform, args=(fleet, record, count, over + 1), daemon=True)]
    threads += [threading.Thread(target=caller, daemon=True, args=(
        Client(f"caller-{n}", fleet, record, servers, count), over)) for n in range(CALLERS)]
    for thread in threads:
        thread.start()
    time.sleep(3.5)  # contact_ms: the machine is in touch
    for n in range(UPLOADERS):
        thread = threading.Thread(target=uploader, daemon=True, args=(
            Client(f"uploader-{n}", fleet, record, servers, count), over))
        thread.start()
        threads.append(thread)
        time.sleep(0.2)
    for thread in threads:
        thread.join()
    record.say(f"answered: {count.answered}; ends of the process for its memory: {count.kills}; "
               f"LOST (kept connection, run by a server, closed without an answer): {len(count.lost)}; allowed: 3")
    print(f"answered {count.answered}, killed for memory {count.kills} times, LOST {len(count.lost)} (allowed 3)")
    return len(count.lost) <= 3


main(FOLDER, run)
