"""The workloads of the benchmarks, as classes for the load program."""
import fleet as F

TEAMS = ["alder", "birch", "cedar", "dogwood", "elm"]


def _class(fleet, name, tier, rate, teams=None, **more):
    """rate: requests a second; more: fields of the load program's class."""
    index = [t["name"] for t in F.TIERS].index(tier)
    keys = [fleet.team_key(team)[0] for team in (teams or TEAMS)]
    return dict({"name": name, "tier": tier, "tier_index": index,
                 "rate_milli": int(rate * 1000), "keys": keys}, **more)


def mix(fleet, scale=1.0, teams=None, suffix=""):
    """Dawn summaries, damage narratives once, captions that may wait, instant lookups."""
    return [
        _class(fleet, "flags" + suffix, "urgent", 20 * scale, teams, prompt_min=20, prompt_max=120,
               shared_tokens=200, shared_count=8, output_min=5, output_max=20, deadline_ms=2500),
        _class(fleet, "lookups" + suffix, "urgent", 20 * scale, teams, service="tiles",
               deadline_ms=1000),
        _class(fleet, "summaries" + suffix, "prompt", 24 * scale, teams, prompt_min=50,
               prompt_max=800, shared_tokens=600, shared_count=40, output_min=40, output_max=160,
               deadline_ms=8000),
        _class(fleet, "narratives" + suffix, "normal", 5 * scale, teams, prompt_min=200,
               prompt_max=2000, output_min=100, output_max=400, deadline_ms=20000, once=1),
        _class(fleet, "captions" + suffix, "patient", 50 * scale, teams, prompt_min=20,
               prompt_max=60, shared_tokens=128, shared_count=10, output_min=4, output_max=40,
               deadline_ms=20000),
    ]


def _brescia(fleet):
    """Urgent flags and summaries before a small fleet."""
    return [
        _class(fleet, "flags", "urgent", 14, prompt_min=50, prompt_max=300, shared_tokens=300,
               shared_count=10, output_min=4, output_max=12, deadline_ms=2500),
        _class(fleet, "messages", "urgent", 5, service="tiles", deadline_ms=1000),
        _class(fleet, "transcripts", "prompt", 8, prompt_min=100, prompt_max=1000,
               shared_tokens=300, shared_count=20, output_min=40, output_max=160,
               deadline_ms=8000),
        _class(fleet, "summaries", "normal", 4, prompt_min=300, prompt_max=2000,
               shared_tokens=500, shared_count=20, output_min=80, output_max=300,
               deadline_ms=20000),
        _class(fleet, "archive", "patient", 4, prompt_min=100, prompt_max=500, shared_tokens=200,
               shared_count=5, output_min=20, output_max=80, deadline_ms=30000),
    ]


def _burst(fleet):
    classes = mix(fleet)
    for one in classes:
        one.update(burst_from_ms=2000, burst_to_ms=12000, burst_factor=4)
    return classes


# name -> engines, length of the arrivals, classes, what happens on the way
WORKLOADS = {
    "prairie": {"engines": 50, "seconds": 10, "classes": mix},
    "brescia": {"engines": 18, "seconds": 10, "classes": _brescia},
    "burst": {"engines": 50, "seconds": 14, "classes": _burst},
    "slow": {"engines": 50, "seconds": 12, "classes": mix, "slow_at_s": 3, "slow_factor": 5},
    "hot": {"engines": 50, "seconds": 10, "classes": lambda fleet: mix(fleet, 0.5)
            + mix(fleet, 1.0, ["elm"], "-hot")},
    "hot-without": {"engines": 50, "seconds": 10, "classes": lambda fleet: mix(fleet, 0.5)},
}


def engines(count, seed):
    return F.make_engines(count, seed, step_us=(8000, 30000), batch=(3, 5), prefill_part=100)


SERVICES = [{"name": "tile1", "serves": "tiles", "zone": "z1", "delay_ms": 3},
            {"name": "tile2", "serves": "tiles", "zone": "z2", "delay_ms": 4},
            {"name": "tile3", "serves": "tiles", "zone": "z3", "delay_ms": 8}]
