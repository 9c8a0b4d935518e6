"""Model-based test: sessions, replication, failover, losses and late answers."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lovagewalk.core import Code
from lovagewalk.groups import Role
from lovagewalk.routing import (
    CallerDisconnected,
    Failure,
    Phase,
    StatementFailed,
    StatementKind,
)

from .fake_group import COMMIT, NAMES, ROLLBACK, Site, once, tick

INDEXES = st.integers(0, 30)


class RoutingMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.site = Site()
        self.callers = [self.site.connect() for _ in range(3)]

    def _idle_caller(self, index):
        idle = [caller for caller in self.callers if self.site.is_idle(caller)]
        return idle[index % len(idle)] if idle else None

    @rule(index=INDEXES)
    def write(self, index):
        caller = self._idle_caller(index)
        if caller:
            self.site.send(caller, StatementKind.WRITE)

    @rule(index=INDEXES, number=st.integers(0, 3))
    def write_once(self, index, number):
        caller = self._idle_caller(index)
        if caller:
            self.site.send(caller, StatementKind.WRITE, "write once", once(str(number)))

    @rule(index=INDEXES)
    def read(self, index):
        caller = self._idle_caller(index)
        if caller:
            self.site.send(caller, StatementKind.READ)

    @rule(index=INDEXES)
    def begin(self, index):
        caller = self._idle_caller(index)
        if caller:
            self.site.send(caller, StatementKind.BEGIN)

    @rule(index=INDEXES, commits=st.booleans())
    def end(self, index, commits):
        caller = self._idle_caller(index)
        if caller and commits:
            self.site.send(caller, StatementKind.COMMIT, COMMIT)
        elif caller:
            self.site.send(caller, StatementKind.ROLLBACK, ROLLBACK)

    @rule(index=INDEXES)
    def deliver(self, index):
        self.site.deliver(index)

    @rule(index=INDEXES)
    def lose_answer(self, index):
        self.site.deliver(index, lost=True)

    @rule(name=st.sampled_from(NAMES))
    def replicate(self, name):
        self.site.replicate(name)

    @rule(elapsed_s=st.sampled_from((0.02, 0.1, 2.0)))
    def tick(self, elapsed_s):
        tick(self.site, elapsed_s)

    @rule(left_out=st.sampled_from(NAMES), install=st.booleans())
    def fail_over(self, left_out, install):
        fenced_names = [
            n for n in NAMES if n != left_out and self.site.instances[n].is_up
        ]
        if len(fenced_names) >= 2:
            self.site.install()
            self.site.promote("", fenced_names, install)

    @rule()
    def install(self):
        self.site.install()

    @rule(name=st.sampled_from(NAMES))
    def stop_or_start(self, name):
        instance = self.site.instances[name]
        down = sum(not other.is_up for other in self.site.instances.values())
        if instance.is_up and not down:
            instance.is_up = False
        else:
            instance.is_up = True

    @rule(index=INDEXES)
    def disconnect(self, index):
        caller = self.callers.pop(index % len(self.callers))
        self.site.feed(CallerDisconnected(self.site.now, caller))
        self.callers.append(self.site.connect())

    @rule()
    def deliver_all(self):
        self.site.deliver_all()

    @invariant()
    def acknowledged_writes_survive(self):
        writes = {write for _, write in self.site.primary.log}
        assert self.site.acknowledged <= writes

    @invariant()
    def writes_reported_as_not_run_did_not_run(self):
        for instance in self.site.instances.values():
            assert not self.site.reported_not_run & {write for _, write in instance.log}

    @invariant()
    def no_write_runs_twice(self):
        writes = [write for _, write in self.site.primary.log]
        assert len(writes) == len(set(writes))

    def teardown(self):
        """Repair all faults; every request must then get an answer."""
        self.site.install()
        for instance in self.site.instances.values():
            instance.is_up = True
        for _ in range(80):
            tick(self.site, 0.1)
            for name in NAMES:
                self.site.replicate(name)
            self.site.deliver_all()
        waiting = [request for request in self.site.state.requests.values()]
        assert waiting == []


TestRoutingMachine = RoutingMachine.TestCase
TestRoutingMachine.settings = settings(
    max_examples=150,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


def test_refusal_that_comes_after_the_change_of_primary_is_retried():
    """A late "read only" of the old primary must not exclude the new one."""
    site = Site()
    caller = site.connect()
    req = site.send(caller, StatementKind.WRITE)
    site.deliver_all()
    req = site.send(caller, StatementKind.WRITE)
    conn = site.state.requests[req].conn
    site.promote("db1", NAMES)
    effect = StatementFailed(site.now, req, conn, Failure.READ_ONLY, usable=True)
    site.pending_effects.clear()
    site.feed(effect)
    assert site.state.requests[req].phase is not Phase.PRIMARY


def test_a_replaced_primary_confirms_no_write():
    site = Site()
    caller = site.connect()
    req = site.send(caller, StatementKind.WRITE)
    site.deliver_all()
    assert req not in site.answers
    site.promote("db1", ("db1", "db2"))
    site.deliver_all()
    assert site.answers[req].code is Code.UNCONFIRMED
    assert site.instances["db0"].role is Role.PRIMARY


def test_a_write_that_only_the_promoted_instance_holds_is_not_acknowledged():
    site = Site()
    caller = site.connect()
    req = site.send(caller, StatementKind.WRITE)
    site.deliver_all()
    site.promote("db0", ("db0", "db1"))
    site.deliver_all()
    assert site.state.catalogue.group("g").primary == "db0"
    assert req not in site.answers
    site.replicate("db1")
    tick(site, 0.06)
    site.deliver_all()
    assert site.answers[req] is None
