"""test_readers.py: tests of the reader election with real gateways in one availability zone

The stand-in store counts the gateways that watch it. Readers are killed and frozen, and changes made meanwhile
must reach all gateways.
"""
import os
import re
import signal

from gateway_world import ADDRESS, Gateway, document, get, run_tests
from platform_standin import Server, Store, free_ports, wait_for

VMS = 10
READERS = 2
DIRECT, READS_FOR_OTHERS, FOLLOWER, FALLBACK = range(4)  # values of comet_directory_reading


def metric(gateway, name):
    """Returns the value of a metric of a gateway, or None if the gateway does not answer."""
    try:
        text = get(gateway.ports["control"], "/metrics", gateway.address)[2]
    except OSError:
        return None
    found = re.search(rb"^comet_%s ([0-9.e+]+)$" % name.encode(), text, re.M)
    return float(found.group(1)) if found else None


class Zone:
    """Gateways of one availability zone, each with its own address."""

    def __init__(self):
        self.store = Store()
        self.store.put("op/config", document(1))
        self.servers = [Server(self.store, f"i-{n}", "svc") for n in range(3)]
        ports = free_ports(ADDRESS)
        seeds = f"{ADDRESS}:{ports['control']}"
        self.vms = [Gateway(self.store, address=ADDRESS[:-1] + str(n + 1), ports=ports, seeds=seeds, name=f"vm-{n}")
                    for n in range(VMS)]
        for vm in self.vms:
            wait_for(vm.ready)
        wait_for(lambda: self.is_settled(), 30)

    def doing(self, mode, excluded=()):
        return [vm for vm in self.vms
                if vm.process.poll() is None and vm not in excluded
                and metric(vm, "directory_reading") == mode]

    def is_settled(self):
        """Returns whether two gateways read, the others follow, and no other gateway still watches the store."""
        running = [vm for vm in self.vms if vm.process.poll() is None]
        return (len(self.doing(READS_FOR_OTHERS)) == READERS and len(self.doing(FOLLOWER)) == len(running) - READERS
                and self.store.waiting <= READERS)

    def is_current(self, vm):
        revision = metric(vm, "directory_revision")
        return revision is not None and revision >= self.store.revision

    def all_current(self, excluded=()):
        return all(self.is_current(vm) for vm in self.vms if vm.process.poll() is None and vm not in excluded)

    def end(self):
        running = [vm for vm in self.vms if vm.process.poll() is None]
        for vm in running:
            vm.stop()
        for vm in running:
            vm.end(stopping=True)


def test_two_readers_update_all(zone):
    for number in range(5):
        not_elected = len(zone.doing(DIRECT)) + len(zone.doing(FALLBACK))
        zone.store.put("op/config", document(number + 2))
        wait_for(zone.all_current)
        assert not_elected == 0, not_elected
    zone.store.remove("servers/i-0")
    wait_for(zone.all_current)
    for vm in zone.vms:
        wait_for(lambda vm=vm: b"endpoint_gone endpoint=i-0" in vm.log_text())
    wait_for(zone.is_settled, 30)


def test_readers_are_killed(zone):
    for vm in zone.doing(READS_FOR_OTHERS):
        vm.process.kill()
        vm.process.wait()
    zone.store.put("op/config", document(7))
    zone.store.remove("servers/i-1")
    wait_for(zone.all_current)
    wait_for(zone.is_settled, 30)  # other gateways have become readers


def test_readers_are_frozen(zone):
    readers = zone.doing(READS_FOR_OTHERS)
    for vm in readers:
        os.kill(vm.process.pid, signal.SIGSTOP)
    zone.store.put("op/config", document(7))
    zone.store.remove("servers/i-1")
    wait_for(lambda: zone.all_current(excluded=readers))
    for vm in readers:
        os.kill(vm.process.pid, signal.SIGCONT)
    wait_for(zone.all_current)


def test_store_outage_and_recovery(zone):
    zone.store.down = True
    wait_for(lambda: len(zone.doing(FOLLOWER)) == 0, 30)
    zone.store.put("op/config", document(9))
    zone.store.down = False
    wait_for(zone.all_current, 30)
    wait_for(zone.is_settled, 60)


def with_zone(test):
    def run():
        zone = Zone()
        test(zone)
        zone.end()
    run.__name__ = test.__name__
    return run


if __name__ == "__main__":
    run_tests([], [with_zone(test) for test in (test_two_readers_update_all, test_readers_are_killed,
                                                test_readers_are_frozen, test_store_outage_and_recovery)])
