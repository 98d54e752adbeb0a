"""caller_crowd.py: a crowd of callers at one VM that send what the limits allow, and what must hold beside them

The tests check only that the processes live, that memory and descriptors stay under a bound, and that an ordinary
request is answered beside the crowd or after it.
"""
import os
import select
import threading

from gateway_world import connect, document, get, request
from platform_standin import wait_for
from test_narrow_links import metric
from vm_group import VmGroup

CROWD = 200  # connections at one VM
MEMORY_MB = 88
HEAD_BYTES = 16384
# the sanitizer keeps freed blocks by default
os.environ["ASAN_OPTIONS"] = os.environ.get("ASAN_OPTIONS", "") + ":quarantine_size_mb=1"


def crowded_group(head_bytes=HEAD_BYTES, vms=2, **settings):
    """VMs whose document lets callers pause for as long as the test lasts."""
    settings = {name: value for name, value in {"memory_mb": MEMORY_MB, **settings}.items() if value is not None}
    group = VmGroup(vms, 2, slots=CROWD, **settings)
    group.held, group.release = set(), threading.Event()
    for server in group.servers:
        server.scripts["hold"] = lambda server, sock, path, headers, body: hold(group, server, sock, headers)
    text = document(2)
    text["limits"].update(max_header_bytes=head_bytes, max_body_bytes=4194304, header_timeout_ms=600000,
                          idle_timeout_ms=600000)
    for route in text["routes"]:
        route["timeout_ms"] = 600000
    group.store.put("op/config", text)
    for vm in group.vms:
        wait_for(lambda vm=vm: metric(vm, "routes_version") == 2)
    return group


def hold(group, server, sock, headers):
    """Answers a request once the test releases all of them. Until then it sends a byte at a time: a silent endpoint gets
    no further requests."""
    group.held.add(headers["x-cometspindle-request-id"])
    server.write_head(sock, headers)
    while not group.release.wait(0.2):
        server.chunk(sock, b".")
    sock.sendall(b"0\r\n\r\n")


def memory_bytes(vm):
    with open(f"/proc/{vm.process.pid}/status", encoding="ascii") as status:
        return next(int(line.split()[1]) * 1024 for line in status if line.startswith("RssAnon"))


def head_of(lines, head_bytes=HEAD_BYTES, share=0.9, path="/safe/x"):
    """Returns a request that consists of a usual one and of the lines, as many as fit into this share of the limit."""
    data = request(path, deadline_ms=600000)[1][:-2]
    size = sum(len(line) + 2 for line in data.splitlines())
    for line in lines:
        size += len(line) + 2
        if size > share * head_bytes:
            break
        data += line + b"\r\n"
    return data + b"\r\n"


def crowd_of(group, data, count=CROWD):
    socks = []
    for _ in range(count):
        socks.append(connect(group.ports["callers"], group.vms[0].address))
        socks[-1].sendall(data)
    return socks


def received(vm):
    """Returns the bytes that a VM has read from callers."""
    text = get(vm.ports["control"], "/metrics", vm.address)[2].decode()
    return next(float(line.split()[-1]) for line in text.splitlines()
                if line.startswith('comet_link_bytes_total{use="callers",direction="in"}'))


def run_requests(group, data_of):
    """Opens a connection for each request of the crowd. Most of them run, or are answered, before the next one is sent,
    since the endpoints of the tests accept connections slowly."""
    socks = []
    poller = select.poll()
    for _ in range(CROWD):
        socks += crowd_of(group, data_of(), 1)
        poller.register(socks[-1], select.POLLIN)
        wait_for(lambda: len(group.held) + len(poller.poll(0)) >= len(socks) - 5)
    wait_for(lambda: len(group.held) + len(poller.poll(0)) >= len(socks))
    return socks


def check_served(group):
    """Sends an ordinary request to each VM."""
    for number in range(len(group.vms)):
        assert group.call(number, deadline_ms=600000)[1] == 200, number


def check_memory(group, before, what, memory_mb=MEMORY_MB):
    """Callers may occupy a quarter of the VM's memory in all."""
    grown = memory_bytes(group.vms[0]) - before
    assert grown <= memory_mb * 1048576 / 4, (what, grown)
