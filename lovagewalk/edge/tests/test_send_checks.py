"""What the MySQL front end sends to an endpoint once a statement's turn comes."""

import asyncio

import asyncmy
import pytest

from lovagewalk.core import Code, replace
from lovagewalk.edge._endpoints import POSITION_QUERY, EndpointClient
from lovagewalk.edge._group_client import Credentials
from lovagewalk.routing import NO_MARKS, RunStatement, StatementKind
from lovagewalk.routing.tests.fake_group import Site, once


class BlockedConnection:
    """A connection on which each text waits until the test answers it."""

    connected = True
    description = None
    rowcount = lastrowid = 0

    def __init__(self):
        self.texts = []
        self.may_answer = asyncio.Event()

    def cursor(self, cursor_class=None):
        return self

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        return None

    async def execute(self, text):
        self.texts.append(text)
        await self.may_answer.wait()

    async def close(self):
        return None

    def literal(self, value):
        return repr(value)


class SitePorts:
    """The part of a daemon's ports that the adapter uses, in front of a site."""

    def __init__(self, site):
        self._site = site

    @property
    def state(self):
        return self._site.state

    def now(self):
        return self._site.now

    def feed(self, event):
        self._site.feed(event)


def _take_run(site):
    """Return the effect that sends the statement, after all effects before it."""
    while not isinstance(site.pending_effects[0], RunStatement):
        site.deliver(0)
    return site.pending_effects.pop(0)


class RefusingConnection(BlockedConnection):
    """A connection to an endpoint that refuses to begin a transaction."""

    async def execute(self, text):
        self.texts.append(text)
        raise asyncmy.errors.OperationalError(1205, "lock wait timeout")

    def get_transaction_status(self):
        return False


async def test_a_transaction_that_did_not_begin_begins_with_the_next_statement():
    """Guards against writes of a transaction that are committed one by one.

    After a refused BEGIN the session counted as pinned, so that its next statements ran
    on the connection without a transaction, and a ROLLBACK undid nothing.
    """
    site = Site()
    caller = site.connect()
    site.send(caller, StatementKind.BEGIN)
    refused = site.send(caller, StatementKind.WRITE, "w")
    effect = _take_run(site)
    client = EndpointClient(SitePorts(site), Credentials("user", "password"))
    conn = client._conns[effect.conn] = RefusingConnection()
    await client._run(effect)
    assert conn.texts == ["BEGIN"]
    assert site.answers[refused].code is Code.ENDPOINT_ERROR
    site.send(caller, StatementKind.WRITE, "w")
    again = _take_run(site)
    assert again.begin


class UnknownPositionConnection(BlockedConnection):
    """A connection to an endpoint that runs statements but states no position."""

    async def execute(self, text):
        self.texts.append(text)
        if text == POSITION_QUERY:
            raise asyncmy.errors.OperationalError(1205, "lock wait timeout")

    def get_transaction_status(self):
        return False


async def test_a_write_without_a_known_position_is_not_reported_as_failed():
    """Guards against a committed write whose caller is told that it failed.

    The refusal of the query for the position was taken for that of the write.
    """
    site = Site()
    req = site.send(site.connect(), StatementKind.WRITE, "w")
    effect = _take_run(site)
    client = EndpointClient(SitePorts(site), Credentials("user", "password"))
    conn = client._conns[effect.conn] = UnknownPositionConnection()
    await client._run(effect)
    assert conn.texts == [effect.text, POSITION_QUERY]
    assert site.answers[req].code is Code.CONNECTION_LOST


@pytest.mark.parametrize("marks", [NO_MARKS, once("w")])
async def test_no_statement_is_sent_once_the_lease_is_over(marks):
    """Guards against a statement that runs long after the last contact with control.

    The lease was not checked again after the steps that precede the statement.
    """
    site = Site()
    caller = site.connect()
    if not marks.once:
        site.send(caller, StatementKind.BEGIN)
    req = site.send(caller, StatementKind.WRITE, "w", marks)
    effect = _take_run(site)
    site.conns[effect.conn] = BlockedConnection()
    client = EndpointClient(SitePorts(site), Credentials("user", "password"))
    conn = client._conns[effect.conn] = site.conns[effect.conn]
    task = asyncio.create_task(client._run(effect))
    await asyncio.sleep(0)
    assert conn.texts == ["BEGIN"]
    site.state = replace(site.state, fresh_until=site.now)
    conn.may_answer.set()
    await task
    assert effect.text not in conn.texts
    assert effect.conn not in site.conns, "the connection is closed"
    assert site.answers[req].code in (Code.CONFIG_STALE, Code.TRANSACTION_LOST)
