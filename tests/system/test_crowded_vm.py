"""test_crowded_vm.py: several VMs, one of which suddenly gets nine tenths of all new connections

Callers open a connection for each request. The platform may hand most new connections to one VM for some seconds, while
callers open more of them: requests that a VM has read must be served at the first attempt nearly as often as before.
"""
import random
import threading

from gateway_world import request, answer_of, connect, run_tests
from vm_group import VmGroup, address_of

VMS = 5
SERVERS = 6
CROWDED = 1  # not the first VM, which is the seed of all
CROWD_SHARE = 0.9
SERVED_SHARE_MIN = 0.75  # of the share that was served before


def call_once(group, number, path):
    """Sends one request on a new connection. Returns its status; 0: cut off, None: not read by the VM."""
    try:
        sock = connect(group.ports["callers"], address_of(number))
    except ConnectionRefusedError:
        return None
    with sock:
        try:
            sock.sendall(request(path)[1])
            return answer_of(sock)[0]
        except (ConnectionResetError, BrokenPipeError):
            return None


def phase(group, callers, requests, crowded, path="/safe/x"):
    """Lets callers send a fixed number of requests each. Returns the number of first attempts by status. A request that
    was not read is sent to another VM, and must be read there."""
    statuses = {}
    lock = threading.Lock()

    def run(seed):
        choose = random.Random(seed)
        for _ in range(requests):
            others = [number for number in range(VMS) if number != CROWDED]
            to = CROWDED if crowded and choose.random() < CROWD_SHARE else choose.randrange(VMS)
            status = call_once(group, to, path)
            if status is None:
                status = call_once(group, choose.choice(others), path)
            with lock:
                statuses[status] = statuses.get(status, 0) + 1
    threads = [threading.Thread(target=run, args=(seed,)) for seed in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return statuses


def served_share(statuses):
    """Returns the share of the requests that were read which got 200; rejections by a team limit do not count."""
    counted = {status: times for status, times in statuses.items() if status != 429}
    return counted.get(200, 0) / sum(counted.values())


def check_phases(path):
    group = VmGroup(VMS, SERVERS)
    before = phase(group, 8, 60, False, path)
    after = phase(group, 16, 60, True, path)
    print(path, "before", before, "after", after, flush=True)
    assert served_share(before) > 0.95, before
    assert None not in after, after
    assert served_share(after) >= SERVED_SHARE_MIN * served_share(before), (before, after)
    group.end()


def test_requests_that_may_be_retried():
    check_phases("/safe/x")


def test_requests_that_run_once():
    check_phases("/once/x")


if __name__ == "__main__":
    run_tests([], [test_requests_that_may_be_retried, test_requests_that_run_once])
