"""Promotions through the provider: target, trigger and fence."""

import pytest

from lovagewalk.control import ControlTick, PeerMessage
from lovagewalk.control._messages import FollowRequest, SuspectReport
from lovagewalk.groups import Role

from .control_fleet import ControlFleet, configuration, is_append_with_entries

VM_NAMES = tuple(f"10.0.0.{number}:7560" for number in range(1, 4))
DATABASES = ("a", "b", "c")


class Site(ControlFleet):
    """Three control VMs, a group of three databases, and daemons that report."""

    def __init__(self, sync_replicas=0):
        super().__init__(VM_NAMES, VM_NAMES)
        self.run(2.0)
        self.change(configuration(1, sync_replicas=sync_replicas))
        self.run(0.2)
        for name in DATABASES:
            self.send_heartbeat(name, "g")
        self.databases["a"].role = Role.PRIMARY
        self.run(1.0)
        self.seq = 0

    @property
    def group(self):
        return self.leader().catalogue.group("g")

    def report(self, suspects=True, daemon="edge"):
        """Send a daemon's report, with or without a suspicion of the primary."""
        self.seq += 1
        suspicions = (SuspectReport("g", self.group.term),) if suspects else ()
        request = FollowRequest("boot", self.seq, 0, False, suspicions, ())
        name = self.leader().identity.name
        self.feed(name, PeerMessage(self.now, daemon, request))
        self.wire = [item for item in self.wire if item[1] != daemon]

    def run_with_reports(self, seconds, suspects=True):
        """Let time pass while a daemon reports whether the primary is up."""
        for _ in range(round(seconds / 0.2)):
            primary = self.databases[self.group.primary]
            self.report(suspects and not primary.up)
            self.run(0.2)


@pytest.fixture
def site():
    return Site()


def test_the_reported_primary_is_installed(site):
    assert (site.group.primary, site.group.term) == ("a", 1)
    assert not site.orders


def test_a_failed_primary_is_replaced_by_the_most_advanced_replica(site):
    site.databases["a"].up = False
    site.databases["b"].received = 90
    site.run_with_reports(3.0)
    assert (site.group.primary, site.group.term) == ("c", 2)
    assert [order.endpoint for order in site.orders] == ["c"]


def test_failed_polls_of_the_leader_alone_promote_nothing(site):
    site.databases["a"].up = False
    site.run_with_reports(3.0, suspects=False)
    assert not site.orders and site.group.primary == "a"


def test_a_leader_that_has_committed_nothing_yet_promotes_nothing(site):
    """Its predecessor may have replaced the primary that it sees fail."""
    first_leader = site.leader().identity.name
    site.databases["a"].up = False
    site.remove(first_leader)
    site.is_lost = is_append_with_entries
    while site.leader() is None:
        site.run(0.1)
    site.run_with_reports(3.0)
    assert not site.leader().control.promotions
    site.is_lost = lambda message: False
    site.run_with_reports(3.0)
    assert site.group.primary != "a"


def test_a_suspicion_of_one_daemon_promotes_nothing(site):
    for _ in range(10):
        site.report(True, "edge-1")
        site.report(False, "edge-2")
        site.report(False, "edge-3")
        site.run(0.2)
    assert not site.orders


def test_suspicions_of_most_daemons_replace_the_primary(site):
    for _ in range(12):
        site.report(True, "edge-1")
        site.report(True, "edge-2")
        site.report(False, "edge-3")
        site.run(0.2)
    assert site.group.primary != "a"


def test_a_leaving_primary_is_replaced_before_it_stops(site):
    site.send_heartbeat("a", "g", sequence=2, leaving=True)
    site.run(2.5)
    assert site.group.primary in ("b", "c")
    assert len(site.orders) == 1


def test_a_leaving_replica_is_not_promoted(site):
    site.send_heartbeat("c", "g", sequence=2, leaving=True)
    site.databases["a"].up = False
    site.run_with_reports(3.0)
    assert site.group.primary == "b"


def test_an_unanswered_order_is_repeated_under_its_fence(site):
    site.provider_unresponsive = True
    site.databases["a"].up = False
    site.run_with_reports(2.4)
    assert len(site.orders) >= 2
    assert len({(o.endpoint, o.fence) for o in site.orders}) == 1


def test_another_target_is_ordered_only_under_a_new_fence(site):
    site.provider_unresponsive = True
    site.databases["a"].up = False
    site.run_with_reports(1.6)
    first_order = site.orders[0]
    site.databases[first_order.endpoint].up = False
    site.provider_unresponsive = False
    site.run_with_reports(4.0)
    later_orders = [
        order for order in site.orders if order.endpoint != first_order.endpoint
    ]
    assert (
        later_orders and min(order.fence for order in later_orders) > first_order.fence
    )
    fences = [order.fence for order in site.orders]
    assert fences == sorted(fences)


def test_a_new_leader_allocates_a_new_fence(site):
    site.provider_unresponsive = True
    site.databases["a"].up = False
    site.run_with_reports(1.6)
    old_order = site.orders[-1]
    site.isolated = {site.leader().identity.name}
    site.run(3.0)
    site.provider_unresponsive = False
    site.run_with_reports(4.0)
    new_order = site.orders[-1]
    assert (
        new_order.lease_holder != old_order.lease_holder
        and new_order.fence > old_order.fence
    )


def test_a_leader_without_a_quorum_orders_nothing(site):
    leader = site.leader().identity.name
    site.databases["a"].up = False
    site.isolated = {leader}
    site.run(1.5)
    site.orders.clear()
    for _ in range(50):
        site.now += 0.05
        site.feed(leader, ControlTick(site.now))
    assert not site.orders


def test_a_late_promotion_is_installed(site):
    """The provider may carry out a call that got no answer seconds later."""
    site.make_primary("b")
    site.run(1.0)
    assert (site.group.primary, site.group.term) == ("b", 2)
    assert not site.orders


@pytest.fixture
def sync_site():
    """Each acknowledged commit is on the primary and at least one replica."""
    return Site(sync_replicas=1)


def test_the_survey_waits_for_a_replica_that_may_hold_a_commit_alone(sync_site):
    """The primary fails while the only replica that may hold a commit is down."""
    sync_site.databases["c"].up = False
    sync_site.databases["b"].received = 90
    sync_site.databases["a"].up = False
    sync_site.run_with_reports(3.0)
    assert not sync_site.orders
    sync_site.databases["c"].up = True
    sync_site.run_with_reports(3.0)
    assert [order.endpoint for order in sync_site.orders] == ["c"]


def test_nothing_is_confirmed_between_the_survey_and_the_order(sync_site):
    """The primary is cut off only from control and still commits."""
    sync_site.databases["a"].up = False
    for _ in range(40):
        sync_site.commit("g")
        sync_site.run_with_reports(0.2)
        if sync_site.orders:
            break
    target = sync_site.databases[sync_site.orders[0].endpoint]
    other = next(sync_site.databases[n] for n in "bc" if n != target.name)
    for _ in range(4):
        assert other.paused and other.received <= target.received
        sync_site.commit("g")
        sync_site.run(0.1)


def test_replicas_receive_again_after_the_promotion(sync_site):
    sync_site.databases["a"].up = False
    sync_site.run_with_reports(4.0)
    assert sync_site.group.primary in ("b", "c")
    assert not any(database.paused for database in sync_site.databases.values())


def test_a_new_leader_resumes_replicas_that_the_old_one_paused(sync_site):
    """The old leader was lost between its survey and its order."""
    sync_site.run(1.0)
    for name in ("b", "c"):
        sync_site.databases[name].paused = True
    sync_site.isolated = {sync_site.leader().identity.name}
    sync_site.run(4.0)
    assert not any(database.paused for database in sync_site.databases.values())


def test_replicas_of_groups_without_sync_replicas_are_never_paused(site):
    site.databases["a"].up = False
    for _ in range(20):
        site.run_with_reports(0.2)
        assert not any(database.paused for database in site.databases.values())


def test_heartbeats_without_changes_write_nothing(site):
    before = site.leader().catalogue.revision
    for sequence in range(2, 6):
        ticket = site.send_heartbeat("b", "g", sequence=sequence)
        assert site.answers[ticket].refusal is None
    site.run(0.2)
    assert site.leader().catalogue.revision == before


def test_an_outdated_heartbeat_does_not_revert_a_leaving_endpoint(site):
    site.send_heartbeat("c", "g", sequence=7, leaving=True)
    site.run(0.2)
    site.send_heartbeat("c", "g", sequence=3, leaving=False)
    site.run(0.2)
    assert site.leader().catalogue.endpoints["c"].leaving
