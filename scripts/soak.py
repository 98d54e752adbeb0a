"""soak.sh: a fleet under load while faults are drawn from a seed.

At the end the stand-ins' own counts are held against what callers were told.
"""
import argparse
import json
import random
import signal
import sys
import time

import bench_policy
import fleet as F
import workloads as W

VMS = 6
ENGINES = 24
ENGINE_PROCESSES = 4
LIST_LAG_S = (0.5, 2.0)
FAULTS = ["kill", "pause", "platform_down", "platform_stale", "platform_slow", "cut",
          "engine_slow", "engine_stop", "engine_freeze", "rolling", "bundle", "leaving"]


class Soak:
    """One fleet, one load, and the faults that come to it."""

    def __init__(self, seed, seconds, kinds):
        self.draw = random.Random(seed)
        self.seed = seed
        self.seconds = seconds
        self.kinds = kinds
        self.fleet = F.Fleet(vms=VMS, engine_processes=ENGINE_PROCESSES,
                             settings={"max_waiting": 80})
        self.later = []      # (time, function)
        self.unplanned = set()  # addresses of VMs that were killed or paused
        self.dead_engines = set()  # names of engines whose process was killed
        self.count = {}
        self.pairs = set()  # kinds that came together
        self.bad_exits = 0
        self.platform_ok = True
        self.last = {}

    def at(self, delay, function):
        self.later.append((time.monotonic() + delay, function))

    def start(self):
        fleet = self.fleet
        fleet.start_engines(W.engines(ENGINES, self.seed), [dict(s) for s in W.SERVICES])
        fleet.publish(F.make_bundle(fleet, W.TEAMS, quotas={"elm": {"tokens_per_s": 1500}}))
        fleet.publish_vms()
        fleet.start_platform()
        fleet.start_vms()
        fleet.wait_ready()
        time.sleep(1.2)

    def classes(self):
        classes = W.mix(self.fleet, 0.5)
        for one in classes:
            one.update(burst_from_ms=self.seconds * 300, burst_to_ms=self.seconds * 300 + 5000,
                       burst_factor=4)
        return classes

    # --- faults; each undoes itself ---

    def up(self):
        return [n for n in self.fleet.vms if n in self.fleet.procs and n not in self.last]

    def replace(self, name):
        """The platform's list lags behind what happened."""
        fleet = self.fleet
        new = fleet.add_vm()
        fleet.start_vm(new)

        def unlist():
            fleet.vms[name]["listed"] = False
            fleet.publish_vms()
        fleet.publish_vms()
        self.at(self.draw.uniform(*LIST_LAG_S), unlist)

    def fault_kill(self):
        name = self.draw.choice(self.up())
        self.unplanned.add(self.fleet.vms[name]["caller"])
        self.fleet.end(name)
        self.at(self.draw.uniform(0.2, 1.5), lambda: self.replace(name))

    def fault_pause(self):
        name = self.draw.choice(self.up())
        proc = self.fleet.procs[name]
        self.unplanned.add(self.fleet.vms[name]["caller"])
        proc.send_signal(signal.SIGSTOP)
        self.at(self.draw.uniform(0.5, 4), lambda: proc.poll() is None
                and proc.send_signal(signal.SIGCONT))

    def platform(self, mode):
        self.platform_ok = False
        self.fleet.platform_mode(mode)
        self.at(self.draw.uniform(2, 6), self.platform_back)

    def platform_back(self):
        self.platform_ok = True
        self.fleet.platform_mode("ok")

    def fault_platform_down(self):
        self.platform("down")

    def fault_platform_stale(self):
        self.platform("stale")

    def fault_platform_slow(self):
        self.platform("slow")

    def fault_cut(self):
        names = self.up()
        self.draw.shuffle(names)
        middle = self.draw.randint(1, len(names) - 1)
        left, right = names[:middle], names[middle:]
        for name in left:
            self.fleet.cut(name, right)
        for name in right:
            self.fleet.cut(name, left)
        self.at(self.draw.uniform(1, 5), lambda: [self.fleet.cut(n, []) for n in names])

    def fault_engine_slow(self):
        some = self.draw.sample(self.fleet.engines, len(self.fleet.engines) // 4)
        self.fleet.slow({e["name"]: 5 for e in some})
        self.at(self.draw.uniform(2, 5), lambda: self.fleet.slow({"calm": 1}))

    def fault_engine_stop(self):
        index = self.draw.randrange(ENGINE_PROCESSES)
        if f"engines{index}" not in self.fleet.procs:
            return
        self.dead_engines |= {e["name"] for e in self.fleet.engines
                              if e["group"] == f"engines{index}"}
        self.fleet.end(f"engines{index}")
        self.at(self.draw.uniform(0.5, 3), lambda: self.fleet.start_engine_group(index))

    def fault_engine_freeze(self):
        name = f"engines{self.draw.randrange(ENGINE_PROCESSES)}"
        proc = self.fleet.procs.get(name)
        if proc is None:
            return
        proc.send_signal(signal.SIGSTOP)
        self.at(self.draw.uniform(0.5, 4), lambda: proc.poll() is None
                and proc.send_signal(signal.SIGCONT))

    def fault_rolling(self):
        """Every VM is replaced, one after another, by planned stops."""
        for index, name in enumerate(self.up()):
            self.at(index * 0.7, lambda name=name: self.planned_stop(name))

    def planned_stop(self, name):
        if not self.platform_ok:
            # a replacement could not become ready: operators wait with the stop
            self.at(0.5, lambda: self.planned_stop(name))
            return
        proc = self.fleet.procs.get(name)
        if proc is None or proc.poll() is not None or name in self.last:
            return
        self.last[name] = time.monotonic()
        self.fleet.vms[name]["leaving"] = True
        self.replace(name)
        proc.send_signal(signal.SIGCONT)
        proc.send_signal(signal.SIGTERM)

    def fault_bundle(self):
        self.fleet.publish()

    def fault_leaving(self):
        """An endpoint leaves; the next change brings it back."""
        endpoints = self.fleet.bundle["endpoints"]
        for one in endpoints:
            one.pop("leaving", None)
        self.draw.choice(endpoints[:ENGINES])["leaving"] = True
        self.fleet.publish()

    def step(self):
        now = time.monotonic()
        due = [f for t, f in self.later if t <= now]
        self.later = [(t, f) for t, f in self.later if t > now]
        for function in due:
            function()
        for name in list(self.last):
            proc = self.fleet.procs.get(name)
            if proc is not None and proc.poll() is not None:
                self.bad_exits += proc.returncode != 0
                del self.fleet.procs[name]

    def run(self):
        self.start()
        log = self.fleet.path("load.log")
        load = self.fleet.start_load({"seed": self.seed, "duration_ms": self.seconds * 1000,
                                      "classes": self.classes(), "log": log})
        begin = time.monotonic()
        queue = []
        while time.monotonic() - begin < self.seconds - 6:
            together = []
            for _ in range(self.draw.choice([1, 1, 2])):  # alone, or a pair together
                if not queue:
                    queue = list(self.kinds)
                    self.draw.shuffle(queue)
                kind = queue.pop()
                if len(self.up()) < 3 and kind in ("kill", "pause", "rolling"):
                    continue
                self.count[kind] = self.count.get(kind, 0) + 1
                getattr(self, "fault_" + kind)()
                together.append(kind)
            if len(together) == 2:
                self.pairs.add("+".join(sorted(together)))
            until = time.monotonic() + self.draw.uniform(1.5, 4)
            while time.monotonic() < until:
                self.step()
                time.sleep(0.05)
        while load.poll() is None and time.monotonic() - begin < self.seconds + 100:
            self.step()
            time.sleep(0.05)
        out = load.stdout.read()
        return self.judge(json.loads(out), log)

    # --- the verdict ---

    def excused(self, entry, ids, runs):
        """Its VM was killed or paused, or the engine that ran it was killed."""
        ran_on = {runs[i] for i in ids if i in runs}
        return entry["base"] in self.unplanned or bool(ran_on & self.dead_engines)

    def judge(self, result, log):
        counts, runs = self.fleet.runs()
        entries = [json.loads(line) for line in open(log)]
        lines = list(self.fleet.logs())
        violations = [line for _, line in lines if "event=violation" in line or "Sanitizer" in line
                      or "runtime error" in line]
        told = {"doubled": sum(1 for n in counts.values() if n > 1), "told_not_run_but_ran": 0,
                "once_doubled": 0, "lost": 0, "cut_by_planned_stop": 0, "wrong": 0}
        examples = []
        for entry in entries:
            ids = [i for i in entry["ids"].split(",") if i]
            ran = {i for i in ids if i in runs}
            before = dict(told)
            if entry["fate"] == "wrong":
                told["wrong"] += 1
            if entry["verdict"] == "not_run" and ids and ids[-1] in runs:
                told["told_not_run_but_ran"] += 1
            if entry["once"] and len(ran) > 1:
                told["once_doubled"] += 1
            if entry["code"] in ("cut", "no_connection") and not self.excused(entry, ids, runs):
                told["cut_by_planned_stop" if self.count.get("rolling") else "lost"] += 1
            if told != before:
                examples.append(entry)
        sent = sum(t["sent"] for t in result["tiers"])
        summary = {"bench": "soak", "seed": self.seed, "seconds": self.seconds, "requests": sent,
                   "faults": self.count, "pairs": sorted(self.pairs),
                   "violations": len(violations),
                   "inversions": bench_policy.inversions(lines), **told,
                   "bad_exits": self.bad_exits,
                   "goodput": [round(t["ok"] / t["sent"], 3) for t in result["tiers"]],
                   "shed": [t["shed"] for t in result["tiers"]],
                   "expired": [t["expired"] for t in result["tiers"]],
                   "unknown": [t["unknown"] for t in result["tiers"]]}
        wrong = sum(told.values()) + len(violations) + summary["inversions"] + self.bad_exits
        for entry in examples[:5]:
            print("# " + json.dumps(entry), file=sys.stderr)
        for line in violations[:5]:
            print("# " + line.strip(), file=sys.stderr)
        return summary, wrong


def main(argv):
    parser = argparse.ArgumentParser(prog="soak.sh")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=int, default=40)
    parser.add_argument("--fault", action="append", choices=FAULTS, help="only these kinds")
    parser.add_argument("--keep", action="store_true", help="keep the run's folder")
    args = parser.parse_args(argv)
    soak = Soak(args.seed, args.seconds, args.fault or FAULTS)
    try:
        summary, wrong = soak.run()
        if args.keep:
            summary["folder"] = soak.fleet.dir
        print(json.dumps(summary), flush=True)
    finally:
        soak.fleet.close(keep=args.keep)
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
