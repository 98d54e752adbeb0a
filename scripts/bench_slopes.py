"""bench.sh slopes: what each role costs, as slopes through at least four points."""
import argparse
import json
import os
import re
import subprocess
import time

import fleet as F

MEASURE = os.path.join(F.BUILD, "tests", "measure")
STAMP = re.compile(r"T(\d\d):(\d\d):([\d.]+)Z")


def fit(xs, ys):
    """Least squares: slope, base, and the largest residual as a part of the value."""
    n = len(xs)
    mean_x, mean_y = sum(xs) / n, sum(ys) / n
    slope = (sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys))
             / max(1e-9, sum((x - mean_x) ** 2 for x in xs)))
    base = mean_y - slope * mean_x
    worst = max(abs(base + slope * x - y) / max(1e-9, abs(y)) for x, y in zip(xs, ys))
    return round(slope, 3), round(base, 1), round(worst, 3)


def emit(role, per, **fields):
    print(json.dumps(dict({"bench": "slopes", "role": role, "per": per}, **fields)), flush=True)


def start_fleet(vms, engines=4, zones=3):
    fleet = F.Fleet(vms=vms, zones=zones, settings={"log_level": "notice"})
    try:
        fleet.start_engines(F.make_engines(engines, 1), [])
        fleet.publish(F.make_bundle(fleet, ["a", "b", "c", "d", "e"],
                                    quotas={"b": {"tokens_per_s": 10000000}}))
        fleet.publish_vms()
        fleet.start_platform()
        fleet.start_vms()
        fleet.wait_ready(seconds=90)
    except Exception:
        fleet.close()  # a fleet that did not start is not left behind
        raise
    return fleet


def totals(fleet):
    """Sums over all VMs of the counters that matter here."""
    keys = ("comet_peer_sent_bytes_total", "comet_peer_received_bytes_total",
            "comet_control_cpu_microseconds_total", "comet_cpu_microseconds_total",
            "comet_submitted_total", "comet_items_sent_total")
    out = dict.fromkeys(keys, 0)
    rss = 0
    for name in fleet.vms:
        metrics = fleet.metrics(name)
        for key in keys:
            out[key] += metrics[key]
        rss = max(rss, metrics["comet_resident_bytes"] / 1024)
    out["rss_kb"] = rss
    out["reads"] = json.loads(F.fetch(f"http://{fleet.host}:{fleet.platform_port}/stats"))["reads"]
    return out


def rates(fleet, seconds):
    """What an idle VM spends a second."""
    before, begin = totals(fleet), time.monotonic()
    time.sleep(seconds)
    after, took = totals(fleet), time.monotonic() - begin
    vms = len(fleet.vms)
    per = {k: (after[k] - before[k]) / took / vms for k in after if k not in ("rss_kb", "reads")}
    return {"vms": vms, "sent_bytes_per_s": round(per["comet_peer_sent_bytes_total"]),
            "received_bytes_per_s": round(per["comet_peer_received_bytes_total"]),
            "control_cpu_us_per_s": round(per["comet_control_cpu_microseconds_total"]),
            "cpu_us_per_s": round(per["comet_cpu_microseconds_total"]),
            "rss_kb": round(after["rss_kb"]),
            "platform_reads_per_s": round((after["reads"] - before["reads"]) / took, 1)}


def bundle_spread(fleet):
    """Seconds from publication until the last VM has the new version in force."""
    before = totals(fleet)["comet_peer_sent_bytes_total"]
    fleet.publish()
    size = os.path.getsize(fleet.path("bundle.signed"))
    published = time.time()
    wanted = f"version={fleet.version} "
    deadline = time.monotonic() + 30
    stamps = {}
    while len(stamps) < len(fleet.vms) and time.monotonic() < deadline:
        time.sleep(0.2)
        stamps = {}
        for vm, line in fleet.logs():
            if "event=bundle_adopted " in line and wanted in line + " ":
                hour, minute, second = STAMP.search(line).groups()
                stamps[vm] = (int(hour) * 60 + int(minute)) * 60 + float(second)
    day = published % 86400
    took = [(at - day) % 86400 for at in stamps.values()]
    sent = totals(fleet)["comet_peer_sent_bytes_total"] - before
    return {"in_force": len(stamps), "last_s": round(max(took), 2) if took else None,
            "bundle_bytes": size, "peer_bytes": round(sent)}


def membership(counts, seconds):
    points = []
    for vms in counts:
        fleet = start_fleet(vms)
        try:
            time.sleep(3)
            point = rates(fleet, seconds)
            point["bundle"] = bundle_spread(fleet)
            points.append(point)
            emit("member", "point", **point)
        finally:
            fleet.close()
    # up to 16 VMs probes are more frequent: two regimes, of which the larger is a line
    points = [p for p in points if p["vms"] > 16] or points
    xs = [p["vms"] for p in points]
    for field in ("sent_bytes_per_s", "control_cpu_us_per_s", "rss_kb", "platform_reads_per_s"):
        slope, base, residual = fit(xs, [p[field] for p in points])
        emit("member", f"VM in the fleet: {field}", slope=slope, base=base, residual=residual,
             points=len(points))
    slope, base, residual = fit(xs, [p["bundle"]["last_s"] for p in points])
    emit("bundle", "VM in the fleet: seconds until in force everywhere", slope=slope, base=base,
         residual=residual, points=len(points))


def requests(role, per_vm_rates, seconds, team="a", once=0, vms=6):
    """Control messages and time per request of a kind, over the idle fleet's."""
    points = []
    fleet = start_fleet(vms, engines=30)
    try:
        time.sleep(2)
        idle = rates(fleet, seconds)
        for rate in per_vm_rates:
            classes = [{"name": "short", "tier": "prompt", "tier_index": 1,
                        "rate_milli": rate * vms * 1000, "keys": [fleet.team_key(team)[0]],
                        "once": once,
                        "prompt_min": 100, "prompt_max": 400, "shared_tokens": 300,
                        "shared_count": 10, "output_min": 5, "output_max": 10,
                        "deadline_ms": 10000}]
            load = fleet.start_load({"seed": 1, "duration_ms": (seconds + 3) * 1000,
                                     "classes": classes})
            time.sleep(1.5)
            before, begin = totals(fleet), time.monotonic()
            time.sleep(seconds)
            after, took = totals(fleet), time.monotonic() - begin
            load.communicate(timeout=90)
            served = after["comet_submitted_total"] - before["comet_submitted_total"]
            sent = (after["comet_peer_sent_bytes_total"] - before["comet_peer_sent_bytes_total"]
                    - idle["sent_bytes_per_s"] * vms * took)
            cpu = (after["comet_control_cpu_microseconds_total"]
                   - before["comet_control_cpu_microseconds_total"]
                   - idle["control_cpu_us_per_s"] * vms * took)
            points.append((served / took / vms, sent / took / vms, cpu / took / vms))
            emit(role, "point", requests_per_s_per_vm=round(points[-1][0], 1),
                 bytes_per_request=round(sent / served, 1),
                 control_cpu_us_per_request=round(cpu / served, 1))
    finally:
        fleet.close()
    xs = [p[0] for p in points]
    for index, name in ((1, "bytes sent"), (2, "control cpu_us")):
        slope, base, residual = fit(xs, [p[index] for p in points])
        emit(role, f"request: {name}", slope=slope, base=base, residual=residual,
             points=len(points))


def main(argv):
    parser = argparse.ArgumentParser(prog="bench.sh slopes")
    parser.add_argument("--vms", type=int, action="append", help="fleet sizes")
    parser.add_argument("--seconds", type=int, default=8)
    parser.add_argument("--role", choices=["state", "grant", "claim", "quota", "member"], help="only these slopes")
    args = parser.parse_args(argv)
    if args.role in (None, "state"):
        subprocess.run([MEASURE, "state"], check=True)
    if args.role in (None, "grant"):
        requests("grant", [5, 10, 20, 40], args.seconds)
    if args.role in (None, "claim"):  # grants included: hold it against their slope
        requests("claim", [5, 10, 20, 40], args.seconds, once=1)
    if args.role in (None, "quota"):
        requests("quota", [5, 10, 20, 40], args.seconds, team="b")
    if args.role in (None, "member"):
        membership(args.vms or [7, 15, 20, 30, 60, 90], args.seconds)
    return 0
