"""A planned stop answers every statement that the daemon has read."""

from dataclasses import replace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lovagewalk.control import DrainRequested
from lovagewalk.core import Code, Outcome
from lovagewalk.routing import CallerDisconnected, Failure, StatementKind

from .provider_site import DRAIN_LIMITS, ROUTES, Site

SWEEP_S = 0.02
STATEMENT_S = 0.2


def _advance(site, seconds):
    end = site.now + seconds
    while site.now < end:
        site.sweep(SWEEP_S)


def _drain(site):
    site.feed(DrainRequested(site.now))
    return site.now


def test_a_transaction_whose_caller_never_pauses_ends_before_the_process():
    """Guards against statements that are passed on until the process ends.

    The drain rolled back idle transactions only, and the next statement always arrived
    before the daemon looked.
    """
    site = Site()
    caller = site.begin("till")
    started_at = _drain(site)
    refused_at = 0.0
    while not refused_at and site.now - started_at < 2 * DRAIN_LIMITS.answers_s:
        _advance(site, STATEMENT_S)
        site.complete(site.pop_run(), open_transaction=True)
        req = site.write(caller)
        if req in site.answers:
            refused_at = site.now
    assert refused_at - started_at <= DRAIN_LIMITS.transactions_s + 2 * STATEMENT_S
    refusal = site.answers[req].refusal
    assert refusal.code is Code.TRANSACTION_LOST and not site.runs
    _advance(site, SWEEP_S)
    assert caller in site.closed


def test_a_commit_within_the_limit_of_transactions_runs():
    site = Site()
    caller = site.begin("till")
    site.complete(site.pop_run(), open_transaction=True)
    _drain(site)
    _advance(site, DRAIN_LIMITS.transactions_s - 0.1)
    req = site.send(caller, StatementKind.COMMIT)
    site.complete(site.pop_run())
    assert site.answers[req].refusal is None


@pytest.mark.parametrize("kind", [StatementKind.READ, StatementKind.WRITE])
def test_a_statement_that_still_runs_is_answered_before_the_process_ends(kind):
    """Guards against a connection that ends while its statement is at the endpoint."""
    site = Site()
    caller = site.connect("till")
    started_at = _drain(site)
    _advance(site, DRAIN_LIMITS.operations_s - 0.1)
    site.configure(2, routes=(_slow_route(),))
    req = site.send(caller, kind)
    assert site.runs
    _advance(site, DRAIN_LIMITS.answers_s + SWEEP_S - (site.now - started_at))
    assert site.answers[req].refusal is not None
    if kind is StatementKind.WRITE:
        assert site.refusal_code(req).outcome is Outcome.UNKNOWN


def _slow_route():
    return replace(ROUTES[0], statement_timeout_s=60.0)


def test_a_second_stop_signal_does_not_extend_the_stop():
    """The process ends at the limit of the first one, whatever is in progress."""
    site = Site()
    started_at = _drain(site)
    _advance(site, 1.0)
    _drain(site)
    assert site.state.draining_since == started_at


def test_a_lost_transaction_is_not_followed_by_another_one():
    """Guards against an operation that begins after the drain refuses them."""
    site = Site()
    caller = site.begin("till")
    site.complete(site.pop_run(), open_transaction=True)
    site.write(caller)
    site.lose_answer(site.pop_run())
    _drain(site)
    site.now += DRAIN_LIMITS.operations_s
    req = site.send(caller, StatementKind.BEGIN)
    assert site.refusal_code(req) is Code.DRAINING


class StopMachine(RuleBasedStateMachine):
    """Callers that go on while a daemon drains, and endpoints that answer late."""

    def __init__(self):
        super().__init__()
        self.site = Site(connections=4)
        self.site.configure(2, routes=self._routes(), connections=4)
        self.callers = []
        self.sent = {}
        self.drain_since = None
        for name in ("till", "board", "alloc", "till", "alloc"):
            self.callers.append(self.site.connect(name))

    def _routes(self):
        return tuple(replace(r, statement_timeout_s=8.0) for r in ROUTES)

    def _idle_caller(self, index):
        sessions = self.site.state.sessions
        idle = [c for c in self.callers if c in sessions and not sessions[c].req]
        idle = [c for c in idle if c not in self.site.closed]
        return idle[index % len(idle)] if idle else None

    @rule(index=st.integers(0, 9), kind=st.sampled_from(StatementKind))
    def send(self, index, kind):
        caller = self._idle_caller(index)
        plain = (
            StatementKind.READ,
            StatementKind.WRITE,
            StatementKind.BEGIN,
            StatementKind.BEGIN_READ,
            StatementKind.COMMIT,
            StatementKind.ROLLBACK,
        )
        if caller is None or kind not in plain:
            return
        req = self.site.send(caller, kind)
        self.sent[req] = caller

    @rule(index=st.integers(0, 9), opens=st.booleans())
    def complete(self, index, opens):
        if self.site.runs:
            run = self.site.runs.pop(index % len(self.site.runs))
            request = self.site.state.requests.get(run.req)
            session = request and self.site.state.sessions.get(request.caller)
            in_transaction = bool(session and session.conn == run.conn)
            ended = request and request.kind is StatementKind.COMMIT
            self.site.complete(run, open_transaction=in_transaction and not ended)

    @rule(index=st.integers(0, 9), failure=st.sampled_from(Failure))
    def fail(self, index, failure):
        if self.site.runs:
            run = self.site.runs.pop(index % len(self.site.runs))
            usable = failure not in (Failure.LOST, Failure.NOT_SENT)
            self.site.fail(run, failure, usable=usable)

    @rule(elapsed_s=st.sampled_from((0.02, 0.1, 0.5, 1.5)))
    def wait(self, elapsed_s):
        _advance(self.site, elapsed_s)
        for caller in list(self.site.closed):
            if caller in self.site.state.sessions:
                self.site.feed(CallerDisconnected(self.site.now, caller))

    @rule()
    def drain(self):
        self.site.feed(DrainRequested(self.site.now))
        if self.drain_since is None:
            self.drain_since = self.site.now

    def _drained_s(self):
        return -1.0 if self.drain_since is None else self.site.now - self.drain_since

    @invariant()
    def every_statement_is_answered_in_time(self):
        if self._drained_s() >= DRAIN_LIMITS.answers_s + 2 * SWEEP_S:
            assert not self.site.state.requests
            unanswered = set(self.sent) - set(self.site.answers)
            gone = {r for r, c in self.sent.items() if c in self.site.closed}
            assert not unanswered - gone

    @invariant()
    def no_session_outlives_the_limit(self):
        if self._drained_s() >= DRAIN_LIMITS.answers_s + 2 * SWEEP_S:
            assert set(self.site.state.sessions) <= set(self.site.closed)

    def teardown(self):
        self.drain()
        _advance(self.site, DRAIN_LIMITS.answers_s + 3 * SWEEP_S)
        self.every_statement_is_answered_in_time()
        self.no_session_outlives_the_limit()


TestStopMachine = StopMachine.TestCase
TestStopMachine.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
