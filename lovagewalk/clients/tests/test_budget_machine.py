"""The client budget under any sequence of events."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lovagewalk.clients import (
    ClientConnected,
    ClientGone,
    ClientHeld,
    ClientKind,
    ClientsTick,
    ClientWaiting,
    CloseClient,
    PauseClient,
    ResumeClient,
)
from lovagewalk.clients._policy import get_max_connections

from .test_policy import KIB, LIMITS, MIB, Process

SIZES = st.sampled_from((0, 0, 1, 40 * KIB, 512 * KIB, MIB, 3 * MIB))
PICKS = st.integers(0, 1000)


class BudgetMachine(RuleBasedStateMachine):
    """Clients that connect, hold, progress and leave, and adapters that obey."""

    def __init__(self):
        super().__init__()
        self.process = Process()
        self.open = {}
        self.shut = set()
        self.paused = set()
        self.last_client = 0
        # Callers may hold before a rule connects any others.
        for address in range(1, 5):
            self.connect(ClientKind.CALLER, address)

    def _feed(self, event_type, *fields):
        self.process.feed(event_type, *fields)
        for effect in self.process.effects:
            if isinstance(effect, CloseClient):
                assert effect.client in self.open and effect.client not in self.shut
                self.shut.add(effect.client)
                self.paused.discard(effect.client)
            elif isinstance(effect, PauseClient):
                assert effect.client not in self.paused | self.shut
                self.paused.add(effect.client)
            elif isinstance(effect, ResumeClient):
                assert effect.client in self.paused
                self.paused.discard(effect.client)

    def _pick(self, pick, clients):
        clients = sorted(clients)
        return clients[pick % len(clients)] if clients else None

    def connect(self, kind, address):
        self.last_client += 1
        source = f"10.0.0.{address}"
        self.open[self.last_client] = (kind, source)
        self._feed(ClientConnected, self.last_client, kind, source)

    @rule(kind=st.sampled_from(ClientKind), address=st.integers(1, 3))
    def connect_another(self, kind, address):
        self.connect(kind, address)

    @rule(pick=PICKS, waiting=st.booleans())
    def change_waiting(self, pick, waiting):
        client = self._pick(pick, self.open.keys() - self.shut)
        if client is not None:
            self._feed(ClientWaiting, client, self.open[client][0], waiting)

    @rule(pick=PICKS, message=SIZES, ahead=SIZES, unread=SIZES)
    def hold(self, pick, message, ahead, unread):
        client = self._pick(pick, self.open.keys() - self.shut)
        if client is not None:
            kind = self.open[client][0]
            self._feed(ClientHeld, client, kind, message, ahead, unread)

    @rule(pick=PICKS)
    def leave(self, pick):
        client = self._pick(pick, self.open)
        if client is not None:
            self.paused.discard(client)
            self.shut.discard(client)
            self._feed(ClientGone, client, *self.open.pop(client))

    @rule(seconds=st.floats(0.0, 40.0))
    def wait(self, seconds):
        self.process.now += seconds
        self._feed(ClientsTick)

    @invariant()
    def the_memory_is_bounded(self):
        assert self.process.budget.held_bytes <= LIMITS.close_bytes

    @invariant()
    def the_connections_are_bounded(self):
        for kind in ClientKind:
            admitted = [
                client
                for client, (other, _) in self.open.items()
                if other is kind and client not in self.shut
            ]
            assert len(admitted) <= get_max_connections(LIMITS, kind)

    @invariant()
    def the_sums_are_those_of_the_connections(self):
        budget = self.process.budget
        totals = [held.total for held in budget.holdings.values()]
        assert budget.held_bytes == sum(totals)
        assert budget.paused == len(self.paused)
        assert sum(budget.connections.values()) == len(self.open)
        known = self.open.keys() - self.shut
        assert set(budget.holdings.keys()) <= known
        assert set(budget.waiting.keys()) <= known

    @invariant()
    def nothing_stays_paused_without_pressure(self):
        if self.process.budget.held_bytes <= LIMITS.pause_bytes / 2:
            assert not self.paused


BudgetMachine.TestCase.settings = settings(max_examples=100, deadline=None)
TestBudget = BudgetMachine.TestCase
