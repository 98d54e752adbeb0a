"""test_eras.py: the store comes back from a copy that is some seconds old

What was written there since is gone, and revisions are given out again. A gateway that went by revisions alone took
what the new history says for what it knew already: 3 s later 10 of 30 requests still went to an endpoint that was gone,
none to the one that had come, for good; where the new history was far behind, the next change of routes was not in
force 12 s after it was written. The store's answers tell its era, which rises by one each time.
"""
import re
import threading

from gateway_world import ADDRESS, BUILD, OTHER_ADDRESS, Gateway, World, call, document, get, route, run_tests
from narrow_link import narrow, words
from platform_standin import Server, Store, wait_for


def eras():
    """A gateway before two servers and a store that tells its era."""
    world = World()
    world.store.era = 7
    touch(world, 1)
    wait_for(lambda: metric(world.gateway, "comet_directory_revision") == world.store.revision)
    return world


def metric(gateway, name):
    text = get(gateway.ports["control"], "/metrics", gateway.address)[2].decode()
    return float(re.search(rf"^{name} (\S+)$", text, re.M).group(1))


def touch(world, times):
    """Servers write their entries anew, as they do each second or so."""
    for number in range(times):
        world.servers[0].publish(sequence=number + 2)


def usable(gateway):
    """The endpoints that it may send to, by its metrics."""
    text = get(gateway.ports["control"], "/metrics", gateway.address)[2].decode()
    return set(re.findall(r'^comet_endpoint_draining{endpoint="([^"]*)".*} 0$', text, re.M))


def come_and_go(world):
    """In the new history one server has gone and another has come."""
    def then():
        world.store.remove("servers/i-1")
        world.servers.append(Server(world.store, "i-2", "svc"))
    return then


def check_new_history(world, gateway):
    wait_for(lambda: usable(gateway) == {"i-0", "i-2"})


def test_history_that_has_passed_again():
    """The new history is longer than what was known when anybody asks again: no 410 shows that it is another."""
    world = eras()
    touch(world, 5)
    wait_for(lambda: metric(world.gateway, "comet_directory_revision") == world.store.revision)

    def then():
        come_and_go(world)()
        touch(world, 20)
    world.store.go_back(2, then)
    check_new_history(world, world.gateway)
    assert "event=directory_era" in world.gateway.end()


def test_history_that_is_far_behind():
    """Its revisions are below what is known for long: what is written there is news all the same."""
    world = eras()
    touch(world, 400)
    world.store.put("op/config", document(2))
    wait_for(lambda: metric(world.gateway, "comet_routes_version") == 2)
    world.store.go_back(400, come_and_go(world))
    check_new_history(world, world.gateway)
    world.store.put("op/config", document(3, keys=("k1",)))
    wait_for(lambda: call(world.gateway, "/safe/x", key="k2")[1] == 401)
    world.gateway.end()


def test_twice_in_a_row():
    world = eras()
    touch(world, 50)
    world.store.go_back(20)
    touch(world, 3)
    world.store.go_back(30, come_and_go(world))
    check_new_history(world, world.gateway)
    assert metric(world.gateway, "comet_directory_era") == 9
    world.gateway.end()


def test_routes_and_keys_do_not_go_back():
    """The copy holds the routing document before the one in force: the one in force stays."""
    world = eras()
    touch(world, 3)
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
    """Documents that are read apart from entries, each time in another history, once while the last is on its way."""
    def large(version):
        result = document(version)
        result["routes"] += [route(word, "safe", 1) for word in words(4000)]
        return result
    world = World(env=narrow(BUILD, incoming=1000000))
    world.store.era = 7
    touch(world, 3)
    for version in range(2, 8):
        world.store.put("op/config", large(version))
        if version % 2:
            wait_for(lambda version=version: metric(world.gateway, "comet_routes_version") == version)
        world.store.go_back(1 + version % 3, lambda version=version: world.store.put("op/config", large(version)))
        touch(world, version)
    wait_for(lambda: metric(world.gateway, "comet_routes_version") == 7)
    wait_for(lambda: metric(world.gateway, "comet_directory_revision") == world.store.revision)
    assert metric(world.gateway, "comet_directory_era") == world.store.era
    world.store.remove("servers/i-1")
    wait_for(lambda: usable(world.gateway) == {"i-0"})
    for _ in range(20):
        wait_for(lambda: world.store.waiting > 0)
        assert world.store.waiting == 1  # one watch, however often it began anew
        touch(world, 1)
    world.gateway.end()


def test_what_was_gone_does_not_come_back():
    """The copy names an endpoint that has left since, and says that another, which leaves, is ready."""
    world = eras()
    world.servers.append(Server(world.store, "i-2", "svc"))
    wait_for(lambda: usable(world.gateway) == {"i-0", "i-1", "i-2"})
    world.servers[0].publish(state="draining")
    world.store.remove("servers/i-1")
    wait_for(lambda: usable(world.gateway) == {"i-2"})
    world.store.go_back(2)
    wait_for(lambda: metric(world.gateway, "comet_directory_era") == 8)
    assert usable(world.gateway) == {"i-2"}
    # what is written again counts
    world.servers[1].publish(sequence=9)
    wait_for(lambda: usable(world.gateway) == {"i-1", "i-2"})
    world.gateway.end()


def test_era_that_is_not_told():
    """A header that is missing or no number changes nothing, and is logged once."""
    world = eras()
    before = world.gateway.log_text().count(b"event=directory_era_invalid")
    for told in (None, "x", "-1", "7.5"):
        world.store.era = told
        touch(world, 3)
        wait_for(lambda: metric(world.gateway, "comet_directory_revision") == world.store.revision)
        assert metric(world.gateway, "comet_directory_era") == 7
    assert world.gateway.end().count("event=directory_era_invalid") == before + 1


def test_lower_era_decides_nothing():
    """An answer of an earlier era, as of a store's process that was thought to be gone."""
    world = eras()
    world.store.era = 6
    world.store.remove("servers/i-1")
    threading.Event().wait(1.5)
    assert usable(world.gateway) == {"i-0", "i-1"}
    world.store.era = 7
    wait_for(lambda: usable(world.gateway) == {"i-0"})
    world.gateway.end()


def test_vm_that_cannot_reach_the_store():
    """It learns of the new history from the copy of one that can, though revisions are lower there."""
    store = Store()
    store.era = 7
    store.put("op/config", document(1))
    world = World.__new__(World)
    world.store = store
    world.servers = [Server(store, f"i-{number}", "svc") for number in range(2)]
    touch(world, 100)
    there = Gateway(store)
    wait_for(there.ready)
    nowhere = Store()
    nowhere.down = True
    alone = Gateway(nowhere, address=OTHER_ADDRESS, ports=there.ports, seeds=f"{ADDRESS}:{there.ports['control']}")
    wait_for(alone.ready)
    wait_for(lambda: usable(alone) == {"i-0", "i-1"})
    store.go_back(100, come_and_go(world))
    check_new_history(world, there)
    check_new_history(world, alone)
    # it comes back to the store with a revision that the store has given out again
    nowhere.era, nowhere.items, nowhere.log = store.era, dict(store.items), list(store.log)
    nowhere.revision, nowhere.copies = store.revision, list(store.copies)
    nowhere.down = False
    wait_for(lambda: metric(alone, "comet_directory_losses_total") >= 1 and
             b"event=directory_regained" in alone.log_text())
    for one in (store, nowhere):
        one.put("op/config", document(2, keys=("k1",)))
    wait_for(lambda: call(alone, "/safe/x", key="k2")[1] == 401)
    check_new_history(world, alone)
    there.end()
    alone.end()


if __name__ == "__main__":
    run_tests([], [test_history_that_has_passed_again, test_history_that_is_far_behind, test_twice_in_a_row,
                   test_routes_and_keys_do_not_go_back, test_what_was_gone_does_not_come_back,
                   test_era_that_is_not_told, test_large_documents_in_new_histories, test_lower_era_decides_nothing,
                   test_vm_that_cannot_reach_the_store])
