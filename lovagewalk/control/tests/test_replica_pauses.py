"""Pauses of replicas that confirm commits, and orders to resume that come late."""

import pytest

from lovagewalk.control._pauses import LATE_ORDER_LIMIT_S, RESUME_DELAY_S
from lovagewalk.groups import InstanceFailed, ReplicationOrder

from .test_provider import Site

REPLICAS = ("b", "c")


class SyncSite(Site):
    """A group whose commits are confirmed once one replica has received them.

    Attributes
    ----------
    loses_resume : callable
        Whether an order to resume a database gets no answer, by the number of orders so
        far and by whether the database is paused; it is then kept in `late_resumes`.
    confirmed : int
        Log index of the last commit that the first primary has confirmed.
    promoted_with : int or None
        Log index of the first promoted instance when it was promoted.
    """

    def __init__(self, loses_resume=lambda count, paused: False):
        self.loses_resume = loses_resume
        self.late_resumes = []
        self.resumes = []
        self.confirmed = 0
        self.promoted_with = None
        self.pauses_outlast_promotions = False
        super().__init__(sync_replicas=1)

    def _poll(self, name, effect):
        if effect.order is ReplicationOrder.RESUME:
            self.resumes.append(effect.endpoint)
            count = self.resumes.count(effect.endpoint)
            if self.loses_resume(count, self.databases[effect.endpoint].paused):
                self.late_resumes.append(effect.endpoint)
                self.feed(name, InstanceFailed(self.now, effect.endpoint, False, False))
                return
        super()._poll(name, effect)

    def commit(self, group="g"):
        """Commit on the primary; a replica that receives first gets what it missed."""
        if self.promoted_with is not None:
            return
        primary = self.databases["a"]
        primary.received += 1
        for name in REPLICAS:
            replica = self.databases[name]
            if replica.up and not replica.paused:
                replica.received = primary.received
                self.confirmed = primary.received

    def make_primary(self, name):
        if self.promoted_with is None:
            self.promoted_with = self.databases[name].received
        paused = {n: self.databases[n].paused_by for n in REPLICAS if n != name}
        super().make_primary(name)
        if self.pauses_outlast_promotions:
            for other, term in paused.items():
                self.databases[other].paused = bool(term)
                self.databases[other].paused_by = term

    def carry_out_late_resumes(self, target):
        """Carry out the late orders at all replicas but the one being promoted."""
        for name in self.late_resumes:
            if name != target:
                self.databases[name].paused = False
        self.late_resumes.clear()

    def cut_off_primary(self):
        """Cut the primary off from control; it goes on to commit."""
        self.databases["a"].up = False

    def commit_until_promoted(self, seconds=6.0):
        """Commit all the while until the primary is replaced, at most `seconds`."""
        for _ in range(round(seconds / 0.1)):
            if self.group.primary != "a":
                break
            self.report(not self.databases["a"].up)
            self.run(0.1)
            self.commit()
            if self.orders:
                self.carry_out_late_resumes(self.orders[-1].endpoint)


@pytest.fixture
def site():
    return SyncSite()


def test_a_late_order_to_resume_does_not_undo_the_pause_of_a_promotion():
    """Guards against confirmed commits that the promoted instance lacks.

    Each new leader ordered all replicas to resume, although none was paused. Such an
    order has no term; one that was carried out during a promotion let the replica that
    was not promoted confirm commits again.
    """
    site = SyncSite(loses_resume=lambda count, paused: paused or count == 1)
    site.promotion_delay_s = 0.5
    site.run(3.0)
    site.cut_off_primary()
    site.commit_until_promoted()
    assert site.group.primary in REPLICAS
    assert site.promoted_with >= site.confirmed > 100


def test_replicas_that_are_not_paused_are_never_ordered_to_resume(site):
    site.cut_off_primary()
    site.commit_until_promoted()
    site.run(4.0)
    assert site.group.primary in REPLICAS and not site.resumes


def test_commits_go_on_while_a_leaving_primary_is_replaced(site):
    """Guards against a planned switch that stops commits until it is over."""
    site.run(1.5)
    site.send_heartbeat("a", "g", sequence=2, leaving=True)
    before = site.databases["a"].received
    site.commit_until_promoted()
    assert site.group.primary in REPLICAS
    assert site.promoted_with >= site.confirmed > before + 8


def test_a_new_leader_completes_a_promotion_after_the_pause(site):
    """Guards against replicas that stay paused, so that no commit is confirmed.

    The old leader was lost between its survey and its order.
    """
    site.run(1.5)
    for name in REPLICAS:
        site.databases[name].paused, site.databases[name].paused_by = True, 2
    site.isolated = {site.leader().identity.name}
    site.run(5.0)
    assert site.group.term == 2 and not site.resumes
    assert not any(site.databases[name].paused for name in REPLICAS)


def test_a_replica_that_did_not_pause_does_not_end_the_survey(site):
    """Guards against an answer to an order to pause that was not obeyed."""
    site.run(1.5)
    apply_order = site._apply_replication_order

    def ignore_pauses(database, effect):
        if effect.order is not ReplicationOrder.PAUSE:
            apply_order(database, effect)

    site._apply_replication_order = ignore_pauses
    site.cut_off_primary()
    site.commit_until_promoted(2.0)
    assert not site.orders
    site._apply_replication_order = apply_order
    site.commit_until_promoted()
    assert site.promoted_with >= site.confirmed


def test_a_pause_that_outlasts_its_promotion_is_ended(site):
    """Guards against a replica that is lost for confirmations after a promotion."""
    site.pauses_outlast_promotions = True
    site.cut_off_primary()
    site.commit_until_promoted()
    other = next(name for name in REPLICAS if name != site.group.primary)
    assert site.databases[other].paused
    site.run(RESUME_DELAY_S + 3.0)
    assert set(site.resumes) == {other} and not site.databases[other].paused


def test_an_order_to_resume_is_repeated_until_the_replica_receives(site):
    """Guards against a lost order that counted as carried out."""
    site.pauses_outlast_promotions = True
    site.loses_resume = lambda count, paused: True
    site.cut_off_primary()
    site.commit_until_promoted()
    site.run(RESUME_DELAY_S + 5.0)
    assert len(site.resumes) >= 2
    site.loses_resume = lambda count, paused: False
    site.run(3.0)
    assert not any(site.databases[name].paused for name in REPLICAS)
    count = len(site.resumes)
    site.run(3.0)
    assert len(site.resumes) == count


def _lose_a_resume(site):
    """Leave an unanswered order to resume at a replica that receives again."""
    site.pauses_outlast_promotions = True
    site.loses_resume = lambda count, paused: True
    site.cut_off_primary()
    site.commit_until_promoted()
    while not site.resumes:
        site.run(0.1)
    site.pauses_outlast_promotions = False
    site.loses_resume = lambda count, paused: False
    site.databases["a"].up = True
    (other,) = (name for name in REPLICAS if name != site.group.primary)
    site.databases[other].paused = False
    site.run(1.5)
    return other


def test_no_other_replica_is_promoted_while_an_order_to_resume_is_unanswered(site):
    """Guards against a late order to resume of the leader's own."""
    other = _lose_a_resume(site)
    orders = len(site.orders)
    primary = site.databases[site.group.primary]
    primary.up, site.databases["a"].received = False, primary.received + 5
    site.run_with_reports(4.0)
    assert len(site.orders) == orders
    site.run_with_reports(LATE_ORDER_LIMIT_S)
    assert site.group.primary == "a" != other


def test_the_replica_with_an_unanswered_order_to_resume_may_be_promoted(site):
    other = _lose_a_resume(site)
    primary = site.databases[site.group.primary]
    primary.up, site.databases[other].received = False, primary.received + 5
    site.run_with_reports(4.0)
    assert site.group.primary == other
