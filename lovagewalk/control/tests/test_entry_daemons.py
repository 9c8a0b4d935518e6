"""The number of entry daemons that a leader states, right after its election."""

import pytest

from lovagewalk import catalogue as cat
from lovagewalk.consensus import RaftRole, RaftState
from lovagewalk.control import ControlState
from lovagewalk.control._ledger import count_entry_daemons, is_on_demand
from lovagewalk.control._messages import FollowRequest
from lovagewalk.control._state import FOLLOWER_LOST_S, Follower
from lovagewalk.core import replace
from lovagewalk.node import Identity, NodeState

FLEET_SIZE = 84
ELECTED_AT = 100.0


def _leader(reported):
    """Return the state of a new leader to which some of the fleet have reported."""
    followers = ControlState().followers
    for number in range(reported):
        request = FollowRequest(str(number), 1, 1, False, (), ())
        follower = Follower(f"e{number}", 1, ELECTED_AT, request)
        followers = followers.set(follower.name, follower)
    raft = RaftState("c1", "disk", (), seed=1, elected_at=ELECTED_AT)
    return NodeState(
        Identity("c1", "z", "r", b"secret", control=True, entry=False),
        consensus=replace(raft, role=RaftRole.LEADER),
        control=ControlState(followers=followers),
        entry_daemons=FLEET_SIZE,
    )


@pytest.mark.parametrize("reported", [0, 1, 40, FLEET_SIZE])
def test_a_new_leader_counts_daemons_that_have_not_reported_yet(reported):
    """The first few were told to share all connections of an endpoint among them."""
    state = _leader(reported)
    count = count_entry_daemons(state, state.control, ELECTED_AT + 0.1)
    assert count == FLEET_SIZE


def test_a_new_leader_divides_no_small_burst_among_the_first_daemons():
    """The burst had to be collected again from them once the others had reported."""
    state = _leader(reported=2)
    entry = cat.CustomerEntry("kiosk", "op", 10.0, 10.0)
    count = count_entry_daemons(state, state.control, ELECTED_AT + 0.1)
    assert is_on_demand(entry, count)


def test_a_leader_counts_those_that_report_once_all_had_the_time_to():
    state = _leader(reported=40)
    now = ELECTED_AT + FOLLOWER_LOST_S
    followers = state.control.followers
    for name, follower in followers.items():
        followers = followers.set(name, replace(follower, seen_at=now))
    control = replace(state.control, followers=followers)
    assert count_entry_daemons(state, control, now) == 40
