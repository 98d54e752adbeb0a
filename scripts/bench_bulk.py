"""bench.sh bulk: a zone of gateways on links of 10 Mbit/s, and how documents come to all of them

For each size of a document: how long after it was written it is in force (from the gateways' logs), and what a gateway
received and sent for it; then the same for one route more.
"""
import argparse
import calendar
import json
import os
import re
import statistics
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tests", "system"))
import test_narrow_links as links  # noqa: E402
from gateway_world import get  # noqa: E402
from platform_standin import wait_for  # noqa: E402

PATIENCE_S = 60


def taken_at(vm, version):
    """When a document came into force at a gateway, by its log; None: not yet."""
    found = re.search(rf"ts=(\S+)Z .*event=routes_taken version={version}\b", links.log_of(vm))
    if not found:
        return None
    whole, part = found.group(1).split(".")
    return calendar.timegm(time.strptime(whole, "%Y-%m-%dT%H:%M:%S")) + float("0." + part)


def bytes_of(vm):
    """Received and sent for the directory, with what gateways hand on."""
    text = get(vm.ports["control"], "/metrics", vm.address)[2].decode()
    rows = re.findall(r'^comet_link_bytes_total{use="(?:directory|peers)",direction="(in|out)"} (\d+)$', text, re.M)
    return [sum(int(number) for way, number in rows if way == which) for which in ("in", "out")]


def publish(zone, version, routes):
    """Publishes a document. Returns seconds until it was in force, and bytes received and sent, of each gateway."""
    before = [bytes_of(vm) for vm in zone.vms]
    document = links.large_document(version, routes=routes)
    written = time.time()
    zone.store.put("op/config", document)
    wait_for(lambda: all(taken_at(vm, version) for vm in zone.vms), PATIENCE_S)
    seconds = sorted(taken_at(vm, version) - written for vm in zone.vms)
    # the metrics that were read in between are taken off
    pages = [len(get(vm.ports["control"], "/metrics", vm.address)[2]) for vm in zone.vms]
    after = [bytes_of(vm) for vm in zone.vms]
    received = [now[0] - then[0] for now, then in zip(after, before)]
    sent = [now[1] - then[1] - 2 * page for now, then, page in zip(after, before, pages)]
    return {"bytes": len(json.dumps(document)), "median_s": round(statistics.median(seconds), 3),
            "last_s": round(seconds[-1], 3), "received_most": max(received), "received_median":
            int(statistics.median(received)), "sent_most": max(sent)}


def main(argv):
    parser = argparse.ArgumentParser(prog="bench.sh bulk")
    parser.add_argument("--vms", type=int, default=10)
    parser.add_argument("--routes", type=int, nargs="+", default=[300, 1400, 4200])
    args = parser.parse_args(argv)
    links.VMS = args.vms
    zone = links.NarrowZone()
    version = 1
    for routes in args.routes:
        for kind, more in (("document", 0), ("one_route_more", 1)):
            version += 1
            result = publish(zone, version, routes + more)
            print(json.dumps({"bench": "bulk", "vms": args.vms, "routes": routes, "kind": kind, **result}), flush=True)
    zone.end()
    return 0
