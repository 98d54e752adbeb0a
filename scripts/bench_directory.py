"""bench.sh directory: the cost of reading a list of endpoints, in microseconds and in instructions."""
import argparse
import json
import os
import subprocess

import fleet as F
from bench_decide import count_instructions

MEASURE = os.path.join(F.BUILD, "tests", "measure_directory")
LISTS = 20


def main(argv):
    argparse.ArgumentParser(prog="bench.sh directory").parse_args(argv)
    for entries in (15, 150, 600, 3000):
        command = [MEASURE, str(entries), str(LISTS)]
        out = subprocess.run(command, check=True, capture_output=True, text=True)
        result = json.loads(out.stdout)
        result["instructions"] = count_instructions("measure_directory_lists", command, LISTS)
        print(json.dumps(result), flush=True)
    return 0
