"""A part of prompts that has been served begins to crash each server that begins to answer it."""
import os
import random
import socket
import struct
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from world import BOUNDS, TROUBLE, Fleet, Reader, Server, Store, config, main, request, route  # noqa: E402

FIRST, PART, SOUND = "5c1e07a2:60", "91bd3f06:410", "e4402b7d:250"
CRASHES, ALLOWED = 5, 3
BACK_S = 2.0       # "the server is back after some seconds"
LAPSE_S = 3.6      # its entry disappears after three pings without a write
CRASHING_AT_S, RUN_S = 10.0, 32.0


class Count:
    def __init__(self):
        self.lock = threading.Lock()
        self.crashing = False
        self.crashes = []   # times
        self.reached = []   # times at which requests with the part reach servers
        self.statuses = {}


class Engine(Server):
    def __init__(self, store, record, service, zone, count):
        self.count, self.zone, self.dead, self.sockets = count, zone, False, set()
        super().__init__(store, record, service, zone=zone, slots=7, work=Engine.generate)

    def serve(self, sock):
        self.sockets.add(sock)
        if self.dead:
            sock.close()
            return
        super().serve(sock)
        self.sockets.discard(sock)

    def generate(self, sock, ident, path, headers, body):
        with_part = PART in headers.get("x-cometspindle-prefix-hash", "")
        if with_part:
            with self.count.lock:
                self.count.reached.append(time.monotonic())
        self.ran(ident, "with the part" if with_part else "sound")
        sock.sendall(self.head(200, ident, None, "Content-Type: text/event-stream\r\n"))
        time.sleep(0.05)
        if with_part and self.count.crashing:
            self.crash()
            return False
        for number in range(1, 6):
            event = b"id: %d\ndata: %s\n\n" % (number, ident.encode())
            sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(0.02)
        sock.sendall(b"0\r\n\r\n")
        return True

    def crash(self):
        with self.lock:
            if self.dead:
                return
            self.dead = True
        with self.count.lock:
            self.count.crashes.append(time.monotonic())
        self.record.say(f"server {self.id} crashes")
        self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        for sock in list(self.sockets):
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.shutdown(socket.SHUT_RD)
                sock.close()
            except OSError:
                pass
        threading.Thread(target=self.come_back, daemon=True).start()

    def come_back(self):
        time.sleep(BACK_S)
        Engine(self.store, self.record, self.service, self.zone, self.count)
        time.sleep(LAPSE_S - BACK_S)
        self.store.remove("servers/" + self.id)


def sender(fleet, record, count, part, per_s, over, seed):
    rng = random.Random(seed)
    while time.monotonic() < over:
        time.sleep(rng.uniform(0.5, 1.5) / per_s)
        prompt = f"{FIRST},{part},{rng.getrandbits(32):08x}:500"
        ident, data = request("/lohu930/2f", body=os.urandom(16), deadline_ms=4000,
                              X_Cometspindle_Prefix_Hash=prompt, X_Cometspindle_Token_Count="1000,15")
        vm = rng.choice(fleet.vms)
        status = "closed"
        try:
            with socket.create_connection((vm.ip, fleet.ports["front"]), 2) as sock:
                sock.settimeout(6)
                sock.sendall(data)
                reader = Reader(sock)
                line, headers = reader.head()
                if line is not None:
                    status = line.split()[1] if reader.body(headers)[1] else "cut"
        except OSError:
            pass
        kind = "with the part" if part == PART else "sound"
        record.say(f"client: {ident} {kind} to {vm.name}: {status}")
        with count.lock:
            count.statuses[kind, status] = count.statuses.get((kind, status), 0) + 1


def run(record, fleets):
    store, count = Store(), Count()
    store.put("op/config", config(1, [route("lohu930", "spindle-llm", "streaming", gap_target_ms=400, timeout_ms=4000)]))
    for n in range(9):
        Engine(store, record, "spindle-llm", ("yyc-a", "yyc-b", "yyc-c")[n % 3], count)
    fleet = Fleet(3, store)
    fleets.append(fleet)
    fleet.start()
    start = time.monotonic()
    over = start + RUN_S
    threads = [threading.Thread(target=sender, daemon=True, args=(fleet, record, count, part, 3.0, over, seed))
               for seed, part in enumerate([PART, PART, SOUND, SOUND, SOUND])]
    for thread in threads:
        thread.start()
    time.sleep(CRASHING_AT_S)
    count.crashing = TROUBLE
    for thread in threads:
        thread.join()
    late = 0
    if len(count.crashes) >= CRASHES:
        bound = count.crashes[CRASHES - 1] + BOUNDS["contact_ms"] / 1000
        late = sum(at > bound for at in count.reached)
    text = (f"{len(count.crashes)} crashes, the first at {count.crashes[0] - start if count.crashes else 0:.1f} s; requests "
            f"with the part that reached servers later than contact_ms after the fifth crash: {late}; allowed {ALLOWED}; "
            f"statuses {count.statuses}")
    record.say(text)
    print(text)
    return late <= ALLOWED


main(FOLDER, run)
