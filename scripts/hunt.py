"""hunt.py: plays days of our own on the users' bench: kinds of trouble alone, in pairs, in series

The bench's path comes from FLEETBENCH, the site file from the command line. Each day is one of the
site's (its first, a quiet one, or --base NAME for its load) with other disturbances, of the kinds
that the bench lists for the site; the result is a table, kind by what was played.
"""
import argparse
import concurrent.futures
import itertools
import re
import subprocess
import sys
import tempfile

from plays import bench_path, play

# kind: variants (fields of an entry without "at"); "plan" marks planned work
KINDS = {
    "burst": ["x = 2.0, for_s = 4.0"],
    "hot_key": ["share = 0.4, for_s = 5.0"],
    "hot_tenant": ["x = 6.0, count = 1, for_s = 6.0"],
    "retry_abuse": ["x = 3.0, share = 0.4, for_s = 5.0"],
    "give_up": ["share = 0.3, for_s = 5.0"],
    "srv_crash": ["share = 0.2, for_s = 4.0", 'share = 0.2, for_s = 4.0, how = "dark"',
                  'share = 0.2, how = "gone"', 'share = 0.3, for_s = 4.0, how = "domain"'],
    "srv_slow": ["share = 0.2, x = 5.0, for_s = 5.0"],
    "srv_grey": [f'share = 0.2, x = 0.5, for_s = 5.0, how = "{how}"'
                 for how in ("errors", "shed", "busy", "hang", "reset", "mute", "errors all")] +
                ['share = 0.2, x = 8.0, for_s = 5.0, how = "slow"'],
    "add_nodes": ["", "count = 1"],
    "shift": ["share = 0.6"],
    "release": ["share = 0.5, x = 1.0, gap_s = 1.0", "share = 1.0, x = 2.0, gap_s = 0.3"],
    "scale_out": ["share = 0.3, gap_s = 2.0"],
    "scale_in": ["share = 0.2", 'share = 0.2, how = "spot", x = 2.0',
                 'for_s = 5.0, how = "reclaim"'],
    "answer_lost": ["share = 0.5, x = 0.05, for_s = 5.0",
                    'share = 0.5, x = 0.05, for_s = 5.0, how = "reset"'],
    "garble": [f'share = 0.5, x = 0.05, for_s = 5.0, how = "{how}"'
               for how in ("", "extra", "unframed", "early", "extra late")],
    "node_kill": ['share = 0.2, for_s = 3.0', 'share = 0.2, for_s = 3.0, how = "power"',
                  'on = "core", count = 1, for_s = 3.0, how = "meet drain"'],
    "node_freeze": ["share = 0.2, for_s = 4.0"],
    "node_slow": ["share = 0.2, x = 6.0, for_s = 5.0"],
    "roll_term": ["share = 1.0, x = 1.0, gap_s = 1.0", 'gap_s = 1.0, how = "busy"',
                  'share = 0.3, gap_s = 1.0, how = "remove"',
                  'share = 0.5, gap_s = 0.5, how = "leader"'],
    "herd_kill": ["share = 0.6, for_s = 1.0", "share = 1.0, for_s = 1.0",
                  'share = 0.6, for_s = 2.0, how = "power"'],
    "after_ack_kill": ["for_s = 3.0", 'for_s = 3.0, how = "timed"', 'for_s = 3.0, how = "kill"'],
    "clock_step": [f'share = 0.4, x = 2500.0, for_s = 5.0, how = "{how}"'
                   for how in ("ahead", "back")],
    "reset_conns": ["share = 0.4, x = 0.5", 'share = 1.0, x = 1.0, how = "silent"'],
    "core_cut": ['count = 1, for_s = 5.0', 'count = 2, for_s = 5.0, how = "refuse"',
                 'count = 2, for_s = 4.0, how = "leader race"',
                 'count = 1, for_s = 5.0, how = "one_way"'] +
                [f'count = 2, for_s = 5.0, how = "{how}"'
                 for how in ("all", "near", "split", "seeds", "both", "lure", "relieve")],
    "node_cut": ["share = 0.2, for_s = 5.0", 'share = 0.2, for_s = 5.0, how = "all"',
                 'share = 0.2, for_s = 5.0, how = "servers"',
                 'share = 0.2, for_s = 5.0, how = "reset revoke"'],
    "lossy": ["x = 0.04, for_s = 5.0"],
    "platform_down": [f'for_s = 5.0, how = "{how}"'
                      for how in ("silent", "busy", "reset", "reset lapse", "silent lapse")] +
                     [f'share = 0.4, for_s = 6.0, how = "nodes {how}"'
                      for how in ("busy revoke", "many", "reset revoke meet", "drain")],
    "platform_slow": ["x = 60.0, for_s = 5.0"],
    "platform_lost": ["x = 0.4, for_s = 5.0", 'x = 0.4, for_s = 5.0, how = "late"'],
    "platform_compact": ["x = 4.0, for_s = 10.0", 'x = 4.0, for_s = 10.0, how = "drain"'],
    "config_change": [f'how = "{how}"' for how in
                      ("route", "weights", "timeout", "tenant", "quota", "quota down", "idle")],
    "config_storm": ["for_s = 4.0, gap_s = 0.3"],
    "big_config": ["count = 350"],
    "revoke": ["count = 2, gap_s = 1.0", 'count = 2, gap_s = 1.0, how = "last"'],
    "srv_cut": ["share = 0.3, for_s = 5.0", 'share = 0.3, x = 0.3, for_s = 5.0, how = "some"',
                'share = 0.3, x = 0.3, for_s = 5.0, how = "fronts"',
                'share = 0.3, for_s = 5.0, how = "one_way"',
                'share = 0.3, for_s = 5.0, how = "reset"',
                'share = 0.3, for_s = 5.0, how = "reborn"',
                'share = 0.3, x = 0.5, for_s = 5.0, how = "some lossy"'],
    "replace_with_reuse": ["share = 0.2", 'share = 0.2, how = "drain"', 'share = 0.2, how = "dark"'],
    "hup": ["share = 1.0, gap_s = 0.2"],
    "srv_flap": ["share = 0.2, gap_s = 1.5, for_s = 6.0"],
    "srv_lying_health": [f'share = 0.2, for_s = 6.0, how = "{how}"'
                         for how in ("errors", "hang", "reset", "bad")],
    "idle_race": ["share = 0.5, x = 300.0, for_s = 6.0"],
}
PLANNED = {"release", "scale_out", "scale_in", "roll_term", "config_change", "config_storm",
           "big_config", "revoke", "hup"}
CLOSINGS = ["power_off_all", "kill_all"]


def entry(kind, variant, at):
    fields = [field for field in (f'kind = "{kind}"', variant, f"at = {at}") if field]
    return "  { " + ", ".join(fields) + " },"


def base_day(site, name):
    """The text of the site's day of that name; its first one when name is empty."""
    days = re.findall(r"\[\[day\]\]\n(.*?)(?=\n\[\[day\]\]|\Z)", site, re.S)
    for day in days:
        if not name or f'name = "{name}"' in day:
            return day
    sys.exit(f"hunt: the site has no day {name}")


def day_text(day, troubles, closing):
    """A [[day]] made from another's text; troubles: (kind, variant, at)."""
    day = re.sub(r"^(plan|faults) = \[.*?^\]\n", "", day, flags=re.S | re.M)
    day = re.sub(r"^(plan|faults) = \[\]\n", "", day, flags=re.M)
    day = re.sub(r"^closing = .*\n", "", day, flags=re.M)
    parts = {"plan": [], "faults": []}
    for kind, variant, at in troubles:
        parts["plan" if kind in PLANNED else "faults"].append(entry(kind, variant, at))
    lists = "".join(f"{name} = [\n" + "\n".join(rows) + "\n]\n" for name, rows in parts.items())
    closings = f'closing = {{ kind = "{closing}", down_s = 1.0 }}\n' if closing else ""
    head, tail = day.split("traffic = [", 1)
    return "[[day]]\n" + head + closings + lists + "traffic = [" + tail + "\n"


def plays(what, listed):
    """(name, troubles, closing) of each day to play."""
    kinds = {kind: variants for kind, variants in KINDS.items() if kind in listed}
    alone = [(kind, variant) for kind, variants in kinds.items() for variant in variants]
    if what == "alone":
        for kind, variant in alone:
            yield f"{kind} [{variant}]", [(kind, variant, 8.0)], None
    elif what == "twice":
        for kind, variants in kinds.items():
            yield f"{kind} x2", [(kind, variants[0], 0.5), (kind, variants[-1], 12.0)], None
    elif what == "closing":
        for kind, variants in kinds.items():
            yield (f"{kind} + closing", [(kind, variants[0], 29.0)],
                   CLOSINGS[len(kind) % len(CLOSINGS)])
    else:
        for one, two in itertools.combinations(kinds, 2):
            pick = sum(map(ord, one + two))
            first = KINDS[one][pick % len(KINDS[one])]
            second = KINDS[two][pick // 7 % len(KINDS[two])]
            yield f"{one} + {two}", [(one, first, 6.0), (two, second, 7.5)], None


def listed_kinds(bench, site_path):
    """Names of the kinds that may come on a site."""
    done = subprocess.run([bench, "kinds", site_path], capture_output=True, text=True, check=True)
    return set(re.findall(r"^([a-z_]+):", done.stdout, re.M))


def play_own(bench, site_path, day, number, troubles, closing, seed):
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(day_text(day, troubles, closing))
        file.flush()
        return play(bench, site_path, file.name, seed + number)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("site")
    parser.add_argument("what", choices=["alone", "twice", "closing", "pairs"])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--base", default="", help="day of the site whose load is taken")
    parser.add_argument("--only", default="")
    parser.add_argument("--limit", type=int, default=0, help="play every so manieth day only")
    args = parser.parse_args()
    bench = bench_path()
    with open(args.site, encoding="utf-8") as file:
        day = base_day(file.read(), args.base)
    listed = listed_kinds(bench, args.site)
    days = [one for one in plays(args.what, listed) if args.only in one[0]]
    if args.limit:
        days = days[::args.limit]
    broken = 0
    unplayed = 0
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        results = pool.map(lambda item: play_own(bench, args.site, day, item[0], item[1][1],
                                                 item[1][2], args.seed), enumerate(days))
        for (name, _, _), (row, first) in zip(days, results):
            bad = "BROKEN" in row or bool(first)
            broken += bad
            unplayed += row.startswith("not played")
            print(f"{'RED ' if bad else 'ok  '}{name}: {row}", flush=True)
            if first:
                print("     " + first.replace("\n", "\n     "), flush=True)
    print(f"{len(days)} days, {broken} with a rule broken, {unplayed} not played")


if __name__ == "__main__":
    main()
