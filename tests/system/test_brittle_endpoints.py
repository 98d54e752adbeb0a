"""test_brittle_endpoints.py: endpoints that state how many requests a second they can reject before they fail"""
import threading
import time

from gateway_world import run_tests
from platform_standin import wait_for
from vm_group import VmGroup

SLOTS = 4
REJECTIONS_PER_S = 3
USED_AT_LEAST = 60  # requests served while the endpoints let none wait
SETTLE_S = 3  # from then on the endpoints let no request wait


class BrittleServers:
    """Makes the endpoints of a group run SLOTS requests each, and record when they reject one."""

    def __init__(self, group):
        self.group = group
        self.lock = threading.Lock()
        self.running = {server.name: 0 for server in group.servers}
        self.rejected = {server.name: [] for server in group.servers}
        self.peak = 0  # most requests at one endpoint
        self.may_wait = 2 * SLOTS
        self.header = ""
        for server in group.servers:
            server.scripts["x"] = self.serve

    def serve(self, server, sock, path, headers, body):
        with self.lock:
            full = self.running[server.name] >= SLOTS + self.may_wait
            if full:
                self.rejected[server.name].append(time.monotonic())
            else:
                self.running[server.name] += 1
                self.peak = max(self.peak, self.running[server.name])
        if full:
            server.write_head(sock, headers, status=503,
                              extra="X-Cometspindle-Not-Executed: full\r\n" + self.header, length=0)
            return
        server.ran(path, headers, body)
        time.sleep(0.05)
        with self.lock:
            self.running[server.name] -= 1
        server.write_head(sock, headers, extra=self.header, length=2)
        sock.sendall(b"ok")

    def most_in_a_second(self, name):
        times = self.rejected[name]
        return max((sum(1 for at in times if first <= at < first + 1) for first in times), default=0)


def test_brittle_endpoints_reject_few_requests():
    group = VmGroup(vms=3, servers=3, slots=SLOTS)
    servers = BrittleServers(group)
    group.press(1)
    servers.header = f"Server-Brittle: {REJECTIONS_PER_S}\r\n"
    group.press(SETTLE_S, callers=24, pause=0.01)
    servers.may_wait = 0
    statuses = group.press(4, callers=24, pause=0.01)
    rejected = {name: servers.most_in_a_second(name) for name in servers.rejected}
    assert max(rejected.values()) <= REJECTIONS_PER_S, rejected
    assert statuses.get(200, 0) >= USED_AT_LEAST, statuses
    servers.header, servers.may_wait, servers.peak = "", 2 * SLOTS, 0
    # endpoints that are no longer brittle let requests wait again
    wait_for(lambda: group.press(0.5, callers=24, pause=0.01) and servers.peak > SLOTS)
    group.end()


if __name__ == "__main__":
    run_tests([], [test_brittle_endpoints_reject_few_requests])
