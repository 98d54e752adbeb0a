"""replaced_seeds.py: the seeds are replaced; running VMs ignore the new ones, and two fleets share out one allotment each"""
import json
import os
import signal
import socket
import sys
import threading
import time
import traceback

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from deployment_2 import Deployment, Reader, Record, Vm, document, read_answer, request, route, wait_for  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
VMS = 9               # of the smallest sheet
REPLACED = 3          # machines that are lost for good and replaced: the seeds
SETTLE_S = 8.0        # longer than contact_ms, and than a machine takes to look for the others
PRESS_S = 20.0
RATE = 100000         # rate_per_s and burst of the tenant, in tokens
TOKENS = (9000, 1000)
WINDOW_S = 8.0        # quota_window_s
OVERAGE, SLACK = 0.25, 72000  # quota_overage, quota_slack
PER_VM_S = 8.0        # requests a second that the tenant's clients send to each machine


def routes():
    return [route("safe", "safe", timeout_ms=1000, target_latency_ms=150, priority=0)]


def press(vm, until, counts, lock):
    """A client of the tenant that sends requests on a kept connection."""
    try:
        with socket.create_connection((vm.address, vm.ports["callers"])) as sock:
            sock.settimeout(5)
            reader = Reader(sock)
            while time.monotonic() < until:
                due = time.monotonic() + 1 / PER_VM_S
                sock.sendall(request("/safe/plain", deadline_ms=1000,
                                     headers=["X-Cometspindle-Token-Count: %d,%d" % TOKENS])[1])
                status = read_answer(reader)[0]
                with lock:
                    counts[status] = counts.get(status, 0) + 1
                time.sleep(max(due - time.monotonic(), 0))
    except OSError as error:
        with lock:
            counts[str(error)] = counts.get(str(error), 0) + 1


def run(server, sock, path, headers, body):
    server.run_times.append(time.monotonic())
    server.write_head(sock, headers, length=2)
    sock.sendall(b"ok")


def replace_seeds(deployment, record):
    """Loses the seeds for good and starts a machine in place of each. All settings name the new ones."""
    first = deployment.vms[0]
    lost, kept = deployment.vms[:REPLACED], deployment.vms[REPLACED:]
    net = first.address.rsplit(".", 1)[0]
    addresses = [f"{net}.{VMS + n + 1}" for n in range(REPLACED)]
    seeds = ",".join(f"{address}:{first.ports['control']}" for address in addresses)
    for vm in lost:
        vm.process.kill()
    record("lost for good: " + ", ".join(vm.address for vm in lost))
    new = [Vm(VMS + n, address, first.ports, seeds, deployment.store.port, deployment.folder.name)
           for n, address in enumerate(addresses)]
    deployment.vms += new
    for vm in new:
        wait_for(vm.ready)
    record("started in their place: " + ", ".join(addresses))
    for vm in kept:
        with open(vm.settings_path) as file:
            settings = json.load(file)
        settings["gateway"]["seeds"] = seeds
        with open(vm.settings_path, "w") as file:
            json.dump(settings, file)
        vm.process.send_signal(signal.SIGHUP)
    record(f"the settings of all name the seeds {seeds}; the machines that stayed have got SIGHUP")
    return kept + new


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    deployment = Deployment(routes(), vms=VMS)
    try:
        tenants = document(2, routes())
        tenants["tenants"][0].update(rate_per_s=RATE, burst=RATE)
        deployment.store.put("op/config", tenants)
        for server in deployment.servers:
            server.run_times = []
            server.scripts["plain"] = run
        time.sleep(SETTLE_S)
        vms = replace_seeds(deployment, record) if TROUBLE else deployment.vms
        time.sleep(SETTLE_S)
        counts, lock = {}, threading.Lock()
        until = time.monotonic() + PRESS_S
        threads = [threading.Thread(target=press, args=(vm, until, counts, lock)) for vm in vms]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        record(f"answers to the tenant by status: {counts}")
        for vm in vms:
            log = vm.log()
            found = [line[line.index("event="):] for line in log.splitlines() if "discovery_complete" in line]
            record(f"log of {vm.address}: {found}, machines heard: {log.count('event=vm_heard')}, "
                   f"reloads: {log.count('event=reloaded')}")
        times = sorted(at for server in deployment.servers for at in server.run_times)
        tokens = sum(TOKENS)
        most = max(sum(tokens for at in times if first <= at < first + WINDOW_S) for first in times)
        bound = (RATE * WINDOW_S + RATE) * (1 + OVERAGE) + SLACK
        record(f"most tokens that servers ran in {WINDOW_S:.0f} s: {most}; allowed: {bound:.0f}")
        return 1 if most > bound else 0
    finally:
        deployment.end()


if __name__ == "__main__":
    try:
        sys.exit(main())
    except Exception:
        traceback.print_exc()
        sys.exit(2)
