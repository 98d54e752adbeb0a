"""tenants.py: tenants with limits in tokens, their clients, and the check of the rule QUOTA"""
import os
import random
import socket
import threading
import time

from world import BOUNDS, HOST, Reader


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


def call(world, rng, number, tokens, vms=None):
    vm = rng.choice([vm for vm in vms or world.fleet.vms if vm.accepts])
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


def sender(world, numbers, per_s, tokens, seed, vms=None):
    """Sends for these tenants in turn, at per_s for each of them, to these machines or to all."""
    rng = random.Random(seed)
    step = 1.0 / (per_s * len(numbers))
    due = time.monotonic() + rng.random() * step
    position = 0
    while time.monotonic() < world.over:
        time.sleep(max(due - time.monotonic(), 0))
        due = max(due + step, time.monotonic() - 0.2)
        call(world, rng, numbers[position % len(numbers)], tokens, vms)
        position += 1


def readiness(world):
    """The platform asks each node every second. Two misses take it out until it answers 200 again."""
    while time.monotonic() < world.over:
        for vm in world.fleet.vms:
            good = vm.process.poll() is None and vm.ready()
            vm.misses = 0 if good else vm.misses + 1
            vm.accepts = good or vm.misses < 2
        time.sleep(1)


def most_in_a_window(ran, tenant, window_s):
    """Returns (tokens, start) of the fullest window: what was both sent and arrived at a server that ran it."""
    runs = sorted((sent, arrived, tokens) for sent, arrived, name, tokens in ran if name == tenant)
    best = (0, 0.0)
    for i, (start, _, _) in enumerate(runs):
        best = max(best, (sum(tokens for _, arrived, tokens in runs[i:] if arrived < start + window_s), start))
    return best


def tenant(number, rate, burst):
    return {"name": f"t{number:03d}", "api_keys": [key(number)], "unit": "token_stream", "plain_tokens": 200,
            "rate_per_s": rate, "burst": burst, "priority": 1}


def judge(world, tenants, rate, burst, start, show=20):
    """Records the fullest windows. Returns whether the rule held for all tenants."""
    window_s = BOUNDS["quota_window_s"]
    allowed = (rate * window_s + burst) * (1 + BOUNDS["quota_overage"]) + BOUNDS["quota_slack"]
    worst = sorted(((*most_in_a_window(world.ran, f"t{n:03d}", window_s), n) for n in range(tenants)), reverse=True)
    for tokens, at, number in worst[:show]:
        world.record.say(f"tenant t{number:03d}: {tokens} tokens sent and run in {window_s} s from {at - start:.3f} s "
                         f"of the load; allowed {allowed:.0f}")
    over = [entry for entry in worst if entry[0] > allowed]
    text = (f"statuses {world.statuses}; tenants over their limit: {len(over)} of {tenants}; most: {worst[0][0]} tokens "
            f"in {window_s} s, allowed {allowed:.0f}")
    world.record.say(text)
    print(text)
    return not over
