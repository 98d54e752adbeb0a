"""platform_standin.py: a small stand-in for the platform's store and its servers

The store answers lists and watches from a dictionary; each server runs a script that the test
gives it by path. Everything listens on loopback, on ports of the kernel's choice.
"""
import base64
import json
import socket
import struct
import threading
import time
import urllib.parse


def listen(address="127.0.0.1", port=0):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address, port))
    sock.listen(64)
    return sock


def free_ports(address):
    """A port of the kernel's choice for each of a gateway's uses. All are held until the last is chosen: let go one
    by one, the kernel gave one of them out again for 15 of 20,000 gateways, which then could not listen."""
    names = ("callers", "readiness", "control", "peers")
    held = {name: listen(address) for name in names}
    ports = {name: sock.getsockname()[1] for name, sock in held.items()}
    for sock in held.values():
        sock.close()
    return ports


COPIES_MAX = 1000  # of a store, to which it may go back


class Reader:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.data = b""

    def more(self):
        got = self.sock.recv(65536)
        self.data += got
        return bool(got)

    def until(self, mark):
        while mark not in self.data:
            if not self.more():
                return None
        part, self.data = self.data.split(mark, 1)
        return part

    def exactly(self, length):
        while len(self.data) < length:
            if not self.more():
                return None
        part, self.data = self.data[:length], self.data[length:]
        return part

    def head(self):
        """First line and headers (names in lower case), or None at the end."""
        head = self.until(b"\r\n\r\n")
        if head is None:
            return None, None
        lines = head.decode().split("\r\n")
        pairs = [line.split(": ", 1) for line in lines[1:]]
        return lines[0], {name.lower(): value for name, value in pairs}

    def body(self, headers):
        """(body, whole)"""
        if "content-length" in headers:
            body = self.exactly(int(headers["content-length"]))
            return (body, True) if body is not None else (self.data, False)
        if headers.get("transfer-encoding") != "chunked":
            return b"", True
        body = b""
        while True:
            size = self.until(b"\r\n")
            if size is None:
                return body, False
            chunk = self.exactly(int(size, 16) + 2)
            if chunk is None:
                return body + self.data[:int(size, 16)], False
            if int(size, 16) == 0:
                return body, True
            body += chunk[:-2]


class Store:
    """The platform's store: items, a revision, and watches that wait."""

    def __init__(self):
        self.sock = listen()
        self.port = self.sock.getsockname()[1]
        self.lock = threading.Condition(threading.RLock())
        self.generation = 0  # of its history
        self.items = {}
        self.log = []
        self.revision = 0
        self.down = False
        self.busy_calls = 0  # of so many calls it refuses all but one; 0: none
        self.calls = 0
        self.too_large = False  # answers are larger than any proper one
        self.forgotten = 0  # revisions up to this one are history no more
        self.sockets = set()
        self.waiting = 0  # watches
        self.lost = 0     # times at which all that waited were lost
        self.waits = []   # wait_ms of each watch
        self.era = None   # told in a header; None: not told
        self.copies = []  # (revision, items) after each change
        self.mute = False
        self.muted = []   # what was asked while it was mute: wait_ms of a watch, 0 for a list
        self.held_back = None      # key whose reads are not answered until it is another one
        self.held_back_calls = 0   # reads that wait for that
        threading.Thread(target=self.accept, daemon=True).start()

    def put(self, key, value):
        text = value if isinstance(value, str) else json.dumps(value)
        with self.lock:
            self.revision += 1
            item = {"private_key": key, "revision": self.revision,
                    "value": base64.b64encode(text.encode()).decode()}
            self.items[key] = item
            self.log.append(item)
            self.copies = self.copies[-COPIES_MAX:] + [(self.revision, dict(self.items))]
            self.lock.notify_all()

    def remove(self, key):
        with self.lock:
            self.revision += 1
            del self.items[key]
            self.log.append({"private_key": key, "revision": self.revision, "removed": True})
            self.copies = self.copies[-COPIES_MAX:] + [(self.revision, dict(self.items))]
            self.lock.notify_all()

    def go_back(self, changes, then=None):
        """It was away, and comes back from a copy that lacks so many changes, one era later; then() may write to it
        before anybody reads."""
        with self.lock:
            self.copies = self.copies[:max(len(self.copies) - changes, 1)]
            self.revision, items = self.copies[-1]
            self.items = dict(items)
            self.log = [item for item in self.log if item["revision"] <= self.revision]
            self.era = (self.era or 0) + 1
            self.generation += 1
            self.lock.notify_all()
            if then is not None:
                then()
            for sock in list(self.sockets):
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass  # the other side was faster

    def cut(self, key):
        """While a watch waits all connections end, and an item goes before anybody can ask again."""
        with self.lock:
            self.lock.wait_for(lambda: self.waiting > 0)
            for sock in list(self.sockets):
                sock.shutdown(socket.SHUT_RDWR)
            self.remove(key)

    def hold_back(self, key):
        """Reads of this item by its key are not answered any more; those of another one are."""
        with self.lock:
            self.held_back = key
            self.lock.notify_all()

    def waits_ms(self):
        """How long the newest watch waits; 0: none does."""
        with self.lock:
            return self.waits[-1] if self.waiting > 0 else 0

    def fall_mute(self):
        """Connections end; calls that come from now on are never answered, though their connections stand."""
        with self.lock:
            self.lock.wait_for(lambda: self.waiting > 0)
            self.mute = True
            for sock in list(self.sockets):
                sock.shutdown(socket.SHUT_RDWR)

    def lose_watches(self, key):
        """Watches that wait are never answered, though their connections stand, and an item goes. All other calls are
        answered."""
        with self.lock:
            self.lock.wait_for(lambda: self.waiting > 0)
            self.lost += 1
            self.remove(key)

    def accept(self):
        while True:
            sock, _ = self.sock.accept()
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        self.sockets.add(sock)
        try:
            self.answer_calls(sock)
        except OSError:
            return  # the caller is gone
        finally:
            self.sockets.discard(sock)

    def answer_calls(self, sock):
        reader = Reader(sock)
        while True:
            line, _ = reader.head()
            if line is None:
                return
            path, _, query = line.split()[1].partition("?")
            args = dict(urllib.parse.parse_qsl(query))
            status, answer = self.answer(path, args)
            if answer is None:
                while reader.more():
                    pass  # a connection that has lost an answer says nothing more
                return
            body = json.dumps(answer).encode()
            era = b"" if self.era is None else b"Store-Era: %s\r\n" % str(self.era).encode()
            sock.sendall(b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n" % (status, era, len(body)) + body)

    def answer(self, path, args):
        with self.lock:
            if self.mute:
                self.muted.append(int(args.get("wait_ms", 0)))
                return 0, None
            if self.down:
                return 503, {}
            self.calls += 1
            if self.busy_calls and self.calls % self.busy_calls:
                return 429, {}
            if self.too_large:
                return 200, {"entries": [], "current_rev": 1, "filler": "x" * (5 << 20)}
            if path == "/kv-key":
                self.held_back_calls += self.held_back == args["private_key"]
                self.lock.wait_for(lambda: self.held_back != args["private_key"])
                item = self.items.get(args["private_key"])
                return (404, {}) if item is None else (200, {**item, "current_rev": self.revision})
            prefix = args.get("path_prefix", "")
            if path == "/kv-range":
                # two to a page, so that pages are exercised
                keys = sorted(k for k in self.items if k.startswith(prefix) and k > args.get("since_rev", ""))
                return 200, {"entries": [self.items[k] for k in keys[:2]],
                             "has_more": len(keys) > 2, "current_rev": self.revision}
            since = int(args["since_rev"])
            if since < self.forgotten or since > self.revision:
                return 410, {}
            self.waiting += 1
            wait_ms = int(args["wait_ms"])
            self.waits.append(wait_ms)
            lost = self.lost
            self.lock.notify_all()
            history = self.generation
            self.lock.wait_for(lambda: self.down or self.generation != history or self.news(prefix, since),
                               wait_ms / 1000)
            self.waiting -= 1
            if self.generation != history:
                return 503, {}  # cut
            if self.lost != lost:
                return 0, None
            if self.down:
                return 503, {}
            return 200, {"events": self.news(prefix, since), "current_rev": self.revision}

    def news(self, prefix, since):
        """What has changed under a prefix after a revision, each change by itself."""
        found = []
        for event in reversed(self.log):
            if event["revision"] <= since:
                break
            if event["private_key"].startswith(prefix):
                found.append(event)
        return found[::-1]


class Server:
    """One server: runs scripts by the last part of the path and writes down what it ran."""

    def __init__(self, store, name, service, slots=4):
        # bound beside the one that listens: nobody else is given the port while the process is away
        self.hold = socket.socket()
        self.hold.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.hold.bind(("127.0.0.1", 0))
        self.port = self.hold.getsockname()[1]
        self.sock = listen(port=self.port)
        self.name = name
        self.runs = []    # (id, path, headers, body)
        self.closed = []  # ids whose connection was closed before the answer
        self.scripts = {}
        self.accepted = 0  # connections
        self.sockets = set()
        self.lock = threading.Lock()
        self.dead = False
        self.crashes = 0
        self.entry = {"service": service, "address": f"127.0.0.1:{self.port}", "zone": "z",
                      "slots": slots, "state": "ready", "sequence": 1, "version": "v1",
                      "warmup_left_ms": 0}
        self.store = store
        self.publish()
        threading.Thread(target=self.accept, daemon=True).start()

    def publish(self, **change):
        self.entry.update(change)
        if self.dead:
            return  # who would write it?
        self.store.put("servers/" + self.name, self.entry)

    def accept(self):
        listener = self.sock
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return  # its process has ended
            if self.dead:
                self.sockets.add(sock)  # in silence: kept, and never read
                continue
            self.accepted += 1
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def start_again(self):
        """Its process ends with all that it had, and another begins under the same id."""
        for sock in list(self.sockets):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # the other side was faster
        self.publish(born=self.entry.get("born", 0) + 1, state="ready", sequence=1)

    def crash(self, how, away_s=1.0, lapse_s=0.6):
        """Its process ends without a word: connections are reset, end, or stand in silence. Its entry goes after
        lapse_s, and away_s after the crash another process is there at its address, under a new id."""
        with self.lock:
            if self.dead:
                return  # two requests crash it at once
            self.dead = True
        self.crashes += 1
        listener, self.sock = self.sock, None
        if how != "silence":
            listener.shutdown(socket.SHUT_RDWR)  # wakes who accepts
            listener.close()
        for sock in list(self.sockets):
            if how == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.shutdown(socket.SHUT_RD)
                sock.close()
            elif how == "end":
                sock.shutdown(socket.SHUT_RDWR)
        threading.Thread(target=self.come_back, args=(listener, lapse_s, away_s), daemon=True).start()

    def come_back(self, listener, lapse_s, away_s):
        time.sleep(lapse_s)
        if "servers/" + self.name in self.store.items:  # which may have gone back to before it was there
            self.store.remove("servers/" + self.name)
        time.sleep(max(away_s - lapse_s, 0))
        if listener.fileno() >= 0:
            listener.shutdown(socket.SHUT_RDWR)
            listener.close()
        self.name = f"{self.name.split('+')[0]}+{self.crashes}"
        self.sockets = set()
        self.sock = listen(port=self.port)
        self.dead = False
        self.publish(sequence=1, state="ready")
        threading.Thread(target=self.accept, daemon=True).start()

    def serve(self, sock):
        reader = Reader(sock)
        life = self.name
        self.sockets.add(sock)
        try:
            while True:
                line, headers = reader.head()
                if line is None:
                    return
                body, _ = reader.body(headers)
                if self.dead or self.name != life:
                    while reader.more():
                        pass  # in silence
                    return
                path = line.split()[1]
                script = self.scripts.get(path.split("/")[-1], Server.plain)
                if script(self, sock, path, headers, body) is False:
                    sock.close()
                    return
        except (OSError, ValueError):
            return  # its connection, or its process, has ended
        finally:
            self.sockets.discard(sock)

    def ran(self, path, headers, body):
        self.runs.append((headers["x-cometspindle-request-id"], path, headers, body))

    def write_head(self, sock, headers, status=200, extra="", length=None):
        ident = headers["x-cometspindle-request-id"]
        size = f"Content-Length: {length}\r\n" if length is not None else \
            "Transfer-Encoding: chunked\r\n"
        sock.sendall((f"HTTP/1.1 {status} Word\r\nX-Cometspindle-Request-Id: {ident}\r\n"
                      f"X-Cometspindle-Server-Stamp: {self.name}\r\n{extra}{size}\r\n").encode())

    def plain(self, sock, path, headers, body):
        self.ran(path, headers, body)
        answer = b"%s got %s" % (self.name.encode(), body)
        self.write_head(sock, headers, length=len(answer))
        sock.sendall(answer)

    def chunk(self, sock, data):
        sock.sendall(b"%x\r\n%s\r\n" % (len(data), data))

    def events(self, sock, first, last):
        for number in range(first, last + 1):
            self.chunk(sock, b"id: %d\ndata: %s\n\n" % (number, self.name.encode()))


def wait_for(condition, seconds=20):
    """Waits until condition() holds; the bound only ends a test that has failed anyway."""
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise AssertionError("waited in vain")
        time.sleep(0.01)
