"""Many users come at once, each with one large request that the configuration allows, and keep their connections."""
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from kept import Client, Count, start_callers, summarize, watch_memory, work  # noqa: E402
from world import MEMORY_MB, TROUBLE, Fleet, Server, Store, config, main, route  # noqa: E402

UPLOADERS = 30 if TROUBLE else 14  # clients of zone yyc-a: 14; burst: x 2.14
UPLOAD_BYTES = 4190000             # max_body_bytes is 4,194,304
RUN_S = 20


def uploader(client, over):
    client.call("/lohu930/2f", b"x" * 600)
    client.call("/lohu930/2f", b"y" * UPLOAD_BYTES)
    while time.monotonic() < over:
        time.sleep(2)
        client.call("/lohu930/2f", b"x" * 600)


def run(record, fleets):
    count = Count()
    store = Store()
    store.put("op/config", config(1, [route("lohu930", "tile-api", "unsafe"), route("puxa403", "tile-api", "unsafe")]))
    servers = [Server(store, record, "tile-api", zone=zone, slots=12, work=work) for zone in ("yyc-a", "yyc-b", "yyc-c")]
    fleet = Fleet(3, store)
    fleets.append(fleet)
    fleet.start()
    over = time.monotonic() + RUN_S
    threads = [threading.Thread(target=watch_memory, args=(fleet, record, count, over + 1, MEMORY_MB), daemon=True)]
    threads[0].start()
    threads += start_callers(fleet, record, servers, count, over)
    time.sleep(3.5)  # longer than contact_ms: the machine is in touch
    for n in range(UPLOADERS):
        thread = threading.Thread(target=uploader, daemon=True, args=(
            Client(f"uploader-{n}", fleet, record, servers, count), over))
        thread.start()
        threads.append(thread)
        time.sleep(0.2)
    for thread in threads:
        thread.join()
    return summarize(record, count)


main(FOLDER, run)
