"""The daemon's side of following: reports out; catalogue, leases, shares in."""

from immutables import Map

from lovagewalk.catalogue import (
    AccessCount,
    CatalogueDelta,
    Proposal,
    RecordAccess,
    apply_delta,
)
from lovagewalk.consensus import SendPeer, Standing
from lovagewalk.core import Effect, Step, replace
from lovagewalk.daemon._changes import install_catalogue, resize_pools
from lovagewalk.groups import add_proof, is_primary_suspect, view_of
from lovagewalk.node import NodeState
from lovagewalk.records import LeaseGained, LeaseLost
from lovagewalk.routing import _sweep
from lovagewalk.shares import Share, expire, grow, shrink, smooth_demand

from ._messages import (
    CatalogueUpdate,
    FollowReply,
    FollowRequest,
    ForwardProposal,
    ShareGrant,
    ShareRecall,
    ShareReport,
    SuspectNotice,
    SuspectReport,
)
from ._readiness import MAX_EAGER_CUSTOMERS, holds_shares, is_leaving
from ._state import (
    FOLLOW_PERIOD_S,
    LEADERLESS_RETRY_S,
    LEASE_S,
    MAX_PATIENCE_S,
    PATIENCE_MARGIN,
    FollowState,
)

# Between two reports that cannot wait; callers that come together share one.
URGENT_PERIOD_S = 0.02
# Bounds the counts that a killed daemon loses.
AUDIT_PERIOD_S = 5.0
# Longer than an election of control, 0.8 s, and the forwarding after it.
AUDIT_RESEND_S = 2.0
AUDIT_TICKET = 0


def tick(state: NodeState, now: float) -> Step[NodeState]:
    """Send a report where one is due, or where something cannot wait."""
    step = _note_lease(_hurry_leave(state, now), now)
    step = step.then(_report_accesses(step.state, now))
    step = step.then(_notify_suspects(step.state, now))
    if not _is_report_due(step.state, now):
        return step
    return step.then(_send_report(step.state, now))


def _hurry_leave(state: NodeState, now: float) -> NodeState:
    """Hand shares back at once when this daemon takes nothing more."""
    if not is_leaving(state, now) or not any(s.burst for s in state.shares.values()):
        return state
    return replace(state, follow=replace(state.follow, urgent=True))


def _note_lease(state: NodeState, now: float) -> Step[NodeState]:
    """Log that the lease was lost or regained."""
    follow: FollowState = state.follow
    holds = now < state.fresh_until
    if holds == follow.holds_lease:
        return Step(state)
    record = LeaseGained if holds else LeaseLost
    noted = record(
        target=follow.target,
        answered_ms_ago=round((now - follow.answered_at) * 1000),
        revision=state.catalogue.revision,
    )
    follow = replace(follow, holds_lease=holds)
    return Step(replace(state, follow=follow), (noted,))


def _is_report_due(state: NodeState, now: float) -> bool:
    """Whether to report now.

    Every report waits for the answer to the one before, since shares are granted
    by the answer to the latest alone.
    """
    follow: FollowState = state.follow
    since = now - follow.sent_at
    if follow.answered_seq < follow.seq and since < follow.patience_s:
        return False
    if since >= FOLLOW_PERIOD_S:
        return True
    if since < URGENT_PERIOD_S:
        return False
    is_leaderless = follow.answered_at < follow.sent_at
    return follow.urgent or (is_leaderless and since >= LEADERLESS_RETRY_S)


def _notify_suspects(state: NodeState, now: float) -> Step[NodeState]:
    follow: FollowState = state.follow
    suspects = find_suspects(state, now)
    if suspects == follow.suspects:
        return Step(state)
    state = replace(state, follow=replace(follow, suspects=suspects))
    return Step(state, (SendPeer(follow.target, SuspectNotice(suspects)),))


def find_suspects(state: NodeState, now: float) -> tuple[SuspectReport, ...]:
    """Return the primaries that this daemon holds for failed."""
    found = []
    for name, view in state.groups.items():
        config = state.catalogue.group(name)
        if is_primary_suspect(view, config, now):
            found.append(SuspectReport(name, config.term))
    return tuple(found)


def _send_report(state: NodeState, now: float) -> Step[NodeState]:
    """Report all shares that are held or may be wanted."""
    follow: FollowState = state.follow
    target = _next_target(state)
    state = replace(state, shares=_prepare_shares(state, now))
    reported = [s for s in state.shares.values() if _has_news(s)]
    request = FollowRequest(
        boot=follow.boot,
        seq=follow.seq + 1,
        revision=state.catalogue.revision,
        draining=is_leaving(state, now),
        suspects=follow.suspects,
        shares=tuple(_report(share) for share in reported),
        entry=state.me.entry and not is_leaving(state, now),
        observes=state.me.entry,
        has_log=_has_log(state),
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
        asked_req=follow.asked_req if target == follow.target else 0,
        urgent=False,
        unanswered=_forget_old(follow.unanswered, now).set(request.seq, now),
        patience_s=_patience_of(follow),
    )
    state = replace(state, shares=cleared, follow=follow)
    return Step(state, (SendPeer(target, request),))


def _forget_old(unanswered: Map, now: float) -> Map:
    """Return the open reports whose answers could still renew a lease."""
    for seq, sent_at in unanswered.items():
        if now - sent_at >= LEASE_S:
            unanswered = unanswered.delete(seq)
    return unanswered


def _patience_of(follow: FollowState) -> float:
    """Return how long to wait for the next answer: longer after a missed one."""
    if follow.answered_seq == follow.seq:
        return follow.patience_s
    return min(follow.patience_s * 2, MAX_PATIENCE_S)


def _has_news(share: Share) -> bool:
    """Whether a report has to name a share.

    Of a customer whose bucket the leader keeps, nothing is held here.
    """
    return share.burst > 0 or share.returned > 0 or not share.on_demand


def _next_target(state: NodeState) -> str:
    """Return whom to ask; another control VM if the last one kept silent."""
    follow: FollowState = state.follow
    if follow.answered_seq == follow.seq:
        return follow.target
    return _target_after(state)


def _target_after(state: NodeState) -> str:
    """Return the next control VM, of those of the settings and of the voters."""
    follow: FollowState = state.follow
    voters = {voter.name for voter in state.catalogue.control_voters}
    names = sorted(voters | set(follow.controls))
    later = [name for name in names if name > follow.target]
    return (later or names)[0]


def _prepare_shares(state: NodeState, now: float) -> Map:
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
        if is_leaving(state, now):
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


def on_follow_reply(
    state: NodeState, peer: str, reply: FollowReply, now: float
) -> Step[NodeState]:
    """Take in a reply.

    Any answer of the leader renews the freshness lease, counted from when its
    question was sent; over a slow link the latest may always be on its way.
    Shares are as the latest report told them, so only its answer changes them.
    """
    step = _take_catalogue(state, reply.delta, now)
    step = Step(_note_answer(step.state, reply, now), step.effects)
    follow: FollowState = step.state.follow
    if reply.seq != follow.seq:
        return step
    follow = replace(follow, answered_seq=reply.seq)
    step = Step(replace(step.state, follow=follow), step.effects)
    if not reply.is_latest:
        return _redirect(step, peer, reply)
    state = step.state
    follow = replace(follow, answered_at=now, target=peer)
    state = replace(state, follow=follow)
    state = _take_samples(state, reply)
    if state.me.entry and reply.entry_daemons != state.entry_daemons:
        state = resize_pools(replace(state, entry_daemons=reply.entry_daemons))
    lease_until = follow.sent_at + LEASE_S
    shares = state.shares
    for grant in reply.grants:
        share = shares.get(grant.customer) or Share(grant.customer, updated_at=now)
        share = _take_grant(share, grant, lease_until, now)
        shares = shares.set(grant.customer, share)
    state = replace(state, shares=shares)
    if state.catalogue.revision >= reply.revision:
        state = _note_start(state)
    step = Step(state, step.effects)
    return step.then(_serve_all(step.state, reply.grants, now))


def _note_answer(state: NodeState, reply: FollowReply, now: float) -> NodeState:
    """Renew the freshness lease, and learn how long answers take."""
    follow: FollowState = state.follow
    sent_at = follow.unanswered.get(reply.seq)
    if sent_at is None:
        return state
    follow = replace(follow, unanswered=follow.unanswered.delete(reply.seq))
    if not reply.is_latest:
        return replace(state, follow=follow)
    patience_s = max(FOLLOW_PERIOD_S, (now - sent_at) * PATIENCE_MARGIN)
    follow = replace(follow, patience_s=min(patience_s, MAX_PATIENCE_S))
    fresh_until = state.fresh_until
    if state.catalogue.revision >= reply.revision:
        fresh_until = max(fresh_until, sent_at + LEASE_S)
    return replace(state, follow=follow, fresh_until=fresh_until)


def _take_samples(state: NodeState, reply: FollowReply) -> NodeState:
    """Note what primaries held, by this daemon's clock.

    The reply left its sender after this daemon had asked, so its samples are at
    most their stated age older than the question.
    """
    asked_at = state.follow.sent_at
    for sample in reply.samples:
        if state.catalogue.group(sample.group).term != sample.term:
            continue
        view = view_of(state, sample.group)
        view = add_proof(view, asked_at - sample.age_s, sample.position)
        state = replace(state, groups=state.groups.set(sample.group, view))
    return state


def _note_start(state: NodeState) -> NodeState:
    follow: FollowState = state.follow
    if follow.has_started or not holds_shares(state):
        return state
    return replace(state, follow=replace(follow, has_started=True))


def _redirect(step: Step[NodeState], peer: str, reply: FollowReply) -> Step[NodeState]:
    follow: FollowState = step.state.follow
    if reply.leader and reply.leader != peer:
        follow = replace(follow, target=reply.leader, asked_req=0, urgent=True)
    elif peer == follow.target:
        follow = replace(follow, target=_target_after(step.state), asked_req=0)
    return Step(replace(step.state, follow=follow), step.effects)


def on_peer_lost(state: NodeState, peer: str) -> NodeState:
    """Turn to another control VM at once; what the lost one was asked is lost."""
    follow: FollowState = state.follow
    if peer != follow.target or peer == state.me.name:
        return state
    follow = replace(
        follow,
        target=_target_after(state),
        answered_seq=follow.seq,
        asked_req=0,
        urgent=follow.answered_at >= follow.sent_at,
    )
    return replace(state, follow=follow)


def _take_grant(
    share: Share, grant: ShareGrant, lease_until: float, now: float
) -> Share:
    share = expire(share, now)
    share = shrink(share, grant.rate, grant.burst, now)
    more_rate = max(grant.rate - share.rate, 0.0)
    more_burst = max(grant.burst - share.burst, 0.0)
    share = grow(share, more_rate, more_burst, grant.tokens, now)
    return replace(share, lease_until=lease_until, on_demand=grant.on_demand)


def _serve_all(
    state: NodeState, grants: tuple[ShareGrant, ...], now: float
) -> Step[NodeState]:
    step = Step(state)
    for grant in grants:
        if step.state.shares[grant.customer].waiting:
            step = step.then(_sweep.serve_customer(step.state, grant.customer, now))
    return step


def on_share_recall(
    state: NodeState, peer: str, message: ShareRecall, now: float
) -> Step[NodeState]:
    """Shrink a share at once and say so without delay."""
    grant = message.grant
    share = state.shares.get(grant.customer)
    if share is None or share.waiting:
        return Step(state)
    share = shrink(share, grant.rate, grant.burst, now)
    state = replace(state, shares=state.shares.set(grant.customer, share))
    follow = replace(state.follow, urgent=True)
    return Step(replace(state, follow=follow))


def on_catalogue_update(
    state: NodeState, peer: str, message: CatalogueUpdate, now: float
) -> Step[NodeState]:
    """Apply a pushed change; a gap is filled by the next report's answer."""
    return _take_catalogue(state, message.delta, now)


def _take_catalogue(
    state: NodeState, delta: CatalogueDelta | None, now: float
) -> Step[NodeState]:
    """Bring a committed change into force, in order and never backwards.

    A control VM takes changes from its own log alone, unless it is offline.
    """
    if delta is None or _has_log(state):
        return Step(state)
    return install_catalogue(state, apply_delta(state.catalogue, delta), now)


def _has_log(state: NodeState) -> bool:
    raft = state.consensus
    return raft is not None and raft.standing is not Standing.OFFLINE


def _report_accesses(state: NodeState, now: float) -> Step[NodeState]:
    follow: FollowState = state.follow
    if follow.batch is None:
        due = now - follow.batch_built_at >= AUDIT_PERIOD_S or state.draining
        if not state.accesses or not due:
            return Step(state)
        state = _build_batch(state, now)
        follow = state.follow
    if now - follow.batch_sent_at < AUDIT_RESEND_S:
        return Step(state)
    follow = replace(follow, batch_sent_at=now)
    message = ForwardProposal(AUDIT_TICKET, follow.batch)
    effects: tuple[Effect, ...] = (SendPeer(follow.target, message),)
    return Step(replace(state, follow=follow), effects)


def _build_batch(state: NodeState, now: float) -> NodeState:
    follow: FollowState = state.follow
    counts = tuple(
        AccessCount(key.customer, key.code, count)
        for key, count in sorted(
            state.accesses.items(), key=lambda item: (item[0].customer, item[0].code)
        )
    )
    number = follow.batch_number + 1
    command = RecordAccess(state.me.name, f"{follow.boot}/{number}", counts)
    follow = replace(
        follow,
        batch=Proposal("", state.me.name, 0.0, command),
        batch_number=number,
        batch_built_at=now,
        batch_sent_at=0.0,
    )
    return replace(state, follow=follow, accesses=type(state.accesses)())


def batch_confirmed(state: NodeState) -> NodeState:
    """Note that the leader has counted the last batch of accesses."""
    return replace(state, follow=replace(state.follow, batch=None))
