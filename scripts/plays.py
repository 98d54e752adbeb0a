"""plays.py: one day played on the users' bench, for the scripts that play many"""
import os
import re
import subprocess
import sys


def bench_path():
    """The bench's program, from the environment."""
    bench = os.environ.get("FLEETBENCH")
    if not bench:
        sys.exit("FLEETBENCH must name the bench")
    return bench


def play(bench, site_path, day, seed, why=""):
    """(the day's row of figures or "not played: ...", what was broken or "")."""
    command = [bench, "run", site_path, day, "--seed", str(seed), "--jobs", "1"]
    if why:
        command += ["--why", why]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    text = done.stdout + done.stderr
    row = re.search(r"^day +own/srv.*\n(.*)$", text, re.M)
    broken = re.search(r"^rules broken: .*\n.*$", text, re.M)
    return (row.group(1) if row else "not played: " + text[-300:],
            broken.group(0) if broken else "")
