"""cut_links.py: the links from one VM to all endpoints, which a test can cut in different ways

The VM's connections to endpoints go through relays (tests/preload/redirect.c). While a link is cut, the relays
do not read from their connections ("hang"), reset them ("reset"), or go on with them ("live"). New connections hang
in the first case and are refused in the others.
"""
import os
import select
import socket
import struct
import threading

from gateway_world import BUILD
from platform_standin import listen, reserve_port

KINDS = ("hang", "reset", "live")


def reset(sock):
    """Lets the thread that relays a connection reset it."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.shutdown(socket.SHUT_RD)
    except OSError:
        pass  # the thread has closed the connection already


class Relay:
    """Relays connections to one port of an endpoint."""

    def __init__(self, port):
        self.port = port
        self.kind = None  # of the cut; None: the link works
        self.pairs = []
        self.fillers = []
        self.restored = threading.Event()
        self.restored.set()
        self.own_port = reserve_port("127.0.0.1")  # also while the link is cut and nothing listens
        self.listener = listen(port=self.own_port)
        self.serve(self.listener)

    def serve(self, listener):
        threading.Thread(target=self.accept, args=(listener,), daemon=True).start()

    def accept(self, listener):
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return  # the listener was closed by a cut
            target = socket.create_connection(("127.0.0.1", self.port))
            self.pairs.append((sock, target))
            threading.Thread(target=self.relay, args=(sock, target), daemon=True).start()

    def relay(self, sock, target):
        try:
            while True:
                ready, _, _ = select.select([sock, target], [], [])
                if self.kind == "hang":
                    self.restored.wait()
                for one in ready:
                    data = one.recv(65536)
                    if not data:
                        return
                    (target if one is sock else sock).sendall(data)
        except (OSError, ValueError):
            return  # one side has closed the connection
        finally:
            self.pairs = [pair for pair in self.pairs if pair[0] is not sock]
            sock.close()
            target.close()

    def cut(self, kind):
        self.kind = kind
        self.restored.clear()
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        if kind == "reset":
            for sock, _ in list(self.pairs):
                reset(sock)
        if kind == "hang":
            self.hang_new_connections()

    def hang_new_connections(self):
        """Listens with a full queue, so that the kernel drops the first packet of each new connection."""
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", self.own_port))
        self.listener.listen(0)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.own_port))
            self.fillers.append(filler)

    def restore(self):
        if self.kind == "hang":
            self.listener.close()
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        self.kind = None
        self.listener = listen(port=self.own_port)
        self.restored.set()
        self.serve(self.listener)


class CutLinks:
    """All links of one VM to the endpoints."""

    def __init__(self, servers):
        self.relays = [Relay(server.port) for server in servers]

    def environment(self):
        pairs = ",".join(f"{relay.port}:{relay.own_port}" for relay in self.relays)
        return {**os.environ, "COMET_TEST_REDIRECT": pairs, "LD_PRELOAD": f"{BUILD}/tests/libredirect.so",
                "ASAN_OPTIONS": os.environ.get("ASAN_OPTIONS", "") + ":verify_asan_link_order=0"}

    def is_cut(self):
        return any(relay.kind is not None for relay in self.relays)

    def cut(self, kind):
        for relay in self.relays:
            relay.cut(kind)

    def restore(self):
        for relay in self.relays:
            relay.restore()
