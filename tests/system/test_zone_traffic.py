"""test_zone_traffic.py: requests that stay in the gateway's zone, bytes that cross zones, and stated slowdowns"""
import re

from gateway_world import World, call, get, run_tests
from platform_standin import wait_for
from test_evacuation import evacuate, serving_endpoints, two_zones


def metrics(gateway):
    return get(gateway.ports["control"], "/metrics")[2].decode()


def crossing(gateway):
    """Returns the bytes exchanged with endpoints of other zones."""
    rows = re.findall(r'^comet_zone_crossing_bytes_total{use="endpoints",direction="\w+"} (\d+)$',
                      metrics(gateway), re.M)
    assert len(rows) == 2
    return sum(map(int, rows))


def all_bytes(gateway):
    rows = re.findall(r'^comet_link_bytes_total{use="endpoints",direction="\w+"} (\d+)$', metrics(gateway), re.M)
    return sum(map(int, rows))


def test_requests_stay_in_the_zone_until_it_is_evacuated():
    world = two_zones(prefer_own_zone=True)
    assert serving_endpoints(world) == {"i-0"}
    assert crossing(world.gateway) == 0 < all_bytes(world.gateway)
    evacuate(world)
    before = all_bytes(world.gateway)
    assert serving_endpoints(world) == {"i-1"}
    assert crossing(world.gateway) == all_bytes(world.gateway) - before > 0
    world.gateway.end()


def stating(load):
    """Returns a script of an endpoint whose responses have this load header."""
    def answer(server, sock, path, headers, body):
        text = server.name.encode()
        server.ran(path, headers, body)
        server.write_head(sock, headers, extra=f"X-Cometspindle-Instance-Load: {load}\r\n", length=len(text))
        sock.sendall(text)
    return answer


def test_stated_slowdowns_are_used_and_absurd_ones_ignored():
    world = World(servers=1)
    name = world.servers[0].name
    slowdown = f'comet_endpoint_slowdown{{endpoint="{name}",service="svc"}}'
    for load in ("1,0,4,0", "1,0,4,1000000000", "1,0,4"):
        world.script("x", stating(load))
        assert call(world.gateway, "/safe/x")[1] == 200
        assert slowdown not in metrics(world.gateway), load
    assert "comet_slowdowns_ignored_total 2\n" in metrics(world.gateway)
    assert b"event=slowdown_ignored" in world.gateway.log_text()
    world.script("x", stating("1,0,4,99999999999"))
    assert call(world.gateway, "/safe/x")[1] == 200
    assert b"event=header_ignored" in world.gateway.log_text()
    world.script("x", stating("1,0,4,250"))

    def shown():
        call(world.gateway, "/safe/x")
        return slowdown in metrics(world.gateway)
    wait_for(shown)
    call(world.gateway, "/safe/x")
    assert re.search(rb"event=sent .*slowdown=[12]\.\d+ slowdown_age_ms=\d+ .*near=1", world.gateway.log_text())
    world.gateway.end()


if __name__ == "__main__":
    run_tests([], [test_requests_stay_in_the_zone_until_it_is_evacuated,
                   test_stated_slowdowns_are_used_and_absurd_ones_ignored])
