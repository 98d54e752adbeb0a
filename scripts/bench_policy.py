"""bench.sh policy: the routing policies in turn, on the same workloads, in one run."""
import argparse
import concurrent.futures
import copy
import json
import re
import time

import fleet as F
import workloads as W

POLICIES = ["random", "round-robin", "least-reported-load", "two-choices", "prefix-hash", "comet"]
WEIGHTS = [8, 4, 2, 1]
VMS = 6
FIELD = re.compile(r"(\w+)=(\S+)")


def run(workload, policy, seed):
    """One run of real daemons, stand-in engines and load. Returns its JSON object."""
    spec = W.WORKLOADS[workload]
    fleet = F.Fleet(vms=VMS, policy=policy)
    try:
        fleet.start_engines(W.engines(spec["engines"], seed), copy.deepcopy(W.SERVICES))
        fleet.publish(F.make_bundle(fleet, W.TEAMS))
        fleet.publish_vms()
        fleet.start_platform()
        fleet.start_vms()
        fleet.wait_ready()
        time.sleep(1.2)  # until keys are vouched for
        load = fleet.start_load({"seed": seed, "duration_ms": spec["seconds"] * 1000,
                                 "classes": spec["classes"](fleet)})
        if "slow_at_s" in spec:
            time.sleep(spec["slow_at_s"])
            fleet.slow({e["name"]: spec["slow_factor"] for e in fleet.engines[::3]})
        out, _ = load.communicate(timeout=120)
        return summarise(fleet, workload, policy, seed, json.loads(out))
    finally:
        fleet.close()


def summarise(fleet, workload, policy, seed, result):
    stats = fleet.engine_stats()
    tiers = result["tiers"]
    goodput = [round(t["ok"] / t["sent"], 4) for t in tiers]
    weighted = sum(w * g for w, g in zip(WEIGHTS, goodput)) / sum(WEIGHTS)
    lines = list(fleet.logs())
    calm = [c for name, c in result["classes"].items() if not name.endswith("-hot")]
    return {
        "bench": "policy", "workload": workload, "policy": policy, "seed": seed,
        "goodput": goodput, "weighted": round(weighted, 4),
        "wasted_prefill": round(stats["tokens_wasted"] / max(1, stats["tokens_computed"]), 4),
        "wasted_tokens": stats["tokens_wasted"], "wasted_by": stats["wasted_by"],
        "ttft_ms_p95": [round(t["ttft_ms_p95"]) for t in tiers],
        "gap_ms_p95": [round(t["gap_ms_p95"]) for t in tiers],
        "shed": [t["shed"] for t in tiers], "expired": [t["expired"] for t in tiers],
        "sent": [t["sent"] for t in tiers],
        "calm_goodput": round(sum(c["ok"] for c in calm) / sum(c["sent"] for c in calm), 4),
        "wrong": sum(t["wrong"] for t in tiers), "unknown": sum(t["unknown"] for t in tiers),
        "inversions": inversions(lines),
        "violations": sum(1 for _, line in lines if "event=violation" in line)}


def inversions(lines):
    """Sheds of a tier while a lower one was kept at any VM, from all daemons' logs."""
    waits, sheds = [], []
    for vm, line in lines:
        if "event=refuse" not in line and "event=dispatch" not in line:
            continue
        fields = dict(FIELD.findall(line))
        clock = fields["ts"]
        at = (int(clock[11:13]) * 60 + int(clock[14:16])) * 60 + float(clock[17:-1])
        if fields.get("code") == "shed":
            sheds.append((at, int(fields["tier"])))
        elif "waited_us" in fields:
            waits.append((at - int(fields["waited_us"]) / 1e6, at, int(fields["tier"])))
    # a request that was kept from before the shed until after it
    return sum(1 for at, tier in sheds
               if any(begin < at - 0.05 and at + 0.05 < end and low > tier
                      for begin, end, low in waits))


def main(argv):
    parser = argparse.ArgumentParser(prog="bench.sh policy")
    parser.add_argument("--workload", action="append", choices=list(W.WORKLOADS))
    parser.add_argument("--policy", action="append", choices=POLICIES)
    parser.add_argument("--seed", action="append", type=int)
    parser.add_argument("--parallel", type=int, default=4, help="runs side by side")
    args = parser.parse_args(argv)
    jobs = [(workload, policy, seed) for seed in args.seed or [1, 2]
            for workload in args.workload or W.WORKLOADS
            for policy in args.policy or POLICIES
            if workload != "hot-without" or policy == "comet"]
    with concurrent.futures.ThreadPoolExecutor(args.parallel) as pool:
        for result in pool.map(lambda job: run(*job), jobs):
            print(json.dumps(result), flush=True)
    return 0
