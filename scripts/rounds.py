"""rounds.py: plays a site's standard days on several seeds, to measure one change of policy

The bench's path comes from FLEETBENCH. What is measured is the checkout in the current folder; each
play leaves its entry in journal/. Prints the mean worth and its spread for each day, the mean over
the days with trouble, and which rules were broken.
"""
import argparse
import concurrent.futures
import re
import statistics
import subprocess

from plays import bench_path, play

QUIET = "quiet"  # names of days without trouble begin so


def standard_days(site_path):
    with open(site_path, encoding="utf-8") as file:
        return re.findall(r'^\[\[day\]\]\nname = "([^"]+)"', file.read(), re.M)


def measure(bench, site_path, day, seed, why):
    """(worth, served, what was broken) of one play; worth is None when it was not played."""
    row, broken = play(bench, site_path, day, seed, why)
    figures = re.findall(r" (-?\d\.\d{3})\b", row)
    if "BROKEN" in row and not broken:
        broken = row
    if len(figures) < 2:
        return None, None, broken or row
    return float(figures[0]), float(figures[1]), broken


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("site")
    parser.add_argument("--why", required=True, help="what is measured, for the journal")
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--days", default="", help="names, with commas; all when empty")
    parser.add_argument("--jobs", type=int, default=4)
    args = parser.parse_args()
    bench = bench_path()
    days = args.days.split(",") if args.days else standard_days(args.site)
    subprocess.run([bench, "build"], check=True, stdout=subprocess.DEVNULL)
    plays = [(day, seed) for day in days for seed in range(1, args.seeds + 1)]
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        results = list(pool.map(lambda one: measure(bench, args.site, *one, args.why), plays))
    troubled = []
    red = 0
    for day in days:
        rows = [(seed, result) for (name, seed), result in zip(plays, results) if name == day]
        worths = [result[0] for _, result in rows if result[0] is not None]
        served = [result[1] for _, result in rows if result[1] is not None]
        if worths:
            print(f"{day:12} worth {statistics.mean(worths):.3f} "
                  f"({min(worths):.3f} to {max(worths):.3f})  served {statistics.mean(served):.3f}")
        if not day.startswith(QUIET):
            troubled += worths
        for seed, (worth, _, broken) in rows:
            if broken or worth is None:
                red += 1
                print(f"  RED {day} seed {seed}: {broken}")
    if troubled:
        print(f"mean of days with trouble {statistics.mean(troubled):.3f}, {len(troubled)} plays")
    print(f"{len(plays)} plays, {red} with a rule broken or not played")


if __name__ == "__main__":
    main()
