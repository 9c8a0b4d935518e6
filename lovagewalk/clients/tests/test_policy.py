"""Decisions on the connections of clients, without a network."""

from lovagewalk.clients import (
    ClientConnected,
    ClientGone,
    ClientHeld,
    ClientKind,
    ClientLimits,
    ClientsTick,
    ClientWaiting,
    CloseClient,
    MeasureClients,
    PauseClient,
    ResumeClient,
    create_budget,
)
from lovagewalk.clients._policy import ClosureReason
from lovagewalk.core import Code, Outcome, reduce, replace
from lovagewalk.daemon import SweepTick
from lovagewalk.node import Identity, NodeState
from lovagewalk.records import ClientsClosed, ClientsPaused, ClientsRefused

KIB = 1024
MIB = 1024 * KIB
CALLER = ClientKind.CALLER
LIMITS = ClientLimits(
    pause_bytes=4 * MIB,
    refuse_bytes=6 * MIB,
    close_bytes=8 * MIB,
    callers=4,
    callers_per_source=3,
    operators=2,
    readiness=2,
    peers=2,
)


class Process:
    """A process with clients, whose time a test sets."""

    def __init__(self, limits=LIMITS):
        assert SweepTick is not None, "the daemon registers the reducers"
        identity = Identity("vm1", "z", "r", b"fleet-secret")
        self.state = NodeState(identity, client_budget=create_budget(limits))
        self.now = 100.0
        self.effects = []

    @property
    def budget(self):
        return self.state.client_budget

    def feed(self, event_type, *fields):
        step = reduce(self.state, event_type(self.now, *fields))
        self.state = step.state
        self.effects = list(step.effects)

    def connect(self, client, kind=CALLER, source="10.0.0.1", active=True):
        self.feed(ClientConnected, client, kind, source)
        closed = self.closed()
        if active and client not in closed:
            self.feed(ClientWaiting, client, kind, False)
        return closed

    def hold(self, client, message=0, ahead=0, unread=0, kind=CALLER):
        self.feed(ClientHeld, client, kind, message, ahead, unread)

    def of_type(self, effect_type):
        return [effect for effect in self.effects if isinstance(effect, effect_type)]

    def closed(self):
        return [effect.client for effect in self.of_type(CloseClient)]

    def paused(self):
        return [effect.client for effect in self.of_type(PauseClient)]


def test_nothing_is_decided_below_the_pause_limit():
    """Guards against a limit that well-behaved callers reach."""
    process = Process()
    for client in (1, 2, 3):
        assert process.connect(client) == []
        process.hold(client, message=MIB)
        assert process.effects == []
    for client in (1, 2, 3):
        process.hold(client)
    assert process.budget.held_bytes == 0
    assert len(process.budget.holdings) == 0


def test_those_that_have_held_most_for_longest_are_paused():
    """Guards against pausing the latest caller, or all of them."""
    process = Process()
    for client, message in ((1, 2 * MIB), (2, 1 * MIB), (3, 1 * MIB)):
        process.hold(client, message=message)
        process.now += 1
    process.hold(4, message=512 * KIB)
    assert process.paused() == [1]
    assert [record.connections for record in process.of_type(ClientsPaused)] == [1]


def test_paused_connections_resume_once_the_pressure_is_over():
    """Guards against a connection that is never read again."""
    process = Process()
    process.hold(1, message=3 * MIB)
    process.hold(2, message=2 * MIB)
    assert process.paused() == [1]
    process.hold(2)
    assert process.of_type(ResumeClient) == [ResumeClient(1)]
    assert process.budget.paused == 0


def test_the_pressure_ends_with_the_connection_that_holds():
    """Guards against bytes that stay counted after their connection has ended."""
    process = Process()
    process.connect(1)
    process.connect(2)
    process.hold(1, message=3 * MIB)
    process.hold(2, message=2 * MIB)
    process.feed(ClientGone, 1, CALLER, "10.0.0.1")
    process.feed(ClientGone, 2, CALLER, "10.0.0.1")
    budget = process.budget
    assert (budget.held_bytes, budget.paused) == (0, 0)
    assert len(budget.holdings) == len(budget.waiting) == len(budget.sources) == 0
    assert budget.connections[CALLER] == 0


def test_callers_are_refused_above_the_refuse_limit():
    """Guards against new callers that add to the pressure.

    The few connections of operators, of the load balancer and of daemons are not.
    """
    process = Process()
    for client in (1, 2):
        process.hold(client, message=3 * MIB + KIB)
    assert process.connect(3) == [3]
    refusal = process.of_type(CloseClient)[0].refusal
    assert refusal.code is Code.CLIENT_LIMIT
    assert refusal.code.outcome is Outcome.NOT_RUN
    assert 1.0 <= refusal.retry_after_s <= 2.0
    for client, kind in enumerate(ClientKind, 10):
        if kind is not CALLER:
            assert process.connect(client, kind) == []


def test_retry_times_of_refused_callers_differ():
    """Guards against callers that all return at the same moment."""
    process = Process(replace(LIMITS, callers=1, callers_per_source=1))
    process.connect(1)
    times = set()
    for client in range(2, 12):
        process.connect(client)
        times.add(process.of_type(CloseClient)[0].refusal.retry_after_s)
        process.feed(ClientGone, client, CALLER, "10.0.0.1")
    assert len(times) == 10


def test_those_without_progress_are_closed_above_the_refuse_limit():
    """Guards against closing a caller that makes progress before one that stalls."""
    process = Process()
    process.hold(1, message=3 * MIB)
    process.hold(2, unread=1 * MIB)
    process.now += 3.0
    process.hold(3, message=2 * MIB + KIB)
    assert process.closed() == [1]
    assert process.budget.held_bytes == 3 * MIB + KIB


def test_progress_keeps_a_connection_open():
    """Guards against a large message that is closed although it still arrives."""
    process = Process()
    process.hold(1, message=3 * MIB)
    process.hold(2, message=3 * MIB)
    process.now += 3.0
    process.hold(2, message=3 * MIB + 64 * KIB)
    assert process.closed() == [1]
    process.now += 1.0
    process.hold(3, message=3 * MIB)
    assert process.closed() == []


def test_single_bytes_are_no_progress():
    """Guards against clients that hold much and send a byte from time to time."""
    process = Process()
    process.hold(1, message=3 * MIB)
    process.hold(2, message=3 * MIB)
    process.now += 1.0
    process.hold(1, message=3 * MIB + 1)
    process.hold(2, message=3 * MIB - 1)
    assert process.closed() == []
    process.now += 1.0
    process.hold(1, message=3 * MIB + 2)
    assert process.closed() == [1]


def test_those_with_progress_are_closed_only_above_the_close_limit():
    """Guards against a process that exceeds its memory because all make progress."""
    process = Process()
    for client in (1, 2):
        process.hold(client, message=4 * MIB)
    assert process.closed() == []
    process.hold(3, message=MIB)
    assert len(process.closed()) == 1
    assert process.budget.held_bytes <= LIMITS.close_bytes


def test_a_statement_in_progress_is_interrupted_last():
    """Guards against an unknown outcome where another connection could be closed."""
    process = Process()
    process.hold(1, ahead=4 * MIB)
    process.hold(2, message=3 * MIB)
    process.hold(3, message=2 * MIB)
    assert 1 not in process.closed()


def test_the_total_of_callers_is_limited():
    """Guards against connections that use up the descriptors of the VM."""
    process = Process()
    for client in range(1, 5):
        assert process.connect(client, source=f"10.0.0.{client}") == []
    assert process.connect(5, source="10.0.0.5") == [5]
    process.feed(ClientGone, 5, CALLER, "10.0.0.5")
    process.feed(ClientGone, 1, CALLER, "10.0.0.1")
    assert process.connect(6, source="10.0.0.6") == []


def test_the_callers_of_one_address_are_limited():
    """Guards against one address that takes the connections of all others."""
    process = Process()
    for client in (1, 2, 3):
        assert process.connect(client) == []
    assert process.connect(4) == [4]
    process.feed(ClientGone, 4, CALLER, "10.0.0.1")
    assert process.connect(5, source="10.0.0.2") == []


def test_a_silent_connection_makes_room_for_a_new_one():
    """Guards against a load balancer that is refused because of silent clients."""
    process = Process()
    kind = ClientKind.READINESS
    process.connect(1, kind, active=False)
    process.connect(2, kind, active=False)
    assert process.connect(3, kind) == [3], "none has been silent for long"
    process.feed(ClientGone, 3, kind, "10.0.0.1")
    process.now += 1.0
    assert process.connect(4, kind) == [1]
    process.feed(ClientGone, 1, kind, "10.0.0.1")


def test_a_session_makes_no_room_for_a_new_connection():
    """Guards against closing idle sessions, which are legal."""
    process = Process()
    for client in (1, 2, 3):
        process.connect(client)
    process.now += 1000.0
    assert process.connect(4) == [4]


def test_a_stalled_message_makes_room_for_a_new_connection():
    """Guards against clients that send one byte to keep a listener full."""
    process = Process()
    kind = ClientKind.READINESS
    for client in (1, 2):
        process.connect(client, kind, active=False)
        process.hold(client, message=1, kind=kind)
        process.now += 0.1
    process.now += 3.0
    assert process.connect(3, kind) == [1]


def test_a_connection_that_makes_room_ends_the_pressure():
    """Guards against clients that stay paused although nothing is held any more.

    Found by the state machine: the eviction of a stalled message did not resume others.
    """
    process = Process()
    kind = ClientKind.READINESS
    for client in (1, 2):
        process.connect(client, kind)
        process.hold(client, message=1 * MIB, kind=kind)
    process.now += 3.0
    process.hold(3, message=2 * MIB + KIB)
    process.hold(1, message=2 * MIB, kind=kind)
    assert process.budget.paused > 0
    process.now += 3.0
    process.hold(3, message=1)
    paused_before = process.budget.paused
    assert process.connect(4, kind, active=False) != []
    assert paused_before > 0 and process.budget.paused == 0


def test_a_caller_without_startup_is_closed_in_time():
    """Guards against connections that stay open without a session."""
    process = Process()
    process.connect(1, active=False)
    process.connect(2)
    process.connect(3, ClientKind.OPERATOR, active=False)
    process.now += LIMITS.startup_timeout_s
    process.feed(ClientsTick)
    assert process.closed() == [1], "sessions and HTTP connections may be idle"
    assert process.of_type(CloseClient)[0].reason == ClosureReason.STARTUP.value


def test_a_message_that_has_begun_is_limited_in_time():
    """Guards against a message that never ends, however small it is."""
    process = Process()
    process.connect(1)
    process.hold(1, message=1)
    process.now += LIMITS.message_timeout_s / 2
    process.hold(1, message=40 * KIB)
    process.feed(ClientsTick)
    assert process.closed() == []
    process.now += LIMITS.message_timeout_s / 2
    process.feed(ClientsTick)
    assert process.closed() == [1]


def test_the_time_of_a_message_begins_with_each_message():
    """Guards against a busy caller that is closed after many whole messages."""
    process = Process()
    process.connect(1)
    process.hold(1, message=100 * KIB)
    process.now += LIMITS.message_timeout_s - 1
    process.hold(1, message=50 * KIB)
    process.now += 2
    process.feed(ClientsTick)
    assert process.closed() == []


def test_answers_that_are_read_slowly_are_kept():
    """Guards against discarding an answer that the client still reads."""
    process = Process()
    process.connect(1)
    unread = MIB
    process.hold(1, unread=unread)
    for _ in range(5):
        process.now += LIMITS.unread_timeout_s - 1
        unread -= 1000
        process.hold(1, unread=unread)
        process.feed(ClientsTick)
        assert process.closed() == []
        assert process.of_type(MeasureClients) == [MeasureClients((1,))]
    process.now += LIMITS.unread_timeout_s
    process.feed(ClientsTick)
    assert process.closed() == [1]


def test_closures_are_reported_once_a_tick():
    """Guards against refusals that crowd all other lines out of the log."""
    process = Process()
    for client in range(1, 20):
        process.connect(client)
        assert process.of_type(ClientsRefused) == []
    process.feed(ClientsTick)
    records = process.of_type(ClientsRefused)
    assert [(r.caller, r.kind, r.connections) for r in records] == [(4, "caller", 16)]
    process.feed(ClientsTick)
    assert process.of_type(ClientsRefused) == []


def test_a_closure_is_reported_with_what_was_held():
    """Guards against closures whose cause the log does not tell."""
    process = Process()
    for client in (1, 2, 3):
        process.hold(client, message=3 * MIB)
    process.feed(ClientsTick)
    (record,) = process.of_type(ClientsClosed)
    assert (record.reason, record.connections) == (ClosureReason.MEMORY.value, 1)
    assert record.held_kib == 3 * KIB
