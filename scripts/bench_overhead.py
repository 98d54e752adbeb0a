"""bench.sh overhead: what the daemon adds to a call, against the engine itself in the same run."""
import argparse
import concurrent.futures
import http.client
import json
import socket
import time

import fleet as F

SHORT = {"model": "m", "prompt": "hello", "max_tokens": 1}


def quantile(values, part):
    return sorted(values)[int(part * (len(values) - 1))]


def call(where, path, headers, body):
    """where: host and port."""
    connection = http.client.HTTPConnection(*where, timeout=20)
    begin = time.perf_counter()
    connection.request("POST", path, body, headers)
    answer = connection.getresponse()
    answer.read()
    took = time.perf_counter() - begin
    connection.close()
    if answer.status != 200:
        raise RuntimeError(f"status {answer.status}")
    return took


def latencies(where, headers, count):
    body = json.dumps(SHORT)
    headers = dict(headers, **{"Content-Type": "application/json", "Request-Id": "bench"})
    return [call(where, "/v1/completions", headers, body) for _ in range(count)]


def rate(fleet, url_headers, workers, seconds):
    """Requests a second from several callers of plain service calls, closed loop."""
    where, path, headers = url_headers
    end = time.monotonic() + seconds

    def work(_):
        count = 0
        while time.monotonic() < end:
            call(where, path, headers, "{}")
            count += 1
        return count
    with concurrent.futures.ThreadPoolExecutor(workers) as pool:
        return sum(pool.map(work, range(workers))) / seconds


def resident_kb(fleet):
    with open(f"/proc/{fleet.procs['vm1'].pid}/status") as status:
        for line in status:
            if line.startswith("VmRSS"):
                return int(line.split()[1])
    return 0


def open_streams(fleet, where, key, count):
    """Daemon RSS with count callers whose requests wait or stream."""
    before = resident_kb(fleet)
    body = json.dumps({"model": "m", "prompt": "x" * 400, "max_tokens": 200, "stream": True})
    request = (f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n"
               f"Comet-Deadline-Ms: 60000\r\nContent-Length: {len(body)}\r\n\r\n{body}").encode()
    sockets = []
    for _ in range(count):
        one = socket.create_connection(where)
        one.sendall(request)
        sockets.append(one)
    time.sleep(2)
    resident = resident_kb(fleet)
    metrics = fleet.metrics("vm1")
    for one in sockets:
        one.close()
    return metrics["comet_calls_open"], (resident - before) * 1024 / count


def main(argv):
    argparse.ArgumentParser(prog="bench.sh overhead").parse_args(argv)
    fleet = F.Fleet(vms=1, settings={"log_level": "notice"})
    try:
        engines = F.make_engines(8, 1, step_us=(1000, 1000), batch=(8, 8))
        fleet.start_engines(engines, [{"name": "tile1", "serves": "tiles", "zone": "z1",
                                       "delay_ms": 0}])
        fleet.publish(F.make_bundle(fleet, ["a"]))
        fleet.publish_vms()
        fleet.start_platform()
        fleet.start_vms()
        fleet.wait_ready()
        where = (fleet.host, int(fleet.vms["vm1"]["caller"].rsplit(":", 1)[1]))
        key = fleet.team_key("a")[0]
        auth = {"Authorization": "Bearer " + key}
        direct = latencies((fleet.host, engines[0]["port"]), {}, 300)
        through = latencies(where, auth, 300)
        service = (fleet.host, fleet.services[0]["port"])
        direct_rate = rate(fleet, (service, "/x", {"Request-Id": "bench"}), 8, 4)
        before = fleet.metrics("vm1")["comet_cpu_microseconds_total"]
        through_rate = rate(fleet, (where, "/v1/services/tiles/x", auth), 8, 4)
        cpu = fleet.metrics("vm1")["comet_cpu_microseconds_total"] - before
        streams, per_stream = open_streams(fleet, where, key, 1000)
        print(json.dumps({
            "bench": "overhead",
            "direct_ms": [round(quantile(direct, q) * 1e3, 3) for q in (0.5, 0.99)],
            "through_ms": [round(quantile(through, q) * 1e3, 3) for q in (0.5, 0.99)],
            "ratio_p50": round(quantile(through, 0.5) / quantile(direct, 0.5), 3),
            "ratio_p99": round(quantile(through, 0.99) / quantile(direct, 0.99), 3),
            "direct_per_s": round(direct_rate), "through_per_s": round(through_rate),
            "rate_ratio": round(through_rate / direct_rate, 3),
            "daemon_cpu_us_per_request": round(cpu / (through_rate * 4), 1),
            "requests_per_core_s": round(1e6 * through_rate * 4 / cpu),
            "open_streams": streams, "rss_bytes_per_open_stream": round(per_stream)}), flush=True)
    finally:
        fleet.close()
    return 0
