"""Connections to instances that are not needed any more are closed."""

import asyncio
from types import SimpleNamespace

from lovagewalk.control import Order, SendOrder
from lovagewalk.edge import _endpoints, _order_client
from lovagewalk.edge._endpoints import EndpointClient
from lovagewalk.edge._group_client import Credentials, StatusAnswer
from lovagewalk.edge._order_client import OrderClient
from lovagewalk.pools import ConnectionRefused, OpenConnection
from lovagewalk.runtime import Network

CREDENTIALS = Credentials("user", "password")


class FakeConnection:
    """A connection whose instance does not answer with a status."""

    def __init__(self):
        self.closed = False

    def close(self):
        self.closed = True


def _ports(events):
    return SimpleNamespace(now=lambda: 0.0, feed=events.append, timer=None)


async def test_a_connection_without_a_status_is_closed(monkeypatch):
    """It stayed open, and counted against the connection limit of the instance."""
    conn, events = FakeConnection(), []

    async def connect(*arguments):
        return conn

    async def query_status(opened):
        raise ConnectionError("malformed status")

    monkeypatch.setattr(_endpoints, "connect", connect)
    monkeypatch.setattr(_endpoints, "query_status", query_status)
    pool = EndpointClient(_ports(events), CREDENTIALS, Network())
    await pool.open(OpenConnection(1, "i-1", "10.0.0.1", 3306))
    assert conn.closed
    assert [type(event) for event in events] == [ConnectionRefused]


class FakeChannel(FakeConnection):
    """A channel to an instance that answers in the next turn of the loop."""

    async def query(self, query, timeout_s):
        await asyncio.sleep(0)
        return StatusAnswer(None)


async def test_of_two_channels_for_orders_at_once_one_is_closed(monkeypatch):
    """Every pair of concurrent orders left an open connection behind."""
    channels = []

    def build_channel(*arguments):
        channels.append(FakeChannel())
        return channels[-1]

    monkeypatch.setattr(_order_client, "StatusChannel", build_channel)
    client = OrderClient(_ports([]), CREDENTIALS, Network())
    order = SendOrder("g", "i-1", "10.0.0.1", 3306, Order.FENCE, 2)
    await asyncio.gather(client.send(order), client.send(order))
    assert [channel.closed for channel in channels].count(False) == 1
    client.close()
    assert all(channel.closed for channel in channels)
