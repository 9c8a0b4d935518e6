"""Clients that misbehave neither end a daemon nor exhaust the memory of its VM.

Each test starts the platform's programs as processes. It checks that the process is
alive, its peak memory and its descriptors are within the limits of its VM, and that an
ordinary request is answered afterwards. The client loads and bounds are fixed.
"""

import asyncio
import secrets
from dataclasses import dataclass

import pytest

from lovagewalk.core import Handlers

from .hostile_site import (
    CALLERS_PORT,
    DATABASE,
    KEY,
    LARGE_ITEM,
    OPERATORS_PORT,
    PEERS_PORT,
    READY_PORT,
    WAIT_LIMIT_S,
    HostileClients,
    Site,
)

pytestmark = pytest.mark.hostile

# Limits of the VM in the settings of both daemons; also the bounds of the tests. The
# smallest VM of a deployment has 160 MB and 4,000 descriptors.
MEMORY_MB = 110
MAX_FDS = 250
# More connections than the VM has descriptors.
MANY = 400
LARGE_BYTES = 1024 * 1024 - 200
# Time for the daemon to read what the clients have sent.
HOLD_S = 1.0
STARTUP = f"STARTUP {DATABASE} {KEY}\r\n".encode()


@dataclass(frozen=True, slots=True)
class Load:
    """A client load and the listener that it goes to."""

    port: int
    is_control: bool = False


_loads = Handlers()


def _query(text):
    return f"QUERY {secrets.token_hex(8)} {text}\r\n".encode()


def _large_write():
    return _query("WRITE item " + "x" * (LARGE_BYTES - 40))


CALLERS = Load(CALLERS_PORT)
READINESS = Load(READY_PORT)
OPERATORS = Load(OPERATORS_PORT, is_control=True)
PEERS = Load(PEERS_PORT)
PEERS_OF_CONTROL = Load(PEERS_PORT, is_control=True)


@_loads.on((CALLERS, "pipelined writes, answers not read"))
async def _pipeline_writes(clients):
    await clients.run(16, STARTUP, *[_large_write()] * 20)


@_loads.on((CALLERS, "messages that stop before the last byte"))
async def _stop_in_message(clients):
    await clients.run(120, STARTUP, _large_write()[:-1])


@_loads.on((CALLERS, "STARTUP messages that stop before the last byte"))
async def _stop_in_startup(clients):
    message = b"STARTUP " + b"x" * LARGE_BYTES
    await clients.run(120, message)


@_loads.on((CALLERS, "complete large writes at once"))
async def _write_at_once(clients):
    await clients.run(120, STARTUP, _large_write())


@_loads.on((CALLERS, "large messages in small pieces"))
async def _send_pieces(clients):
    message = _large_write()
    pieces = [message[i : i + 2048] for i in range(0, len(message), 2048)]
    await clients.run(16, STARTUP, *pieces)


@_loads.on((CALLERS, "one byte at a time"))
async def _send_bytes(clients):
    pieces = [bytes((byte,)) for byte in _query("WRITE item value")[:-1]]
    await clients.run(150, STARTUP, *pieces)


@_loads.on((CALLERS, "messages far over the limit"))
async def _send_over_limit(clients):
    await clients.run(40, STARTUP, *[b"x" * LARGE_BYTES] * 4)


@_loads.on((CALLERS, "pipelined large PREPARE messages"))
async def _pipeline_prepares(clients):
    messages = [_query(f"PREPARE s{n} WRITE " + "x" * 900_000) for n in range(20)]
    await clients.run(8, STARTUP, *messages)


@_loads.on((CALLERS, "pipelined SET messages of large values"))
async def _pipeline_settings(clients):
    messages = [_query(f"SET v{n} " + "x" * 900_000) for n in range(20)]
    await clients.run(8, STARTUP, *messages)


@_loads.on((CALLERS, "large answers that are not read"))
async def _leave_answers(clients):
    await clients.run(30, STARTUP, *[_query(f"READ {LARGE_ITEM}")] * 12)


@_loads.on((CALLERS, "large answers that are read slowly"))
async def _read_slowly(clients):
    async def read():
        sock = await clients.connect()
        if sock is None:
            return
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_sendall(sock, STARTUP + _query(f"READ {LARGE_ITEM}") * 12)
            for _ in range(20):
                await loop.sock_recv(sock, 100)
                await asyncio.sleep(0.1)
        except OSError:
            return

    await asyncio.gather(*(read() for _ in range(30)))


@_loads.on((CALLERS, "transactions that stop half-way"))
async def _stop_in_transaction(clients):
    write = _query("WRITE item " + "x" * 500_000)
    await clients.run(60, STARTUP, _query("BEGIN"), write)


@_loads.on((CALLERS, "connections without STARTUP"))
async def _send_nothing(clients):
    await clients.run(MANY)


@_loads.on((CALLERS, "many idle sessions"))
async def _open_sessions(clients):
    await clients.run(MANY, STARTUP)


@_loads.on((READINESS, "long headers"))
async def _send_headers(clients):
    await clients.run(150, b"GET / HTTP/1.1\r\nX: ", *[b"x" * 65536] * 16)


@_loads.on((READINESS, "connections without a request"))
async def _open_readiness(clients):
    await clients.run(MANY)


@_loads.on((READINESS, "large bodies that stop before the last byte"))
async def _send_readiness_bodies(clients):
    await clients.run(120, _put_head("/lovagewalk/readyz"), b"x" * 899_999)


@_loads.on((OPERATORS, "large bodies that stop before the last byte"))
async def _send_bodies(clients):
    await clients.run(120, _put_head("/lovagewalk/config"), b"x" * 899_999)


@_loads.on((OPERATORS, "heartbeats that stop before the last byte"))
async def _send_heartbeats(clients):
    await clients.run(120, _put_head("/lovagewalk/instances/i-9"), b"x" * 899_999)


@_loads.on((OPERATORS, "pipelined requests, answers not read"))
async def _pipeline_requests(clients):
    request = b"GET /lovagewalk/config HTTP/1.1\r\nHost: h\r\n\r\n"
    await clients.run(60, *[request * 500] * 20)


@_loads.on((OPERATORS, "connections without a request"))
async def _open_operators(clients):
    await clients.run(MANY)


@_loads.on((PEERS, "frames that stop before the last byte"))
async def _send_frames(clients):
    await clients.run(150, b"\x00\x04\x00\x00" + b"x" * 1023)


@_loads.on((PEERS, "frames over the limit"))
async def _send_long_frames(clients):
    await clients.run(150, b"\xff\xff\xff\x7f", *[b"x" * 65536] * 16)


@_loads.on((PEERS_OF_CONTROL, "connections without a handshake"))
async def _open_links(clients):
    await clients.run(MANY)


def _put_head(path):
    head = f"PUT {path} HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n"
    return head.encode()


@pytest.mark.parametrize(
    "load", list(_loads), ids=lambda load: f"{load[0].port}-{load[1].replace(' ', '_')}"
)
async def test_daemon_survives(load, tmp_path):
    """Guards against a daemon that ends, hangs or grows beyond its VM."""
    listener, _ = load
    async with Site(tmp_path, MEMORY_MB, MAX_FDS) as site:
        daemon = site.control if listener.is_control else site.entry
        clients = HostileClients(daemon.host, listener.port)
        await _loads[load](clients)
        await asyncio.sleep(HOLD_S)
        assert daemon.is_alive
        descriptors = daemon.count_descriptors()
        clients.close()
        if listener.is_control:
            await site.wait_for_operator_request()
        await site.wait_for_request()
        assert daemon.is_alive
        peak_mb = daemon.read_peak_mb()
        print(f"{load[1]}: {peak_mb:.0f} MB, {descriptors} descriptors")
        assert peak_mb <= MEMORY_MB
        assert descriptors <= MAX_FDS


async def test_a_single_large_message_is_served(tmp_path):
    """Guards against limits that refuse one legal message at an idle daemon."""
    async with Site(tmp_path, MEMORY_MB, MAX_FDS) as site:
        reader, writer = await asyncio.open_connection(site.entry.host, CALLERS_PORT)
        for message in (STARTUP, _large_write(), _query("SET v " + "x" * 900_000)):
            writer.write(message)
            async with asyncio.timeout(WAIT_LIMIT_S):
                assert not (await reader.readline()).startswith(b"ERROR")
                if message != STARTUP:
                    assert (await reader.readline()).startswith(b"READY")
        writer.close()
        assert site.entry.read_peak_mb() <= MEMORY_MB
