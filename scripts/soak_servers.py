"""soak_servers.py: servers of the soak, which write in pieces and, when told to, break off, stop, refuse or fail

What they do to a request is drawn from the seed, the request's id and their own name.
"""
import os
import random
import select
import socket
import struct
import sys
import time

from soak_pieces import EVENTS, Run, looks_like_event

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tests", "system"))
from platform_standin import Server  # noqa: E402

# one a request; bare, unnamed, hush and unframed come with any of them
TROUBLES = {"stop", "end", "reset", "refuse", "error", "endless"}
HABIT_PART = 0.7  # of the requests that come while a server has a habit
REST_SETTLE_S = 0.5  # requests that were under way when a VM was asked for a rest do not count
REST_REQUESTS_MAX = 2
UNTIL_CLOSED_S = 8.0  # longer than any request is held
WORK_S = 0.015  # of a request of size 1 at a fast server
SLOW_FACTOR = 4.4  # of the slow third of the servers
PHASE_S = 0.6  # for which the speed of a server stays the same
PHASE_PERCENT = 250  # of the usual time, in a slow phase
SLOW_PHASES_PART = 0.3
HUSH_S = (0.7, 1.3)
ENDLESS_BYTES = 64 << 20  # more than the buffers of a connection and what a VM may read of such an answer
ENDLESS = {"garbage": (None, b"no answer at all\n"), "interim": (None, b"HTTP/1.1 100 Continue\r\n\r\n"),
           "unstamped": ("", b"x"), "unstamped chunks": ("Transfer-Encoding: chunked\r\n", b"4\r\nmore\r\n")}
STEP_S = 0.05  # time of work at the usual speed, after which the speed is determined again
ABSURD_PERCENTS = [0, 10 ** 9, 10 ** 12]  # the last one makes the header malformed
ABSURD_PART = 0.2  # of the responses


class Speed:
    """Speed of a server of uneven load: a fixed factor, and phases whose slowdown its load header states."""

    def __init__(self, seed, name, factor):
        self.seed = f"{seed} {name}"
        self.factor = factor
        self.begun = time.monotonic()

    def percent(self):
        phase = int((time.monotonic() - self.begun) / PHASE_S)
        return PHASE_PERCENT if random.Random(f"{self.seed} {phase}").random() < SLOW_PHASES_PART else 100

    def work(self, size):
        """Takes the time for so much work, at the speed of each moment."""
        left_s = size * WORK_S * self.factor
        while left_s > 0:
            step_s = min(left_s, STEP_S)
            time.sleep(step_s * self.percent() / 100)
            left_s -= step_s

    def load_header(self, ident):
        draw = random.Random(f"{self.seed} {ident}")
        percent = draw.choice(ABSURD_PERCENTS) if draw.random() < ABSURD_PART else self.percent()
        return f"X-Cometspindle-Instance-Load: 1,0,2,{percent}\r\n"


class PieceServer(Server):
    """habits: what it does just now (stop, end, reset, refuse, error, endless, bare, unnamed, hush, unframed), as often
    as it was told to."""

    def __init__(self, store, name, service, slots, seed):
        self.seed = seed
        self.habits = []
        self.advertised = ""  # headers about its condition
        self.speed = None  # set for uneven load
        self.made = {}  # id of a request -> its runs
        self.seen = {}  # id of a request -> how often it came
        self.rest_s = 0  # stated with rejections; 0: not stated
        self.rests = {}  # VM -> (its epoch, begin and end of the rest that it was asked for, requests in that time)
        self.too_many_in_rest = []
        self.read_on = []  # what was endless and was read nevertheless
        self.epoch_of = lambda vm: 0  # counts the restarts and pauses of a VM
        self.said_wrong = False  # that another process has its address: true once it starts again
        super().__init__(store, name, service, slots)
        self.scripts = {"plain": PieceServer.small, "large": PieceServer.large, "stream": PieceServer.stream}

    def begin(self, sock, path, headers, body):
        """(draw, run, trouble); no run if it was refused or has failed already."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        ident = headers["x-cometspindle-request-id"]
        self.seen[ident] = self.seen.get(ident, 0) + 1
        self.count_in_rest(headers.get("x-vm"))
        draw = random.Random(f"{self.seed} {self.name} {ident} {self.seen[ident]}")
        habits = sorted(set(self.habits) & TROUBLES)
        trouble = draw.choice(habits) if habits and draw.random() < HABIT_PART else None
        first = int(headers.get("last-event-id", 0)) + 1
        if trouble == "refuse":
            self.refuse(sock, draw, headers, first)
            return draw, None, trouble
        ids = path.startswith("/again/") or random.Random(f"ids {ident}").random() < 0.7
        ids = ids and "unnamed" not in self.habits
        run = Run(self.name, ident, self.seen[ident], first, ids, draw.choice([b"\n", b"\n", b"\r\n"]))
        run.size = int(headers.get("x-size", 0))
        self.made.setdefault(ident, []).append(run)
        if trouble == "error":
            self.fail(sock, draw, headers, run, path.endswith("/large"))
        self.ran(path, headers, body)
        if trouble == "endless":
            self.write_endless(sock, draw, headers, run)
        run.unframed = "unframed" in self.habits and draw.random() < HABIT_PART
        return draw, run if run.error is None else None, trouble

    def count_in_rest(self, vm):
        """Counts a request of a VM that was asked for a rest, unless the VM has restarted or paused since."""
        rest = self.rests.get(vm)
        if rest and rest[0] == self.epoch_of(vm) and REST_SETTLE_S < time.monotonic() - rest[1] < rest[2]:
            rest[3] += 1
            if rest[3] > REST_REQUESTS_MAX:
                self.too_many_in_rest.append(f"{self.name}: {rest[3]} requests of VM {vm} within {rest[2]} s")

    def head(self, headers, status, more, stamped=True):
        stamp = f"X-Cometspindle-Server-Stamp: {self.name}\r\n" if stamped else ""
        ident = headers["x-cometspindle-request-id"]
        load = self.speed.load_header(ident) if self.speed else ""
        return (f"HTTP/1.1 {status} Word\r\nX-Cometspindle-Request-Id: {ident}\r\n"
                f"{stamp}{load}{self.advertised}{more}\r\n").encode()

    def refuse(self, sock, draw, headers, first):
        """Not run, with a body that must not get into any answer."""
        status = draw.choice([503, 503, 503, 421])
        self.said_wrong |= status == 421
        more = "X-Cometspindle-Not-Executed: 1\r\n" if status == 503 or draw.random() < 0.5 else ""
        if status == 503 and self.rest_s:
            vm = headers.get("x-vm")
            self.rests[vm] = [self.epoch_of(vm), time.monotonic(), self.rest_s, 0]
            more += f"Retry-After: {self.rest_s}\r\n"
        body = looks_like_event(self.name, headers["x-cometspindle-request-id"], first, draw.random() < 0.4)
        self.write(sock, draw, self.head(headers, status, f"{more}Content-Length: {len(body)}\r\n") + body)

    def fail(self, sock, draw, headers, run, large):
        """A failure that was run; 200 without a stamp is one as well."""
        status = draw.choice([500, 500, 200])
        body = looks_like_event(self.name, run.ident, run.first, draw.random() < 0.4)
        body += run.large() if large else b""
        run.error = (status, body)
        run.did = f"error {status}"
        more = f"Content-Length: {len(body)}\r\n"
        data = self.head(headers, status, more, stamped=status != 200) + body
        self.write(sock, draw, data, largest=max(200, len(data) // 8))

    def write_endless(self, sock, draw, headers, run):
        """Bytes that are no answer, until the connection is closed."""
        kind = draw.choice(sorted(ENDLESS))
        run.error = (0, b"")
        run.did = f"endless {kind}"
        more, piece = ENDLESS[kind]
        block = piece * (65536 // len(piece))
        if more is not None:
            sock.sendall(self.head(headers, 200, more, stamped=False))
        for _ in range(ENDLESS_BYTES // len(block)):
            sock.sendall(block)
        self.read_on.append(f"{run.ident} {kind} at {self.name}")
        sock.shutdown(socket.SHUT_RDWR)

    def write(self, sock, draw, data, never=frozenset(), largest=200, size=0):
        """Writes in pieces, some of them of one byte; none ends at the places that are named. The work for a request
        of this size is spread over the bytes."""
        singles = draw.randrange(len(data)) if draw.random() < 0.2 else len(data)
        hush_at = draw.randrange(len(data)) if "hush" in self.habits and draw.random() < HABIT_PART else None
        at = 0
        while at < len(data):
            end = at + (1 if singles <= at < singles + 150 else draw.randint(1, largest))
            while end in never:
                end += 1
            if self.speed:
                self.speed.work(size * len(data[at:end]) / len(data))
            sock.sendall(data[at:end])
            if hush_at is not None and at <= hush_at < end:
                time.sleep(draw.uniform(*HUSH_S))
            at = end
            if draw.random() < (0.02 if singles <= at < singles + 150 else 0.25):
                time.sleep(draw.random() * 0.02)

    def trouble(self, sock, draw, run, kind):
        """In the middle of an answer; returns whether it goes on."""
        if kind == "stop":
            wait_s = draw.choice([draw.uniform(0.8, 2.5), UNTIL_CLOSED_S])
            run.did += f" for {wait_s:.1f} s"
            poll = select.poll()  # which takes descriptors of any number: a soak of hundreds has over 1,024
            poll.register(sock, select.POLLIN)
            return not poll.poll(wait_s * 1000) and wait_s < UNTIL_CLOSED_S
        if kind == "reset":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        return False  # the connection is closed

    def write_with(self, sock, draw, run, kind, data, at, never=frozenset(), largest=200):
        """Writes an answer, with the trouble, if any, at this place. Returns False when the connection ends."""
        if kind is None:
            self.write(sock, draw, data, never, largest, run.size)
            return None
        run.did = f"{kind} at {at} of {len(data)}"
        self.write(sock, draw, data[:at], never, largest, run.size * at / len(data))
        if not self.trouble(sock, draw, run, kind):
            return False
        self.write(sock, draw, data[at:], {place - at for place in never}, largest,
                   run.size * (1 - at / len(data)))
        return None

    def small(self, sock, path, headers, body):
        return self.whole_body(sock, path, headers, body, Run.plain)

    def large(self, sock, path, headers, body):
        return self.whole_body(sock, path, headers, body, Run.large)

    def whole_body(self, sock, path, headers, body, make):
        draw, run, kind = self.begin(sock, path, headers, body)
        if run is None:
            return None
        time.sleep(0.02)
        answer = make(run)
        if run.unframed:
            data = self.head(headers, 200, draw.choice(["", "Connection: close\r\n"])) + answer
        elif draw.random() < 0.5:
            data = self.head(headers, 200, f"Content-Length: {len(answer)}\r\n") + answer
        else:
            data = self.head(headers, 200, "Transfer-Encoding: chunked\r\n") + \
                chunked(draw, answer, 60000) + b"0\r\n\r\n"
        end = self.write_with(sock, draw, run, kind, data, draw.randrange(len(data) * 2 // 3, len(data)),
                              largest=max(200, len(data) // 8))
        return False if run.unframed else end

    def stream(self, sock, path, headers, body):
        draw, run, kind = self.begin(sock, path, headers, body)
        if run is None:
            return None
        bare = ("bare" in self.habits and draw.random() < HABIT_PART) or run.unframed
        framing = "Connection: close\r\n" if bare else "Transfer-Encoding: chunked\r\n"
        data = self.head(headers, 200, f"Content-Type: text/event-stream\r\n{framing}")
        starts = []
        for number in range(run.first, EVENTS + 1):
            starts.append(len(data))
            event = run.event(number)
            data += event if bare else chunked(draw, event, 100)
        starts.append(len(data))
        if len(starts) == 1:
            kind = None  # there is nothing left to break
        at = 0
        if kind is not None:
            which = draw.randrange(len(starts) - 1)
            between = run.unframed and draw.random() < 0.3
            at = starts[which] if between else draw.randrange(starts[which] + 1, starts[which + 1])
        if bare:
            # An end in order between events would be a whole answer: if bare, whatever ends it early is inside one.
            never = frozenset() if run.unframed else frozenset(starts[:-1])
            end = self.write_with(sock, draw, run, kind, data, at, never=never)
            run.did += " unframed" if run.unframed else " bare"
            return False if end is None else end
        if kind == "end" and draw.random() < 0.3:
            # the chunks come to their end in order, the event does not
            event = run.event(run.first + which)
            data = data[:starts[which]] + chunked(draw, event[:draw.randrange(1, len(event))], 100)
            run.did = f"last chunk inside event {run.first + which}"
            kind = None
        return self.write_with(sock, draw, run, kind, data + b"0\r\n\r\n", at)


def chunked(draw, data, largest):
    out = b""
    at = 0
    while at < len(data):
        part = data[at:at + draw.randint(1, largest)]
        out += b"%x\r\n%s\r\n" % (len(part), part)
        at += len(part)
    return out
