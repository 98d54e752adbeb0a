"""test_evacuation.py: evacuation orders for availability zones, from the store to the requests of endpoints"""
import threading

from gateway_world import Gateway, World, answer_of, call, connect, document, request, route, run_tests
from platform_standin import wait_for
from test_readers import READS_FOR_OTHERS, Zone

ORDER = "op/evacuate/"
CALLS = 24  # an endpoint in use receives at least one of so many calls with near certainty


def two_zones(**settings):
    """Starts a gateway in zone z with endpoint i-0 in the same zone and endpoint i-1 in zone y."""
    world = World(**settings)
    world.store.remove("servers/i-1")
    world.servers[1].publish(zone="y")
    wait_for(lambda: b"zone=y" in world.gateway.log_text())
    return world


def serving_endpoint(world, path="/safe/x"):
    return call(world.gateway, path)[3].split()[0].decode()


def serving_endpoints(world):
    return {serving_endpoint(world) for _ in range(CALLS)}


def assert_usable(world, number):
    """Asserts that an endpoint serves requests while the other one is draining."""
    other = world.servers[1 - number]
    other.publish(state="draining")
    wait_for(lambda: serving_endpoint(world) == f"i-{number}")
    listed = b"endpoint_listed endpoint=" + other.name.encode()
    before = world.gateway.log_text().count(listed)
    other.publish(state="ready")
    wait_for(lambda: world.gateway.log_text().count(listed) > before)


def is_evacuated(world, zone="z"):
    return f"event=zone_evacuated zone={zone}".encode() in world.gateway.log_text()


def is_restored(world, zone="z"):
    return f"event=zone_restored zone={zone}".encode() in world.gateway.log_text()


def evacuate(world, zone="z"):
    world.store.put(ORDER + zone, {})
    wait_for(lambda: is_evacuated(world, zone))


def evacuate_and_lose_order(settled_ms):
    """Evacuates zone z, then restores the store from a backup without the order."""
    world = two_zones(settled_ms=settled_ms)
    world.store.era = 1
    world.store.put("op/config", document(2))
    wait_for(lambda: b"event=directory_era" in world.gateway.log_text())
    evacuate(world)
    world.store.go_back(1)
    return world


def test_evacuated_zone_receives_nothing():
    world = two_zones()
    assert_usable(world, 0)
    evacuate(world)
    assert serving_endpoints(world) == {"i-1"}
    world.store.remove(ORDER + "z")
    wait_for(lambda: is_restored(world))
    assert_usable(world, 0)
    world.gateway.end()


def test_running_requests_of_an_evacuated_zone_complete():
    world = two_zones()
    started = threading.Event()
    resume = threading.Event()

    def slow(server, sock, path, headers, body):
        started.set()
        resume.wait(20)
        server.plain(sock, path, headers, body)
    world.servers[0].scripts["slow"] = slow
    world.servers[1].publish(state="draining")
    wait_for(lambda: serving_endpoint(world) == "i-0")
    sock = connect(world.gateway.ports["callers"])
    sock.sendall(request("/once/slow", method="POST")[1])  # never retried, even if its endpoint sends nothing
    assert started.wait(20)
    world.servers[1].publish(state="ready")
    evacuate(world)
    resume.set()
    status, _, body, whole = answer_of(sock)
    assert status == 200 and whole and body.startswith(b"i-0"), (status, body)
    assert serving_endpoints(world) == {"i-1"}
    world.gateway.end()


def test_all_zones_evacuated_is_refused_at_once():
    world = two_zones()
    evacuate(world, "z")
    evacuate(world, "y")
    for path, method in (("/safe/x", "GET"), ("/once/x", "POST"), ("/sse/x", "POST")):
        _, status, headers, _, _ = call(world.gateway, path, method=method)
        assert status == 503 and float(headers["retry-after"]) > 0, (path, status, headers)
    assert b"reason=evacuated" in world.gateway.log_text()
    assert not any(server.runs for server in world.servers)
    world.store.remove(ORDER + "y")
    wait_for(lambda: is_restored(world, "y"))
    assert serving_endpoints(world) == {"i-1"}
    world.gateway.end()


def test_malformed_orders_change_nothing():
    world = two_zones()
    malformed = {"z": "garbage", "y": "[]", "": "{}", "z/y": "{}"}
    for zone, body in malformed.items():
        world.store.put(ORDER + zone, body)
    for zone in malformed:
        line = f"event=directory_item_refused key={ORDER}{zone} ".encode()
        wait_for(lambda line=line: line in world.gateway.log_text())
    evacuate(world, "without-endpoints")  # a zone without endpoints may be evacuated
    assert_usable(world, 0)
    assert_usable(world, 1)
    # an invalid order leaves an earlier order in force
    evacuate(world)
    world.store.put(ORDER + "z", "{")
    wait_for(lambda: world.gateway.log_text().count(b"directory_item_refused key=op/evacuate/z ") == 2)
    assert serving_endpoints(world) == {"i-1"}
    world.gateway.end()


def test_order_stays_in_force_during_an_outage():
    world = two_zones()
    evacuate(world)
    world.store.down = True
    wait_for(lambda: b"event=directory_lost" in world.gateway.log_text())
    assert serving_endpoints(world) == {"i-1"}
    world.store.remove(ORDER + "z")
    assert serving_endpoints(world) == {"i-1"}
    world.store.down = False
    wait_for(lambda: is_restored(world))
    assert_usable(world, 0)
    world.gateway.end()


def test_order_after_history_was_compacted():
    world = two_zones()
    world.store.forgotten = world.store.revision + 1
    evacuate(world)
    assert serving_endpoints(world) == {"i-1"}
    world.store.remove(ORDER + "z")
    world.store.forgotten = world.store.revision
    wait_for(lambda: is_restored(world))
    assert_usable(world, 0)
    world.gateway.end()


def test_order_missing_from_a_backup_holds_until_it_is_written_again():
    world = evacuate_and_lose_order(settled_ms=60000)
    wait_for(lambda: b"event=directory_era era=2" in world.gateway.log_text())
    world.store.put("op/config", document(3))
    wait_for(lambda: b"event=routes_taken version=3" in world.gateway.log_text())
    assert serving_endpoints(world) == {"i-1"}
    world.store.put(ORDER + "z", {})
    world.store.remove(ORDER + "z")
    wait_for(lambda: is_restored(world))
    world.gateway.end()


def test_order_that_is_not_written_again_expires():
    world = evacuate_and_lose_order(settled_ms=500)
    wait_for(lambda: is_restored(world))
    assert_usable(world, 0)
    world.gateway.end()


def test_order_is_known_from_the_start():
    world = two_zones()
    world.store.put(ORDER + "z", {})
    new_gateway = Gateway(world.store, address=world.gateway.address[:-1] + "2")
    wait_for(new_gateway.ready)
    used = set()
    for _ in range(CALLS):
        sock = connect(new_gateway.ports["callers"], new_gateway.address)
        sock.sendall(request("/safe/x")[1])
        used.add(answer_of(sock)[2].split()[0])
    assert used == {b"i-1"}, used
    new_gateway.end()
    world.gateway.end()


def test_order_is_not_delayed_by_a_large_document():
    world = two_zones()
    large = document(2)
    large["routes"] += [route(f"more-{number}", "safe", 1) for number in range(2000)]
    world.store.hold_back("op/config")
    world.store.put("op/config", large)
    wait_for(lambda: world.store.held_back_calls > 0)
    evacuate(world)
    world.store.remove(ORDER + "z")
    wait_for(lambda: is_restored(world))
    evacuate(world, "y")
    assert serving_endpoints(world) == {"i-0"}
    world.store.hold_back(None)
    wait_for(lambda: b"event=routes_taken version=2" in world.gateway.log_text())
    assert serving_endpoints(world) == {"i-0"}
    world.store.remove(ORDER + "y")
    wait_for(lambda: is_restored(world, "y"))
    world.gateway.end()


def test_order_reaches_every_vm_though_the_readers_are_killed():
    zone = Zone()
    readers = zone.doing(READS_FOR_OTHERS)
    zone.store.put(ORDER + "z", {})
    for vm in readers:
        vm.process.kill()
        vm.process.wait()
    survivors = [vm for vm in zone.vms if vm not in readers]
    for vm in survivors:
        wait_for(lambda vm=vm: b"event=zone_evacuated zone=z" in vm.log_text())
    zone.store.remove(ORDER + "z")
    for vm in survivors:
        wait_for(lambda vm=vm: b"event=zone_restored zone=z" in vm.log_text())
    zone.end()


if __name__ == "__main__":
    run_tests([], [test_evacuated_zone_receives_nothing, test_running_requests_of_an_evacuated_zone_complete,
                   test_all_zones_evacuated_is_refused_at_once, test_malformed_orders_change_nothing,
                   test_order_stays_in_force_during_an_outage, test_order_after_history_was_compacted,
                   test_order_missing_from_a_backup_holds_until_it_is_written_again,
                   test_order_that_is_not_written_again_expires, test_order_is_known_from_the_start,
                   test_order_is_not_delayed_by_a_large_document,
                   test_order_reaches_every_vm_though_the_readers_are_killed])
