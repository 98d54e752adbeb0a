"""narrow_link.py: environment of a process with a rate-limited link (tests/preload/narrow_link.c), and unique names"""
import os
import random

LINK_BYTES_PER_S = 1250000


def narrow(build, incoming=LINK_BYTES_PER_S, outgoing=LINK_BYTES_PER_S):
    """Returns the environment of a process with these link rates in bytes per second; -1: unlimited."""
    return {**os.environ, "COMET_TEST_LINK_IN": str(incoming), "COMET_TEST_LINK_OUT": str(outgoing),
            "LD_PRELOAD": f"{build}/tests/libnarrow_link.so",
            "ASAN_OPTIONS": os.environ.get("ASAN_OPTIONS", "") + ":verify_asan_link_order=0"}


def words(count, seed=1):
    """Returns names that hardly compress."""
    draw = random.Random(seed)
    return [f"{draw.getrandbits(40):010x}" for _ in range(count)]
