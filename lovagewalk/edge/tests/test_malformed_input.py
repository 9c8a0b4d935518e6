"""Malformed input closes the connection; the daemon keeps running."""

import asyncio
import random
import struct

import msgpack
import pytest

from lovagewalk.catalogue import CustomerEntry, Proposal, PutCustomer
from lovagewalk.codec import decode, encode
from lovagewalk.consensus import AppendRequest, LogEntry
from lovagewalk.core import Code, LovageError
from lovagewalk.demo import Fleet, run
from lovagewalk.runtime._peers import compute_proof

SEED = 20261204
HOST = "127.0.0.1"


def _log_entry():
    command = PutCustomer(CustomerEntry("c", "o", 1.0, 2.0), 0)
    return LogEntry(1, 1, Proposal("p", "op", 0.5, command))


def test_messages_round_trip_through_the_codec():
    message = AppendRequest(1, 0, 0, (_log_entry(),), 1, 7)
    assert decode(encode(message)) == message


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"\xc1",
        msgpack.packb([1, "AppendRequest"]),
        msgpack.packb([2, "AppendRequest", {}]),
        msgpack.packb([1, "Unknown", {}]),
        msgpack.packb([1, "Probe", {"disk": "d", "extra": 1}]),
        msgpack.packb([1, "Probe", None]),
        msgpack.packb({"a": 1}),
        msgpack.packb([1, ["Probe"], {"disk": "d"}]),
    ],
)
def test_malformed_frames_raise_frame_bad(payload):
    with pytest.raises(LovageError) as caught:
        decode(payload)
    assert caught.value.code is Code.FRAME_BAD


def test_damaged_frames_decode_or_raise_frame_bad():
    rng = random.Random(SEED)
    valid_frame = encode(AppendRequest(1, 0, 0, (_log_entry(),), 1, 7))
    for _ in range(3000):
        data = bytearray(valid_frame)
        for _ in range(rng.randint(1, 4)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        try:
            decode(bytes(data[: rng.randint(0, len(data))]))
        except LovageError as exc:
            assert exc.code is Code.FRAME_BAD


async def _send_bytes(port, payload):
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(payload)
    try:
        await writer.drain()
        writer.write_eof()
        async with asyncio.timeout(15):
            while await reader.read(65536):
                pass
    except OSError:
        pass
    writer.close()


def _frame(payload):
    return struct.pack("<I", len(payload)) + payload


async def test_daemon_survives_malformed_input():
    rng = random.Random(SEED)
    hello = _frame(msgpack.packb((1, "vm2", b"n" * 16)))
    wrong_proof = _frame(compute_proof(b"wrong", "client vm2", b"", b""))
    async with Fleet() as fleet:
        daemon = fleet.daemons["vm1"]
        payloads = [
            b"",
            b"\x00" * 64,
            struct.pack("<I", 2**31) + b"x",
            hello,
            hello + wrong_proof,
            _frame(msgpack.packb((9, "vm2", b"n"))),
            _frame(msgpack.packb((1, "v" * 500, b"n"))),
            *(rng.randbytes(rng.randint(1, 400)) for _ in range(20)),
        ]
        for port in (daemon.peers_port, daemon.callers_port, daemon.operators_port):
            await asyncio.gather(*(_send_bytes(port, payload) for payload in payloads))
        conn = await fleet.connect("vm1")
        assert await run(conn, "SELECT 1") == [(1,)]
        conn.close()
        assert daemon.fault is None
