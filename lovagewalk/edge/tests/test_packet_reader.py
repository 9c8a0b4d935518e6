"""Packets of MySQL clients are limited and counted while they arrive."""

import asyncio

import pytest
from mysql_mimic.stream import ConnectionClosed

from lovagewalk.core import Code, LovageError
from lovagewalk.edge._mysql_server import (
    MAX_LOGIN_PACKET_BYTES,
    MAX_PACKET_BYTES,
    MysqlConnection,
    PacketReader,
)
from lovagewalk.runtime import CountedReader

KIB = 1024


class Writer:
    """A writer whose transport holds nothing."""

    @property
    def transport(self):
        return self

    def get_write_buffer_size(self):
        return 0


class RecordingClient:
    """A client that records the reports of its connection."""

    def __init__(self):
        self.held = []

    def report(self, message=0, ahead=0, unread=0, exact=False):
        self.held.append((message, ahead, unread))


def _open():
    stream = CountedReader()
    connection = MysqlConnection(stream, Writer())
    connection.client = RecordingClient()
    connection.is_logged_in = True
    return stream, connection, PacketReader(connection)


async def test_a_packet_in_pieces_is_read_whole_and_counted():
    """Guards against a packet of which the budget sees nothing, or too little."""
    stream, connection, reader = _open()
    reading = asyncio.ensure_future(reader.readexactly(200 * KIB))
    for number in range(10):
        stream.feed_data(bytes([number]) * 20 * KIB)
        await asyncio.sleep(0.01)
    packet = await reading
    assert packet == b"".join(bytes([number]) * 20 * KIB for number in range(10))
    held = connection.client.held
    assert max(message for message, _, _ in held) >= 160 * KIB
    assert held[-1] == (0, 3 * 200 * KIB, 0), "the statement that is processed"
    header = asyncio.ensure_future(reader.read(4))
    await asyncio.sleep(0.01)
    assert held[-1] == (0, 0, 0)
    stream.feed_data(b"\x01\x00\x00\x00")
    assert await header == b"\x01\x00\x00\x00"


async def test_nothing_is_read_while_the_connection_is_paused():
    """Guards against a pause that has no effect, or that lasts for ever."""
    stream, connection, reader = _open()
    connection.pause()
    stream.feed_data(b"x" * 4)
    reading = asyncio.ensure_future(reader.read(4))
    await asyncio.sleep(0.01)
    assert not reading.done()
    connection.resume()
    assert await reading == b"x" * 4


async def test_a_paused_connection_notices_its_end():
    """Guards against a task that waits for a client that has left."""
    stream, connection, reader = _open()
    connection.pause()
    reading = asyncio.ensure_future(reader.readexactly(10))
    stream.feed_data(b"x" * 5)
    stream.feed_eof()
    with pytest.raises(ConnectionClosed):
        await asyncio.wait_for(reading, 5.0)


@pytest.mark.parametrize(
    ("logged_in", "limit"),
    [(True, MAX_PACKET_BYTES), (False, MAX_LOGIN_PACKET_BYTES)],
)
async def test_a_packet_over_the_limit_is_refused(logged_in, limit):
    """Guards against large packets, above all of clients without a login."""
    stream, connection, reader = _open()
    connection.is_logged_in = logged_in
    with pytest.raises(LovageError) as caught:
        await reader.readexactly(limit + 1)
    assert caught.value.code is Code.STATEMENT_LARGE
    stream.feed_data(b"x" * limit)
    assert len(await reader.readexactly(limit)) == limit
