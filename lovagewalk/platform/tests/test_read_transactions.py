"""The transaction in which a read proves its primary, over the line protocol."""

import pytest

from lovagewalk.pools._policy import SETTLE_LIMIT_S

from .line_site import LineSite


@pytest.fixture
def site():
    return LineSite()


def _read(site):
    """Send a single read to the primary, and return its request and connection."""
    req = site.read(site.connect("till"))
    number, messages = site.take()
    assert messages == ["- BEGIN", f"r{req} x", "- ROLLBACK"]
    return req, number


def test_a_read_is_answered_before_its_transaction_has_ended(site):
    req, number = _read(site)
    site.answer(number, "T", "T signed")
    assert site.answers[req].refusal is None


def test_no_write_runs_in_the_transaction_of_an_earlier_read(site):
    """Guards against an acknowledged write that is rolled back with a read.

    The connection returned to the pool before the ROLLBACK was answered. A refused
    ROLLBACK left the transaction open, and the write of another session ran in it.
    """
    _, number = _read(site)
    site.answer(number, "T", "T signed")
    req = site.write(site.connect("till"))
    other, messages = site.take()
    assert other != number and messages == [f"r{req} x"]
    site.answer(number, "T BUSY")
    assert site.is_closed(number)


def test_a_connection_is_reused_once_the_transaction_of_a_read_has_ended(site):
    _, number = _read(site)
    site.answer(number, "T", "T signed", "I")
    req = site.write(site.connect("till"))
    assert site.take() == (number, [f"r{req} x"])


def test_a_waiting_write_gets_the_connection_of_a_read_that_has_ended():
    site = LineSite(connections=1)
    _, number = _read(site)
    req = site.write(site.connect("till"))
    site.answer(number, "T", "T signed")
    assert site.take() == (0, [])
    site.answer(number, "I")
    assert site.take() == (number, [f"r{req} x"])


def test_the_connection_of_a_refused_begin_waits_for_all_its_answers(site):
    """Guards against an answer that is taken for that of the next statement."""
    req, number = _read(site)
    site.answer(number, "I BUSY")
    site.sweep()  # The new connection takes the first turn after the refusal.
    site.sweep()
    other, messages = site.take()
    assert other != number and messages == ["- BEGIN", f"r{req} x", "- ROLLBACK"]
    site.answer(number, "I signed", "I")
    assert not site.is_closed(number) and req not in site.answers
    late = site.write(site.connect("till"))
    site.sweep()
    assert site.take() == (number, [f"r{late} x"])


def test_a_connection_without_an_answer_to_the_end_of_a_read_is_closed(site):
    _, number = _read(site)
    site.answer(number, "T", "T signed")
    site.sweep(SETTLE_LIMIT_S / 2)
    assert not site.is_closed(number)
    site.sweep(SETTLE_LIMIT_S)
    assert site.is_closed(number)
