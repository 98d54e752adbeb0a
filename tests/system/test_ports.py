"""Ports of the tests: a port that was chosen for a listener is given to no other socket

A daemon could not listen because a server of its test, bound to port 0, had got the port that was chosen for it. The
port of a cut link was given to a server of another test, which then answered a VM that should have reached no endpoint.
"""
import os
import socket
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts"))
import fleet  # noqa: E402
from cut_links import Relay  # noqa: E402
from platform_standin import free_ports, listen  # noqa: E402

HOST = f"127.{1 + os.getpid() % 250}.{1 + os.getpid() // 250 % 250}.9"


def check_reserved(port, address=HOST):
    with socket.socket() as other:
        try:
            other.bind((address, port))
        except OSError:
            pass
        else:
            raise AssertionError(f"port {port} is not reserved")
    for _ in range(2):  # a restarted daemon listens on the port of the first
        listen(address, port).close()


def test_fleet_port_is_reserved():
    check_reserved(fleet.free_port(HOST))


def test_gateway_ports_are_reserved():
    ports = free_ports(HOST)
    assert len(set(ports.values())) == 4, ports
    for port in ports.values():
        check_reserved(port)


def test_port_of_a_cut_link_is_reserved():
    relay = Relay(port=1)
    relay.cut("reset")
    check_reserved(relay.own_port, "127.0.0.1")


for test in (test_fleet_port_is_reserved, test_gateway_ports_are_reserved, test_port_of_a_cut_link_is_reserved):
    try:
        test()
    except AssertionError:
        print("FAILED", test.__name__, flush=True)
        raise
    print("OK", test.__name__, flush=True)
