"""Reloaded settings that name other control VMs."""

import pytest

from lovagewalk.consensus import SendToPeer
from lovagewalk.control import ConsensusTick, ControlTick, SeedsChanged
from lovagewalk.control._messages import FollowRequest
from lovagewalk.core import reduce
from lovagewalk.records import SeedsReplaced

from .control_fleet import ControlFleet
from .test_follow import Follower


def _report_targets(follower, seconds):
    """Return the VMs that a daemon reports to while none answers."""
    targets = set()
    for _ in range(round(seconds / 0.05)):
        follower.now += 0.05
        step = reduce(follower.state, ControlTick(follower.now))
        follower.state = step.state
        targets |= {
            effect.peer
            for effect in step.effects
            if isinstance(effect, SendToPeer)
            and isinstance(effect.message, FollowRequest)
        }
    return targets


def test_a_daemon_reports_to_the_control_vms_of_new_settings():
    """All its control VMs are lost, and others joined while it was isolated."""
    follower = Follower(answer_delay_s=1e9)
    assert _report_targets(follower, 8.0) == {"c1", "c2", "c3"}
    step = reduce(follower.state, SeedsChanged(follower.now, ("d1", "d2")))
    follower.state = step.state
    (record,) = step.effects
    assert isinstance(record, SeedsReplaced) and record.after == "d1, d2"
    assert {"d1", "d2"} <= _report_targets(follower, 8.0)


def test_a_joining_control_vm_contacts_the_new_seeds_too():
    fleet = ControlFleet((), ("gone",))
    fleet.add("new")
    fleet.feed("new", SeedsChanged(fleet.now, ("vm1", "vm2")))
    fleet.now += 1.0
    fleet.feed("new", ConsensusTick(fleet.now))
    assert {"vm1", "vm2"} <= {peer for _, peer, _ in fleet.wire}


@pytest.mark.parametrize("seeds", [("c1", "c2", "c3"), ()])
def test_the_same_seeds_or_none_change_nothing(seeds):
    follower = Follower(answer_delay_s=0.02)
    step = reduce(follower.state, SeedsChanged(follower.now, seeds))
    assert step.state is follower.state and not step.effects
