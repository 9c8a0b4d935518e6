"""Clients that misbehave, many at a time, at the callers' port of a daemon."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from lovagewalk.core import Handlers
from lovagewalk.demo import HOST

# A client that is refused tries again after this time.
RECONNECT_PAUSE_S = 0.05
BYTE_PAUSE_S = 0.1
# A packet's header states its length in three bytes; this one never comes.
OVERSIZED_HEADER = b"\xff\xff\xff\x01"
CHUNK = b"x" * 65536

Behaviour = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter, random.Random], Awaitable[None]
]
_behaviours: Handlers[str, Behaviour] = Handlers()
behaves = _behaviours.on


async def gather_crowd(port: int, behaviour: str, size: int, seed: int, for_s: float):
    """Let `size` clients misbehave at a port for some time."""
    clients = [
        _misbehave(port, _behaviours[behaviour], random.Random(f"{seed}/{number}"))
        for number in range(size)
    ]
    try:
        async with asyncio.timeout(for_s):
            await asyncio.gather(*clients)
    except TimeoutError:
        return


async def _misbehave(port: int, behaviour: Behaviour, rng: random.Random) -> None:
    """Connect again and again, until cancelled."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
        except OSError:
            await asyncio.sleep(RECONNECT_PAUSE_S)
            continue
        try:
            await behaviour(reader, writer, rng)
        except (OSError, EOFError):
            await asyncio.sleep(RECONNECT_PAUSE_S)
        finally:
            writer.transport.abort()


@behaves("garbage")
async def _send_garbage(reader, writer, rng) -> None:
    await reader.read(1)
    writer.write(rng.randbytes(rng.randint(1, 2000)))
    await writer.drain()
    await reader.read()


@behaves("half a message")
async def _stop_half_way(reader, writer, rng) -> None:
    await reader.read(1)
    writer.write((200).to_bytes(3, "little") + b"\x01" + rng.randbytes(100))
    await writer.drain()
    await reader.read()


@behaves("silent")
async def _send_nothing(reader, writer, rng) -> None:
    await reader.read()


@behaves("slow")
async def _send_slowly(reader, writer, rng) -> None:
    for byte in (150).to_bytes(3, "little") + b"\x01" + rng.randbytes(150):
        writer.write(bytes((byte,)))
        await writer.drain()
        await asyncio.sleep(BYTE_PAUSE_S)


@behaves("vanishing")
async def _vanish(reader, writer, rng) -> None:
    await asyncio.sleep(rng.uniform(0.0, RECONNECT_PAUSE_S))


@behaves("oversized")
async def _send_oversized(reader, writer, rng) -> None:
    await reader.read(1)
    writer.write(OVERSIZED_HEADER)
    for _ in range(rng.randint(1, 16)):
        writer.write(CHUNK)
        await writer.drain()
    await reader.read()
