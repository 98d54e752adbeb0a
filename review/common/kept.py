"""kept.py: clients that keep their connections, and the platform's bound on the memory of a process

Shared by the cases in which the memory of a process ends it.
"""
import socket
import threading
import time

from world import Reader, request

CALLERS = 8  # clients of ordinary requests


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


def watch_memory(fleet, record, count, over, memory_mb):
    """DEPLOY.md: a process that goes over memory_mb is killed, and started again after a short delay."""
    most = 0
    said = 0.0
    while time.monotonic() < over:
        vm = fleet.vms[0]
        used = vm.memory_bytes()
        most = max(most, used)
        if time.monotonic() - said > 0.5:
            said = time.monotonic()
            record.say(f"memory of {vm.name}: {used / 1048576:.1f} MB of {memory_mb}")
        if used > memory_mb * 1048576:
            record.say(f"memory of {vm.name}: {used / 1048576:.1f} MB of {memory_mb}: the platform kills it")
            vm.process.kill()
            vm.process.wait()
            count.kills += 1
            time.sleep(0.5)
            vm.start(first=False)
        time.sleep(0.02)
    record.say(f"most memory of {fleet.vms[0].name}: {most / 1048576:.1f} MB of {memory_mb}")


def start_callers(fleet, record, servers, count, over):
    """Starts the clients of ordinary requests, whose servers need 0.4 s. Returns their threads."""
    threads = [threading.Thread(target=caller, daemon=True, args=(
        Client(f"caller-{n}", fleet, record, servers, count), over)) for n in range(CALLERS)]
    for thread in threads:
        thread.start()
    return threads


def summarize(record, count):
    """Records the result. Returns whether the rule LOST held: no more than three."""
    text = (f"answered {count.answered}, killed for its memory {count.kills} times, LOST (kept connection, run by a "
            f"server, closed without an answer) {len(count.lost)}; allowed 3")
    record.say(text)
    print(text)
    return len(count.lost) <= 3
