"""Suspended and restarted VMs, cut links, late orders and lost answers in any order."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from lovagewalk.routing import StatementKind

from .joined_site import (
    BURST,
    CONTROLS,
    DATABASES,
    ENTRIES,
    RATE,
    REVOKE_S,
    ROUTES,
    JoinedSite,
)

KINDS = (StatementKind.READ, StatementKind.WRITE)
# Time between two statements of a session.
SLICE_S = 0.1
EPSILON = 1e-6


class JoinedMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.site = JoinedSite()
        self.started = self.site.now
        self.sessions = [
            (entry, route, self.site.connect(entry, route))
            for entry in ENTRIES
            for route in ROUTES
        ]

        self.turns = 0

    def _send_all(self):
        """Send the next statement of every session; reconnect sessions that ended."""
        self.turns += 1
        for position, (entry, route, session) in enumerate(self.sessions):
            if session not in self.site.states[entry].sessions:
                session = self.site.connect(entry, route)
                self.sessions[position] = (entry, route, session)
            kind = KINDS[(self.turns + position) % len(KINDS)]
            self.site.send_statement(entry, session, route, kind)

    @rule(slices=st.sampled_from((1, 3, 8, 16)))
    def serve(self, slices):
        for _ in range(slices):
            self._send_all()
            self.site.run(SLICE_S)
            self.site.run_late()

    @rule()
    def rest(self):
        self.site.run(1.5)
        self.site.run_late()

    @rule(name=st.sampled_from(CONTROLS + ENTRIES))
    def freeze(self, name):
        if len(self.site.frozen) < 2:
            self.site.freeze(name)

    @rule()
    def thaw(self):
        for name in list(self.site.frozen):
            self.site.thaw(name)

    @rule(name=st.sampled_from(CONTROLS + ENTRIES))
    def cut(self, name):
        self.site.isolated = {name}

    @rule()
    def heal(self):
        self.site.isolated = set()

    @rule(name=st.sampled_from(ENTRIES))
    def restart_entry(self, name):
        if name not in self.site.frozen:
            self.site.start_entry(name)

    @rule(name=st.sampled_from(CONTROLS))
    def restart_control(self, name):
        if name not in self.site.frozen:
            self.site.start(name)

    @rule()
    def stop_primary(self):
        primary = self.site.newest_primary()
        if all(database.up for database in self.site.databases.values()):
            primary.up = False

    @rule()
    def start_databases(self):
        for database in self.site.databases.values():
            database.up = True

    @rule(how=st.sampled_from(("late", "answers", "no")))
    def lose_answers(self, how):
        primary = self.site.newest_primary().name
        self.site.faults = set() if how == "no" else {(primary, how)}

    @rule(name=st.sampled_from(DATABASES), stalled=st.booleans())
    def stall_replica(self, name, stalled):
        """Stop a replica from receiving, or let it go on."""
        self.site.stalled = {name} if stalled else set()

    @rule(mute=st.booleans())
    def silence_provider(self, mute):
        self.site.provider_unresponsive = mute

    @rule(name=st.sampled_from(DATABASES))
    def promote_late(self, name):
        """The provider carries out an order long after the call was made."""
        named = any(order.endpoint == name for order in self.site.orders[-1:])
        if named and self.site.databases[name].up:
            self.site.make_primary(name)

    @precondition(lambda self: self.turns > 60 and self.site.withdrawn_at is None)
    @rule()
    def withdraw_key(self):
        if self.site.leader() is None:
            return
        ticket = self.site.withdraw_key()
        self.site.run(0.2)
        result = self.site.answers.get(ticket)
        if result is not None and result.refusal is None:
            self.site.withdrawn_at = self.site.now

    @invariant()
    def refused_writes_are_in_no_database(self):
        for database in self.site.databases.values():
            assert not self.site.not_executed & {write for _, write in database.log}

    @invariant()
    def no_write_took_effect_twice(self):
        for database in self.site.databases.values():
            writes = [write for _, write in database.log]
            assert len(writes) == len(set(writes))

    @invariant()
    def a_withdrawn_key_admits_nothing(self):
        if self.site.withdrawn_at is None:
            return
        revoked_at = self.site.withdrawn_at + REVOKE_S
        assert not [sent for at, sent in self.site.executions if at > revoked_at]

    @invariant()
    def rate_and_burst_hold(self):
        if not self.site.executions:
            return
        requests = {
            (sent.entry, sent.session, sent.at) for _, sent in self.site.executions
        }
        elapsed = self.site.now - self.started
        assert len(requests) <= RATE * elapsed + BURST + EPSILON

    @invariant()
    def fences_only_rise(self):
        fences = [order.fence for order in self.site.orders]
        assert fences == sorted(fences)
        targets = {(order.fence, order.endpoint) for order in self.site.orders}
        assert len(targets) == len({fence for fence, _ in targets})

    def teardown(self):
        """Check that every entry daemon serves again once all faults have ended."""
        self.site.faults = set()
        self.site.stalled = set()
        self.site.isolated = set()
        self.site.provider_unresponsive = False
        self.thaw()
        for database in self.site.databases.values():
            database.up = True
        self.site.run(9.0)
        self.site.run_late()
        if self.site.withdrawn_at is not None:
            return
        for entry in ENTRIES:
            session = self.site.connect(entry, "till")
            req = self.site.send_statement(entry, session, "till", StatementKind.WRITE)
            self.site.run(1.0)
            assert self.site.results[(entry, req)] is None


TestJoinedMachine = JoinedMachine.TestCase
TestJoinedMachine.settings = settings(
    max_examples=12,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
