"""vm_group.py: several gateways before the same endpoints, and callers that press on them"""
import random
import threading
import time

from cut_links import CutLinks
from gateway_world import ADDRESS, Gateway, answer_of, connect, document, request
from platform_standin import Server, Store, free_ports, wait_for


def address_of(number):
    return ADDRESS[:-1] + str(number + 1)


class VmGroup:
    """Gateways of one availability zone that know each other. Each endpoint records when requests arrive."""

    def __init__(self, vms, servers, cuttable=0, slots=8, versions=None, **settings):
        """cuttable: number of VMs, the last ones, whose links to the endpoints can be cut.
        versions: software version of each endpoint; None: all have the same."""
        self.store = Store()
        self.store.put("op/config", document(1))
        self.extra_headers = {}  # server name -> headers of its responses
        self.arrivals = {f"i-{n}": [] for n in range(servers)}
        self.servers = [Server(self.store, f"i-{n}", "svc", slots=slots) for n in range(servers)]
        for server, version in zip(self.servers, versions or []):
            server.publish(version=version)
        for server in self.servers:
            server.scripts["x"] = self.serve
        self.ports = free_ports(ADDRESS)
        self.settings = dict(seeds=f"{ADDRESS}:{self.ports['control']}", **settings)
        self.links = {number: CutLinks(self.servers) for number in range(vms - cuttable, vms)}
        self.vms = [self.start(number) for number in range(vms)]
        for vm in self.vms:
            wait_for(lambda vm=vm: vm.ready() and vm.log_text().count(b"event=vm_heard") >= vms - 1, 30)

    def start(self, number, **more):
        env = self.links[number].environment() if number in self.links else None
        return Gateway(self.store, address=address_of(number), ports=self.ports, name=f"vm-{number}", env=env,
                       **{**self.settings, **more})

    def serve(self, server, sock, path, headers, body):
        self.arrivals[server.name].append(time.monotonic())
        server.ran(path, headers, body)
        time.sleep(0.01)
        server.write_head(sock, headers, extra=self.extra_headers.get(server.name, ""), length=2)
        sock.sendall(b"ok")

    def call(self, number, path="/safe/x", **more):
        """Sends a request to a VM and returns (id, status, headers, body, whole)."""
        ident, data = request(path, **more)
        sock = connect(self.ports["callers"], address_of(number))
        sock.sendall(data)
        answer = answer_of(sock)
        sock.close()
        return (ident,) + answer

    def press(self, seconds, callers=8, vms=None, pause=0.05, **more):
        """Lets callers send one request after the other to random VMs; returns the number of responses by status."""
        statuses = {}
        over = time.monotonic() + seconds
        lock = threading.Lock()

        def run(seed):
            choose = random.Random(seed)
            while time.monotonic() < over:
                status = self.call(choose.choice(vms or range(len(self.vms))), **more)[1]
                with lock:
                    statuses[status] = statuses.get(status, 0) + 1
                time.sleep(pause)
        threads = [threading.Thread(target=run, args=(seed,)) for seed in range(callers)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return statuses

    def most_in_a_window(self, name, seconds, since):
        """Returns the largest number of requests that arrived at a server within a window."""
        times = [at for at in self.arrivals[name] if at >= since]
        return max((sum(1 for at in times if first <= at < first + seconds) for first in times), default=0)

    def end(self):
        running = [vm for vm in self.vms if vm.process.poll() is None]
        for vm in running:
            vm.stop()
        for vm in running:
            vm.end(stopping=True)
