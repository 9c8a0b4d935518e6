"""Socket options."""

import socket
from typing import Any

# Python's socket module lacks it on some platforms; 18 is its number on Linux.
TCP_USER_TIMEOUT = getattr(socket, "TCP_USER_TIMEOUT", 18)
# Two, so that one lost probe does not fail the connection.
KEEP_ALIVE_PROBES = 2


def set_tcp_options(sock: Any, timeout_s: float) -> None:
    """Make a connection fail soon after its peer becomes unresponsive.

    Without these options, a connection across a partition hangs for many minutes.
    Small messages are sent without delay.

    Parameters
    ----------
    sock : socket or transport socket
    timeout_s : float
        Longest time without an acknowledgement, in seconds.
    """
    probe_interval_s = max(1, round(timeout_s / 2))
    sock.setsockopt(socket.IPPROTO_TCP, TCP_USER_TIMEOUT, int(timeout_s * 1000))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, probe_interval_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, probe_interval_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
