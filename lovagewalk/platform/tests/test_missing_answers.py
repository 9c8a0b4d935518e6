"""Answers in a sequence of which one never comes, over the line protocol."""

import pytest

from lovagewalk.core import Code
from lovagewalk.routing import StatementKind

from .line_site import LineSite


@pytest.fixture
def site():
    return LineSite()


@pytest.mark.parametrize("answers", [("T signed", "I"), ("T", "I")])
def test_a_read_does_not_get_the_answer_to_another_message(site, answers):
    """Guards against a read that succeeds without its rows.

    Answers were matched by their order alone. After a lost one, the answer to the end
    of a read's transaction was taken for that of the read, and so on for all reads on
    the connection.
    """
    req = site.read(site.connect("till"))
    number, _ = site.take()
    site.answer(number, *answers)
    assert req not in site.answers and site.is_closed(number)
    site.sweep()
    other, messages = site.take()
    assert other != number and messages == ["- BEGIN", f"r{req} x", "- ROLLBACK"]
    site.answer(other, "T", "T signed", "I")
    assert site.answers[req].refusal is None


def test_the_steps_of_a_read_may_be_signed_too(site):
    """Guards against reads that fail where an endpoint signs every answer.

    The protocol says which answers need a signature, not which have none.
    """
    req = site.read(site.connect("till"))
    number, _ = site.take()
    site.answer(number, "T signed", "T signed", "I signed")
    assert site.answers[req].refusal is None and not site.is_closed(number)


def test_a_single_write_without_a_signature_is_in_doubt(site):
    req = site.write(site.connect("till"))
    number, _ = site.take()
    site.answer(number, "I")
    assert site.refusal_code(req) is Code.CONNECTION_LOST and site.is_closed(number)


def test_a_commit_without_a_signature_is_in_doubt(site):
    caller, number = site.open_transaction("till")
    req = site.send(caller, StatementKind.COMMIT, "COMMIT")
    site.take()
    site.answer(number, "I")
    assert site.refusal_code(req) is Code.CONNECTION_LOST and site.is_closed(number)


def test_a_rollback_needs_no_signature(site):
    caller, number = site.open_transaction("till")
    req = site.send(caller, StatementKind.ROLLBACK, "ROLLBACK")
    site.take()
    site.answer(number, "I")
    assert site.answers[req].refusal is None and not site.is_closed(number)
