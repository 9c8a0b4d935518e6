"""The daemon's side of reports: what it reports, when, and to which control VM."""

from immutables import Map

from lovagewalk.consensus import SendPeer, Standing
from lovagewalk.core import Step, replace
from lovagewalk.groups import is_primary_suspect
from lovagewalk.node import NodeState
from lovagewalk.records import LeaseGained, LeaseLost
from lovagewalk.shares import Share, expire, shrink, smooth_demand

from ._accesses import report_accesses
from ._messages import FollowRequest, ShareReport, SuspectNotice, SuspectReport
from ._readiness import MAX_EAGER_CUSTOMERS, is_leaving
from ._state import (
    FOLLOW_PERIOD_S,
    LEADERLESS_RETRY_S,
    LEASE_S,
    MAX_ANSWER_TIMEOUT_S,
    FollowState,
)

# Least time between two urgent reports; callers that arrive within it share one.
URGENT_PERIOD_S = 0.02


def tick(state: NodeState, now: float) -> Step[NodeState]:
    """Send a report if one is due or urgent."""
    step = _record_lease(_expedite_leave(state, now), now)
    step = step.then(report_accesses(step.state, now))
    step = step.then(_notify_suspects(step.state, now))
    if not _is_report_due(step.state, now):
        return step
    return step.then(_send_report(step.state, now))


def _expedite_leave(state: NodeState, now: float) -> NodeState:
    """Make the next report urgent if this daemon takes no operation any more.

    The report hands its shares back.
    """
    if not is_leaving(state, now) or not any(s.burst for s in state.shares.values()):
        return state
    return replace(state, follow=replace(state.follow, is_report_urgent=True))


def _record_lease(state: NodeState, now: float) -> Step[NodeState]:
    """Store and log that the lease was lost or regained."""
    follow: FollowState = state.follow
    holds = now < state.fresh_until
    if holds == follow.holds_lease:
        return Step(state)
    record_type = LeaseGained if holds else LeaseLost
    record = record_type(
        target=follow.target,
        answered_ms_ago=round((now - follow.answered_at) * 1000),
        revision=state.catalogue.revision,
    )
    follow = replace(follow, holds_lease=holds)
    return Step(replace(state, follow=follow), (record,))


def _is_report_due(state: NodeState, now: float) -> bool:
    """Whether to report now.

    Every report waits for the answer to the one before, or for the timeout of that
    answer, since only the answer to the latest report grants shares.
    """
    follow: FollowState = state.follow
    since = now - follow.sent_at
    if follow.answered_seq < follow.seq and since < follow.answer_timeout_s:
        return False
    if since >= FOLLOW_PERIOD_S:
        return True
    if since < URGENT_PERIOD_S:
        return False
    is_leaderless = follow.answered_at < follow.sent_at
    return follow.is_report_urgent or (is_leaderless and since >= LEADERLESS_RETRY_S)


def _notify_suspects(state: NodeState, now: float) -> Step[NodeState]:
    follow: FollowState = state.follow
    suspects = find_suspects(state, now)
    if suspects == follow.suspects:
        return Step(state)
    state = replace(state, follow=replace(follow, suspects=suspects))
    return Step(state, (SendPeer(follow.target, SuspectNotice(suspects)),))


def find_suspects(state: NodeState, now: float) -> tuple[SuspectReport, ...]:
    """Return the primaries that this daemon considers failed."""
    found = []
    for name, view in state.groups.items():
        config = state.catalogue.group(name)
        if is_primary_suspect(view, config, now):
            found.append(SuspectReport(name, config.term))
    return tuple(found)


def _send_report(state: NodeState, now: float) -> Step[NodeState]:
    """Report all shares that are held or may be needed."""
    follow: FollowState = state.follow
    target = _next_target(state)
    leaving = is_leaving(state, now)
    state = replace(state, shares=_prepare_shares(state, leaving, now))
    reported = [s for s in state.shares.values() if _must_report(s)]
    request = FollowRequest(
        boot=follow.boot,
        seq=follow.seq + 1,
        revision=state.catalogue.revision,
        draining=leaving,
        suspects=follow.suspects,
        shares=tuple(_report(share) for share in reported),
        entry=state.me.entry and not leaving,
        observes=state.me.entry,
        has_log=has_log(state),
    )
    cleared = state.shares
    for share in reported:
        if share.returned:
            cleared = cleared.set(share.customer, replace(share, returned=0.0))
    follow = replace(
        follow,
        target=target,
        seq=request.seq,
        sent_at=now,
        last_asked_req=follow.last_asked_req if target == follow.target else 0,
        is_report_urgent=False,
        unanswered=_remove_expired(follow.unanswered, now).set(request.seq, now),
        answer_timeout_s=_answer_timeout_s(follow),
    )
    state = replace(state, shares=cleared, follow=follow)
    return Step(state, (SendPeer(target, request),))


def _remove_expired(unanswered: Map, now: float) -> Map:
    """Return the unanswered reports whose answers could still renew the lease."""
    for seq, sent_at in unanswered.items():
        if now - sent_at >= LEASE_S:
            unanswered = unanswered.delete(seq)
    return unanswered


def _answer_timeout_s(follow: FollowState) -> float:
    """Return how long to wait for the next answer: twice as long after a missed one."""
    if follow.answered_seq == follow.seq:
        return follow.answer_timeout_s
    return min(follow.answer_timeout_s * 2, MAX_ANSWER_TIMEOUT_S)


def _must_report(share: Share) -> bool:
    """Whether a report has to name a share.

    This daemon holds no share of a customer whose bucket the leader keeps whole.
    """
    return share.burst > 0 or share.returned > 0 or not share.on_demand


def _next_target(state: NodeState) -> str:
    """Return the VM to report to; another control VM if the last one did not answer."""
    follow: FollowState = state.follow
    if follow.answered_seq == follow.seq:
        return follow.target
    return target_after(state)


def target_after(state: NodeState) -> str:
    """Return the next control VM by name, out of the settings and the voters."""
    follow: FollowState = state.follow
    voters = {voter.name for voter in state.catalogue.control_voters}
    names = sorted(voters | set(follow.seeds))
    later = [name for name in names if name > follow.target]
    return (later or names)[0]


def _prepare_shares(state: NodeState, leaving: bool, now: float) -> Map:
    """Return the shares as they are to be reported."""
    shares = state.shares
    if state.me.entry and len(state.catalogue.customers) <= MAX_EAGER_CUSTOMERS:
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


def _report(share: Share) -> ShareReport:
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
    return raft is not None and raft.standing is not Standing.OFFLINE
