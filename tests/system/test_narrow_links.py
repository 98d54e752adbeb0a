"""test_narrow_links.py: gateways on links that take seconds to carry a routing document

Each process is limited to a 10 Mbit/s link in each direction unless a test sets another rate
(tests/preload/narrow_link.c). The tests compare the order of events and the final state.
"""
import json
import re

from gateway_world import (ADDRESS, BUILD, Gateway, World, answer_of, call, connect, document, get, route, run_tests)
from narrow_link import narrow, words
from platform_standin import Server, Store, free_ports, wait_for

LARGE_ROUTES = 4200
VMS = 10
IN_FORCE_S = 17  # time limit for a configuration change to reach all VMs


def large_document(version, routes=LARGE_ROUTES, keys=("k1", "k2")):
    """Returns a routing document of about a megabyte, as the store sends it."""
    result = document(version, keys)
    result["routes"] += [route(word, "safe", 2) for word in words(routes)]
    return result


def log_of(gateway):
    return gateway.log_text().decode(errors="replace")


def order_of(gateway, *marks):
    """Returns the position of the first occurrence of each mark in the log; -1: none."""
    text = log_of(gateway)
    return [text.find(mark) for mark in marks]


def test_last_answer_of_a_connection_is_written():
    """The connection of a directory copy was closed one second after the copy had been queued, written or not: on a
    link with several concurrent copies, none arrived (event=resync_failed reason=broken status=200)."""
    store = Store()
    store.put("op/config", large_document(1))
    server = Server(store, "i-0", "svc")
    gateway = Gateway(store, env=narrow(BUILD, incoming=-1))
    wait_for(gateway.ready)
    socks = [connect(gateway.ports["control"]) for _ in range(3)]
    for sock in socks:
        sock.sendall(b"GET /v1/directory HTTP/1.1\r\nHost: x\r\n\r\n")
    for sock in socks:
        status, _, _, whole = answer_of(sock)
        assert (status, whole) == (200, True)
    assert not server.runs
    gateway.end()


def test_document_that_takes_longer_than_a_call():
    """A call to the store had 0.8 s for its whole answer, in addition to its waiting time. A document that takes longer
    on the VM's link was never read, since each attempt started again (event=transfer_abandoned ... reason=timeout
    bytes=912384 expected=1116180)."""
    world = World(env=narrow(BUILD, incoming=250000))
    world.store.put("op/config", large_document(2, keys=("k1",)))
    wait_for(lambda: call(world.gateway, "/safe/x", key="k2")[1] == 401)
    assert call(world.gateway, "/safe/x", key="k1")[1] == 200
    world.gateway.end()


def test_endpoint_leaves_while_a_document_arrives():
    """The change of an endpoint arrived in the same answer as a document and was applied only when that was complete:
    requests were sent to endpoints 3.6 and 4.0 s after they had announced that they leave."""
    world = World(env=narrow(BUILD, incoming=200000))
    wait_for(lambda: world.store.waiting > 0)
    world.store.put("op/config", large_document(2))
    wait_for(lambda: world.store.waiting == 0)  # the document is in transfer
    world.store.remove("servers/i-1")
    wait_for(lambda: "endpoint_gone endpoint=i-1" in log_of(world.gateway))
    assert "routes_taken version=2" not in log_of(world.gateway)
    wait_for(lambda: "routes_taken version=2" in log_of(world.gateway))
    world.gateway.end()


def metric(gateway, name):
    text = get(gateway.ports["control"], "/metrics", gateway.address)[2]
    found = re.search(rb"^comet_%s ([0-9.e+]+)$" % name.encode(), text, re.M)
    return float(found.group(1)) if found else None


def peers_bytes(gateway):
    """Returns the bytes that the gateway has received from other VMs on TCP connections."""
    text = get(gateway.ports["control"], "/metrics", gateway.address)[2]
    return int(re.search(rb'^comet_link_bytes_total{use="peers",direction="in"} (\d+)$', text, re.M)[1])


class NarrowZone:
    """Gateways of one zone on narrow links; two of them are directory readers."""

    def __init__(self, env=None):
        self.store = Store()
        self.store.put("op/config", document(1))
        self.servers = [Server(self.store, f"i-{n}", "svc") for n in range(3)]
        ports = free_ports(ADDRESS)
        seeds = f"{ADDRESS}:{ports['control']}"
        self.vms = [Gateway(self.store, address=ADDRESS[:-1] + str(n + 1), ports=ports, seeds=seeds, name=f"vm-{n}",
                            env=env or narrow(BUILD)) for n in range(VMS)]
        for vm in self.vms:
            wait_for(vm.ready)
        wait_for(lambda: sorted(metric(vm, "directory_reading") for vm in self.vms) == [1] * 2 + [2] * (VMS - 2), 30)

    def wait_for_version(self, version):
        for vm in self.vms:
            wait_for(lambda vm=vm: metric(vm, "routes_version") == version, IN_FORCE_S)

    def end(self):
        for vm in self.vms:
            vm.stop()
        return [vm.end(stopping=True) for vm in self.vms]


def test_zone_on_narrow_links():
    """In a zone of 26 VMs, two readers serve 24 followers. A document of a megabyte took up to 8 s to reach them and
    never reached some: three copies ran at a time, each was cut off after a second, and other requests were rejected
    every 0.4 s. Meanwhile, followers used old routes and endpoints that had left."""
    zone = NarrowZone()
    zone.store.put("op/config", large_document(2))
    zone.store.remove("servers/i-1")
    for vm in zone.vms:
        wait_for(lambda vm=vm: "endpoint_gone endpoint=i-1" in log_of(vm))
    zone.wait_for_version(2)
    for number in range(3, 7):
        zone.store.put("op/config", large_document(number))
        if number == 5:
            zone.store.remove("servers/i-2")
    zone.wait_for_version(6)
    for vm in zone.vms:
        gone, taken = order_of(vm, "endpoint_gone endpoint=i-1", "routes_taken version=2")
        assert 0 <= gone < taken, (vm.address, gone, taken)
    zone.end()


def test_document_that_changes_alone():
    """The last of a series of documents reached only the two readers of each zone until an endpoint changed, since
    readers reported only their position in the endpoints."""
    zone = NarrowZone()
    zone.store.put("op/config", large_document(2))
    zone.wait_for_version(2)
    before = [peers_bytes(vm) for vm in zone.vms]
    zone.store.put("op/config", large_document(3, routes=LARGE_ROUTES + 1))
    zone.wait_for_version(3)
    # the bytes between VMs grow with the change, not with the document
    forwarded = sum(peers_bytes(vm) - number for vm, number in zip(zone.vms, before))
    assert forwarded < len(json.dumps(large_document(3))), forwarded
    logs = zone.end()
    assert not any("transfer_abandoned" in text or "resync_failed" in text for text in logs)


if __name__ == "__main__":
    run_tests([], [test_last_answer_of_a_connection_is_written, test_document_that_takes_longer_than_a_call,
                   test_endpoint_leaves_while_a_document_arrives, test_zone_on_narrow_links,
                   test_document_that_changes_alone])
