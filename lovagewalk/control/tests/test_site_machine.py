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

from .simulated_site import (
    BURST,
    CONTROL_VMS,
    DATABASES,
    ENTRY_DAEMONS,
    KEY_REVOCATION_S,
    RATE,
    ROUTES,
    SimulatedSite,
)

KINDS = (StatementKind.READ, StatementKind.WRITE)
# Time between two statements of a session.
ROUND_S = 0.1
EPSILON = 1e-6


class SiteMachine(RuleBasedStateMachine):
    site_type = SimulatedSite

    def __init__(self):
        super().__init__()
        self.site = self.site_type()
        self.started_at = self.site.now
        self.sessions = [
            (entry, route, self.site.connect(entry, route))
            for entry in ENTRY_DAEMONS
            for route in ROUTES
        ]
        self.rounds = 0

    def _send_statements(self):
        """Send the next statement of every session; reconnect sessions that ended."""
        self.rounds += 1
        for number, (entry, route, session) in enumerate(self.sessions):
            if session not in self.site.states[entry].sessions:
                session = self.site.connect(entry, route)
                self.sessions[number] = (entry, route, session)
            kind = KINDS[(self.rounds + number) % len(KINDS)]
            self.site.send_statement(entry, session, route, kind)

    @rule(rounds=st.sampled_from((1, 3, 8, 16)))
    def serve(self, rounds):
        for _ in range(rounds):
            self._send_statements()
            self.site.run(ROUND_S)
            self.site.run_delayed_writes()

    @rule()
    def pass_time(self):
        self.site.run(1.5)
        self.site.run_delayed_writes()

    @rule(name=st.sampled_from(CONTROL_VMS + ENTRY_DAEMONS))
    def suspend(self, name):
        if len(self.site.suspended) < 2:
            self.site.suspend(name)

    @rule()
    def resume(self):
        for name in list(self.site.suspended):
            self.site.resume(name)

    @rule(name=st.sampled_from(CONTROL_VMS + ENTRY_DAEMONS))
    def isolate(self, name):
        self.site.isolated = {name}

    @rule()
    def restore_links(self):
        self.site.isolated = set()

    @rule(name=st.sampled_from(ENTRY_DAEMONS))
    def restart_entry(self, name):
        if name not in self.site.suspended:
            self.site.start_entry(name)

    @rule(name=st.sampled_from(CONTROL_VMS))
    def restart_control(self, name):
        if name not in self.site.suspended:
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

    @rule(fault=st.sampled_from(("late", "answers", "no")))
    def lose_answers(self, fault):
        primary = self.site.newest_primary().name
        self.site.faults = set() if fault == "no" else {(primary, fault)}

    @rule(name=st.sampled_from(DATABASES), stalled=st.booleans())
    def stall_replica(self, name, stalled):
        """Stop a replica from receiving, or let every replica receive."""
        self.site.stalled_replicas = {name} if stalled else set()

    @rule(mute=st.booleans())
    def mute_provider(self, mute):
        self.site.provider_unresponsive = mute

    @rule(name=st.sampled_from(DATABASES))
    def promote_late(self, name):
        """The provider carries out its last order long after the call was made."""
        was_ordered = any(order.endpoint == name for order in self.site.orders[-1:])
        if was_ordered and self.site.databases[name].up:
            self.site.make_primary(name)

    @precondition(lambda self: self.rounds > 60 and self.site.key_withdrawn_at is None)
    @rule()
    def withdraw_key(self):
        if self.site.leader() is None:
            return
        ticket = self.site.withdraw_key()
        self.site.run(0.2)
        result = self.site.answers.get(ticket)
        if result is not None and result.refusal is None:
            self.site.key_withdrawn_at = self.site.now

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
        if self.site.key_withdrawn_at is None:
            return
        revoked_at = self.site.key_withdrawn_at + KEY_REVOCATION_S
        assert not [sent for at, sent in self.site.executions if at > revoked_at]

    @invariant()
    def rate_and_burst_are_not_exceeded(self):
        if not self.site.executions:
            return
        requests = {
            (sent.entry, sent.session, sent.at) for _, sent in self.site.executions
        }
        elapsed_s = self.site.now - self.started_at
        assert len(requests) <= RATE * elapsed_s + BURST + EPSILON

    @invariant()
    def fences_only_rise(self):
        fences = [order.fence for order in self.site.orders]
        assert fences == sorted(fences)
        targets = {(order.fence, order.endpoint) for order in self.site.orders}
        assert len(targets) == len({fence for fence, _ in targets})

    def teardown(self):
        """Check that every entry daemon serves again once all faults have ended."""
        self.site.faults = set()
        self.site.stalled_replicas = set()
        self.site.isolated = set()
        self.site.provider_unresponsive = False
        self.resume()
        for database in self.site.databases.values():
            database.up = True
        self.site.run(9.0)
        self.site.run_delayed_writes()
        if self.site.key_withdrawn_at is not None:
            return
        for entry in ENTRY_DAEMONS:
            session = self.site.connect(entry, "till")
            req = self.site.send_statement(entry, session, "till", StatementKind.WRITE)
            self.site.run(1.0)
            assert self.site.results[(entry, req)] is None


TestSiteMachine = SiteMachine.TestCase
TestSiteMachine.settings = settings(
    max_examples=12,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
