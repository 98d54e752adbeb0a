"""test_advertised_limits.py: endpoints that advertise a limit on the requests per second of all VMs together"""
import time

from gateway_world import get, run_tests
from platform_standin import wait_for
from vm_group import VmGroup

WINDOW_S = 4
SETTLE_S = 3  # from then on all VMs that have passed on a response with a limit must keep it


def allowed(limit):
    return 1.5 * limit * WINDOW_S + 5


def advertise(group, limits):
    group.extra_headers = {name: f"Server-Limit: {limit}\r\n" for name, limit in limits.items()}


def limit_of(group, number, endpoint):
    text = get(group.ports["control"], "/metrics", group.vms[number].address)[2].decode()
    for line in text.splitlines():
        if line.startswith(f'comet_endpoint_advertised_limit{{endpoint="{endpoint}"'):
            return float(line.split()[-1])
    return None


def press_with_limits(limits):
    group = VmGroup(vms=4, servers=3)
    group.press(1)
    advertise(group, limits)
    since = time.monotonic() + SETTLE_S
    group.press(SETTLE_S + 7, callers=12)
    for name, limit in limits.items():
        most = group.most_in_a_window(name, WINDOW_S, since)
        assert 0 < most <= allowed(limit), (name, limit, most)
    return group


def test_all_vms_together_stay_within_the_limit():
    press_with_limits({"i-0": 2, "i-1": 0.5}).end()


def test_all_endpoints_advertise_a_limit_and_withdraw_it():
    group = press_with_limits({"i-0": 2, "i-1": 2, "i-2": 1})
    advertise(group, {})
    for vm in group.vms:
        wait_for(lambda vm=vm: [limit_of(group, group.vms.index(vm), f"i-{n}") for n in range(3)] == [None] * 3 or
                 group.press(0.2) is None, 30)
    group.end()


def test_malformed_limits_change_nothing():
    group = VmGroup(vms=1, servers=1)
    advertise(group, {"i-0": 50})
    wait_for(lambda: group.press(0.2) and limit_of(group, 0, "i-0") == 50)
    for malformed in ("fast", "-1", "1e9", ""):
        advertise(group, {"i-0": malformed})
        before = group.vms[0].log_text().count(b"event=header_ignored endpoint=i-0 header=Server-Limit")
        wait_for(lambda: group.press(0.2) and before < group.vms[0].log_text().count(
            b"event=header_ignored endpoint=i-0 header=Server-Limit"))
        assert limit_of(group, 0, "i-0") == 50, malformed
    group.end()


if __name__ == "__main__":
    run_tests([], [test_all_vms_together_stay_within_the_limit,
                   test_all_endpoints_advertise_a_limit_and_withdraw_it, test_malformed_limits_change_nothing])
