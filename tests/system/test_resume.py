"""test_resume.py: a stream whose VM is killed resumes at another VM, for its own team only"""
import http.client
import os
import sys
import urllib.request

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts"))
import fleet as F  # noqa: E402

TOKENS = 60
BODY = '{"model":"m","prompt":"tell me","max_tokens":%d,"stream":true}' % TOKENS


def port(fleet, vm):
    return int(fleet.vms[vm]["caller"].rsplit(":", 1)[1])


def begin(fleet, vm):
    """Starts a stream; returns its connection, its answer and its resume token."""
    connection = http.client.HTTPConnection(fleet.host, port(fleet, vm), timeout=20)
    connection.request("POST", "/v1/completions", BODY,
                       {"Authorization": "Bearer " + fleet.team_key("a")[0]})
    answer = connection.getresponse()
    return connection, answer, answer.getheader("Comet-Resume")


def resume(fleet, vm, token, offset, team):
    request = urllib.request.Request(
        f"{fleet.vms[vm]['caller']}/v1/streams/{token}?offset={offset}")
    request.add_header("Authorization", "Bearer " + fleet.team_key(team)[0])
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(request, timeout=20) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()


def main():
    fleet = F.Fleet(vms=2)
    try:
        fleet.start_engines(F.make_engines(2, 1, step_us=(20000, 20000)), [])
        fleet.publish(F.make_bundle(fleet, ["a", "b"]))
        fleet.publish_vms()
        fleet.start_platform()
        fleet.start_vms()
        fleet.wait_ready()
        _, answer, _ = begin(fleet, "vm2")
        whole = answer.read()
        _, answer, token = begin(fleet, "vm1")
        part = answer.read(200)
        fleet.end("vm1")
        try:
            while True:
                more = answer.read(100)
                if not more:
                    raise SystemExit("a truncated answer ended like a complete one")
                part += more
        except (http.client.IncompleteRead, ConnectionError) as error:
            part += getattr(error, "partial", b"")
        if resume(fleet, "vm2", token, len(part), "b")[0] != 404:
            raise SystemExit("another team resumed the stream")
        status, rest = resume(fleet, "vm2", token, len(part), "a")
        if status != 200 or part + rest != whole:
            raise SystemExit(f"resume returned {status}, {rest[:120]!r}, after {len(part)} of {len(whole)} bytes")
        doubled = [i for i, n in fleet.runs()[0].items() if n > 1]
        if doubled:
            raise SystemExit(f"requests that ran twice: {doubled}")
    finally:
        fleet.close()


if __name__ == "__main__":
    main()
