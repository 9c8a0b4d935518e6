"""The daemon's side of reports: applies answers, recalls and catalogue changes."""

from lovagewalk.buckets import BucketOffer
from lovagewalk.catalogue import CatalogueDelta, apply_delta
from lovagewalk.consensus import add_peers
from lovagewalk.core import Step, replace
from lovagewalk.daemon._changes import install_catalogue, resize_pools
from lovagewalk.groups import add_proof, get_view
from lovagewalk.node import NodeState
from lovagewalk.records import BucketPartChanged, SeedsReplaced
from lovagewalk.routing import _sweep
from lovagewalk.shares import (
    Share,
    expire,
    forget_requested,
    grow,
    keep_queued,
    leave_owner,
    shrink,
)

from . import _owner_directory
from ._catalogue_reads import answer_reads, confirm_reads
from ._messages import CatalogueUpdate, FollowReply, ShareGrant, ShareRecall
from ._peer_messages import on_message
from ._readiness import holds_shares, is_leaving
from ._reports import has_log, next_control_vm
from ._state import (
    ANSWER_TIMEOUT_MARGIN,
    FOLLOW_PERIOD_S,
    LEASE_S,
    MAX_ANSWER_TIMEOUT_S,
    FollowState,
)


@on_message(FollowReply)
def on_follow_reply(
    state: NodeState, peer: str, reply: FollowReply, now: float
) -> Step[NodeState]:
    """Process the answer to a report.

    Any answer of the leader renews the freshness lease, counted from when its
    report was sent: over a slow link, the latest report may always be unanswered.
    Grants refer to the shares in a report, so only the answer to the latest
    report changes shares.
    """
    step = _install_delta(state, reply.delta, now)
    step = Step(_record_answer(step.state, reply, now), step.effects)
    step = step.then(answer_reads(step.state, now))
    follow: FollowState = step.state.follow
    if reply.seq != follow.seq:
        return step
    follow = replace(follow, answered_seq=reply.seq)
    step = Step(replace(step.state, follow=follow), step.effects)
    if not reply.is_latest:
        return _redirect(step, peer, reply)
    state = step.state
    follow = replace(follow, answered_at=now, target=peer, known_leader=peer)
    state = replace(state, follow=follow)
    state = _record_samples(state, reply)
    if reply.entry_daemons != state.entry_daemons:
        state = resize_pools(replace(state, entry_daemons=reply.entry_daemons))
    shares = state.shares
    records: tuple[BucketPartChanged, ...] = ()
    for grant in reply.grants:
        before = shares.get(grant.customer) or Share(grant.customer, updated_at=now)
        lease_until = follow.sent_at + (grant.lease_s or LEASE_S)
        share = _apply_grant(before, grant, lease_until, now)
        records += _record_part_change(peer, before, share)
        if grant.by_region and _shrinks(before, share):
            # The leader lends what this report gives up to the other regions.
            follow = replace(follow, is_report_urgent=True)
        shares = shares.set(grant.customer, share)
    state = replace(state, shares=shares, follow=follow)
    state = _owner_directory.learn_owners(state, reply, now)
    if state.catalogue.revision >= reply.revision:
        state = _record_held_shares(state)
    step = Step(state, step.effects + records)
    return step.then(_serve_waiting(step.state, reply.grants, now))


def _record_answer(state: NodeState, reply: FollowReply, now: float) -> NodeState:
    """Renew the freshness lease, and adapt the timeout to the measured round trip."""
    follow: FollowState = state.follow
    sent_at = follow.unanswered.get(reply.seq)
    if sent_at is None:
        return state
    follow = replace(follow, unanswered=follow.unanswered.delete(reply.seq))
    if not reply.is_latest:
        return replace(state, follow=follow)
    answer_timeout_s = max(FOLLOW_PERIOD_S, (now - sent_at) * ANSWER_TIMEOUT_MARGIN)
    follow = replace(
        follow, answer_timeout_s=min(answer_timeout_s, MAX_ANSWER_TIMEOUT_S)
    )
    fresh_until = state.fresh_until
    if state.catalogue.revision >= reply.revision:
        fresh_until = max(fresh_until, sent_at + LEASE_S)
        state = replace(state, confirmed_at=max(state.confirmed_at, sent_at))
    state = replace(state, follow=follow, fresh_until=fresh_until)
    return confirm_reads(state, sent_at, reply.revision)


def _record_samples(state: NodeState, reply: FollowReply) -> NodeState:
    """Store the positions of primaries, with times by this daemon's clock.

    The reply was sent after this daemon's report, so a sample is older than the
    report by at most its stated age.
    """
    report_sent_at = state.follow.sent_at
    for sample in reply.samples:
        if state.catalogue.group(sample.group).term != sample.term:
            continue
        view = get_view(state, sample.group)
        view = add_proof(view, report_sent_at - sample.age_s, sample.position)
        state = replace(state, groups=state.groups.set(sample.group, view))
    return state


def _record_held_shares(state: NodeState) -> NodeState:
    """Record that the daemon has held shares of all customers at least once."""
    follow: FollowState = state.follow
    if follow.has_held_shares or not holds_shares(state):
        return state
    return replace(state, follow=replace(follow, has_held_shares=True))


def _redirect(step: Step[NodeState], peer: str, reply: FollowReply) -> Step[NodeState]:
    """Switch to the leader that a reply names, or else to the next control VM."""
    follow: FollowState = step.state.follow
    if reply.leader and reply.leader != peer:
        follow = replace(
            follow,
            target=reply.leader,
            known_leader=reply.leader,
            is_report_urgent=True,
        )
    elif peer == follow.target:
        follow = replace(follow, target=next_control_vm(step.state), known_leader="")
    else:
        return Step(step.state, step.effects)
    shares = forget_requested(step.state.shares)
    return Step(replace(step.state, follow=follow, shares=shares), step.effects)


def on_seeds_changed(state: NodeState, seeds: tuple[str, ...]) -> Step[NodeState]:
    """Replace the control VMs of the settings; the voters stay targets as well.

    Settings that name none change nothing, so that there is always one to report to.
    """
    follow: FollowState = state.follow
    if follow is None or not seeds or seeds == follow.seeds:
        return Step(state)
    record = SeedsReplaced(before=", ".join(follow.seeds), after=", ".join(seeds))
    raft = state.consensus
    if raft is not None:
        raft = add_peers(raft, seeds)
    follow = replace(follow, seeds=seeds)
    return Step(replace(state, follow=follow, consensus=raft), (record,))


def on_peer_lost(state: NodeState, peer: str) -> NodeState:
    """Switch to the next control VM at once, since the lost one will not answer.

    A lost owner is not asked for tokens again until the leader names it.
    """
    state = replace(state, shares=leave_owner(state.shares, peer))
    follow: FollowState = state.follow
    if peer != follow.target or peer == state.identity.name:
        return state
    follow = replace(
        follow,
        target=next_control_vm(state),
        answered_seq=follow.seq,
        known_leader="",
        is_report_urgent=follow.answered_at >= follow.sent_at,
    )
    return replace(state, follow=follow, shares=forget_requested(state.shares))


def _apply_grant(
    share: Share, grant: ShareGrant, lease_until: float, now: float
) -> Share:
    """Set a share to a grant, and renew its lease."""
    share = expire(share, now)
    was_whole_bucket = share.is_whole_bucket
    share = shrink(share, grant.rate, grant.burst, now)
    added_rate = max(grant.rate - share.rate, 0.0)
    added_burst = max(grant.burst - share.burst, 0.0)
    share = grow(share, added_rate, added_burst, grant.tokens, now)
    share = replace(
        share,
        lease_until=lease_until,
        on_demand=grant.on_demand,
        by_region=grant.by_region,
    )
    if share.other_parts != grant.others:
        share = replace(share, other_parts=grant.others, forward_sent_at=0.0)
    if share.is_whole_bucket and not was_whole_bucket:
        # The requests that wait for another daemon's answer are queued here instead,
        # unless that daemon goes on to own a part.
        if grant.by_region and share.owner:
            share = keep_queued(share, share.owner)
        share = replace(share, owner="", other_owner="", last_asked_req=0, asked_at=0.0)
    return share


def _shrinks(before: Share, after: Share) -> bool:
    return after.rate < before.rate or after.burst < before.burst


def _record_part_change(
    leader: str, before: Share, after: Share
) -> tuple[BucketPartChanged, ...]:
    """Return the record of a part that begins or ends, or whose other owners change."""
    if not before.by_region and not after.by_region:
        return ()
    is_same = before.is_whole_bucket == after.is_whole_bucket
    if is_same and before.other_parts == after.other_parts:
        return ()
    others = ", ".join(f"{part.owner} ({part.region})" for part in after.other_parts)
    record = BucketPartChanged(
        customer=after.customer,
        target=leader,
        rate=round(after.rate, 2),
        burst=round(after.burst, 2),
        others=others,
    )
    return (record,)


def _serve_waiting(
    state: NodeState, grants: tuple[ShareGrant, ...], now: float
) -> Step[NodeState]:
    step = Step(state)
    for grant in grants:
        if step.state.shares[grant.customer].waiting:
            step = step.then(_sweep.admit_waiting(step.state, grant.customer, now))
    return step


@on_message(BucketOffer)
def on_bucket_offer(
    state: NodeState, peer: str, message: BucketOffer, now: float
) -> Step[NodeState]:
    """Report a customer, so that the answer can lend its bucket to this daemon."""
    if is_leaving(state, now):
        return Step(state)
    share = state.shares.get(message.customer) or Share(
        message.customer, updated_at=now
    )
    share = replace(share, on_demand=False)
    shares = state.shares.set(message.customer, share)
    follow = replace(state.follow, is_report_urgent=True)
    return Step(replace(state, shares=shares, follow=follow))


@on_message(ShareRecall)
def on_share_recall(
    state: NodeState, peer: str, message: ShareRecall, now: float
) -> Step[NodeState]:
    """Shrink a share and report it without delay, unless requests wait for tokens."""
    grant = message.grant
    share = state.shares.get(grant.customer)
    if share is None or share.waiting:
        return Step(state)
    share = shrink(share, grant.rate, grant.burst, now)
    state = replace(state, shares=state.shares.set(grant.customer, share))
    follow = replace(state.follow, is_report_urgent=True)
    return Step(replace(state, follow=follow))


@on_message(CatalogueUpdate)
def on_catalogue_update(
    state: NodeState, peer: str, message: CatalogueUpdate, now: float
) -> Step[NodeState]:
    """Apply a pushed change; the answer to the next report fills a gap."""
    return _install_delta(state, message.delta, now)


def _install_delta(
    state: NodeState, delta: CatalogueDelta | None, now: float
) -> Step[NodeState]:
    """Install a committed change, in order and never backwards.

    A control VM applies changes from its own log alone, unless it is offline.
    """
    if delta is None or has_log(state):
        return Step(state)
    return install_catalogue(state, apply_delta(state.catalogue, delta), now)
