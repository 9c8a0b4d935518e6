"""Leases, keys, settings and prepared statements of sessions."""

from lovagewalk.core import Code, replace
from lovagewalk.groups import Position
from lovagewalk.routing import (
    DiscardSettings,
    Failure,
    PrepareShape,
    SetVariable,
    StatementKind,
    may_send,
)
from lovagewalk.sessions import PreparedShape

from .provider_site import KEY, ROUTES, Site


def _expire_lease(site):
    site.state = replace(site.state, fresh_until=site.now)


def test_no_keyed_statement_is_sent_without_a_lease():
    site = Site(connections=1)
    busy = site.connect("till")
    site.write(busy)
    busy_run = site.pop_run()
    waiting = site.write(site.connect("till"))
    _expire_lease(site)
    site.complete(busy_run, Position(1, 11))
    assert not site.runs
    assert site.refusal_code(waiting) is Code.CONFIG_STALE
    assert site.refusal_code(site.write(busy)) is Code.CONFIG_STALE


def test_a_commit_without_a_lease_is_rolled_back():
    site = Site()
    caller = site.begin("till")
    site.complete(site.pop_run(), Position(1, 10), open_transaction=True)
    _expire_lease(site)
    req = site.send(caller, StatementKind.COMMIT, "COMMIT")
    assert not site.runs and site.refusal_code(req) is Code.TRANSACTION_LOST


def test_a_statement_may_not_be_sent_after_the_lease():
    site = Site()
    site.write(site.connect("till"))
    run = site.pop_run()
    assert may_send(site.state, run, site.state.fresh_until - 0.001)
    assert not may_send(site.state, run, site.state.fresh_until)


def test_a_withdrawn_key_ends_its_sessions():
    site = Site()
    idle, busy = site.connect("till"), site.connect("till")
    req = site.write(busy)
    site.configure(2, keys=("another",))
    assert site.closed[idle].code is Code.KEY_WITHDRAWN
    assert busy not in site.closed, "a running statement is still answered"
    site.complete(site.pop_run(), Position(1, 11))
    assert site.answers[req].refusal is None and busy in site.closed
    site.connect("till", KEY)
    assert site.closed[max(site.closed)].code is Code.KEY_UNKNOWN


def test_a_changed_route_applies_from_the_next_operation():
    site = Site()
    caller = site.connect("board")
    site.configure(2, routes=(replace(ROUTES[1], statement_timeout_s=0.2),))
    req = site.read(caller)
    site.sweep(0.3)
    assert site.refusal_code(req) is Code.OVERLOADED
    site.configure(3, routes=ROUTES[:1])
    assert site.closed[caller].code is Code.ROUTE_UNKNOWN


def test_a_connection_has_only_the_settings_of_its_session():
    site = Site(connections=1)
    first, second = site.connect("till"), site.connect("till")
    site.set_variable(first, "tz", "utc")
    site.set_variable(first, "lang", "ja")
    site.write(first)
    assert not site.runs, "the statement waits until its settings are accepted"
    steps = site.accept_setup()
    assert set(steps) == {SetVariable("tz", "utc"), SetVariable("lang", "ja")}
    run = site.pop_run()
    site.complete(run, Position(1, 11))
    site.write(first)
    assert not site.setups, "only settings that differ are sent"
    site.complete(site.pop_run(), Position(1, 12))
    site.set_variable(second, "tz", "jst")
    site.write(second)
    assert site.accept_setup() == (DiscardSettings(), SetVariable("tz", "jst"))
    assert site.pop_run().conn == run.conn


def test_prepared_statements_are_shared_by_content():
    site = Site(connections=1)
    first, second = site.connect("till"), site.connect("till")
    shape = PreparedShape(True, "q2c")
    site.prepare(first, "s1", shape)
    site.prepare(second, "other", shape)
    site.execute(first, "s1")
    assert site.accept_setup() == (PrepareShape(shape),)
    run = site.pop_run()
    assert run.prepared == shape and run.text == "item"
    site.complete(run, Position(1, 11))
    site.execute(second, "other")
    assert not site.setups and site.pop_run().prepared == shape


def test_a_prepared_name_is_scoped_to_its_session():
    site = Site(connections=1)
    first, second = site.connect("till"), site.connect("till")
    site.prepare(first, "s1", PreparedShape(True, "one"))
    site.prepare(second, "s1", PreparedShape(True, "two"))
    site.execute(first, "s1")
    site.accept_setup()
    site.complete(site.pop_run(), Position(1, 11))
    site.execute(second, "s1")
    site.accept_setup()
    assert site.pop_run().prepared.content == "two"
    unknown = site.execute(site.connect("till"), "s1")
    assert site.refusal_code(unknown) is Code.STATEMENT_UNKNOWN


def test_a_statement_is_prepared_again_at_an_endpoint_that_lost_it():
    site = Site()
    caller = site.connect("till")
    shape = PreparedShape(True, "q2c")
    site.prepare(caller, "s1", shape)
    site.execute(caller, "s1")
    site.accept_setup()
    run = site.pop_run()
    site.fail(run, Failure.UNKNOWN_NAME, usable=False)
    assert site.accept_setup() == (PrepareShape(shape),)
    assert site.pop_run().conn != run.conn


def test_without_a_lease_no_route_or_key_is_reported_as_unknown():
    """A daemon that has just started has no routes and no keys yet."""
    site = Site()
    _expire_lease(site)
    for name, key in (("till", KEY), ("nowhere", KEY), ("till", "another")):
        caller = site.connect(name, key)
        assert site.closed[caller].code is Code.CONFIG_STALE
        assert site.closed[caller].retry_after_s > 0


def test_an_expired_lease_does_not_close_sessions():
    site = Site()
    caller = site.connect("till")
    routes = site.state.catalogue.routes.delete("till")
    catalogue = replace(site.state.catalogue, routes=routes)
    site.state = replace(site.state, catalogue=catalogue)
    _expire_lease(site)
    assert site.refusal_code(site.read(caller)) is Code.CONFIG_STALE
