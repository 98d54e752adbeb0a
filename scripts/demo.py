"""The demo: a fleet on loopback serves real requests for a while, then stops."""
import sys
import time

import fleet as F


def classes(fleet):
    def key(team):
        return [fleet.team_key(team)[0]]

    return [
        {"name": "flags", "tier": "urgent", "tier_index": 0, "rate_milli": 6000, "keys": key("north"),
         "prompt_min": 20, "prompt_max": 200, "shared_tokens": 160, "shared_count": 4,
         "output_min": 5, "output_max": 20, "deadline_ms": 3000, "chat": 1},
        {"name": "lookups", "tier": "urgent", "tier_index": 0, "rate_milli": 10000, "keys": key("south"),
         "service": "tiles", "deadline_ms": 1000},
        {"name": "summaries", "tier": "prompt", "tier_index": 1, "rate_milli": 6000,
         "keys": key("north") + key("south"), "prompt_min": 100, "prompt_max": 1500,
         "shared_tokens": 400, "shared_count": 6, "output_min": 40, "output_max": 200,
         "deadline_ms": 8000, "chat": 1},
        {"name": "narratives", "tier": "normal", "tier_index": 2, "rate_milli": 2000, "keys": key("east"),
         "prompt_min": 200, "prompt_max": 3000, "output_min": 100, "output_max": 400,
         "deadline_ms": 20000, "once": 1, "stream": 0},
        {"name": "captions", "tier": "patient", "tier_index": 3, "rate_milli": 8000, "keys": key("west"),
         "prompt_min": 20, "prompt_max": 60, "shared_tokens": 96, "shared_count": 3,
         "output_min": 8, "output_max": 40, "deadline_ms": 30000},
    ]


def main():
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 20
    fleet = F.Fleet(vms=3)
    try:
        services = [{"name": "tile-server-1", "serves": "tiles", "zone": "z1", "delay_ms": 3},
                    {"name": "tile-server-2", "serves": "tiles", "zone": "z2", "delay_ms": 6}]
        fleet.start_engines(F.make_engines(12, 1), services)
        fleet.publish(F.make_bundle(fleet, ["north", "south", "east", "west"]))
        fleet.publish_vms()
        fleet.start_platform()
        fleet.start_vms()
        fleet.wait_ready()
        # a VM vouches for no idempotency key older than itself: let the clock skew pass
        time.sleep(1.2)
        print(f"3 daemons, 12 engines, 2 plain services on loopback; {seconds:.0f} s of load", flush=True)
        result = fleet.run_load({"seed": 1, "duration_ms": int(seconds * 1000),
                                 "classes": classes(fleet)})
        stats = fleet.engine_stats()
        bad = report(fleet, result, stats)
    finally:
        fleet.close()
    return 1 if bad else 0


def report(fleet, result, stats):
    names = [tier["name"] for tier in F.TIERS]
    print(f"\n{'tier':<10}{'sent':>6}{'ok':>6}{'late':>6}{'other':>6}{'goodput':>9}"
          f"{'first token p95':>17}{'gap p95':>9}")
    bad = 0
    for name, tier in zip(names, result["tiers"]):
        other = tier["sent"] - tier["ok"] - tier["late"]
        bad += other
        print(f"{name:<10}{tier['sent']:>6}{tier['ok']:>6}{tier['late']:>6}{other:>6}"
              f"{tier['ok'] / tier['sent']:>9.3f}{tier['ttft_ms_p95']:>14.0f} ms"
              f"{tier['gap_ms_p95']:>6.0f} ms")
    print(f"\nwasted prefill: {stats['tokens_wasted']} of {stats['tokens_computed']} prompt tokens "
          f"computed ({stats['tokens_wasted'] / max(1, stats['tokens_computed']):.3f})")
    print("\nsome decision lines:")
    shown = {}
    for vm, line in fleet.logs():
        for kind in ("event=route", "event=dispatch", "event=finish", "event=role"):
            if kind in line and shown.get(kind, 0) < 2:
                shown[kind] = shown.get(kind, 0) + 1
                print(f"  {vm} {line.strip()}")
    violations = sum(1 for _, line in fleet.logs() if "event=violation" in line)
    print(f"\nevery answer whole and its own: {'no' if bad else 'yes'}; violations: {violations}")
    return bad + violations


if __name__ == "__main__":
    sys.exit(main())
