"""Options of sockets."""

import socket
from typing import Any

# Not in Python's socket module on every platform.
TCP_USER_TIMEOUT = getattr(socket, "TCP_USER_TIMEOUT", 18)
# One may be lost.
KEEP_ALIVE_PROBES = 2


def limit_silence(sock: Any, limit_s: float) -> None:
    """Let a connection fail whose far end has gone silent.

    Without it, a connection through a partition hangs for many minutes.

    Parameters
    ----------
    sock : socket or transport socket
    limit_s : float
        Longest time without an acknowledgement, in seconds.
    """
    interval_s = max(1, round(limit_s / 2))
    sock.setsockopt(socket.IPPROTO_TCP, TCP_USER_TIMEOUT, int(limit_s * 1000))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, interval_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
