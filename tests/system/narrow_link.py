"""narrow_link.py: environment of a process behind a narrow link (tests/preload/narrow_link.c), and large documents"""
import os
import random

LINK_BYTES_PER_S = 1250000


def narrow(build, incoming=LINK_BYTES_PER_S, outgoing=LINK_BYTES_PER_S):
    """What a process is started with whose link carries so many bytes a second in each direction; -1: any number."""
    return {**os.environ, "COMET_TEST_LINK_IN": str(incoming), "COMET_TEST_LINK_OUT": str(outgoing),
            "LD_PRELOAD": f"{build}/tests/libnarrow_link.so",
            "ASAN_OPTIONS": os.environ.get("ASAN_OPTIONS", "") + ":verify_asan_link_order=0"}


def words(count, seed=1):
    """Names that hardly compress."""
    draw = random.Random(seed)
    return [f"{draw.getrandbits(40):010x}" for _ in range(count)]
