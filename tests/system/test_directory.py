"""test_directory.py: what a gateway makes of its directory: outages, copies, entries that come and go"""
import itertools
import json
import re
import select
import socket
import struct
import threading

from gateway_world import (ADDRESS, OTHER_ADDRESS, Gateway, OtherVms, World, answer_of, call, connect, document, get,
                           get_or_empty, request, route, run_tests, view)
from platform_standin import Reader, Server, Store, wait_for


OTHER_ADDRESS_NUMBER = struct.unpack(">I", socket.inet_aton(OTHER_ADDRESS))[0]


def test_configuration(world):
    store = world.store
    sock = connect(world.gateway.ports["callers"])

    def status_with(key):
        sock.sendall(request("/safe/x", key=key)[1])
        return answer_of(sock)[0]
    assert status_with("k2") == 200
    store.put("op/config", document(2, keys=("k1",)))
    wait_for(lambda: status_with("k2") == 401)
    store.put("op/config", "{garbage")
    store.put("op/config", document(1))  # older: never
    assert status_with("k1") == 200 and status_with("k2") == 401
    store.forgotten = store.revision  # history is gone: it lists again
    store.put("op/config", document(3))
    wait_for(lambda: status_with("k2") == 200)


def test_large_documents_in_series(world):
    """Documents that are translated beside the loop: the newest of a series is in force in the end, one that cannot be
    read changes nothing, and requests are answered meanwhile."""
    def large(version, keys):
        result = document(version, keys)
        result["routes"] += [route(f"more-{number}", "safe", 1) for number in range(2000)]
        return result

    def status_with(key):
        return call(world.gateway, "/safe/x", key=key)[1]
    for version in range(2, 12):
        world.store.put("op/config", large(version, keys=("k1",) if version % 2 else ("k2",)))
        assert {status_with("k1"), status_with("k2")} <= {200, 401}
    wait_for(lambda: b"event=routes_taken version=11 " in world.gateway.log_text())
    wait_for(lambda: (status_with("k1"), status_with("k2")) == (200, 401))
    bad = large(12, keys=("k2",))
    del bad["routes"][1900]["service"]
    world.store.put("op/config", bad)
    wait_for(lambda: b"routes[1900].service" in world.gateway.log_text())
    assert (status_with("k1"), status_with("k2")) == (200, 401)
    world.store.put("op/config", large(13, keys=("k2",)))  # it stops while this is on its way


def served_by(world):
    """The server that answers a request."""
    return call(world.gateway, "/safe/x")[3].split()[0].decode()


def revision_of(world):
    """The store's revision, as far as the gateway has read."""
    _, _, body, _ = get(world.gateway.ports["control"], "/metrics")
    return int(re.search(rb"^comet_directory_revision (\d+)$", body, re.M)[1])


def test_servers_leave(world):
    one, two = world.servers
    one.publish(state="draining")
    store = world.store
    wait_for(lambda: all(served_by(world) == "i-1" for _ in range(4)))
    store.remove("servers/i-1")
    wait_for(lambda: call(world.gateway, "/safe/x")[1] == 503)
    one.publish(state="ready")
    two.publish()
    wait_for(lambda: {served_by(world) for _ in range(20)} >= {"i-0", "i-1"})


def test_store_away():
    """Without a store: 503, not 404; once it is there, served; away again, still served."""
    store = Store()
    store.down = True
    gateway = Gateway(store)
    wait_for(lambda: b"no_routes" in get_or_empty(gateway, "readiness"))
    _, status, headers, _, _ = call(gateway, "/safe/x")
    assert status == 503 and float(headers["retry-after"]) > 0
    store.put("op/config", document(1))
    server = Server(store, "i-0", "svc")
    store.down = False
    wait_for(gateway.ready)
    store.down = True
    assert call(gateway, "/safe/x")[1] == 200
    text = gateway.end()
    for line in ("event=started", "event=directory_lost", "event=directory_regained",
                 "event=stopping", "event=stopped"):
        assert line in text, line
    assert server.runs


def test_start_in_an_outage():
    """Callers who may try once more are not asked back while the store still does not answer."""
    store = Store()
    store.down = True
    gateway = Gateway(store)
    def asked_back():
        _, data = request("/safe/x")
        try:
            sock = connect(gateway.ports["callers"])
        except OSError:
            return None
        sock.sendall(data)
        status, headers, _, _ = answer_of(sock)
        assert status == 503
        return headers["retry-after"]
    wait_for(lambda: asked_back() == "4")
    gateway.end()


def timers_towards(port):
    """The kernel's timers of connections that were made to a port: "02" probes a quiet one."""
    remote = f":{port:04X}"
    with open("/proc/net/tcp", encoding="utf-8") as file:
        rows = [line.split() for line in file.readlines()[1:]]
    return [row[5].split(":")[0] for row in rows if row[2].endswith(remote) and row[3] == "01"]


def test_silent_store_is_noticed(world):
    """All open connections went silent for good, without a reset. A VM of 65 was waiting in a watch, which may
    last for ten seconds; nothing came on it and nothing noticed. Routes changed 1.1 s later and were
    acknowledged, and 4.3 s after that the VM still sent a request by the old ones; it learned of them 5.7 s after
    the silence, when the watch was over, and an endpoint that leaves is learned of no sooner:

        event=directory_lost reason=timeout
        event=routes_taken version=5

    So a connection on which an answer may take long is probed while it is quiet."""
    wait_for(lambda: timers_towards(world.store.port) == ["02"])


def test_calls_in_the_last_moments_of_an_outage(world):
    """The store was silent for three seconds. Calls made in the last moments of that are never answered, on connections
    that stand, and a VM that had asked for news within ten seconds learned of routes and leaving endpoints seconds
    after others. While an outage is known, no call may wait: its answer is missed at once."""
    def status_with(key):
        return call(world.gateway, "/safe/x", key=key)[1]
    for version, key in ((2, "k2"), (3, "k1")):
        before = len(world.store.muted)
        world.store.fall_mute()
        wait_for(lambda: len(world.store.muted) >= before + 3)
        # the first may come before the outage is known
        assert max(world.store.muted[before + 1:]) <= 1, world.store.muted
        world.store.mute = False
        world.store.put("op/config", document(version, keys=(key,)))
        wait_for(lambda: status_with(key) == 200 and status_with({"k1": "k2", "k2": "k1"}[key]) == 401)


def test_unanswered_watch_is_noticed(world):
    """The store fell silent twice, and answered for a second in between. A VM of 65 then asked for news 0.4 s after it
    had fallen silent again (16.35 s): its watch was never answered, and the connection stood, so that probes of it
    were answered too. The store was back at 19.57 s, routes changed at 21.42 s, and at 24.43 s the VM still sent a
    request by the old ones:

        15.5197 edge-yyc-c-10 event=directory_regained reason=answered lost_ms=2075
        26.5814 edge-yyc-c-10 event=directory_lost reason=timeout answered_ms_ago=10433

    Here an endpoint leaves, views tell that other VMs have read more, and no copies are to be had. The VM is to
    ask anew, instead of waiting until its watch fails by time."""
    others = OtherVms(world.gateway, 40)
    wait_for(lambda: world.store.waits_ms() >= 5000)
    world.store.lose_watches("servers/i-1")
    others.revision = world.store.revision
    wait_for(lambda: revision_of(world) == world.store.revision)
    assert {served_by(world) for _ in range(8)} == {"i-0"}
    others.over.set()
    assert "reason=timeout" not in world.gateway.end()


def losses_of(world):
    """How often the gateway has lost the store."""
    _, _, body, _ = get(world.gateway.ports["control"], "/metrics")
    return int(re.search(rb"^comet_directory_losses_total (\d+)$", body, re.M)[1])


def test_news_that_is_not_there(world):
    """A VM claims to have read what the store does not have. The others ask the store anew for it once, however long
    the claim stands, and go on with what they have."""
    others = OtherVms(world.gateway, 40)
    wait_for(lambda: world.store.waits_ms() >= 5000)
    assert losses_of(world) == 0
    others.revision = world.store.revision + 1000
    wait_for(lambda: losses_of(world) == 1)
    rounds = others.rounds
    wait_for(lambda: others.rounds > rounds + 60)
    assert losses_of(world) == 1 and call(world.gateway, "/safe/x")[1] == 200
    others.over.set()


def test_watches_begun_together_do_not_end_together(world):
    """News reach all VMs at once, so that they all begin the next watch at once. Each was to wait for between half and
    the whole of the longest time, and 65 VMs had all just asked when the store fell silent for 3.2 s: none noticed
    for 6 s, and none was ahead of the others, who learn of it from one that is:

        19.574 s  the store is back
        22.295 edge-yyc-b-21 event=directory_lost reason=timeout answered_ms_ago=6477

    So watches that begin together are drawn apart over the whole time; those that follow on one that ended
    without news are apart already, and wait for at least half of it."""
    store = world.store
    wait_for(lambda: 0 < store.waits_ms() <= 2500)  # alone, it waits so long at most
    first = []
    for _ in range(24):
        begun = len(store.waits)
        world.servers[0].publish(warmup_left_ms=begun)
        wait_for(lambda: len(store.waits) > begun)
        first.append(store.waits[begun])
    wait_for(lambda: len(store.waits) > begun + 3)
    later = store.waits[begun + 2:]
    assert min(first) < 1250 and max(first) <= 2500, first
    assert all(1250 <= wait_ms <= 2500 for wait_ms in later), later


def test_ended_connection_is_no_outage(world):
    """An endpoint left while the connection on which a VM watched the store had just ended; the store itself
    was there all the time. The VM took the end for an outage of the store, in which entries lapse of
    living endpoints, and used the one that had left for two seconds more. On 40 days with silent
    connections and endpoints that leave right after, logs had 345 lines like

        event=endpoint_lapsed endpoint=i-645394df06 out_ms_ago=1062

    and 282 requests were sent to endpoints after such a line. Only a call that fails on a connection of
    its own, or is refused, shows an outage."""
    world.store.remove("servers/i-1")
    wait_for(lambda: all(served_by(world) == "i-0" for _ in range(4)))
    world.store.cut("servers/i-0")
    wait_for(lambda: revision_of(world) == world.store.revision)
    assert call(world.gateway, "/safe/x")[1] == 503


def test_unreadable_entry(world):
    """An endpoint's entry was overwritten with something that cannot be read. The VM passed that over and went on
    with the entry before it, for ever: the endpoint might have said that it leaves, or be gone. Logs had one line,

        event=directory_item_refused key=servers/i-0 ... effect=kept_last

    and requests were sent there from then on. What cannot be read names no endpoint to use; a good entry
    brings it back."""
    good = dict(world.servers[0].entry)
    bad = ["", "{", "null", "[]", "\x00\x01", "{}"]
    bad += [json.dumps({**good, name: value}) for name, value in (
        ("service", 5), ("service", ""), ("address", "nowhere"), ("address", None), ("zone", 7),
        ("version", []), ("slots", "4"), ("slots", -4), ("slots", 0), ("slots", 1.5), ("state", "new"),
        ("state", True), ("warmup_left_ms", "0"), ("warmup_left_ms", -1), ("sequence", "4"),
        ("sequence", None))]
    bad += [json.dumps({name: good[name] for name in good if name != missing}) for missing in good]
    for text in bad:
        wait_for(lambda: any(served_by(world) == "i-0" for _ in range(20)))
        world.store.put("servers/i-0", text)
        wait_for(lambda: revision_of(world) == world.store.revision)
        assert {served_by(world) for _ in range(8)} == {"i-1"}, text
        world.servers[0].publish()
    _, _, body, _ = get(world.gateway.ports["control"], "/metrics")
    assert f"comet_directory_items_refused_total {len(bad)}\n".encode() in body


def publish_and_wait(world, server, **change):
    server.publish(**change)
    wait_for(lambda: revision_of(world) == world.store.revision)


def test_server_starts_again(world):
    """A server that starts again under its id knows nothing of before: connections to its earlier life are
    closed, and what that life had is looked after; late news of it changes nothing."""
    one, two = world.servers
    world.store.remove("servers/i-1")
    publish_and_wait(world, one, born=1000)
    assert served_by(world) == "i-0"
    accepted = one.accepted
    assert served_by(world) == "i-0" and one.accepted == accepted
    publish_and_wait(world, one, born=2000)
    assert served_by(world) == "i-0" and one.accepted == accepted + 1

    # it serves on, whatever comes late from the life before, and writes its entry anew
    publish_and_wait(world, one, born=1000, state="draining")
    assert served_by(world) == "i-0"
    publish_and_wait(world, one, born=2000, state="ready")

    # a request is under way while it starts again: its connection is probed, and its answer passed on
    answer = threading.Event()

    def held(server, sock, path, headers, body):
        server.ran(path, headers, body)
        answer.wait(20)
        server.write_head(sock, headers, length=2)
        sock.sendall(b"ok")
    world.script("held", held)
    caller = connect(world.gateway.ports["callers"])
    ident, data = request("/once/held", method="POST")
    caller.sendall(data)
    wait_for(lambda: world.runs(ident))
    assert "02" not in timers_towards(one.port)
    publish_and_wait(world, one, born=3000, state="ready")
    wait_for(lambda: "02" in timers_towards(one.port))
    answer.set()
    assert answer_of(caller)[0] == 200 and world.runs(ident) == 1

    # its entry names no life, though it told one before: somebody else has written that
    del one.entry["born"]
    for slots in (4, 5):
        publish_and_wait(world, one, slots=slots)
        assert call(world.gateway, "/safe/x")[1] == 503
    publish_and_wait(world, one, born=3000)
    assert served_by(world) == "i-0"

    # the word of an earlier life that stays the last one is believed
    publish_and_wait(world, one, born=1000, state="draining")
    wait_for(lambda: call(world.gateway, "/safe/x")[1] == 503)
    two.publish()


def test_answer_lost_with_a_life(world):
    """What a server had when it ended may have run: that is said at once where it may not be repeated, and where it
    may, its new life takes it."""
    one = world.servers[0]
    world.store.remove("servers/i-1")
    publish_and_wait(world, one, born=1000)
    ended = threading.Event()

    def dies(server, sock, path, headers, body):
        server.ran(path, headers, body)
        if len(server.runs) == 1:
            ended.wait(20)
            return False
        server.write_head(sock, headers, length=2)
        sock.sendall(b"ok")
        return None
    world.script("dies", dies)
    one.runs.clear()
    caller = connect(world.gateway.ports["callers"])
    ident, data = request("/safe/dies")
    caller.sendall(data)
    wait_for(lambda: world.runs(ident) == 1)
    publish_and_wait(world, one, born=2000)
    ended.set()  # its connection breaks after the news
    assert answer_of(caller)[0] == 200 and world.runs(ident) == 2
    one.runs.clear()
    ident, status, _, _, _ = call(world.gateway, "/once/dies", method="POST")
    assert status == 502 and world.runs(ident) == 1


def test_late_word_in_a_lapse():
    """A server's entry had lapsed while the store was away, and it was used on. Then the last word of its earlier life
    came, and was taken for news: what was known of lives had been forgotten with the entry.

        event=endpoint_listed endpoint=i-0 ... draining=1 born=1000 restarted=1

    What is used on still has its life."""
    world = World(lapse_ms=20000, settled_ms=20000)
    store, one = world.store, world.servers[0]
    store.remove("servers/i-1")
    publish_and_wait(world, one, born=2000)
    store.down = True
    wait_for(lambda: b"event=directory_lost" in world.gateway.log_text())
    store.remove("servers/i-0")
    store.down = False
    wait_for(lambda: b"event=endpoint_lapsed" in world.gateway.log_text())
    publish_and_wait(world, one, born=1000, state="draining")
    assert served_by(world) == "i-0"
    # it stays the last word, and is believed
    wait_for(lambda: b"event=earlier_incarnation_accepted" in world.gateway.log_text())
    assert call(world.gateway, "/safe/x")[1] == 503
    world.gateway.end()


def test_corrected_address(world):
    """Somebody else wrote another server's address into an endpoint's entry, and its server wrote it right again.
    Connections were kept by the endpoint's id alone, so that the next requests went over one to the other
    server, which refuses what is not meant for it, and the endpoint counted as replaced for good:

        event=endpoint_trusted endpoint=i-0 result=wrong_instance

    Connections belong to an address as well."""
    one, two = world.servers
    world.store.remove("servers/i-1")

    def strict(server, sock, path, headers, body):
        if headers["x-cometspindle-expect-instance"] == server.name:
            return server.plain(sock, path, headers, body)
        server.write_head(sock, headers, status=421, extra="X-Cometspindle-Not-Executed: 1\r\n", length=0)
        return None
    world.script("x", strict)
    publish_and_wait(world, one, address=f"127.0.0.1:{two.port}")
    assert call(world.gateway, "/safe/x")[1] == 503
    accepted = one.accepted
    publish_and_wait(world, one, address=f"127.0.0.1:{one.port}")
    assert served_by(world) == "i-0" and one.accepted == accepted + 1


def test_keys_of_unusual_bytes():
    """A list is read in pages, each of which begins after the last key of the one before. Somebody else wrote a key
    with a blank and an ampersand: it was put into the next call as it is, and no VM that started could read past
    it. An item without a key ended the list, and what came after it counted as gone."""
    store = Store()
    store.put("a", "x")
    store.put("b c&since_rev=zz#%", "x")
    store.put("op/config", document(1))
    store.items["p"] = store.items["q"] = {"value": "", "revision": 1}
    store.items["r s"] = {"private_key": "r s", "value": "AAA", "revision": 1}
    Server(store, "i-0", "svc")
    gateway = Gateway(store)
    wait_for(lambda: b"store_item_malformed" in gateway.log_text())
    del store.items["p"], store.items["q"]
    wait_for(gateway.ready)
    wait_for(lambda: call(gateway, "/safe/x")[1] == 200)
    gateway.end()


def test_ids_of_unusual_bytes(world):
    """Ids that differ in letter case are two endpoints, and ids may be of any script. One that could not be a header's
    value names no endpoint, and the others hold."""
    for name in ("I-0", "\u00fc/1", "i-0,i-1", "x" * 200):
        world.servers.append(Server(world.store, name, "svc"))
    good = world.servers[0].entry
    bad = ["", "a b", "a\r\nX: y", "a\nevent=stopped", "a\x7f", 'a"b', "a\\b", "x" * 201, "\t"]
    for name in bad:
        world.store.put("servers/" + name, good)

    def strict(server, sock, path, headers, body):
        assert headers["x-cometspindle-expect-instance"] == server.name
        return server.plain(sock, path, headers, body)
    world.script("x", strict)
    wait_for(lambda: revision_of(world) == world.store.revision)
    for one in world.servers:  # each in turn is the only one that does not leave
        for other in world.servers:
            other.publish(state="ready" if other is one else "draining")
        wait_for(lambda: revision_of(world) == world.store.revision)
        assert served_by(world) == one.name
    text = get(world.gateway.ports["control"], "/metrics")[2].decode()
    assert f"comet_directory_items_refused_total {len(bad)}\n" in text
    log = world.gateway.log_text().decode()
    assert log.count("event=directory_item_refused") == len(bad)
    assert not [line for line in log.splitlines() if not line.startswith("ts=")]


def test_answer_without_end():
    """A VM is asked for its copy of the directory, since its view names a newer revision, and what it sends never
    ends. Bytes beyond any proper size were thrown away and read on, for ever: no other copy was asked for
    any more."""
    store = Store()
    store.down = True
    gateway = Gateway(store)
    other = socket.socket()
    other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    other.bind((OTHER_ADDRESS, gateway.ports["control"]))
    other.listen(4)
    peers = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    wait_for(lambda: b"no_routes" in get_or_empty(gateway, "readiness"))
    number = itertools.count(1)

    def is_asked():
        data = view(OTHER_ADDRESS_NUMBER, 7, next(number), revision=9)
        peers.sendto(data, (ADDRESS, gateway.ports["peers"]))
        return select.select([other], [], [], 0)[0]
    wait_for(is_asked)
    sock, _ = other.accept()
    sock.recv(65536)
    sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    chunk = b"10000\r\n" + b" " * 0x10000 + b"\r\n"
    try:
        for _ in range(1024):
            sock.sendall(chunk)
        assert False, "64 MB were read"
    except OSError:
        pass  # it has closed
    assert "resync_failed reason=too_large" in gateway.end()


def memory_kb(gateway):
    with open(f"/proc/{gateway.process.pid}/status", encoding="utf-8") as file:
        return int(re.search(r"^VmRSS:\s+(\d+)", file.read(), re.M)[1])


def test_caller_that_does_not_read(world):
    """A caller sent one request after the other on a connection and read no answer. All of them were answered, into
    memory: of 64,000 requests for the metrics, in two megabytes, those of the first three seconds took 400 MB.
    The next request is not read while answers wait to be written."""
    sock = connect(world.gateway.ports["control"])
    before = memory_kb(world.gateway)
    sock.settimeout(1)
    asks = 0
    try:
        for _ in range(2000):
            sock.sendall(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n" * 32)
            asks += 32
    except OSError:
        pass  # it reads no further
    for _ in range(200):  # by then it has read what there is, 16 KB each time
        assert world.gateway.ready()
    assert memory_kb(world.gateway) - before < 100000, (asks, before, memory_kb(world.gateway))
    # one that reads at last gets all of what it asked for
    sock.close()
    sock = connect(world.gateway.ports["control"])
    sock.sendall(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n" * 64)
    reader = Reader(sock)
    for _ in range(64):
        line, headers = reader.head()
        assert line.endswith("200 OK") and reader.body(headers)[1]


def test_bodies_to_internal_addresses(world):
    """Nothing that is asked on the internal addresses has a body, and none is held."""
    for port in ("control", "readiness"):
        sock = connect(world.gateway.ports[port])
        sock.sendall(b"POST /metrics HTTP/1.1\r\nHost: x\r\nContent-Length: 2000000\r\n\r\n" + b" " * 100000)
        assert answer_of(sock)[0] == 413, port


def test_keep_alive_of_endpoints(world):
    """How long an endpoint keeps a connection is read strictly: one whose answer told nothing of that was taken to
    close at once."""
    world.store.remove("servers/i-1")
    wait_for(lambda: revision_of(world) == world.store.revision)

    def tells(text):
        def script(server, sock, path, headers, body):
            server.ran(path, headers, body)
            server.write_head(sock, headers, extra=f"Keep-Alive: {text}\r\n", length=2)
            sock.sendall(b"ok")
        return script
    one = world.servers[0]
    for text, kept in (("timeout=5, max=9", True), ("max=9, Timeout = 5", True), ("x-timeout=0", True),
                       ("timeout=zero", True), ("timeout=", True), ("timeout=0", False)):
        world.script("tells", tells(text))
        wait_for(lambda: call(world.gateway, "/safe/tells")[1] == 200)
        accepted = one.accepted
        assert call(world.gateway, "/safe/tells")[1] == 200
        assert (one.accepted == accepted) == kept, text


def test_copy_from_other_vm():
    """A VM that cannot reach the store takes what another one has read."""
    store = Store()
    store.put("op/config", document(1))
    Server(store, "i-0", "svc")
    there = Gateway(store)
    wait_for(there.ready)
    nowhere = Store()
    nowhere.down = True
    alone = Gateway(nowhere, address=OTHER_ADDRESS, ports=there.ports,
                    seeds=f"{ADDRESS}:{there.ports['control']}")
    wait_for(alone.ready)
    text = alone.end()
    assert "event=directory_lost" in text and "event=snapshot_requested" in text, text
    there.end()


def test_copies_do_not_hold_up_the_next(world):
    """A VM that has its copy does not count as one that is still read to: connections end with it."""
    kept = []
    for _ in range(6):
        sock = connect(world.gateway.ports["control"])
        sock.sendall(b"GET /v1/directory HTTP/1.1\r\nHost: x\r\n\r\n")
        status, headers, _, whole = answer_of(sock)
        assert status == 200 and whole
        if headers.get("connection") == "close":
            sock.close()
        else:
            kept.append(sock)


def test_busy_store():
    """A store that refuses every other call is still read whole: a list goes on where it was."""
    store = Store()
    store.put("op/config", document(1))
    for i in range(8):
        Server(store, f"i-{i}", "svc")
    store.busy_calls = 2
    gateway = Gateway(store)
    wait_for(gateway.ready, 10)
    assert call(gateway, "/safe/x")[1] == 200
    gateway.end()


def test_answers_too_large():
    """An answer beyond any proper size is not kept, nor believed."""
    store = Store()
    store.too_large = True
    gateway = Gateway(store)
    wait_for(lambda: b"comet_directory_losses_total 1" in get_or_empty(gateway, "control", "/metrics"))
    store.put("op/config", document(1))
    store.too_large = False
    wait_for(gateway.ready)
    text = gateway.end()
    assert "event=directory_lost reason=too_large" in text, text


if __name__ == "__main__":
    run_tests(
        [test_configuration, test_large_documents_in_series, test_servers_leave, test_silent_store_is_noticed,
         test_calls_in_the_last_moments_of_an_outage, test_unanswered_watch_is_noticed, test_news_that_is_not_there,
         test_watches_begun_together_do_not_end_together, test_ended_connection_is_no_outage,
         test_unreadable_entry, test_server_starts_again, test_answer_lost_with_a_life,
         test_corrected_address, test_ids_of_unusual_bytes, test_copies_do_not_hold_up_the_next,
         test_caller_that_does_not_read, test_bodies_to_internal_addresses, test_keep_alive_of_endpoints],
        [test_store_away, test_late_word_in_a_lapse, test_keys_of_unusual_bytes,
         test_answer_without_end, test_start_in_an_outage, test_copy_from_other_vm, test_busy_store,
         test_answers_too_large])
