"""Control VMs and entry daemons in two regions, with all reducers and with link delays.

Nothing is served: a request has its outcome once it is admitted or refused.
"""

import heapq
from collections import Counter
from itertools import count

from lovagewalk import catalogue as cat
from lovagewalk.buckets import TokenAnswer, TokenAsk, TokenForward
from lovagewalk.consensus import RaftState, SendToPeer
from lovagewalk.control import (
    ChangeRequested,
    ConsensusTick,
    ControlState,
    ControlTick,
    FollowState,
    PeerMessage,
)
from lovagewalk.core import Code, reduce, replace
from lovagewalk.daemon import SweepTick
from lovagewalk.node import Identity, NodeState
from lovagewalk.records import LogRecord
from lovagewalk.routing import (
    NO_MARKS,
    AnswerCaller,
    CallerConnected,
    Phase,
    StatementArrived,
    StatementKind,
)
from lovagewalk.shares import level_at

CONTROL = {"c1": "north", "c2": "north", "c3": "south"}
STEP_S = 0.02
LOCAL_DELAY_S = 0.001
REGION_DELAY_S = 0.02
EPSILON = 1e-6
OBJECTIVE_S = 1.0
TOKEN_MESSAGES = (TokenAsk, TokenAnswer, TokenForward)


class RegionalFleet:
    """Daemons in the regions "north" and "south", and the messages between them.

    Parameters
    ----------
    counts : mapping of str to int
        Entry daemons by region.
    limits : mapping of str to (float, float)
        Rate and burst of each customer.
    low_bandwidth : bool
        Whether the links of the entry daemons are narrow.

    Attributes
    ----------
    suspended : set of str
        Daemons that do nothing; what is sent to them is delivered when they resume.
    is_cut : callable
        Whether messages between two daemons are lost, by their names.
    waits : dict of int to float
        Time until a request was admitted, by its number, in seconds.
    refused_after : dict of int to float
        Time until it was refused for its customer's rate, in seconds.
    """

    def __init__(self, counts, limits, low_bandwidth=True):
        self.low_bandwidth = low_bandwidth
        self.limits = dict(limits)
        self.regions = dict(CONTROL)
        self.entries = []
        for region, number in counts.items():
            names = [f"{region}{index:03}" for index in range(number)]
            self.entries += names
            self.regions |= dict.fromkeys(names, region)
        self.now = self.next_tick = 1.0
        self.numbers = count(1)
        self.wire = []
        self.kept = []
        self.suspended = set()
        self.is_cut = lambda source, target: False
        self.arrived = {}
        self.waits = {}
        self.refused_after = {}
        self.customer_of = {}
        self.records = []
        self.region_messages = Counter()
        self.limited_since = None
        self.states = {name: self._new_state(name) for name in self.regions}
        self.run(3.0)
        for customer, (rate, burst) in self.limits.items():
            self.change(
                cat.PutCustomer(cat.CustomerEntry(customer, "o", rate, burst), 0)
            )
            self.change(cat.IssueKey(f"k-{customer}", customer, ""))
        route = cat.RouteEntry("r", "o", "g", objective_s=OBJECTIVE_S)
        self.change(cat.PutRoute(route, 0))
        self.limited_since = self.now
        self.run(3.0)

    def _new_state(self, name):
        is_control = name in CONTROL
        identity = Identity(
            name,
            "z",
            self.regions[name],
            b"secret",
            control=is_control,
            entry=not is_control,
            may_own=True,
            low_bandwidth=self.low_bandwidth and not is_control,
        )
        boot = str(next(self.numbers))
        if not is_control:
            follow = FollowState(tuple(CONTROL), "c1", boot)
            return NodeState(identity, follow=follow)
        peers = tuple(other for other in CONTROL if other != name)
        raft = RaftState(
            name,
            f"disk-{name}",
            peers,
            seed=len(boot) + ord(name[-1]),
            bootstrap_members=tuple(CONTROL),
        )
        return NodeState(
            identity,
            consensus=raft,
            control=ControlState(),
            follow=FollowState(tuple(CONTROL), name, boot),
        )

    def feed(self, name, event):
        step = reduce(self.states[name], event)
        self.states[name] = step.state
        for effect in step.effects:
            if isinstance(effect, SendToPeer):
                self._send(name, effect)
            elif isinstance(effect, AnswerCaller) and effect.refusal is not None:
                self._record_refusal(effect)
            elif isinstance(effect, LogRecord):
                self.records.append(effect)
        self._remove_admitted(name)

    def _send(self, name, effect):
        message, target = effect.message, effect.peer
        is_far = self.regions.get(target) != self.regions[name]
        if is_far and isinstance(message, TOKEN_MESSAGES):
            self.region_messages[type(message).__name__] += 1
        delay_s = 0.0 if target == name else LOCAL_DELAY_S
        delay_s = REGION_DELAY_S if is_far else delay_s
        item = (self.now + delay_s, next(self.numbers), name, target, message)
        heapq.heappush(self.wire, item)

    def _record_refusal(self, effect):
        if effect.req in self.arrived and effect.refusal.code is Code.RATE_EXCEEDED:
            arrived_at = self.arrived.pop(effect.req)
            self.refused_after[effect.req] = self.now - arrived_at

    def _remove_admitted(self, name):
        """Record the requests that have passed their rate, and forget them."""
        state = self.states[name]
        for req, request in state.requests.items():
            if request.phase is not Phase.TOKENS:
                self.waits[req] = self.now - self.arrived.pop(req)
                state = replace(
                    state,
                    requests=state.requests.delete(req),
                    sessions=state.sessions.delete(request.caller),
                )
        self.states[name] = state

    def run(self, seconds):
        """Advance the clock, and deliver each message at its time."""
        end = self.now + seconds
        while True:
            self._deliver_until(min(self.next_tick, end))
            if self.next_tick > end:
                self.now = end
                return
            self.now = self.next_tick
            self.next_tick += STEP_S
            for name in self.states:
                if name not in self.suspended:
                    self._tick(name)

    def _tick(self, name):
        if name in CONTROL:
            self.feed(name, ConsensusTick(self.now))
        else:
            self.feed(name, SweepTick(self.now))
        self.feed(name, ControlTick(self.now))

    def _deliver_until(self, end):
        while self.wire and self.wire[0][0] <= end:
            at, _, source, target, message = heapq.heappop(self.wire)
            self.now = max(self.now, at)
            if target not in self.states or self.is_cut(source, target):
                continue
            if target in self.suspended:
                self.kept.append((source, target, message))
                continue
            self.feed(target, PeerMessage(self.now, source, message))

    def resume(self, name):
        """Let a suspended daemon go on, with what was sent to it meanwhile."""
        self.suspended.remove(name)
        due = [item for item in self.kept if item[1] == name]
        self.kept = [item for item in self.kept if item[1] != name]
        for source, target, message in due:
            self.feed(target, PeerMessage(self.now, source, message))

    def change(self, command):
        number = next(self.numbers)
        proposal = cat.Proposal(f"p{number}", "op", 0.0, command)
        self.feed(self.leader(), ChangeRequested(self.now, number, proposal))
        self.run(0.2)

    def leader(self):
        """Return the control VM that leads in the latest term."""
        leaders = [n for n in CONTROL if self.states[n].consensus.is_leader]
        return max(leaders, key=lambda n: self.states[n].consensus.term)

    def send(self, name, customer):
        """Let a caller send one request, and return its number."""
        caller, req = next(self.numbers), next(self.numbers)
        self.arrived[req] = self.now
        self.customer_of[req] = customer
        self.feed(name, CallerConnected(self.now, caller, f"k-{customer}", "r"))
        kind = StatementKind.READ
        statement = StatementArrived(self.now, req, caller, kind, "read", NO_MARKS)
        self.feed(name, statement)
        return req

    def send_evenly(self, names, customer, rate, seconds):
        """Send requests at a rate to daemons in turn, and return their numbers."""
        reqs = []
        for number in range(round(rate * seconds)):
            reqs.append(self.send(names[number % len(names)], customer))
            self.run(1 / rate)
        return reqs

    def in_region(self, region):
        """Return the entry daemons of a region."""
        return [name for name in self.entries if self.regions[name] == region]

    def owners(self, customer):
        """Return the daemons that own a part of a bucket, by region."""
        return {
            self.regions[name]: name
            for name in self.entries
            if (share := self.states[name].shares.get(customer))
            and share.is_whole_bucket
            and share.lease_until > self.now
        }

    def sum_held(self, customer, field_name):
        """Return the sum of what all daemons may use of a customer's limits."""
        shares = (state.shares.get(customer) for state in self.states.values())
        return sum(
            (
                level_at(share, self.now)
                if field_name == "level"
                else getattr(share, field_name)
            )
            for share in shares
            if share is not None and share.lease_until > self.now
        )

    def check_limits(self):
        """Check that no customer can exceed its rate and burst."""
        elapsed_s = self.now - self.limited_since
        admitted = Counter(self.customer_of[req] for req in self.waits)
        for customer, (rate, burst) in self.limits.items():
            assert self.sum_held(customer, "rate") <= rate + EPSILON
            assert self.sum_held(customer, "burst") <= burst + EPSILON
            spendable = admitted[customer] + self.sum_held(customer, "level")
            assert spendable <= rate * elapsed_s + burst + EPSILON
