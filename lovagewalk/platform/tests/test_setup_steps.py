"""What is sent on a connection that lacks its session's settings, without a network."""

import pytest

from lovagewalk.core import Code
from lovagewalk.routing import CallerDisconnected, StatementKind
from lovagewalk.routing._sweep import SETUP_TIMEOUT_S
from lovagewalk.routing.tests.provider_site import TIMEOUT_S
from lovagewalk.sessions import PreparedShape

from .line_site import LineSite

SET = "- SET branch b1"


@pytest.fixture
def site():
    return LineSite()


def test_a_write_follows_its_settings_only_once_they_are_accepted(site):
    """Guards against a write that is committed twice after a refused SET.

    The write was sent behind the SET. It ran without its session's value, and again
    on another connection, since the refusal of the SET counted as "not sent".
    """
    req = site.write(site.connect_with_value("till"))
    number, messages = site.take()
    assert messages == [SET]
    site.answer(number, "I BUSY")
    assert site.take() == (0, []) and not site.is_closed(number)
    site.sweep()
    assert site.take() == (number, [SET])
    site.answer(number, "I")
    assert site.take() == (number, [f"r{req} x"])
    site.answer(number, "I signed")
    assert site.answers[req].refusal is None and site.take() == (0, [])


def test_a_statement_without_settings_is_sent_at_once(site):
    req = site.write(site.connect("till"))
    assert site.take()[1] == [f"r{req} x"]


def test_a_connection_is_known_to_have_only_what_was_accepted(site):
    caller = site.connect_with_value("till")
    site.set_variable(caller, "lang", "ja")
    site.write(caller)
    number, messages = site.take()
    first, second = messages
    site.answer(number, "I BUSY", "I")
    site.sweep()
    assert site.take() == (number, [first])
    pool = site.state.pools[site.state.conn_endpoints[number]]
    assert [
        f"- SET {name} {value}"
        for name, value in pool.connections[number].variables.items()
    ] == [second]


def test_a_refused_reset_leaves_the_values_of_the_other_session(site):
    """Guards against a statement that runs with another session's values."""
    number = site.set_pooled_value("till")
    req = site.write(site.connect("till"))
    assert site.take() == (number, ["- DISCARD"])
    site.answer(number, "I BUSY")
    site.sweep()
    assert site.take() == (number, ["- DISCARD"])
    site.answer(number, "I")
    assert site.take() == (number, [f"r{req} x"])


def test_a_transaction_begins_together_with_its_settings(site):
    caller = site.connect_with_value("till")
    site.send(caller, StatementKind.BEGIN)
    req = site.write(caller)
    number, messages = site.take()
    assert messages == [SET, "- BEGIN"]
    site.answer(number, "I")
    assert site.take() == (0, [])
    site.answer(number, "T")
    assert site.take() == (number, [f"r{req} x"])


def test_a_refused_setting_is_sent_again_in_the_transaction_that_began(site):
    caller = site.connect_with_value("till")
    site.send(caller, StatementKind.BEGIN)
    req = site.write(caller)
    number, _ = site.take()
    site.answer(number, "I BUSY", "T")
    site.sweep()
    assert site.take() == (number, [SET])
    site.answer(number, "T")
    assert site.take() == (number, [f"r{req} x"])
    site.answer(number, "T signed")
    assert site.answers[req].refusal is None and site.answers[req].in_transaction


def test_a_refused_begin_is_sent_again_without_the_settings(site):
    caller = site.connect_with_value("till")
    site.send(caller, StatementKind.BEGIN)
    req = site.write(caller)
    number, _ = site.take()
    site.answer(number, "I", "I BUSY")
    site.sweep()
    assert site.take() == (number, ["- BEGIN"])
    site.answer(number, "T")
    assert site.take() == (number, [f"r{req} x"])


def test_a_commit_follows_its_settings_only_once_they_are_accepted(site):
    """Guards against a commit whose caller is told that nothing was kept."""
    caller, number = site.open_transaction("till")
    site.set_variable(caller, "branch", "b1")
    req = site.send(caller, StatementKind.COMMIT, "COMMIT")
    assert site.take() == (number, [SET])
    site.answer(number, "T BUSY")
    assert site.take() == (0, []) and req not in site.answers
    site.sweep()
    assert site.take() == (number, [SET])
    site.answer(number, "T")
    assert site.take() == (number, [f"r{req} COMMIT"])


def test_a_transaction_that_fails_during_its_settings_is_lost(site):
    caller, number = site.open_transaction("till")
    site.set_variable(caller, "branch", "b1")
    req = site.write(caller)
    site.take()
    site.answer(number, "E READONLY")
    assert site.refusal_code(req) is Code.TRANSACTION_LOST and site.is_closed(number)


def test_a_setting_that_fails_otherwise_leaves_its_connection_unused(site):
    req = site.write(site.connect_with_value("till"))
    number, _ = site.take()
    site.answer(number, "I FAILED")
    assert site.refusal_code(req) is Code.ENDPOINT_ERROR and site.is_closed(number)


def test_a_write_whose_settings_are_lost_is_sent_on_another_connection(site):
    req = site.write(site.connect_with_value("till"))
    number, _ = site.take()
    site.lose(number)
    other, messages = site.take()
    assert other != number and messages == [SET]
    site.answer(other, "I")
    assert site.take() == (other, [f"r{req} x"])


def test_a_write_whose_settings_are_not_answered_is_sent_on_another_connection(site):
    site.write(site.connect_with_value("till"))
    number, _ = site.take()
    site.sweep(SETUP_TIMEOUT_S + 0.01)
    other, messages = site.take()
    assert site.is_closed(number) and other != number and messages == [SET]


def test_a_late_answer_does_not_send_a_statement_that_was_placed_again(site):
    """The steps of a connection that was given up may still be answered."""
    site.write(site.connect_with_value("till"))
    number, _ = site.take()
    site.sweep(SETUP_TIMEOUT_S + 0.01)
    site.take()
    site.answer(number, "I")
    assert site.take() == (0, [])


def test_a_write_whose_time_ends_during_its_settings_is_refused_as_not_run(site):
    req = site.write(site.connect_with_value("till"))
    number, _ = site.take()
    site.sweep(TIMEOUT_S + 0.01)
    assert site.refusal_code(req) is Code.OVERLOADED and site.is_closed(number)


def test_a_write_is_not_sent_if_its_key_is_withdrawn_during_its_settings(site):
    req = site.write(site.connect_with_value("till"))
    number, _ = site.take()
    site.configure(2, keys=("another",))
    site.answer(number, "I")
    assert site.refusal_code(req) is Code.KEY_WITHDRAWN and site.take() == (0, [])


def test_nothing_is_sent_for_a_caller_that_has_left_during_its_settings(site):
    caller = site.connect_with_value("till")
    site.write(caller)
    number, _ = site.take()
    site.feed(CallerDisconnected(site.now, caller))
    assert site.is_closed(number)
    site.answer(number, "I")
    assert site.take() == (0, [])


def test_a_setup_that_leaves_a_transaction_open_is_not_followed_by_a_write(site):
    """Guards against a single write inside a transaction that nobody ends."""
    site.write(site.connect_with_value("till"))
    number, _ = site.take()
    site.answer(number, "T")
    other, messages = site.take()
    assert site.is_closed(number) and other != number and messages == [SET]


def test_a_connection_that_has_lost_its_prepared_statements_is_closed(site):
    """Guards against a statement that is refused on the same connection again."""
    caller = site.connect("till")
    shape = PreparedShape(True, "q2c")
    site.prepare(caller, "s1", shape)
    site.execute(caller, "s1")
    number, _ = site.take()
    site.answer(number, "I")
    site.take()
    site.answer(number, "I NOSTMT")
    other, messages = site.take()
    assert site.is_closed(number) and other != number
    assert messages == [f"- PREPARE {shape.name} WRITE q2c"]


def test_statements_are_prepared_before_they_are_executed(site):
    caller = site.connect("till")
    shape = PreparedShape(True, "q2c")
    site.prepare(caller, "s1", shape)
    req = site.execute(caller, "s1")
    number, messages = site.take()
    assert messages == [f"- PREPARE {shape.name} WRITE q2c"]
    site.answer(number, "I")
    assert site.take() == (number, [f"r{req} EXECUTE {shape.name} item"])
