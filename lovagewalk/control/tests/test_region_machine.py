"""Parts of undivided buckets, over links that lose, duplicate and reorder messages.

Checked beside the invariants of all shares: the tokens that daemons hold and those that
have been spent never exceed the customer's rate and burst together, and once messages
arrive again, no request of a customer within its rate waits or is refused.
"""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule

from lovagewalk.core import replace
from lovagewalk.routing import Phase
from lovagewalk.shares import level_at

from .test_bucket_owners import OwnerMachine
from .test_fleet_machine import CUSTOMER, EPSILON, NAMES, RATE

# Too small for three daemons, and large enough for two regions.
REGION_BURST = 5.0
REGIONS = {"vm1": "north", "vm2": "south", "vm3": "south"}


class RegionMachine(OwnerMachine):
    """The machine of owners, with daemons in two regions with narrow links."""

    burst = REGION_BURST
    low_bandwidth = True
    regions = REGIONS

    def __init__(self):
        super().__init__()
        self.send_steadily(NAMES, 3.0)
        shares = (state.shares[CUSTOMER] for state in self.fleet.states.values())
        assert sum(share.is_whole_bucket for share in shares) == 2

    @rule(
        names=st.sampled_from((NAMES, ("vm1",), ("vm2", "vm3"))),
        seconds=st.sampled_from((0.5, 1.0)),
    )
    def send_steadily(self, names, seconds):
        """Send at the customer's rate, so that regions have demand and get parts."""
        for number in range(round(RATE * seconds)):
            self.fleet.send_request(names[number % len(names)])
            self.fleet.run(1 / RATE)
        self._forget_admitted()

    def _forget_admitted(self):
        """Remove the requests that wait for an endpoint, of which there is none."""
        for name, state in self.fleet.states.items():
            for req, request in state.requests.items():
                if request.phase is not Phase.TOKENS:
                    state = replace(
                        state,
                        requests=state.requests.delete(req),
                        sessions=state.sessions.delete(request.caller),
                    )
            self.fleet.states[name] = state

    @rule(name=st.sampled_from(NAMES), seconds=st.sampled_from((0.2, 1.0, 2.5)))
    def suspend(self, name, seconds):
        """A VM is suspended; what was sent to it is delivered when it resumes."""
        fleet = self.fleet
        fleet.is_held = lambda source, target: target == name
        self._run_without(name, seconds)
        fleet.is_held = lambda source, target: False
        fleet.wire = fleet.held + fleet.wire
        fleet.held = []

    @rule(name=st.sampled_from(NAMES), seconds=st.sampled_from((0.2, 1.0, 2.5)))
    def cut_from_leader_only(self, name, seconds):
        """A daemon reaches the other owner, but not the control leader."""
        fleet = self.fleet
        leaders = {n for n in NAMES if fleet.states[n].consensus.is_leader} - {name}
        fleet.is_held = lambda source, target: (
            name in (source, target) and bool(leaders & {source, target})
        )
        fleet.run(seconds)
        fleet.is_held = lambda source, target: False
        fleet.held = []

    def _run_without(self, name, seconds):
        fleet = self.fleet
        end = fleet.now + seconds
        while fleet.now < end:
            fleet.now += 0.02
            for other in NAMES:
                if other != name:
                    fleet.tick(other)
            fleet.deliver_all()

    @invariant()
    def tokens_held_and_spent_stay_within_rate_and_burst(self):
        fleet = self.fleet
        held = sum(
            level_at(share, fleet.now)
            for state in fleet.states.values()
            for share in state.shares.values()
            if share.lease_until > fleet.now
        )
        elapsed_s = fleet.now - fleet.limited_since
        allowed = RATE * elapsed_s + self.burst
        assert held + len(fleet.admitted) <= allowed + EPSILON

    @invariant()
    def no_request_waits_for_ever(self):
        """A request is refused at its deadline, 1.2 s after its arrival, or before."""
        for state in self.fleet.states.values():
            for req in state.shares[CUSTOMER].waiting if state.shares else ():
                assert req in state.requests

    def teardown(self):
        super().teardown()
        fleet = self.fleet
        serving = [name for name in NAMES if not fleet.states[name].draining]
        if not serving:
            return
        fleet.run(4.0)
        for number in range(30):
            fleet.send_request(serving[number % len(serving)])
            fleet.run(2 / RATE)
        before = len(fleet.admitted)
        for number in range(20):
            fleet.send_request(serving[number % len(serving)])
            fleet.run(2 / RATE)
        fleet.run(0.4)
        assert len(fleet.admitted) - before >= 20


TestRegionMachine = RegionMachine.TestCase
TestRegionMachine.settings = settings(
    max_examples=15,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
