"""Transactions that an endpoint refuses to continue."""

from types import SimpleNamespace

import pytest

from lovagewalk.core import Code
from lovagewalk.pools import ConnectionBroken
from lovagewalk.routing import Failure, StatementKind, StreamEnded
from lovagewalk.routing._events import StatementDone

from .fake_group import Site


def _open_transaction(site):
    caller = site.connect()
    site.send(caller, StatementKind.BEGIN)
    site.send(caller, StatementKind.WRITE)
    site.deliver_all()
    return caller, site.state.sessions[caller].conn


@pytest.mark.parametrize("failure", [Failure.READ_ONLY, Failure.ROLLED_BACK])
def test_a_connection_with_a_lost_transaction_is_closed(failure):
    """The primary is replaced mid-transaction; the endpoint keeps it open.

    On a reused connection the next caller's statements would join it.
    """
    site = Site()
    caller, conn = _open_transaction(site)
    req = site.send(caller, StatementKind.WRITE)
    site.pending_effects = [
        effect for effect in site.pending_effects if getattr(effect, "req", 0) != req
    ]
    site._fail(SimpleNamespace(req=req, conn=conn), failure, usable=True)
    assert site.answers[req].code is Code.TRANSACTION_LOST
    assert conn not in site.state.conn_endpoints


def test_a_single_write_inside_an_open_transaction_is_not_acknowledged():
    """The endpoint ran the write inside a transaction, so closing it rolls it back."""
    site = Site()
    caller = site.connect()
    req = site.send(caller, StatementKind.WRITE)
    while not site.state.requests[req].conn:
        site.deliver(0)
    request = site.state.requests[req]
    position = site.state.sessions[caller].position
    site.pending_effects = [
        effect for effect in site.pending_effects if getattr(effect, "req", 0) != req
    ]
    site.feed(StatementDone(site.now, req, request.conn, position, in_transaction=True))
    assert site.answers[req].code is Code.CONNECTION_LOST
    assert request.conn not in site.state.conn_endpoints


def test_a_stream_whose_connection_breaks_is_not_answered_again():
    """The caller was answered when the stream began; its end is an event of its own."""
    site = Site()
    caller, conn = _open_transaction(site)
    req = site.send(caller, StatementKind.READ)
    site.pending_effects = [
        effect for effect in site.pending_effects if getattr(effect, "req", 0) != req
    ]
    site.results[req] = [f"write {number}" for number in range(9)]
    site.feed(StatementDone(site.now, req, conn, streaming=True, in_transaction=True))
    assert req in site.answers
    site.feed(ConnectionBroken(site.now, conn, "db0"))
    site.feed(StreamEnded(site.now, req, conn, complete=False))
    assert not site.state.sessions[caller].in_transaction
    assert req not in site.state.requests
