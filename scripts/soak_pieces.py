"""soak_pieces.py: what a run at one of the soak's servers makes, byte for byte, and the check of an answer against it

Each piece names its request, its number and its run, and differs in length, so that no other run can have made it.
"""
import collections
import datetime
import functools
import random
import re

EVENTS = 10  # of a whole stream
EVENT = re.compile(rb".*?\n\r?\n", re.DOTALL)
NAMED = re.compile(rb"data: [0-9a-f]{16} (\d+) (\S+) ")
MALFORMED = re.compile(r"^ts=(\S+)Z \S+ \S+ pid=(\d+) event=(output_hint_ignored|slowdown_ignored|header_ignored"
                       r"|refusal_record_bounded) ", re.MULTILINE)
LOG_SPANS_S = range(1, 6)  # the longer ones show a budget that is exceeded by little
LOGGED_PER_S = 8  # REPEATED_PER_S in libcometspindle/log_budget.c
CLOCK_ERROR_S = 0.01  # the budget uses CLOCK_BOOTTIME, lines are stamped with CLOCK_REALTIME


class Run:
    """One run of a request; first is the number of its first event."""

    def __init__(self, server, ident, nth, first=1, ids=True, line_end=b"\n"):
        self.name = f"{server}.{nth}"
        self.server = server
        self.ident = ident
        self.first = first
        self.ids = ids
        self.line_end = line_end
        self.size = 0  # of its work; 1: that of a usual request
        self.error = None  # (status, body) of a run that failed
        self.unframed = False  # its answer ends with its connection
        self.did = "whole"  # for those who trace a finding

    @functools.lru_cache(maxsize=1000)
    def event(self, number):
        draw = random.Random(f"{self.ident} {self.name} {number}")
        filler = draw.randbytes(draw.choice([0, 1, 30, 100, draw.randrange(200), 700])).hex()
        lines = [f"id: {number}"] if self.ids else []
        lines.append(f"data: {self.ident} {number} {self.name} {filler}")
        if draw.random() < 0.3:
            lines.append(f"data: more {filler[:9]}")
        return self.line_end.join(line.encode() for line in lines) + self.line_end * 2

    def may_end_early(self):
        """Its answer looks whole wherever its connection ends in order."""
        return self.unframed and not self.did.startswith("reset")

    def plain(self):
        return f"{self.name} got {self.ident}".encode()

    def large(self):
        """More than a gateway reads before it passes an answer on."""
        draw = random.Random(f"{self.ident} {self.name}")
        return self.plain() + b"\n" + draw.randbytes(draw.randrange(260_000, 700_000))


def looks_like_event(server, ident, number, open_end):
    """The body of a refusal or an error, which no run made as an event."""
    return f"id: {number}\ndata: {ident} {number} {server}.none \n".encode() + (b"" if open_end else b"\n")


def check_stream(runs, answer, whole, first):
    """(what was broken or None, words on it, number of the last good event with an id)"""
    made = {run.name.encode(): run for run in runs if run.error is None}
    number = first
    last_id = 0
    end = 0
    last = None
    for match in EVENT.finditer(answer):
        piece = match.group()
        end = match.end()
        named = NAMED.search(piece)
        run = made.get(named[2]) if named else None
        if run is None or piece != run.event(int(named[1])):
            return "joined_piece", f"event {number}: {told(piece)}", last_id
        if int(named[1]) != number:
            return "out_of_order", f"event {number} is {int(named[1])} of {run.name}", last_id
        last_id = number if run.ids else last_id
        last = run
        number += 1
    rest = answer[end:]
    if rest and not any(run.event(number).startswith(rest) for run in made.values()):
        return "joined_piece", f"rest after event {number - 1}: {told(rest)}", last_id
    early = any(run.may_end_early() for run in made.values() if run is last or run.first == number)
    if whole and (rest or (number != EVENTS + 1 and not early)):
        return "looks_complete", f"ends after event {number - 1} and {told(rest)}", last_id
    return None, "", last_id


def told(piece):
    """A piece in a finding: the names of its runs, not the filler."""
    return re.sub(r"[0-9a-f]{40,}", "..", repr(piece))


def check_body(bodies, answer, whole, unframed=()):
    """The same for an answer without events: all of one run's body, or its beginning if it broke off or is one of those
    bodies whose end cannot be told from an early one."""
    if whole and (answer in bodies or any(body.startswith(answer) for body in unframed)):
        return None, ""
    if not any(body.startswith(answer) for body in bodies):
        good = max((common(body, answer) for body in bodies), default=0)
        return "joined_piece", f"{len(answer)} bytes, not of one run from {good} on: {answer[good:good + 60]!r}"
    return ("looks_complete", f"ends after {len(answer)} bytes") if whole else (None, "")


def common(body, answer):
    """How many bytes two texts have in common at their beginnings."""
    low, high = 0, min(len(body), len(answer))
    while low < high:
        middle = (low + high + 1) // 2
        if body[:middle] == answer[:middle]:
            low = middle
        else:
            high = middle - 1
    return low


def check_log_budget(text):
    """Returns the events of malformed values that a process logged more often than its budget allows. A window of the
    budget lasts at least a second. One line more than those of n + 1 windows spreads over n + 2 of them, n of which lie
    between its first and last lines, so that these are at least n seconds apart."""
    stamps = collections.defaultdict(list)
    for stamp, pid, event in MALFORMED.findall(text):
        stamps[pid, event].append(datetime.datetime.fromisoformat(stamp).timestamp())
    found = []
    for (pid, event), times in stamps.items():
        for span_s in LOG_SPANS_S:
            most = (span_s + 1) * LOGGED_PER_S
            found += [f"{event} of pid {pid}: {most + 1} lines within {end - begin:.3f} s"
                      for begin, end in zip(times, times[most:]) if end - begin < span_s - CLOCK_ERROR_S]
    return found
