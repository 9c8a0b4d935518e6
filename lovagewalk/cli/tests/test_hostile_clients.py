"""Clients that misbehave towards the MySQL front end do not exhaust its VM.

The daemons run as processes. Checked are that the process is alive, its peak memory and
its descriptors are within the limits of its VM, and that an ordinary statement is
answered afterwards. The client loads and bounds are fixed.
"""

import asyncio
import os
import socket
from pathlib import Path

import pytest

from lovagewalk.core import Handlers

from .process_fleet import HOST, ProcessFleet, is_serving

pytestmark = pytest.mark.hostile

# A daemon of the MySQL front end has 75 to 80 MB after its start.
MEMORY_MB = 170
MAX_FDS = 250
# More connections than the VM has descriptors.
MANY = 400
PACKET_BYTES = 4 * 1024 * 1024 - 1
HOLD_S = 1.0
SEND_LIMIT_S = 4.0
MAX_CONNECTING = 64
_loads = Handlers()


class HostileClients:
    """Connections of misbehaving clients, which stay open until all are closed."""

    def __init__(self, port):
        self._port = port
        self._sockets = []
        self._connecting = asyncio.Semaphore(MAX_CONNECTING)

    async def _send(self, parts):
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        self._sockets.append(sock)
        try:
            async with asyncio.timeout(SEND_LIMIT_S):
                async with self._connecting:
                    await loop.sock_connect(sock, (HOST, self._port))
                for part in parts:
                    await loop.sock_sendall(sock, part)
        except (OSError, TimeoutError):
            return

    async def run(self, count, *parts):
        await asyncio.gather(*(self._send(parts) for _ in range(count)))

    def close(self):
        for sock in self._sockets:
            sock.close()


@_loads.on("packets before the login that stop before the last byte")
async def _stop_in_packet(clients):
    header = PACKET_BYTES.to_bytes(3, "little") + b"\x01"
    await clients.run(50, header, b"x" * (PACKET_BYTES - 1))


@_loads.on("connections without a login")
async def _send_nothing(clients):
    await clients.run(MANY)


@_loads.on("packets over the limit")
async def _send_over_limit(clients):
    await clients.run(50, b"\xff\xff\xff\x01", b"x" * PACKET_BYTES)


def _read_peak_mb(pid):
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    return 0.0


@pytest.mark.parametrize("load", list(_loads), ids=lambda load: load.replace(" ", "_"))
async def test_daemon_survives(load, tmp_path):
    """Guards against a daemon that ends, hangs or grows beyond its VM."""
    limits = f"[limits]\nmemory_mb = {MEMORY_MB}\nmax_fds = {MAX_FDS}"
    async with ProcessFleet(tmp_path, limits=limits) as fleet:
        await fleet.wait_for_status("vm1", lambda status: status["control"]["leader"])
        await fleet.set_up_catalogue(["kiosk-1"], 1000.0, 1000.0)
        await fleet.wait_for_status("vm1", is_serving)
        process = fleet.processes["vm1"]
        clients = HostileClients(fleet.ports["vm1"][0])
        await _loads[load](clients)
        await asyncio.sleep(HOLD_S)
        assert process.returncode is None
        descriptors = len(os.listdir(f"/proc/{process.pid}/fd"))
        clients.close()
        conn = await fleet.connect("vm1", "kiosk-1", "secret")
        async with conn.cursor() as cursor:
            await cursor.execute("SELECT 1")
            assert await cursor.fetchall()
        conn.close()
        assert process.returncode is None
        peak_mb = _read_peak_mb(process.pid)
        print(f"{load}: {peak_mb:.0f} MB, {descriptors} descriptors")
        assert peak_mb <= MEMORY_MB
        assert descriptors <= MAX_FDS
