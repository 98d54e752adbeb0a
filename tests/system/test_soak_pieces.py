"""The soak's check of answers: what is not of a run, out of order or cut short is seen, and nothing else is

The soak once looked only at whole streams and only at the lines with their ids, and its servers wrote each event in
one go: that a gateway put the beginning of one run's event before another's was not seen by it.
"""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts"))
from soak_pieces import (EVENTS, LOGGED_PER_S, Run, check_body, check_log_budget, check_stream,  # noqa: E402
                         looks_like_event)

IDENT = "00000000000000a1"


def stream_of(run, first, last):
    return b"".join(run.event(number) for number in range(first, last + 1))


def test_good_streams():
    for line_end in (b"\n", b"\r\n"):
        one, two = Run("i-0", IDENT, 1, line_end=line_end), Run("i-1", IDENT, 1, first=5)
        whole = stream_of(one, 1, 4) + stream_of(two, 5, EVENTS)
        assert check_stream([one, two], whole, True, 1) == (None, "", EVENTS)
        for length in range(0, len(whole), 11):
            assert check_stream([one, two], whole[:length], False, 1)[0] is None, length
            assert check_stream([one, two], whole[:length], True, 1)[0] == "looks_complete", length
    assert check_stream([two], stream_of(two, 5, EVENTS), True, 5) == (None, "", EVENTS)
    unnamed = Run("i-0", IDENT, 1, ids=False)
    assert check_stream([unnamed], stream_of(unnamed, 1, 3), False, 1) == (None, "", 0)


def test_bad_streams():
    one, two = Run("i-0", IDENT, 1), Run("i-1", IDENT, 1, first=3)
    other = Run("i-1", "00000000000000b2", 1)
    begun = stream_of(one, 1, 2)
    for length in range(1, len(one.event(3)) - 1):
        joined = begun + one.event(3)[:length] + stream_of(two, 3, EVENTS)
        assert check_stream([one, two], joined, True, 1)[0] == "joined_piece", length
    for more in (looks_like_event("i-1", IDENT, 3, False), looks_like_event("i-1", IDENT, 3, True), other.event(3),
                 one.event(3)[:-1] + b"x\n\n", b"\n"):
        assert check_stream([one, two], begun + more, False, 1)[0] == "joined_piece", more
    for more in (one.event(2), two.event(4), one.event(1)):
        assert check_stream([one, two], begun + more, False, 1)[0] == "out_of_order", more
    failed = Run("i-0", IDENT, 1)
    failed.error = (500, b"")
    assert check_stream([failed], begun, False, 1)[0] == "joined_piece"


def test_bodies():
    one, two = Run("i-0", IDENT, 1).large(), Run("i-1", IDENT, 1).large()
    assert len(one) > 256 * 1024
    assert check_body([one, two], one, True)[0] is None
    assert check_body([one, two], one[:-1], False)[0] is None
    assert check_body([one, two], one[:-1], True)[0] == "looks_complete"
    for answer in (one[:300000] + two, one[:300000] + one, one + b"x", one[:70000] + one[70001:]):
        for whole in (True, False):
            assert check_body([one, two], answer, whole)[0] == "joined_piece"
    assert check_body([], b"x", True)[0] == "joined_piece"


def test_answers_that_end_with_their_connections():
    """One that ends early in order between events looks whole; one that was reset or ends inside one does not."""
    framed, early, reset = Run("i-0", IDENT, 1), Run("i-0", IDENT, 2), Run("i-0", IDENT, 3)
    early.unframed = reset.unframed = True
    early.did, reset.did = "end at 9 of 99", "reset at 9 of 99"
    for run, found in ((framed, "looks_complete"), (early, None), (reset, "looks_complete")):
        for last in range(EVENTS):
            assert check_stream([run], stream_of(run, 1, last), True, 1)[0] == found, (run.did, last)
        inside = stream_of(run, 1, 4) + run.event(5)[:9]
        assert check_stream([run], inside, True, 1)[0] == "looks_complete", run.did
        assert check_stream([run], inside, False, 1)[0] is None, run.did
        bodies = [run.plain()] if run.may_end_early() else []
        assert check_body([run.plain()], run.plain()[:-1], True, bodies)[0] == found, run.did
    # whether an answer is whole depends on the run that ended it
    late = Run("i-1", IDENT, 1, first=4)
    assert check_stream([early, late], stream_of(early, 1, 3) + stream_of(late, 4, 5), True, 1)[0] == "looks_complete"


def log_lines(at_ms, event="output_hint_ignored", pid=7):
    return "".join(f"ts=2026-01-01T00:00:{ms // 1000:02d}.{ms % 1000:03d}000Z level=warning program=x pid={pid} "
                   f"event={event} request=1 value=x\n" for ms in at_ms)


def test_log_budget():
    """Guards against a check that passes over a log whose budget failed, or that finds fault with two full windows that
    meet."""
    full = [990] * LOGGED_PER_S + [1000] * LOGGED_PER_S
    assert not check_log_budget(log_lines(full + [2000] * LOGGED_PER_S))
    assert check_log_budget(log_lines(full + [1900]))
    assert not check_log_budget(log_lines(full) + log_lines([1900], pid=8))
    assert check_log_budget(log_lines(range(0, 4000, 1000 // (LOGGED_PER_S + 4))))
    assert not check_log_budget(log_lines(range(0, 9000, 1000 // LOGGED_PER_S)))
    assert not check_log_budget(log_lines(full) + log_lines([1900], event="slowdown_ignored"))
    assert not check_log_budget(log_lines(full + [1900], event="admitted"))


for test in (test_good_streams, test_bad_streams, test_bodies, test_answers_that_end_with_their_connections,
             test_log_budget):
    try:
        test()
    except AssertionError:
        print("FAILED", test.__name__, flush=True)
        raise
    print("OK", test.__name__, flush=True)
