"""test_eras.py: the store comes back from a copy that is some seconds old

What was written there since is gone, and revisions are given out again. A gateway that went by revisions alone took
what the new history says for what it knew already: 3 s later 10 of 30 requests still went to an endpoint that was gone,
none to the one that had come, for good; where the new history was far behind, the next change of routes was not in
force 12 s after it was written. The store's answers tell its era, which rises by one each time.
"""
import re
import threading

from gateway_world import ADDRESS, OTHER_ADDRESS, Gateway, World, call, document, get, run_tests
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


def served_by(gateway):
    return {call(gateway, "/safe/x")[3].split()[0].decode() for _ in range(10)}


def come_and_go(world):
    """In the new history one server has gone and another has come."""
    def then():
        world.store.remove("servers/i-1")
        world.servers.append(Server(world.store, "i-2", "svc"))
    return then


def check_new_history(world, gateway):
    wait_for(lambda: served_by(gateway) == {"i-0", "i-2"})


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
    """Its revisions are below what is known for long."""
    world = eras()
    touch(world, 400)
    wait_for(lambda: metric(world.gateway, "comet_directory_revision") > 400)
    world.store.go_back(400, come_and_go(world))
    check_new_history(world, world.gateway)
    world.store.put("op/config", document(2, keys=("k1",)))
    wait_for(lambda: call(world.gateway, "/safe/x", key="k2")[1] == 401)
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
    wait_for(lambda: served_by(alone) == {"i-0", "i-1"})
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
    run_tests([], [test_history_that_has_passed_again, test_history_that_is_far_behind,
                   test_vm_that_cannot_reach_the_store])
