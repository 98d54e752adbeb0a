"""suspended_clock.py: simulates the clock of a VM that was suspended (tests/preload/suspend.c)"""
import os
import struct
import tempfile


class SuspendedClock:
    """Adds suspended time to the clock of a process that counts it."""

    def __init__(self, build):
        self.library = f"{build}/tests/libsuspend.so"
        self.file = tempfile.NamedTemporaryFile()
        self.passed_us = 0
        self.write()

    def write(self):
        self.file.seek(0)
        self.file.write(struct.pack("q", self.passed_us))
        self.file.flush()

    def environment(self):
        """Returns the environment of a process that uses this clock."""
        more = {"COMET_TEST_SUSPENDED": self.file.name, "LD_PRELOAD": self.library,
                "ASAN_OPTIONS": os.environ.get("ASAN_OPTIONS", "") + ":verify_asan_link_order=0"}
        return {**os.environ, **more}

    def add(self, seconds):
        self.passed_us += int(seconds * 1000000)
        self.write()
