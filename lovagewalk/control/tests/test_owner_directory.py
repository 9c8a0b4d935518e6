"""Customers that are seldom served, while all control VMs are lost.

A daemon learned who owns a bucket only when it first asked for a token. Once control
was lost, it refused the customers that it had not served before, and customers without
an owner were refused everywhere.
"""

from lovagewalk.buckets import BucketOwner
from lovagewalk.control import ControlState
from lovagewalk.control._messages import FollowReply
from lovagewalk.control._owner_directory import MAX_OFFERS, learn_owners
from lovagewalk.control._state import LEASE_S
from lovagewalk.core import replace

from .regional_fleet import CONTROL, RegionalFleet

COUNTS = {"north": 3, "south": 3}
CUSTOMERS = {f"c{number}": (20.0, 5.0) for number in range(MAX_OFFERS)}
# Election, first reports, and two periods in which all buckets are offered.
SETTLE_S = 4.0
# Shorter than the owners' leases by the time between two reports and a request.
AFTER_LOSS_S = LEASE_S - 1.0


def _start(low_bandwidth=True):
    """Return a fleet that nobody has sent anything to."""
    fleet = RegionalFleet(COUNTS, CUSTOMERS, low_bandwidth)
    fleet.run(SETTLE_S)
    return fleet


def _lose_control(fleet):
    fleet.suspended |= set(CONTROL)
    fleet.run(AFTER_LOSS_S)


def test_first_requests_are_admitted_while_control_is_lost():
    """Guards against refusals of customers that a daemon has not served before."""
    fleet = _start()
    _lose_control(fleet)
    reqs = [
        fleet.send(name, customer)
        for name, customer in zip(fleet.entries * 3, CUSTOMERS, strict=False)
    ]
    fleet.run(0.5)
    assert all(req in fleet.waits for req in reqs)
    fleet.check_limits()


def test_a_daemon_is_told_only_what_has_changed():
    """Guards against long answers over narrow links."""
    fleet = _start()
    revisions = {fleet.states[n].follow.owners_revision for n in fleet.entries}
    fleet.run(2.0)
    assert {fleet.states[n].follow.owners_revision for n in fleet.entries} == revisions


def test_a_new_leader_names_the_owners_again():
    """Guards against owners that stay unknown after an election."""
    fleet = _start()
    fleet.suspended.add(fleet.leader())
    fleet.run(SETTLE_S + LEASE_S)
    control: ControlState = fleet.states[fleet.leader()].control
    assert set(control.owner_list.owners) == set(CUSTOMERS)
    for name in fleet.entries:
        shares = fleet.states[name].shares
        assert all(
            shares[customer].owner or shares[customer].burst for customer in CUSTOMERS
        )
    fleet.check_limits()


def test_nothing_is_offered_ahead_on_wide_links():
    """Guards against a change on deployments that do not ask for one."""
    fleet = _start(low_bandwidth=False)
    assert not fleet.states[fleet.leader()].control.owners


def test_a_bucket_whose_owners_are_lost_is_offered_without_a_request():
    """Guards against customers that nobody owns since nobody has asked for them.

    A new leader kept counting what the lost daemons might hold.
    """
    fleet = _start()
    lost = set(fleet.owners("c0").values())
    fleet.suspended |= {fleet.leader(), *lost}
    fleet.run(SETTLE_S + 2 * LEASE_S)
    assert set(fleet.owners("c0").values()).isdisjoint(lost)
    assert fleet.owners("c0")


def test_owners_that_are_named_while_requests_wait_are_named_again():
    """Guards against a daemon that is not told of an owner any more."""
    fleet = _start()
    name = fleet.entries[0]
    state = fleet.states[name]
    share = replace(state.shares["c0"], owner="", waiting=(1,))
    follow = replace(state.follow, owners_revision=1)
    state = replace(state, follow=follow, shares=state.shares.set("c0", share))
    named = (BucketOwner("c0", "another"),)
    reply = FollowReply(1, "", True, 1, None, (), owners=named, owners_revision=7)
    assert learn_owners(state, reply, fleet.now).follow.owners_revision == 1
