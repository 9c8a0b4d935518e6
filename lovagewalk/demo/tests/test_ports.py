"""Ports of fleets that several processes run on one machine at the same time."""

import socket

from lovagewalk.demo import free_port
from lovagewalk.demo._fleet import CLAIM_HOST, HOST, MAX_CLAIMS


def test_port_claimed_by_another_process_is_skipped():
    """Nothing listens on such a port before its owner starts or while it restarts."""
    port = free_port()
    with socket.socket() as claimed:
        claimed.bind((CLAIM_HOST, port + 1))
        assert free_port() > port + 1


def test_port_stays_claimed_until_many_later_ports_are_claimed():
    port = free_port()
    with socket.socket() as other:
        try:
            other.bind((CLAIM_HOST, port))
        except OSError:
            pass
        else:
            raise AssertionError("the port is not claimed")
    for _ in range(MAX_CLAIMS):
        free_port()
    with socket.socket() as other:
        other.bind((CLAIM_HOST, port))
    with socket.socket() as listener:
        listener.bind((HOST, port))
