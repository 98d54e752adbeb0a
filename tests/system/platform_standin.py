"""platform_standin.py: test double of the platform's store and servers

The store answers lists and watches from a dictionary; each server runs the script that the test
sets for the path. All sockets listen on loopback, on ports chosen by the kernel.
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


_reservations = []  # sockets that keep the ports of free_ports()


def reserve_port(address):
    """Returns a port that the kernel chose and that no other socket gets before this process ends. A listener shares
    it if it sets SO_REUSEADDR."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address, 0))
    _reservations.append(sock)
    return sock.getsockname()[1]


def free_ports(address):
    """Returns a reserved port for each of a gateway's listeners. When the sockets were closed, the kernel assigned a
    port twice for 15 of 20,000 gateways, which could not listen."""
    return {name: reserve_port(address) for name in ("callers", "readiness", "control", "peers")}


COPIES_MAX = 1000  # number of earlier states to which a store can be restored


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
        """Returns the first line and the headers (names in lower case), or (None, None) at the end of the stream."""
        head = self.until(b"\r\n\r\n")
        if head is None:
            return None, None
        lines = head.decode().split("\r\n")
        pairs = [line.split(": ", 1) for line in lines[1:]]
        return lines[0], {name.lower(): value for name, value in pairs}

    def body(self, headers):
        """Returns (body, whether it is complete)."""
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
    """The platform's store: items, a revision, and watches that wait for changes."""

    def __init__(self):
        self.sock = listen()
        self.port = self.sock.getsockname()[1]
        self.lock = threading.Condition(threading.RLock())
        self.generation = 0  # increases with each restore, and ends the watches
        self.items = {}
        self.log = []
        self.revision = 0
        self.down = False
        self.busy_calls = 0  # only every n-th call is served, the others get 429; 0: all are served
        self.calls = 0
        self.too_large = False  # responses exceed the size limit of every client
        self.forgotten = 0  # watches from revisions below this one get 410
        self.sockets = set()
        self.waiting = 0  # number of waiting watches
        self.lost = 0     # how often the waiting watches were lost
        self.waits = []   # wait_ms of each watch
        self.era = None   # sent in the header Store-Era; None: header omitted
        self.copies = []  # (revision, items) after each change
        self.mute = False
        self.muted = []   # calls received while mute: wait_ms of a watch, 0 for a list
        self.held_back = None      # reads of this key wait until another key is set
        self.held_back_calls = 0   # reads that had to wait for that
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
        """Restores the store from a copy without the last changes, one era later. then() may write to the store before
        any client reads."""
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
                    pass  # the peer has already closed the connection

    def cut(self, key):
        """Closes all connections while a watch waits, and removes an item before any client can call again."""
        with self.lock:
            self.lock.wait_for(lambda: self.waiting > 0)
            for sock in list(self.sockets):
                sock.shutdown(socket.SHUT_RDWR)
            self.remove(key)

    def hold_back(self, key):
        """Delays reads of this item by its key until another key is set; reads of other items are answered."""
        with self.lock:
            self.held_back = key
            self.lock.notify_all()

    def waits_ms(self):
        """Returns the wait of the newest watch, or 0 if no watch waits."""
        with self.lock:
            return self.waits[-1] if self.waiting > 0 else 0

    def fall_mute(self):
        """Closes all connections. Later calls are never answered, but their connections stay open."""
        with self.lock:
            self.lock.wait_for(lambda: self.waiting > 0)
            self.mute = True
            for sock in list(self.sockets):
                sock.shutdown(socket.SHUT_RDWR)

    def lose_watches(self, key):
        """Removes an item without ever answering the waiting watches, whose connections stay open. All other calls are
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
            return  # the client has closed the connection
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
                    pass  # a connection with a lost response stays open but sends nothing more
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
                # two items per page, so that tests cover paging
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
                return 503, {}  # the store was restored; the connection is already shut down
            if self.lost != lost:
                return 0, None
            if self.down:
                return 503, {}
            return 200, {"events": self.news(prefix, since), "current_rev": self.revision}

    def news(self, prefix, since):
        """Returns every change under a prefix after a revision, without merging changes of the same key."""
        found = []
        for event in reversed(self.log):
            if event["revision"] <= since:
                break
            if event["private_key"].startswith(prefix):
                found.append(event)
        return found[::-1]


class Server:
    """One server: selects a script by the last segment of the path, and records the requests that it ran."""

    def __init__(self, store, name, service, slots=4):
        # a second bound socket reserves the port while the simulated process is down
        self.port_reservation = socket.socket()
        self.port_reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.port_reservation.bind(("127.0.0.1", 0))
        self.port = self.port_reservation.getsockname()[1]
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
            return  # a crashed server can't write its entry
        self.store.put("servers/" + self.name, self.entry)

    def accept(self):
        listener = self.sock
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return  # the simulated process has ended
            if self.dead:
                self.sockets.add(sock)  # the connection stays open, but is never read
                continue
            self.accepted += 1
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def start_again(self):
        """Ends the process with all its connections, and starts a new one under the same id."""
        for sock in list(self.sockets):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # the peer has already closed the connection
        self.publish(born=self.entry.get("born", 0) + 1, state="ready", sequence=1)

    def crash(self, how, away_s=1.0, lapse_s=0.6):
        """Ends the process without notice: connections are reset, closed, or stay open without data. The entry is
        removed after lapse_s; away_s after the crash a new process listens at the same address, under a new id."""
        with self.lock:
            if self.dead:
                return  # another request has already crashed it
            self.dead = True
        self.crashes += 1
        listener, self.sock = self.sock, None
        if how != "silence":
            listener.shutdown(socket.SHUT_RDWR)  # wakes the thread in accept()
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
        if "servers/" + self.name in self.store.items:  # the store may have been restored from a copy without it
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
        process_name = self.name
        self.sockets.add(sock)
        try:
            while True:
                line, headers = reader.head()
                if line is None:
                    return
                body, _ = self.body_of(reader, headers)
                if self.dead or self.name != process_name:
                    while reader.more():
                        pass  # keeps the connection open without answering
                    return
                path = line.split()[1]
                script = self.scripts.get(path.split("/")[-1], Server.plain)
                if script(self, sock, path, headers, body) is False:
                    sock.close()
                    return
        except (OSError, ValueError):
            return  # the connection or the simulated process has ended
        finally:
            self.sockets.discard(sock)

    def body_of(self, reader, headers):
        return reader.body(headers)

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
    """Waits until condition() holds. The time limit only ends tests that have already failed."""
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise AssertionError(f"condition not met within {seconds} s")
        time.sleep(0.01)
