"""A key that moves between customers, from the control log to every entry daemon."""

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from lovagewalk import catalogue as cat
from lovagewalk.control import PeerMessage
from lovagewalk.control._messages import CatalogueUpdate, FollowReply
from lovagewalk.control._state import LEASE_S
from lovagewalk.core import Code, replace
from lovagewalk.routing import CloseCaller, Phase, RunStatement, StatementKind

from .simulated_site import (
    CONTROL_VMS,
    CUSTOMER,
    ENTRY_DAEMONS,
    KEY,
    KEY_REVOCATION_S,
    SimulatedSite,
    configuration,
)

OTHER, OTHER_KEY = "royalties", "other-digest"
# More than the catalogues for which the leader keeps the difference.
MANY_CHANGES = 70
# Too small to be divided among three daemons.
OWNED_BURST, OWNED_RATE = 3.0, 4.0
EPSILON = 1e-6


class MovedKeySite(SimulatedSite):
    """A site with two customers, which checks for whom each statement runs.

    Parameters
    ----------
    rate, burst : float
        Limits of each customer.
    """

    def __init__(self, rate=1e4, burst=1e4):
        self.rate, self.burst = rate, burst
        self.contacts = {}
        self.refusals = {}
        self.delta_bases = []
        self.holders = {}
        self.unanswered = []
        self.moved_at = {}
        super().__init__()
        self.assign({KEY: CUSTOMER, OTHER_KEY: OTHER})
        self.run(4.0)

    def identify_entry(self, name):
        return replace(super().identify_entry(name), may_own=True)

    def assign(self, holders):
        """Let customers hold these keys, from the next version on."""
        self.version += 1
        base = configuration(self.version)
        customers = tuple(
            cat.CustomerEntry(
                name, "op", self.rate, self.burst, unit=cat.RateUnit.OPERATIONS
            )
            for name in (CUSTOMER, OTHER)
        )
        keys = tuple(cat.KeyEntry(key, who, "") for key, who in holders.items())
        ticket = self.change(replace(base, customers=customers, keys=keys))
        self.run(0.1)
        if ticket not in self.answers:
            self.unanswered.append(holders)
        elif self.answers[ticket].refusal is None:
            self._record_holders(holders)

    def _record_holders(self, holders):
        self.unanswered.clear()
        for key in (KEY, OTHER_KEY):
            if holders.get(key) != self.holders.get(key):
                self.moved_at[key] = self.now
        self.holders = dict(holders)

    def move(self):
        self.assign({KEY: OTHER, OTHER_KEY: OTHER})

    def feed(self, name, event):
        is_processed = name not in self.suspended
        if is_processed and isinstance(event, PeerMessage):
            if event.peer in CONTROL_VMS:
                self.contacts[name] = self.now
            if isinstance(event.message, FollowReply | CatalogueUpdate):
                delta = event.message.delta
                if delta is not None and name in ENTRY_DAEMONS:
                    self.delta_bases.append((name, delta.base))
        super().feed(name, event)

    def _perform(self, name, effect):
        if isinstance(effect, CloseCaller):
            self.refusals[effect.caller] = effect.refusal.code
        if isinstance(effect, RunStatement):
            self._check_customer(name, effect)
        super()._perform(name, effect)

    def _check_customer(self, name, effect):
        state = self.states[name]
        request = state.requests[effect.req]
        key_id = state.sessions[request.caller].key.key_id
        pool = state.pools[state.conn_endpoints[effect.conn]]
        customer = pool.connections[effect.conn].customer
        assert customer == state.catalogue.key(key_id).customer
        assert self.now - self.contacts[name] <= LEASE_S + EPSILON, "after the lease"
        latest = [self.holders, *self.unanswered]
        is_latest = any(customer == holders.get(key_id) for holders in latest)
        moved_s = self.now - self.moved_at[key_id]
        assert is_latest or moved_s <= KEY_REVOCATION_S, "runs with a withdrawn key"

    def customer_of(self, entry, session):
        return self.states[entry].sessions[session].customer

    def write(self, entry, session):
        return self.send_statement(entry, session, "till", StatementKind.WRITE)

    def is_open(self, entry, session):
        state = self.states[entry].sessions.get(session)
        return state is not None and not state.closing


@pytest.fixture
def site():
    return MovedKeySite()


def _isolate(site, name):
    """Cut one daemon's links to all others; databases and callers still reach it."""
    site.isolated = {name}


def test_a_configuration_that_arrives_as_a_snapshot(site):
    """The daemon missed more changes than the leader keeps."""
    session = site.connect("e1", "till")
    site.run(0.1)
    _isolate(site, "e1")
    for _ in range(MANY_CHANGES):
        site.move()
    site.delta_bases.clear()
    site.isolated = set()
    site.run(1.0)
    assert ("e1", 0) in site.delta_bases
    assert site.refusals[session] is Code.KEY_WITHDRAWN
    assert site.customer_of("e1", site.connect("e1", "till")) == OTHER


def test_a_configuration_that_arrives_from_a_new_leader(site):
    """A leader that has just started keeps no earlier catalogue."""
    session = site.connect("e1", "till")
    _isolate(site, "e1")
    site.move()
    site.start(site.leader().identity.name)
    site.run(1.0)
    site.isolated = set()
    site.run(3.0)
    assert not site.is_open("e1", session)
    assert site.customer_of("e1", site.connect("e1", "till")) == OTHER


@pytest.mark.parametrize("down_s", [0.02, 0.5, 4.0])
def test_a_daemon_that_restarts_between_the_two_versions(site, down_s):
    """Its callers come back with the same key before it knows any catalogue."""
    site.connect("e1", "till")
    del site.states["e1"]
    site.move()
    site.run(down_s)
    site.start_entry("e1")
    session = site.connect("e1", "till")
    for _ in range(20):
        site.run(0.05)
        if session in site.states["e1"].sessions:
            site.write("e1", session)
    assert site.customer_of("e1", session) == OTHER


def test_a_restarted_daemon_without_control_serves_nobody(site):
    """It knows no version then, neither the one before nor the one after the move."""
    _isolate(site, "e1")
    site.start_entry("e1")
    site.move()
    session = site.connect("e1", "till")
    site.run(2.0)
    assert site.refusals[session] is Code.CONFIG_STALE


def test_a_change_that_comes_while_a_restarted_daemon_has_no_lease(site):
    """It got the version before the move without a lease, and then the move."""
    site.start_entry("e1")
    site.is_lost = lambda message: isinstance(message, FollowReply)
    session = site.connect("e1", "till")
    site.run(0.3)
    site.move()
    site.is_lost = lambda message: False
    site.run(1.0)
    assert site.customer_of("e1", session) == OTHER


def test_a_caller_that_reconnects_while_the_change_is_distributed(site):
    """A daemon that has not heard of the move serves the customer that it knows.

    It does so until its lease ends. The caller changes daemons to and fro meanwhile.
    """
    _isolate(site, "e1")
    site.move()
    before = site.now
    while site.now < before + KEY_REVOCATION_S + 1.0:
        for entry in ("e1", "e2"):
            session = site.connect(entry, "till")
            if session in site.states[entry].sessions:
                site.write(entry, session)
        site.run(0.1)
    assert site.refusals[site.connect("e1", "till")] is Code.CONFIG_STALE
    assert site.customer_of("e2", site.connect("e2", "till")) == OTHER
    site.isolated = set()
    site.run(1.0)
    assert site.customer_of("e1", site.connect("e1", "till")) == OTHER


def test_a_suspended_daemon_does_not_run_what_arrived_meanwhile(site):
    """Its lease ends while it is suspended, on a clock that goes on."""
    session = site.connect("e1", "till")
    site.suspend("e1")
    site.move()
    site.run(KEY_REVOCATION_S)
    executed = len(site.executions)
    site.resume("e1")
    site.write("e1", session)
    site.run(1.0)
    assert len(site.executions) == executed
    assert not site.is_open("e1", session)


@pytest.fixture
def owned_site():
    """Return a site whose customers' buckets are owned by entry daemons."""
    site = MovedKeySite(OWNED_RATE, OWNED_BURST)
    sessions = [site.connect(e, "till", k) for e in ENTRY_DAEMONS for k in _KEYS]
    for _ in range(30):
        for number, session in enumerate(sessions):
            if number % 3 == 0:
                site.write(ENTRY_DAEMONS[number // 2], session)
        site.run(0.2)
    return site


_KEYS = (KEY, OTHER_KEY)


def _find_owner(site, customer):
    owners = [
        name
        for name in ENTRY_DAEMONS
        if customer in site.states[name].shares
        and site.states[name].shares[customer].is_whole_bucket
    ]
    assert len(owners) == 1
    return owners[0]


def _count_waiting(site, customer):
    return sum(
        request.phase is Phase.TOKENS and request.customer == customer
        for name in ENTRY_DAEMONS
        for request in site.states[name].requests.values()
    )


@pytest.mark.parametrize("at_owner", [True, False])
def test_statements_that_wait_for_the_owner_of_the_former_customers_bucket(
    owned_site, at_owner
):
    site = owned_site
    owner = _find_owner(site, CUSTOMER)
    entry = owner if at_owner else next(e for e in ENTRY_DAEMONS if e != owner)
    sessions = [site.connect(entry, "till") for _ in range(8)]
    for session in sessions:
        site.write(entry, session)
    site.run(0.04)
    assert _count_waiting(site, CUSTOMER)
    site.move()
    site.run(0.5)
    executed = len(site.executions)
    site.run(2.0)
    assert not _count_waiting(site, CUSTOMER)
    assert len(site.executions) == executed
    assert not any(site.is_open(entry, session) for session in sessions)


def test_the_bucket_of_the_new_customer_has_an_owner(owned_site):
    """After the move the key draws from the new customer's bucket, at every daemon."""
    site = owned_site
    owner = _find_owner(site, OTHER)
    site.move()
    site.run(1.0)
    started, before = site.now, len(site.executions)
    while site.now < started + 4.0:
        for entry in ENTRY_DAEMONS:
            site.write(entry, site.connect(entry, "till"))
        site.run(0.1)
    executed = len(site.executions) - before
    allowed = OWNED_RATE * (site.now - started) + OWNED_BURST
    assert 0.8 * OWNED_RATE * 4.0 <= executed <= allowed + EPSILON
    assert _find_owner(site, OTHER) == owner


def test_the_owner_is_cut_off_while_the_key_moves(owned_site):
    """It keeps the former customer's bucket and catalogue until its leases end."""
    site = owned_site
    owner = _find_owner(site, CUSTOMER)
    session = site.connect(owner, "till")
    _isolate(site, owner)
    site.move()
    for _ in range(60):
        site.write(owner, session)
        for entry in ENTRY_DAEMONS:
            site.write(entry, site.connect(entry, "till"))
        site.run(0.1)
    site.isolated = set()
    site.run(1.0)
    assert not site.is_open(owner, session)


class MovedKeyMachine(RuleBasedStateMachine):
    """Keys that move and return while daemons restart, are suspended or cut off."""

    def __init__(self):
        super().__init__()
        self.site = MovedKeySite(30.0, OWNED_BURST)
        self.sessions = {(e, k): None for e in ENTRY_DAEMONS for k in _KEYS}

    @rule(rounds=st.sampled_from((1, 4, 12)))
    def serve(self, rounds):
        for _ in range(rounds):
            for (entry, key), session in self.sessions.items():
                if entry in self.site.suspended:
                    continue
                if not self.site.is_open(entry, session):
                    session = self.site.connect(entry, "till", key)
                    self.sessions[(entry, key)] = session
                self.site.write(entry, session)
            self.site.run(0.1)

    @rule(
        first=st.sampled_from((CUSTOMER, OTHER, "")),
        second=st.sampled_from((CUSTOMER, OTHER, "")),
    )
    def assign(self, first, second):
        if self.site.leader() is not None:
            holders = {KEY: first, OTHER_KEY: second}
            self.site.assign({key: who for key, who in holders.items() if who})

    @rule(name=st.sampled_from(CONTROL_VMS + ENTRY_DAEMONS))
    def isolate(self, name):
        self.site.isolated = {name}

    @rule()
    def restore_links(self):
        self.site.isolated = set()

    @rule(name=st.sampled_from(CONTROL_VMS + ENTRY_DAEMONS))
    def suspend(self, name):
        if len(self.site.suspended) < 2:
            self.site.suspend(name)

    @rule()
    def resume(self):
        for name in list(self.site.suspended):
            self.site.resume(name)

    def teardown(self):
        """Check that both keys serve again once all faults have ended."""
        self.site.isolated = set()
        self.resume()
        self.site.run(5.0)
        self.site.assign({KEY: OTHER, OTHER_KEY: CUSTOMER})
        self.site.run(4.0)
        executed = len(self.site.executions)
        self.serve(5)
        assert len(self.site.executions) > executed

    @rule(name=st.sampled_from(ENTRY_DAEMONS))
    def restart_entry(self, name):
        if name not in self.site.suspended:
            self.site.start_entry(name)

    @rule(name=st.sampled_from(CONTROL_VMS))
    def restart_control(self, name):
        if name not in self.site.suspended:
            self.site.start(name)


TestMovedKeyMachine = MovedKeyMachine.TestCase
TestMovedKeyMachine.settings = settings(
    max_examples=8,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
