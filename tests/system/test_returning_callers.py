"""test_returning_callers.py: callers that are refused in a peak of load and come back once, at another VM"""
import re
import threading
import time

from gateway_world import run_tests
from platform_standin import wait_for
from vm_group import VmGroup

WORK_S = 0.4
DEADLINE_S = 4


class Group(VmGroup):
    """Its endpoint has one slot and works for some time on each request."""

    def serve(self, server, sock, path, headers, body):
        time.sleep(WORK_S)
        super().serve(server, sock, path, headers, body)

    def send_and_return(self, number, ends, lock):
        """Sends a request; if it is refused, sends it again to the next VM after the Retry-After, at the latest after a
        third of its time."""
        body = b"%d" % number
        vm = number % len(self.vms)
        _, status, headers, _, _ = self.call(vm, method="POST", body=body, deadline_ms=DEADLINE_S * 1000)
        first = status
        if status == 503:
            time.sleep(min(float(headers["retry-after"]), DEADLINE_S / 3))
            status = self.call((vm + 1) % len(self.vms), method="POST", body=body, deadline_ms=DEADLINE_S * 1000)[1]
        with lock:
            ends.append((first, status))

    def count(self, event):
        return sum(vm.log_text().count(event) for vm in self.vms)


def test_refused_callers_are_recognized_at_another_vm():
    group = Group(vms=3, servers=1, slots=1, returning_callers=True)
    time.sleep(3)  # until the VMs are old enough to own records
    ends = []
    lock = threading.Lock()
    threads = [threading.Thread(target=group.send_and_return, args=(number, ends, lock)) for number in range(45)]
    for thread in threads:
        thread.start()
        time.sleep(0.06)
    for thread in threads:
        thread.join()
    refused = [end for end in ends if end[0] == 503]
    assert refused and {first for first, _ in ends} == {200, 503}, ends
    announced = group.count(b"event=return_announced")
    assert announced >= len(refused), (announced, len(refused))
    wait_for(lambda: 1 <= group.count(b"event=caller_returned") <= announced)
    # Each refusal names where its time comes from.
    sources = set()
    for vm in group.vms:
        sources.update(re.findall(rb"event=refused .*reason=no_room .*retry_from=(\w+)", vm.log_text()))
    assert sources and sources <= {b"queue", b"owner", b"booked"}, sources
    group.end()


if __name__ == "__main__":
    run_tests([], [test_refused_callers_are_recognized_at_another_vm])
