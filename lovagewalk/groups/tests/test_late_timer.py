"""Suspicion of a primary by a daemon whose own loop is late.

Guards against promotions after a short stall of an instance: silence was measured from
the last answer, so a delay of the daemon's own loop added to the stall.
"""

import heapq
import itertools

import pytest

from lovagewalk import catalogue as cat
from lovagewalk.consensus import SendToPeer
from lovagewalk.control import ControlTick, FollowState
from lovagewalk.control._messages import SuspectNotice
from lovagewalk.core import TimerService, reduce
from lovagewalk.core._registry import get_period_s
from lovagewalk.daemon import install_catalogue
from lovagewalk.groups import (
    POLL_PERIOD_S,
    SUSPECT_AFTER_S,
    InstanceSeen,
    InstanceStatus,
    PollInstance,
    PollTick,
    Role,
)
from lovagewalk.node import Identity, NodeState

GROUP, NAMES = "g", ("a", "b", "c")
ANSWER_S = 0.005
STALL_S = 0.2
START = 100.0


class LateTimer(TimerService):
    """A timer whose clock the test sets, and whose events come late at will.

    Attributes
    ----------
    delays : list of tuple of float
        Start and end of each time in which the loop handles nothing.
    jitter_s : float
        Lateness of each periodic event.
    """

    def __init__(self):
        self.time = START
        super().__init__(lambda: self.time)
        self.delays = []
        self.jitter_s = 0.0
        self._queue = []
        self._numbers = itertools.count()

    def call_later(self, delay_s, callback):
        due = self.time + delay_s
        heapq.heappush(self._queue, (due, next(self._numbers), callback))

    def _schedule(self, event_type, subject):
        def fire():
            self._schedule(event_type, subject)
            subject.on_next(event_type(self.now()))

        self.call_later(get_period_s(event_type) + self.jitter_s, fire)

    def run(self, seconds):
        end = self.time + seconds
        while self._queue[0][0] <= end:
            due, _, callback = heapq.heappop(self._queue)
            self.time = max(self.time, due)
            for delay_start, delay_end in self.delays:
                if delay_start <= self.time < delay_end:
                    self.time = delay_end
            callback()
        self.time = max(self.time, end)


class Observer:
    """An entry daemon that polls three instances."""

    def __init__(self):
        self.timer = LateTimer()
        self.suspected_at = None
        self.stalls = {}
        self.unlinked = set()
        self.state = NodeState(
            Identity("e1", "z", "r", b"secret"),
            follow=FollowState(("c1",), "c1", "1"),
        )
        commands = [
            cat.AnnounceEndpoint(cat.Endpoint(name, GROUP, name, 1, "z", "r", 2))
            for name in NAMES
        ]
        voters = tuple(cat.Voter(name, "x") for name in NAMES)
        start = cat.TermStart(1, 0)
        commands.append(cat.AllocateTerm(GROUP, 1))
        commands.append(cat.InstallTerm(GROUP, 1, "a", voters, start))
        catalogue = self.state.catalogue
        for revision, command in enumerate(commands, 1):
            proposal = cat.Proposal("", "test", 0.0, command)
            applied = cat.apply_proposal(catalogue, revision, proposal)
            assert applied.result.refusal is None, applied.result
            catalogue = applied.catalogue
        self._apply(install_catalogue(self.state, catalogue, START))
        for event_type in (ControlTick, PollTick):
            self.timer.subscribe(event_type).subscribe(on_next=self.feed)

    def feed(self, event):
        self._apply(reduce(self.state, event))

    def _apply(self, step):
        self.state = step.state
        for effect in step.effects:
            if isinstance(effect, PollInstance):
                self._poll(effect)
            elif isinstance(effect, SendToPeer):
                self._record_notice(effect.message)

    def _record_notice(self, message):
        if isinstance(message, SuspectNotice) and message.suspects:
            self.suspected_at = self.suspected_at or self.timer.now()

    def _poll(self, effect):
        sent_at = self.timer.now()
        stall_start, stall_end = self.stalls.get(effect.endpoint, (0.0, 0.0))
        wait_s = ANSWER_S
        if stall_start <= sent_at < stall_end:
            wait_s += stall_end - sent_at
        role = Role.PRIMARY if effect.endpoint == "a" else Role.REPLICA
        linked = effect.endpoint not in self.unlinked
        status = InstanceStatus("x", role, 1, 10, 1, linked)
        self.timer.call_later(wait_s, lambda: self._answer(effect, status, sent_at))

    def _answer(self, effect, status, sent_at):
        now = self.timer.now()
        self.feed(InstanceSeen(now, effect.endpoint, status, sent_at, False))

    def stall(self, seconds, names=NAMES):
        """Let instances answer nothing from now on for some time."""
        until = self.timer.now() + seconds
        self.stalls = dict.fromkeys(names, (self.timer.now(), until))

    def delay(self, after_s, seconds):
        start = self.timer.now() + after_s
        self.timer.delays.append((start, start + seconds))


@pytest.fixture
def observer():
    observer = Observer()
    observer.timer.run(1.0)
    assert observer.suspected_at is None
    return observer


@pytest.mark.parametrize("after_s", [number * 0.02 for number in range(16)])
@pytest.mark.parametrize("delay_s", [0.15, 0.25, 0.6])
def test_a_delay_of_the_loop_does_not_add_to_a_stall(observer, after_s, delay_s):
    observer.stall(STALL_S)
    observer.delay(after_s, delay_s)
    observer.timer.run(2.0)
    assert observer.suspected_at is None


def test_several_delays_during_a_stall_cause_no_suspicion(observer):
    observer.stall(STALL_S)
    for number in range(3):
        observer.delay(0.05 + 0.16 * number, 0.15)
    observer.timer.run(2.0)
    assert observer.suspected_at is None


@pytest.mark.parametrize("delay_s", [0.4, 1.0, 5.0])
def test_a_daemon_that_was_suspended_suspects_nobody(observer, delay_s):
    observer.delay(0.02, delay_s)
    observer.timer.run(7.0)
    assert observer.suspected_at is None


@pytest.mark.parametrize("jitter_s", [0.0, 0.01, 0.03])
def test_a_silent_primary_is_suspected_in_time(observer, jitter_s):
    observer.timer.jitter_s = jitter_s
    observer.timer.run(1.0)
    failed_at = observer.timer.now()
    observer.stall(1e6, ("a",))
    observer.timer.run(2.0)
    limit_s = SUSPECT_AFTER_S + 2 * (POLL_PERIOD_S + jitter_s)
    assert observer.suspected_at - failed_at <= limit_s


@pytest.mark.parametrize("after_s", [0.0, 0.1, 0.3])
def test_a_delay_defers_the_suspicion_of_a_silent_primary_by_no_more(observer, after_s):
    failed_at = observer.timer.now()
    observer.stall(1e6, ("a",))
    observer.delay(after_s, 0.5)
    observer.timer.run(3.0)
    limit_s = SUSPECT_AFTER_S + 0.5 + 3 * POLL_PERIOD_S
    assert observer.suspected_at - failed_at <= limit_s


def test_replicas_without_a_link_to_the_primary_are_noticed_after_a_delay(observer):
    observer.delay(0.1, 0.5)
    observer.timer.run(1.0)
    assert observer.suspected_at is None
    observer.unlinked = {"b", "c"}
    observer.timer.run(2.0)
    assert observer.suspected_at is not None
