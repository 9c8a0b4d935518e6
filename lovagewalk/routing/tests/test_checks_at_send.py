"""What is checked again when a statement is sent: the lease and the time limit."""

from dataclasses import replace

from lovagewalk.core import Code
from lovagewalk.pools import OpenConnection
from lovagewalk.routing import RunStatement, StatementKind

from .fake_group import Site


def test_a_statement_that_waited_beyond_the_lease_does_not_run():
    """Guards against a key that was withdrawn while the daemon was cut off.

    The lease was checked when the statement arrived, and not again when it got a
    connection seconds later, on routes without an explicit consistency.
    """
    site = Site()
    caller = site.connect()
    req = site.send(caller, StatementKind.WRITE)
    site.state = replace(site.state, fresh_until=site.now + 0.5)
    site.now += 1.0
    kinds = [type(effect) for effect in site.pending_effects]
    site.deliver(kinds.index(OpenConnection))
    assert site.answers[req].code is Code.CONFIG_STALE
    assert not any(isinstance(effect, RunStatement) for effect in site.pending_effects)


def test_a_statement_whose_time_limit_has_passed_is_not_sent():
    """Guards against a write that runs although its caller is told at once it failed.

    A connection became free after the time limit and before the next sweep, and the
    statement went out to be given up in the same moment.
    """
    site = Site()
    caller = site.connect()
    req = site.send(caller, StatementKind.WRITE)
    site.now = site.state.requests[req].deadline + 0.01
    kinds = [type(effect) for effect in site.pending_effects]
    site.deliver(kinds.index(OpenConnection))
    assert site.answers[req].code is Code.OVERLOADED
    assert not any(isinstance(effect, RunStatement) for effect in site.pending_effects)
