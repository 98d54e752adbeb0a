"""Hundreds of tenants send; some of them more than their limit allows; machines are stopped and started in turn."""
import os
import random
import signal
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from world import (BOUNDS, HOST, TROUBLE, Fleet, Reader, Server, Store, config, main, route)  # noqa: E402

VMS = 9
TENANTS = int(os.environ.get("TENANTS", 480))
HOT = 20                      # tenants that ask for several times their limit
RATE, BURST = 40000, 40000    # tokens a second, as in the site file: the burst is as large
HOT_TOKENS = (18000, 2000)
HOT_X = 3.0
QUIET_PER_S = 0.25            # requests a second of each other tenant
GAP_S = 1.0                   # roll_term
RUN_S = 60
STOPS_AT_S = (12.0, 36.0)


def key(number):
    return f"k{number:05d}hh2b9wu3fexd9dn"


class World:
    def __init__(self, record, fleet):
        self.record, self.fleet = record, fleet
        self.lock = threading.Lock()
        self.sent = {}     # request id -> (time sent, tenant)
        self.ran = []      # (time sent, time of arrival at a server that runs it, tenant, tokens)
        self.statuses = {}
        self.over = 0.0


def work_for(world):
    def work(server, sock, ident, path, headers, body):
        server.ran(ident, f"tenant {headers.get('x-cometspindle-tenant')} tokens {headers.get('x-cometspindle-token-count')}")
        tokens = sum(int(part) for part in headers["x-cometspindle-token-count"].split(","))
        with world.lock:
            at, _ = world.sent[ident]
            world.ran.append((at, time.monotonic(), headers["x-cometspindle-tenant"], tokens))
        sock.sendall(server.head(200, ident, 2) + b"ok")
        return True
    return work


def call(world, rng, number, tokens):
    vm = rng.choice([vm for vm in world.fleet.vms if vm.accepts])
    ident = os.urandom(8).hex()
    data = (f"POST /lohu930/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Cometspindle-Request-Id: {ident}\r\n"
            f"X-Cometspindle-Deadline-Ms: 4000\r\nAuthorization: Token {key(number)}\r\n"
            f"X-Cometspindle-Token-Count: {tokens[0]},{tokens[1]}\r\nContent-Length: 2\r\n\r\nhi").encode()
    with world.lock:
        world.sent[ident] = (time.monotonic(), number)
    status = "no connection"
    try:
        with socket.create_connection((vm.ip, world.fleet.ports["front"]), 2) as sock:
            sock.settimeout(5)
            sock.sendall(data)
            line, headers = Reader(sock).head()
            status = line.split()[1] if line is not None else "closed"
    except OSError:
        pass
    with world.lock:
        world.statuses[status] = world.statuses.get(status, 0) + 1
    world.record.say(f"tenant t{number:03d} sends {ident} ({tokens[0]}+{tokens[1]} tokens) to {vm.name}: {status}")


def sender(world, numbers, per_s, tokens, seed):
    """Sends for these tenants in turn, at per_s for each of them."""
    rng = random.Random(seed)
    step = 1.0 / (per_s * len(numbers))
    due = time.monotonic() + rng.random() * step
    position = 0
    while time.monotonic() < world.over:
        time.sleep(max(due - time.monotonic(), 0))
        due = max(due + step, time.monotonic() - 0.2)
        call(world, rng, numbers[position % len(numbers)], tokens)
        position += 1


def readiness(world):
    """The platform asks each node every second; here ten times as often. Two misses take a node out."""
    while time.monotonic() < world.over:
        for vm in world.fleet.vms:
            good = vm.process.poll() is None and vm.ready()
            vm.misses = 0 if good else vm.misses + 1
            vm.accepts = good or vm.misses < 2
        time.sleep(0.1)


def restart(world, vm):
    world.record.say(f"SIGTERM to {vm.name}")
    vm.signal(signal.SIGTERM)
    vm.process.wait()
    world.record.say(f"{vm.name} has ended with {vm.process.returncode}, and is started again")
    time.sleep(0.3)
    vm.start(first=False)


def most_in_a_window(ran, tenant, window_s):
    """Returns (tokens, start) of the fullest window: what was both sent and arrived at a server that ran it."""
    runs = sorted((sent, arrived, tokens) for sent, arrived, name, tokens in ran if name == tenant)
    best = (0, 0.0)
    for i, (start, _, _) in enumerate(runs):
        best = max(best, (sum(tokens for _, arrived, tokens in runs[i:] if arrived < start + window_s), start))
    return best


def run(record, fleets):
    store = Store()
    tenants = [{"name": f"t{n:03d}", "api_keys": [key(n)], "unit": "token_stream", "plain_tokens": 200,
                "rate_per_s": RATE, "burst": BURST, "priority": 1} for n in range(TENANTS)]
    store.put("op/config", config(1, [route("lohu930", "tile-api", "unsafe", timeout_ms=4000)], tenants=tenants))
    fleet = Fleet(VMS, store)
    fleets.append(fleet)
    world = World(record, fleet)
    servers = [Server(store, record, "tile-api", zone=zone, slots=40, work=work_for(world))
               for zone in ("yyc-a", "yyc-b", "yyc-c")]
    fleet.start()
    for vm in fleet.vms:
        vm.accepts, vm.misses = True, 0
    time.sleep(3.5)
    start = time.monotonic()
    world.over = start + RUN_S
    step = TENANTS // HOT
    hot = [n for n in range(TENANTS) if n % step == 0][:HOT]
    quiet = [n for n in range(TENANTS) if n not in hot]
    threads = [threading.Thread(target=readiness, args=(world,), daemon=True)]
    for n, number in enumerate(hot):
        threads.append(threading.Thread(target=sender, daemon=True, args=(
            world, [number], HOT_X * RATE / sum(HOT_TOKENS), HOT_TOKENS, n)))
    for n in range(6):
        threads.append(threading.Thread(target=sender, daemon=True, args=(
            world, quiet[n::6], QUIET_PER_S, (20, 10), 100 + n)))
    for thread in threads:
        thread.start()
    if TROUBLE:
        for at_s in STOPS_AT_S:
            time.sleep(max(start + at_s - time.monotonic(), 0))
            for vm in fleet.vms:
                stopping = threading.Thread(target=restart, args=(world, vm), daemon=True)
                stopping.start()
                threads.append(stopping)
                time.sleep(GAP_S)
    for thread in threads:
        thread.join()
    window_s = BOUNDS["quota_window_s"]
    allowed = (RATE * window_s + BURST) * (1 + BOUNDS["quota_overage"]) + BOUNDS["quota_slack"]
    worst = sorted(((*most_in_a_window(world.ran, f"t{n:03d}", window_s), n) for n in range(TENANTS)), reverse=True)
    for tokens, at, number in worst[:HOT]:
        record.say(f"tenant t{number:03d}: {tokens} tokens sent and run in {window_s} s from {at - start:.3f} s; allowed {allowed:.0f}")
    over = [entry for entry in worst if entry[0] > allowed]
    summary = (f"statuses {world.statuses}; tenants over their limit: {len(over)} of {TENANTS}; most: "
               f"{worst[0][0]} tokens in {window_s} s, allowed {allowed:.0f}")
    record.say(summary)
    print(summary)
    print([w[0] for w in worst[:HOT]])
    return not over


main(FOLDER, run)
