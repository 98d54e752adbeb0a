"""test_eras.py: the store is restored from a backup that is some seconds old

Writes since the backup are lost, and the store assigns their revisions again. A gateway that compared only revisions
mistook entries of the new history for known ones: after 3 s, 10 of 30 requests still went to an endpoint that had left,
and the endpoint that had joined never received any. Where the new revisions were far lower, the next change of routes
was not in force 12 s after it was written. The store's answers contain its epoch (the header Store-Era), which
increases by one with each restore.
"""
import re
import threading

from gateway_world import ADDRESS, BUILD, OTHER_ADDRESS, Gateway, World, call, document, get, route, run_tests
from narrow_link import narrow, words
from platform_standin import Server, Store, wait_for


def start_world():
    """Starts a gateway with two servers and a store whose answers contain an epoch."""
    world = World()
    world.store.era = 7
    rewrite_entry(world, 1)
    wait_for(lambda: metric(world.gateway, "comet_directory_revision") == world.store.revision)
    return world


def metric(gateway, name):
    text = get(gateway.ports["control"], "/metrics", gateway.address)[2].decode()
    return float(re.search(rf"^{name} (\S+)$", text, re.M).group(1))


def rewrite_entry(world, times):
    """Rewrites a server's entry several times, as servers do about once a second."""
    for number in range(times):
        world.servers[0].publish(sequence=number + 2)


def usable_endpoints(gateway):
    """Returns the endpoints that a gateway may use, from its metrics."""
    text = get(gateway.ports["control"], "/metrics", gateway.address)[2].decode()
    return set(re.findall(r'^comet_endpoint_draining{endpoint="([^"]*)".*} 0$', text, re.M))


def replace_server(world):
    """Returns a function that removes one server and adds another, as the first changes of a new history."""
    def then():
        world.store.remove("servers/i-1")
        world.servers.append(Server(world.store, "i-2", "svc"))
    return then


def wait_for_new_history(world, gateway):
    wait_for(lambda: usable_endpoints(gateway) == {"i-0", "i-2"})


def test_new_history_that_has_passed_the_known_revision():
    """The new history has passed the known revision when the gateway asks again, so that no 410 reveals the restore."""
    world = start_world()
    rewrite_entry(world, 5)
    wait_for(lambda: metric(world.gateway, "comet_directory_revision") == world.store.revision)

    def then():
        replace_server(world)()
        rewrite_entry(world, 20)
    world.store.go_back(2, then)
    wait_for_new_history(world, world.gateway)
    assert "event=directory_era" in world.gateway.end()


def test_new_history_with_far_lower_revisions():
    """Changes in the new history apply although their revisions stay below the known one for long."""
    world = start_world()
    rewrite_entry(world, 400)
    world.store.put("op/config", document(2))
    wait_for(lambda: metric(world.gateway, "comet_routes_version") == 2)
    world.store.go_back(400, replace_server(world))
    wait_for_new_history(world, world.gateway)
    world.store.put("op/config", document(3, keys=("k1",)))
    wait_for(lambda: call(world.gateway, "/safe/x", key="k2")[1] == 401)
    world.gateway.end()


def test_two_restores_in_a_row():
    world = start_world()
    rewrite_entry(world, 50)
    world.store.go_back(20)
    rewrite_entry(world, 3)
    world.store.go_back(30, replace_server(world))
    wait_for_new_history(world, world.gateway)
    assert metric(world.gateway, "comet_directory_era") == 9
    world.gateway.end()


def test_routes_and_keys_do_not_revert():
    """The backup contains an earlier routing document than the one in force, which stays in force."""
    world = start_world()
    rewrite_entry(world, 3)
    world.store.put("op/config", document(2, keys=("k1",)))
    wait_for(lambda: call(world.gateway, "/safe/x", key="k2")[1] == 401)
    world.store.go_back(1)
    wait_for(lambda: metric(world.gateway, "comet_directory_era") == 8)
    assert {call(world.gateway, "/safe/x", key="k2")[1] for _ in range(20)} == {401}
    world.store.put("op/config", document(2, keys=("k1",)))
    world.store.put("op/config", document(3, keys=("k2",)))
    wait_for(lambda: call(world.gateway, "/safe/x", key="k1")[1] == 401)
    world.gateway.end()


def test_large_documents_in_new_histories():
    """Documents that are read separately from entries, each in another history, some during a running transfer."""
    def large(version):
        result = document(version)
        result["routes"] += [route(word, "safe", 1) for word in words(4000)]
        return result
    world = World(env=narrow(BUILD, incoming=1000000))
    world.store.era = 7
    rewrite_entry(world, 3)
    for version in range(2, 8):
        world.store.put("op/config", large(version))
        if version % 2:
            wait_for(lambda version=version: metric(world.gateway, "comet_routes_version") == version)
        world.store.go_back(1 + version % 3, lambda version=version: world.store.put("op/config", large(version)))
        rewrite_entry(world, version)
    wait_for(lambda: metric(world.gateway, "comet_routes_version") == 7)
    wait_for(lambda: metric(world.gateway, "comet_directory_revision") == world.store.revision)
    assert metric(world.gateway, "comet_directory_era") == world.store.era
    world.store.remove("servers/i-1")
    wait_for(lambda: usable_endpoints(world.gateway) == {"i-0"})
    for _ in range(20):
        wait_for(lambda: world.store.waiting > 0)
        assert world.store.waiting == 1  # a single watch, however often it was restarted
        rewrite_entry(world, 1)
    world.gateway.end()


def test_endpoints_that_left_are_not_used_again():
    """The backup lists an endpoint that has left since, and another one, which is draining, as ready."""
    world = start_world()
    world.servers.append(Server(world.store, "i-2", "svc"))
    wait_for(lambda: usable_endpoints(world.gateway) == {"i-0", "i-1", "i-2"})
    world.servers[0].publish(state="draining")
    world.store.remove("servers/i-1")
    wait_for(lambda: usable_endpoints(world.gateway) == {"i-2"})
    world.store.go_back(2)
    wait_for(lambda: metric(world.gateway, "comet_directory_era") == 8)
    assert usable_endpoints(world.gateway) == {"i-2"}
    # an entry that is written again applies
    world.servers[1].publish(sequence=9)
    wait_for(lambda: usable_endpoints(world.gateway) == {"i-1", "i-2"})
    world.gateway.end()


def test_missing_or_invalid_epoch():
    """A missing or invalid epoch header has no effect and is logged once."""
    world = start_world()
    before = world.gateway.log_text().count(b"event=directory_era_invalid")
    for invalid in (None, "x", "-1", "7.5"):
        world.store.era = invalid
        rewrite_entry(world, 3)
        wait_for(lambda: metric(world.gateway, "comet_directory_revision") == world.store.revision)
        assert metric(world.gateway, "comet_directory_era") == 7
    assert world.gateway.end().count("event=directory_era_invalid") == before + 1


def test_lower_epoch_is_ignored():
    """Answers of an earlier epoch are ignored, such as those of an old store process that still runs."""
    world = start_world()
    world.store.era = 6
    world.store.remove("servers/i-1")
    threading.Event().wait(1.5)
    assert usable_endpoints(world.gateway) == {"i-0", "i-1"}
    world.store.era = 7
    wait_for(lambda: usable_endpoints(world.gateway) == {"i-0"})
    world.gateway.end()


def test_vm_that_cannot_reach_the_store():
    """A VM without access to the store takes the new history from a peer's snapshot, whose revisions are lower."""
    store = Store()
    store.era = 7
    store.put("op/config", document(1))
    world = World.__new__(World)
    world.store = store
    world.servers = [Server(store, f"i-{number}", "svc") for number in range(2)]
    rewrite_entry(world, 100)
    connected = Gateway(store)
    wait_for(connected.ready)
    unreachable_store = Store()
    unreachable_store.down = True
    isolated = Gateway(unreachable_store, address=OTHER_ADDRESS, ports=connected.ports,
                       seeds=f"{ADDRESS}:{connected.ports['control']}")
    wait_for(isolated.ready)
    wait_for(lambda: usable_endpoints(isolated) == {"i-0", "i-1"})
    store.go_back(100, replace_server(world))
    wait_for_new_history(world, connected)
    wait_for_new_history(world, isolated)
    # it reaches the store again with a revision that the store has assigned a second time
    unreachable_store.era, unreachable_store.items = store.era, dict(store.items)
    unreachable_store.log = list(store.log)
    unreachable_store.revision, unreachable_store.copies = store.revision, list(store.copies)
    unreachable_store.down = False
    wait_for(lambda: metric(isolated, "comet_directory_losses_total") >= 1 and
             b"event=directory_regained" in isolated.log_text())
    for one in (store, unreachable_store):
        one.put("op/config", document(2, keys=("k1",)))
    wait_for(lambda: call(isolated, "/safe/x", key="k2")[1] == 401)
    wait_for_new_history(world, isolated)
    connected.end()
    isolated.end()


if __name__ == "__main__":
    run_tests([], [test_new_history_that_has_passed_the_known_revision, test_new_history_with_far_lower_revisions,
                   test_two_restores_in_a_row, test_routes_and_keys_do_not_revert,
                   test_endpoints_that_left_are_not_used_again, test_missing_or_invalid_epoch,
                   test_large_documents_in_new_histories, test_lower_epoch_is_ignored,
                   test_vm_that_cannot_reach_the_store])
