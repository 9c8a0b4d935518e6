"""A daemon that reports to control VMs, over slow links and through elections."""

import pytest

from lovagewalk import catalogue as cat
from lovagewalk.consensus import SendToPeer
from lovagewalk.control import ControlTick, FollowState, PeerLost, PeerMessage
from lovagewalk.control._messages import FollowReply, FollowRequest, ShareGrant
from lovagewalk.core import reduce, replace
from lovagewalk.daemon import SweepTick
from lovagewalk.node import Identity, NodeState

STEP_S = 0.02
CONTROL_VMS = ("c1", "c2", "c3")


class Follower:
    """One entry daemon, and control VMs that answer after a delay."""

    def __init__(self, answer_delay_s):
        self.now = 100.0
        self.leader = "c1"
        self.silent = ""
        self.answer_delay_s = answer_delay_s
        self.wire = []
        self.reports = []
        customers = cat.Catalogue().customers.set(
            "acme", cat.CustomerEntry("acme", "op", 100.0, 100.0)
        )
        self.state = NodeState(
            Identity("e1", "z", "r", b"secret"),
            catalogue=replace(cat.Catalogue(), revision=7, customers=customers),
            follow=FollowState(CONTROL_VMS, "c1", "boot"),
        )

    def run(self, seconds):
        """Advance the clock; return the fraction of the time with a valid lease."""
        valid_steps = steps = 0
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            self._feed(ControlTick(self.now))
            self._feed(SweepTick(self.now))
            for delivery in [item for item in self.wire if item[0] <= self.now]:
                self.wire.remove(delivery)
                self._feed(PeerMessage(self.now, delivery[1], delivery[2]))
            steps += 1
            valid_steps += self.now < self.state.fresh_until
        return valid_steps / steps

    def _feed(self, event):
        step = reduce(self.state, event)
        self.state = step.state
        for effect in step.effects:
            if isinstance(effect, SendToPeer):
                self._answer(effect.peer, effect.message)

    def _answer(self, peer, message):
        if not isinstance(message, FollowRequest):
            return
        self.reports.append((self.now, peer))
        if peer == self.silent:
            return
        is_leader = peer == self.leader
        grants = ()
        if is_leader:
            grants = tuple(
                ShareGrant(report.customer, 50.0, 50.0, 0.0)
                for report in message.shares
            )
        reply = FollowReply(message.seq, self.leader, is_leader, 7, None, grants, 1)
        delay_s = self.answer_delay_s if is_leader else STEP_S
        self.wire.append((self.now + delay_s, peer, reply))


@pytest.mark.parametrize("answer_delay_s", [0.04, 0.45, 0.7, 1.2])
def test_slow_answers_renew_the_lease_and_bring_shares(answer_delay_s):
    """A congested link delays each answer for longer than the period of reports."""
    follower = Follower(answer_delay_s)
    follower.run(4.0)
    assert follower.run(10.0) == 1.0
    assert follower.state.shares["acme"].rate == 50.0


def test_a_lease_counts_from_when_the_answered_report_was_sent():
    follower = Follower(0.7)
    follower.run(0.75)
    first_sent = follower.reports[0][0]
    assert follower.state.fresh_until == pytest.approx(first_sent + 3.0)


def test_a_new_leader_is_found_within_a_second_of_a_lost_answer():
    follower = Follower(0.04)
    follower.run(2.0)
    follower.leader = "c2"
    follower.answer_delay_s = 0.04
    count = len(follower.reports)
    follower.wire.clear()
    follower.run(1.0)
    targets = [peer for _, peer in follower.reports[count:]]
    assert "c2" in targets


def test_a_leader_is_found_soon_after_an_election():
    """There is no leader at first; callers wait until the daemon has a lease."""
    follower = Follower(0.04)
    follower.leader = ""
    follower.run(1.0)
    follower.leader = "c3"
    follower.run(0.5)
    assert follower.now < follower.state.fresh_until


def test_reports_are_limited_while_there_is_no_leader():
    follower = Follower(0.04)
    follower.leader = ""
    follower.run(2.0)
    assert len(follower.reports) <= 2.0 / 0.1 + 1


def test_a_broken_link_sends_the_daemon_to_another_vm_at_once():
    """After a power loss of all VMs, reports under way are never answered."""
    follower = Follower(0.04)
    follower.run(2.0)
    follower.wire.clear()
    follower.leader = "c3"
    count = len(follower.reports)
    follower._feed(PeerLost(follower.now, "c1"))
    follower.run(0.3)
    assert follower.reports[count][1] == "c2"
    assert follower.state.follow.target == "c3"


def test_lost_links_do_not_multiply_reports():
    follower = Follower(0.04)
    follower.leader = ""
    for _ in range(100):
        follower._feed(PeerLost(follower.now, follower.state.follow.target))
        follower.run(0.02)
    assert len(follower.reports) <= 2.0 / 0.1 + 1


@pytest.mark.parametrize("election_s", [0.3, 0.5, 0.7, 0.9, 1.1])
def test_a_new_leader_is_found_soon_while_the_old_one_is_silent(election_s):
    """The old leader's VM is suspended; its links stay open and bring no answer.

    While the others elect a leader, the daemon comes round to the silent VM again.
    """
    follower = Follower(0.04)
    follower.run(2.0)
    follower.silent = "c1"
    follower.leader = ""
    follower.run(election_s)
    follower.leader = "c3"
    elected_at = follower.now
    while follower.state.follow.target != "c3" or (
        follower.state.follow.answered_at < elected_at
    ):
        follower.run(STEP_S)
    assert follower.now - elected_at <= 0.5
