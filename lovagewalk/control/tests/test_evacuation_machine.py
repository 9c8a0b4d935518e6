"""State machine: evacuations among the faults of a site, with all its reducers."""

from dataclasses import dataclass

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule

from lovagewalk import catalogue as cat
from lovagewalk.control import (
    AnswerRequester,
    ChangeRequested,
    EndpointLeft,
    build_evacuation,
)
from lovagewalk.core import Code
from lovagewalk.pools import OpenConnection
from lovagewalk.routing import RunStatement, StatementKind

from .simulated_site import (
    CONTROL_VMS,
    DATABASES,
    ENTRY_DAEMONS,
    GROUP,
    KEY,
    LoggedDatabase,
    SimulatedSite,
)
from .test_site_machine import SiteMachine

ZONES = ("za", "zb", "zc")
# The zone of each database; the last one joins later.
DATABASE_ZONES = dict(zip((*DATABASES, "d"), (*ZONES, "za"), strict=True))
EVACUATE_S = 5.0
PROMOTION_S = 9.0


@dataclass(frozen=True)
class EvacuationRequest:
    """A request of the operator; `number` is its place among all requests."""

    number: int
    zone: str
    evacuated: bool


class EvacuatedSite(SimulatedSite):
    """A site with a database in each zone, and the requests for evacuations."""

    def __init__(self):
        self.zone_requests = {}
        self.in_force_at = {}
        self.acknowledged = {}
        self.undecided = {}
        self.sequence = 1
        super().__init__()

    def send_heartbeat(self, name, group, sequence=1, leaving=False, up=True):
        return super().send_heartbeat(
            name, group, sequence, leaving, up, DATABASE_ZONES[name]
        )

    def announce(self, name, leaving):
        self.sequence += 1
        self.send_heartbeat(name, GROUP, self.sequence, leaving, self.is_up(name))

    def is_up(self, name):
        return name not in self.databases or self.databases[name].up

    def join(self, name):
        """Let a database join as a replica that receives all that is committed."""
        if name not in self.databases:
            term = self.newest_primary().term
            self.databases[name] = LoggedDatabase(name, GROUP, term=term)
        self.announce(name, False)

    def leave(self, name):
        self.last_number += 1
        event = EndpointLeft(self.now, self.last_number, name)
        self.feed(self.leader().identity.name, event)

    def request(self, zone, evacuated, name):
        """Request an evacuation, or its withdrawal, at a control VM."""
        self.last_number += 1
        number = self.last_number
        self.zone_requests[number] = EvacuationRequest(number, zone, evacuated)
        self.undecided[number] = self.zone_requests[number]
        if not evacuated:
            self.in_force_at.pop(zone, None)
        command = build_evacuation(self.states[name], zone, evacuated)
        proposal = cat.Proposal("", "op", 0.0, command)
        self.feed(name, ChangeRequested(self.now, number, proposal))

    def _perform(self, name, effect):
        if isinstance(effect, AnswerRequester) and effect.ticket in self.zone_requests:
            self._record_evacuation(effect)
        # A daemon that returns from a suspension may open a connection before it hears
        # of the evacuation, but without a lease it sends nothing on it.
        has_lease = self.now < self.states[name].fresh_until
        if isinstance(effect, OpenConnection) and has_lease:
            self._check_endpoint(effect.endpoint)
        if isinstance(effect, RunStatement):
            self._check_endpoint(self.states[name].conn_endpoints[effect.conn])
        super()._perform(name, effect)

    def _record_evacuation(self, effect):
        request = self.zone_requests[effect.ticket]
        refusal = effect.result.refusal
        if refusal is not None:
            assert refusal.code in (
                Code.CONFIG_STALE,
                Code.NOT_LEADER,
                Code.CHANGE_UNKNOWN,
            ), "a request for a known zone is refused for good"
            if refusal.code is not Code.CHANGE_UNKNOWN:
                self.undecided.pop(request.number, None)
            return
        del self.undecided[request.number]
        revision = effect.result.revision
        last_revision, _ = self.acknowledged.get(request.zone, (0, None))
        if revision >= last_revision:
            self.acknowledged[request.zone] = (revision, request)
        is_withdrawn_since = any(
            other.zone == request.zone
            and not other.evacuated
            and other.number > request.number
            for other in self.zone_requests.values()
        )
        if request.evacuated and not is_withdrawn_since:
            self.in_force_at.setdefault(request.zone, self.now)

    def _check_endpoint(self, endpoint):
        at = self.in_force_at.get(DATABASE_ZONES[endpoint])
        assert at is None or self.now - at <= EVACUATE_S, f"sent to {endpoint}"


class EvacuationMachine(SiteMachine):
    site_type = EvacuatedSite

    @rule(
        zone=st.sampled_from(ZONES),
        evacuated=st.sampled_from((True, True, False)),
        name=st.sampled_from(CONTROL_VMS),
    )
    def request(self, zone, evacuated, name):
        if name not in self.site.suspended:
            self.site.request(zone, evacuated, name)
            self.site.run(0.1)

    @rule(name=st.sampled_from(CONTROL_VMS), evacuated=st.booleans())
    def request_everything(self, name, evacuated):
        if name not in self.site.suspended:
            for zone in ZONES:
                self.site.request(zone, evacuated, name)

    @rule()
    def serve_longer(self):
        for _ in range(6):
            self.serve(8)

    @rule(entry=st.sampled_from(("", *ENTRY_DAEMONS)))
    def hold_up_a_move(self, entry):
        """The provider does not answer, and a daemon may learn of it 2 s later."""
        leader = self.site.leader()
        if leader is None or leader.identity.name in self.site.suspended:
            return
        self.site.provider_unresponsive = True
        self.site.isolated = {entry} if entry else set()
        zone = DATABASE_ZONES[self.site.newest_primary().name]
        self.site.request(zone, True, leader.identity.name)
        for _ in range(2):
            self.serve(8)
        self.site.isolated = set()
        self.serve_longer()

    @rule(name=st.sampled_from(DATABASES), leaving=st.booleans())
    def announce(self, name, leaving):
        if self.site.leader() is not None:
            self.site.announce(name, leaving)

    @rule(joins=st.booleans())
    def join_or_leave(self, joins):
        if self.site.leader() is None:
            return
        if joins:
            self.site.join("d")
        elif "d" in self.site.databases and self.site.newest_primary().name != "d":
            self.site.leave("d")

    @rule()
    def lose_power(self):
        """All control VMs lose power, and start from their disks."""
        if not self.site.suspended:
            for name in CONTROL_VMS:
                self.site.start(name)

    @invariant()
    def acknowledged_requests_are_in_force(self):
        """Only a later request that is not decided may have changed a zone since."""
        leader = self.site.leader()
        if leader is None or not leader.control.is_caught_up:
            return
        for zone, (revision, request) in self.site.acknowledged.items():
            if leader.catalogue.revision < revision:
                continue
            possible = {request.evacuated} | {
                other.evacuated
                for other in self.site.undecided.values()
                if other.zone == zone
            }
            assert (zone in leader.catalogue.evacuated_zones) in possible

    def teardown(self):
        """Check the service elsewhere, then after the withdrawal of everything."""
        self._end_faults()
        self._decide(ZONES[0], True)
        for zone in ZONES[1:]:
            self._decide(zone, False)
        self.site.run(PROMOTION_S)
        self._check_service(None)
        for zone in ZONES[1:]:
            self._decide(zone, True)
        self.site.run(EVACUATE_S)
        self._check_service(Code.NO_ENDPOINT)
        for zone in ZONES:
            self._decide(zone, False)
        for state in self.site.states.values():
            assert not state.catalogue.evacuated_zones
        super().teardown()

    def _end_faults(self):
        self.site.faults = set()
        self.site.stalled_replicas = set()
        self.site.isolated = set()
        self.site.provider_unresponsive = False
        self.resume()
        self.start_databases()
        self.site.run(PROMOTION_S)
        for name in DATABASES:
            self.site.announce(name, False)
        self.site.run(PROMOTION_S)
        self.site.run_delayed_writes()
        # A withdrawal of the key that was not decided at once may be in force since.
        key = self.site.leader().catalogue.key(KEY)
        if key is None or key.withdrawn:
            self.site.key_withdrawn_at = self.site.now

    def _decide(self, zone, evacuated):
        """Send a request to the leader, which answers it."""
        self.site.request(zone, evacuated, self.site.leader().identity.name)
        self.site.run(1.0)
        _, last = self.site.acknowledged[zone]
        assert last.evacuated == evacuated

    def _check_service(self, code):
        """Check that a write at each entry daemon runs, or how it is refused."""
        if self.site.key_withdrawn_at is not None:
            return
        for entry in ENTRY_DAEMONS:
            session = self.site.connect(entry, "till")
            req = self.site.send_statement(entry, session, "till", StatementKind.WRITE)
            self.site.run(1.0)
            refusal = self.site.results[(entry, req)]
            assert (refusal.code if refusal else None) is code


TestEvacuationMachine = EvacuationMachine.TestCase
TestEvacuationMachine.settings = settings(
    max_examples=8,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
