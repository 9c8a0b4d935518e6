"""The daemon's side of reports: what it reports, when, and to which control VM."""

from immutables import Map

from lovagewalk.consensus import RaftRole, RaftState, SendToPeer
from lovagewalk.core import Step, replace
from lovagewalk.groups import is_primary_suspect
from lovagewalk.node import NodeState
from lovagewalk.records import LeaseGained, LeaseLost
from lovagewalk.shares import (
    Share,
    expire,
    forget_requested,
    shrink,
    smooth_demand,
)

from ._accesses import report_accesses
from ._catalogue_reads import answer_reads, has_unconfirmed_reads
from ._messages import FollowRequest, ShareReport, SuspectNotice, SuspectReport
from ._readiness import MAX_EAGER_CUSTOMERS, is_leaving
from ._state import (
    FOLLOW_PERIOD_S,
    LEADERLESS_RETRY_S,
    LEASE_S,
    MAX_ANSWER_TIMEOUT_S,
    PROBE_TIMEOUT_S,
    FollowState,
)

# Urgent reports are at least this far apart; callers that arrive within it share one.
URGENT_PERIOD_S = 0.02


def tick(state: NodeState, now: float) -> Step[NodeState]:
    """Send a report if one is due or urgent."""
    state = _follow_elected_leader(_expedite_final_report(state, now))
    step = _record_lease_change(state, now)
    step = step.then(report_accesses(step.state, now))
    step = step.then(_notify_suspects(step.state, now))
    step = step.then(answer_reads(step.state, now))
    if not _is_report_due(step.state, now):
        return step
    return step.then(_send_report(step.state, now))


def _expedite_final_report(state: NodeState, now: float) -> NodeState:
    """Make the next report urgent if this daemon accepts no operations any more.

    That report returns its shares.
    """
    if not is_leaving(state, now) or not any(s.burst for s in state.shares.values()):
        return state
    return replace(state, follow=replace(state.follow, is_report_urgent=True))


def _follow_elected_leader(state: NodeState) -> NodeState:
    """Report to the leader that this control VM knows if the target does not answer."""
    follow: FollowState = state.follow
    raft: RaftState = state.consensus
    if not has_log(state) or raft.leader in ("", follow.target):
        return state
    if follow.answered_at >= follow.sent_at:
        return state
    follow = replace(
        follow,
        target=raft.leader,
        known_leader=raft.leader,
        answered_seq=follow.seq,
        is_report_urgent=True,
    )
    return replace(state, follow=follow, shares=forget_requested(state.shares))


def _record_lease_change(state: NodeState, now: float) -> Step[NodeState]:
    """Record and log that the lease was gained or lost."""
    follow: FollowState = state.follow
    holds_lease = now < state.fresh_until
    if holds_lease == follow.holds_lease:
        return Step(state)
    record_type = LeaseGained if holds_lease else LeaseLost
    record = record_type(
        target=follow.target,
        answered_ms_ago=round((now - follow.answered_at) * 1000),
        revision=state.catalogue.revision,
    )
    follow = replace(follow, holds_lease=holds_lease)
    return Step(replace(state, follow=follow), (record,))


def _is_report_due(state: NodeState, now: float) -> bool:
    """Whether to send a report now.

    A report waits until the previous one is answered or has timed out, since only the
    answer to the latest report grants shares.
    """
    follow: FollowState = state.follow
    elapsed_s = now - follow.sent_at
    if follow.answered_seq < follow.seq and elapsed_s < _current_timeout_s(follow):
        return False
    if elapsed_s >= FOLLOW_PERIOD_S or follow.answered_seq < follow.seq:
        return True
    if elapsed_s < URGENT_PERIOD_S:
        return False
    is_leaderless = follow.answered_at < follow.sent_at
    if is_leaderless and elapsed_s >= LEADERLESS_RETRY_S:
        return True
    return follow.is_report_urgent or has_unconfirmed_reads(follow)


def _notify_suspects(state: NodeState, now: float) -> Step[NodeState]:
    """Send changed suspicions without waiting for the next report."""
    follow: FollowState = state.follow
    suspects = find_suspects(state, now)
    if suspects == follow.suspects:
        return Step(state)
    state = replace(state, follow=replace(follow, suspects=suspects))
    return Step(state, (SendToPeer(follow.target, SuspectNotice(suspects)),))


def find_suspects(state: NodeState, now: float) -> tuple[SuspectReport, ...]:
    """Return the primaries that this daemon considers failed."""
    suspects = []
    for name, view in state.groups.items():
        config = state.catalogue.group(name)
        if is_primary_suspect(view, config, now):
            suspects.append(SuspectReport(name, config.term))
    return tuple(suspects)


def _send_report(state: NodeState, now: float) -> Step[NodeState]:
    """Report all shares that are held or may be needed."""
    follow: FollowState = state.follow
    target = _choose_target(state)
    leaving = is_leaving(state, now)
    state = replace(state, shares=_prepare_shares(state, leaving, now))
    reported_shares = [s for s in state.shares.values() if _must_report(s)]
    request = FollowRequest(
        boot=follow.boot,
        seq=follow.seq + 1,
        revision=state.catalogue.revision,
        draining=leaving,
        suspects=follow.suspects,
        shares=tuple(_share_report(share) for share in reported_shares),
        entry=state.identity.entry and not leaving,
        observes=state.identity.entry,
        has_log=has_log(state),
        region=state.identity.region,
        may_own=state.identity.may_own,
        low_bandwidth=state.identity.low_bandwidth,
        owners_revision=follow.owners_revision,
    )
    shares = state.shares if target == follow.target else forget_requested(state.shares)
    for share in reported_shares:
        share = shares[share.customer]
        if share.returned:
            shares = shares.set(share.customer, replace(share, returned=0.0))
    follow = replace(
        follow,
        target=target,
        seq=request.seq,
        sent_at=now,
        is_report_urgent=False,
        unanswered=_remove_expired(follow.unanswered, now).set(request.seq, now),
        answer_timeout_s=_answer_timeout_s(follow),
        known_leader=(follow.known_leader if follow.answered_seq == follow.seq else ""),
    )
    state = replace(state, shares=shares, follow=follow)
    return Step(state, (SendToPeer(target, request),))


def _remove_expired(unanswered: Map, now: float) -> Map:
    """Return the unanswered reports whose answers could still renew the lease."""
    for seq, sent_at in unanswered.items():
        if now - sent_at >= LEASE_S:
            unanswered = unanswered.delete(seq)
    return unanswered


def _current_timeout_s(follow: FollowState) -> float:
    """Return how long to wait for the answer to the latest report."""
    if follow.target == follow.known_leader:
        return follow.answer_timeout_s
    return min(follow.answer_timeout_s, PROBE_TIMEOUT_S)


def _answer_timeout_s(follow: FollowState) -> float:
    """Return how long to wait for the leader: twice as long after a missed answer."""
    if follow.answered_seq == follow.seq or follow.target != follow.known_leader:
        return follow.answer_timeout_s
    return min(follow.answer_timeout_s * 2, MAX_ANSWER_TIMEOUT_S)


def _must_report(share: Share) -> bool:
    """Whether a report has to name a share.

    A share is left out if the leader keeps the customer's whole bucket and the daemon
    holds and returns nothing of it.
    """
    return share.burst > 0 or share.returned > 0 or not share.on_demand


def _choose_target(state: NodeState) -> str:
    """Return the VM to report to: the next one if the last report was not answered."""
    follow: FollowState = state.follow
    if follow.answered_seq == follow.seq:
        return follow.target
    return next_control_vm(state)


def next_control_vm(state: NodeState) -> str:
    """Return the control VM after the target by name, among settings and voters."""
    follow: FollowState = state.follow
    voters = {voter.name for voter in state.catalogue.control_voters}
    names = sorted(voters | set(follow.seeds))
    later_names = [name for name in names if name > follow.target]
    return (later_names or names)[0]


def _prepare_shares(state: NodeState, leaving: bool, now: float) -> Map:
    """Return the shares to report; a leaving daemon returns all that it holds."""
    shares = state.shares
    if state.identity.entry and len(state.catalogue.customers) <= MAX_EAGER_CUSTOMERS:
        for customer in state.catalogue.customers:
            if customer not in shares:
                shares = shares.set(customer, Share(customer, updated_at=now))
    for customer, share in shares.items():
        elapsed_s = now - share.reported_at
        if elapsed_s >= FOLLOW_PERIOD_S:
            share = smooth_demand(share, elapsed_s)
            share = replace(share, reported_at=now)
        share = expire(share, now)
        if leaving:
            share = shrink(share, 0.0, 0.0, now)
        shares = shares.set(customer, share)
    return shares


def _share_report(share: Share) -> ShareReport:
    return ShareReport(
        customer=share.customer,
        rate=share.rate,
        burst=share.burst,
        returned=share.returned,
        demand=share.demand,
        waiting=len(share.waiting),
    )


def has_log(state: NodeState) -> bool:
    """Whether this daemon takes the catalogue from its own consensus log."""
    raft = state.consensus
    return raft is not None and raft.role is not RaftRole.OFFLINE
