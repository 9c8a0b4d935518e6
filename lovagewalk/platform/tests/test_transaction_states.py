"""Answers that state another transaction than the one their statement belongs to."""

import pytest

from lovagewalk.core import Code
from lovagewalk.groups import Position
from lovagewalk.routing import StatementKind
from lovagewalk.routing.tests.provider_site import TIMEOUT_S

from .line_site import LineSite


@pytest.fixture
def site():
    return LineSite()


def test_a_single_write_inside_a_transaction_is_not_acknowledged(site):
    """Guards against success for a write that is rolled back with its connection."""
    req = site.write(site.connect("till"))
    number, _ = site.take()
    site.answer(number, "T signed")
    assert site.refusal_code(req) is Code.CONNECTION_LOST and site.is_closed(number)


def test_a_single_read_inside_a_transaction_is_run_again(site):
    site.record_proof(Position(1, 10))
    req = site.read(site.connect("board"))
    number, _ = site.take()
    site.answer(number, "T signed")
    assert site.is_closed(number) and req not in site.answers
    assert site.take()[1] == [f"r{req} WAITLSN 1.10 x"]


@pytest.mark.parametrize(
    ("kind", "code"),
    [
        (StatementKind.WRITE, Code.CONNECTION_LOST),
        (StatementKind.READ, Code.TRANSACTION_LOST),
    ],
)
def test_a_statement_outside_its_transaction_ends_it(site, kind, code):
    """Guards against a transaction whose statements take effect one by one."""
    caller, number = site.open_transaction("till", StatementKind.READ)
    req = site.send(caller, kind)
    site.take()
    site.answer(number, "I signed")
    assert site.refusal_code(req) is code and site.answers[req].failed_transaction
    assert site.is_closed(number)


@pytest.mark.parametrize("code", ["BUSY", "FAILED", "READONLY"])
def test_a_refused_rollback_of_a_caller_closes_its_connection(site, code):
    """Guards against a caller that is told that its transaction goes on.

    Closing the connection rolls back, so the caller need not wait until the endpoint
    has accepted the statement.
    """
    caller, number = site.open_transaction("till")
    req = site.send(caller, StatementKind.ROLLBACK, "ROLLBACK")
    site.take()
    site.answer(number, f"T {code}")
    assert site.answers[req].refusal is None and not site.answers[req].in_transaction
    assert site.is_closed(number)


def test_a_rollback_without_an_answer_succeeds_at_its_time_limit(site):
    """Guards against a ROLLBACK that is refused although it has rolled back."""
    caller, number = site.open_transaction("till")
    req = site.send(caller, StatementKind.ROLLBACK, "ROLLBACK")
    site.sweep(TIMEOUT_S + 0.01)
    assert site.answers[req].refusal is None and site.is_closed(number)
    assert not site.answers[req].failed_transaction
