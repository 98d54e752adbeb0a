"""bench.sh decide: the cost of one decision, in ns and in instructions."""
import argparse
import json
import os
import re
import shutil
import subprocess

import fleet as F

MEASURE = os.path.join(F.BUILD, "tests", "measure")
COUNT = 400


def count_instructions(function, command, times):
    """Instructions of a function under callgrind, of one of so many times: repeatable whatever else
    runs. None without valgrind."""
    if not shutil.which("valgrind"):
        return None
    out = f"/tmp/comet-callgrind.{os.getpid()}"
    run = subprocess.run(
        ["valgrind", "--tool=callgrind", f"--callgrind-out-file={out}", "--collect-atstart=no",
         f"--toggle-collect={function}"] + command, capture_output=True, text=True, check=False)
    if os.path.exists(out):
        os.unlink(out)
    found = re.search(r"Collected : (\d+)", run.stderr)
    return int(found.group(1)) // times if found else None


def main(argv):
    argparse.ArgumentParser(prog="bench.sh decide").parse_args(argv)
    for endpoints in (60, 150, 300, 600):
        for teams in (5, 570):
            for waiting in (100, 1000, 10000, 100000):
                if endpoints not in (60, 600) and (teams, waiting) != (570, 1000):
                    continue
                command = [MEASURE, "decide", str(endpoints), str(teams), str(waiting), str(COUNT)]
                out = subprocess.run(command, check=True, capture_output=True, text=True)
                result = json.loads(out.stdout)
                if waiting <= 10000:
                    result["instructions"] = count_instructions(
                        "measure_decisions", command, COUNT)
                print(json.dumps(result), flush=True)
    return 0
