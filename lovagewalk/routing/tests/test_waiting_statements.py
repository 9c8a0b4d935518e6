"""Statements that wait while the connection of their transaction breaks."""

import pytest

from lovagewalk.core import Code
from lovagewalk.pools import ConnectionBroken
from lovagewalk.routing import Failure, StatementKind

from .provider_site import PRIMARY, Site


def _let_wait_in_transaction(site, kind):
    """Return the caller, request and connection of a statement that got BUSY."""
    caller = site.begin("till")
    first = site.pop_run()
    site.complete(first, open_transaction=True)
    req = site.send(caller, kind)
    site.fail(site.pop_run(), Failure.BUSY, open_transaction=True)
    assert not site.runs
    return caller, req, first.conn


@pytest.mark.parametrize(
    "kind", [StatementKind.WRITE, StatementKind.READ, StatementKind.COMMIT]
)
def test_a_statement_of_a_broken_transaction_does_not_run_by_itself(kind):
    """Guards against a write of a transaction that takes effect outside of it.

    The statement waited after BUSY when the connection of its transaction broke. Its
    next attempt found no pinned connection and went to any other one.
    """
    site = Site()
    caller, req, conn = _let_wait_in_transaction(site, kind)
    site.feed(ConnectionBroken(site.now, conn, PRIMARY))
    for _ in range(20):
        site.sweep(0.05)
    assert not site.runs
    assert site.refusal_code(req) is Code.TRANSACTION_LOST
    assert not site.state.requests


def test_a_rollback_of_a_broken_transaction_succeeds():
    site = Site()
    caller, req, conn = _let_wait_in_transaction(site, StatementKind.ROLLBACK)
    site.feed(ConnectionBroken(site.now, conn, PRIMARY))
    site.sweep(0.05)
    assert site.answers[req].refusal is None
    assert not site.state.sessions[caller].in_transaction
