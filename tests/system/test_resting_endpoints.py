"""test_resting_endpoints.py: endpoints that reject a request of a VM with 503, and want none from it for some time"""
import time

from gateway_world import run_tests
from platform_standin import wait_for
from vm_group import VmGroup

REST_S = 2
SETTLE_S = 0.5  # requests that are under way when the VM learns of it do not count


class Group(VmGroup):
    """Its endpoints reject the first request after reject() was called, and note the VM that each request came from."""

    def __init__(self, **more):
        super().__init__(**more)
        self.rests = {}   # server -> value of Retry-After with the next rejection
        self.seen = []    # (time, server, VM)
        self.asked = {}   # server -> when it rejected the request
        for server in self.servers:
            server.scripts["x"] = self.serve_or_reject

    def serve_or_reject(self, server, sock, path, headers, body):
        self.seen.append((time.monotonic(), server.name, headers["x-vm"]))
        rest = self.rests.pop(server.name, None)
        if rest is None:
            return self.serve(server, sock, path, headers, body)
        server.write_head(sock, headers, status=503, length=0,
                          extra=f"X-Cometspindle-Not-Executed: 1\r\nRetry-After: {rest}\r\n")
        self.asked[server.name] = time.monotonic()

    def ask_for_rest(self, server, vm, rest=REST_S):
        """Lets an endpoint reject a request of a VM."""
        self.rests[server] = rest
        wait_for(lambda: self.press_from([vm], 0.1) and server in self.asked)

    def press_from(self, vms, seconds, **more):
        """Sends requests through these VMs, which are named in a header."""
        statuses = {}
        for vm in vms:
            for status, count in self.press(seconds / len(vms), vms=[vm], **{"X-Vm": vm}, **more).items():
                statuses[status] = statuses.get(status, 0) + count
        return statuses

    def count(self, server, vm, since, until):
        return sum(since <= at < until and (name, number) == (server, str(vm)) for at, name, number in self.seen)

    def assert_rested(self, server, vm, rest=REST_S):
        asked = self.asked[server]
        assert self.count(server, vm, asked + SETTLE_S, asked + rest) == 0, self.seen[-20:]


def test_a_vm_sends_no_requests_to_an_endpoint_that_rests():
    group = Group(vms=3, servers=2)
    for vm in range(3):  # one of them owns the shard of the endpoint
        group.asked.clear()
        group.ask_for_rest("i-0", vm)
        assert set(group.press_from([vm], REST_S + 0.5)) == {200}
        group.assert_rested("i-0", vm)
        wait_for(lambda vm=vm: group.press_from([vm], 0.2) and
                 group.count("i-0", vm, group.asked["i-0"] + REST_S, time.monotonic()) > 0)
    group.end()


def test_a_rest_binds_one_vm_only():
    group = Group(vms=3, servers=1)
    for vm in range(3):
        group.asked.clear()
        group.ask_for_rest("i-0", vm)
        others = [number for number in range(3) if number != vm]
        assert set(group.press_from(others, 1)) == {200}
        for other in others:
            assert group.count("i-0", other, group.asked["i-0"], time.monotonic()) > 0
        time.sleep(REST_S)
    group.end()


def test_requests_are_refused_while_all_endpoints_rest():
    """The time to come back after is that of the first rest to end."""
    group = Group(vms=1, servers=2)
    group.ask_for_rest("i-0", 0, rest=6)
    group.ask_for_rest("i-1", 0, rest=5)
    since = time.monotonic() + SETTLE_S
    time.sleep(SETTLE_S)
    for _ in range(5):
        began = time.monotonic()
        _, status, headers, _, _ = group.call(0, **{"X-Vm": 0, "deadline_ms": 2000})
        assert status == 503, status
        left_s = group.asked["i-1"] + 5 - began
        assert 0.7 * left_s <= float(headers["retry-after"]) <= 1.3 * left_s, (headers, left_s)
    assert not [one for one in group.seen if one[0] >= since]
    group.end()


def test_requests_wait_for_the_end_of_a_short_rest():
    group = Group(vms=1, servers=1)
    group.ask_for_rest("i-0", 0, rest=1)
    statuses = group.press_from([0], 1.5)
    assert set(statuses) == {200}, statuses
    group.assert_rested("i-0", 0, rest=1)
    group.end()


def test_a_new_incarnation_does_not_rest():
    group = Group(vms=1, servers=1)
    group.ask_for_rest("i-0", 0, rest=100)
    group.servers[0].start_again()
    wait_for(lambda: b"restarted=1" in group.vms[0].log_text())
    wait_for(lambda: group.press_from([0], 0.2).get(200, 0) > 0)
    group.end()


def test_a_malformed_rest_changes_nothing():
    group = Group(vms=1, servers=2)
    for malformed in ("soon", "-3", "1e3", "100000", ""):
        group.asked.clear()
        group.ask_for_rest("i-0", 0, rest=malformed)
        wait_for(lambda: group.press_from([0], 0.2) and
                 group.count("i-0", 0, group.asked["i-0"] + 0.1, time.monotonic()) > 0)
    assert b"header=Retry-After" in group.vms[0].log_text()
    group.end()


if __name__ == "__main__":
    run_tests([], [test_a_vm_sends_no_requests_to_an_endpoint_that_rests, test_a_rest_binds_one_vm_only,
                   test_requests_are_refused_while_all_endpoints_rest, test_requests_wait_for_the_end_of_a_short_rest,
                   test_a_new_incarnation_does_not_rest, test_a_malformed_rest_changes_nothing])
