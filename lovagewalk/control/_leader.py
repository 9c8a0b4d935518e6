"""The leader's side of reports: answers with leases, catalogue changes and grants."""

from lovagewalk.catalogue import (
    Catalogue,
    CatalogueDelta,
    Management,
    NoteDivided,
    NoteHolder,
    diff_catalogues,
    is_equal_for_followers,
)
from lovagewalk.consensus import RaftState, SendToPeer, confirmed_round
from lovagewalk.core import Effect, Step, replace
from lovagewalk.node import NodeState

from . import _ledger, _owner_directory, _proposals, _token_queue
from ._messages import (
    CatalogueUpdate,
    FollowReply,
    FollowRequest,
    GroupSample,
    SuspectNotice,
)
from ._ownership import is_lent_to
from ._peer_messages import on_message
from ._state import ControlState, Follower, PendingReply

# After ten leases, an unresponsive daemon holds no share any more.
FOLLOWER_EXPIRY_S = 30.0
# After this time without a leader, which is longer than an election, a control VM sends
# its catalogue to daemons without one.
LEADERLESS_S = 1.0
# Reports that arrive within this time share one heartbeat round of the quorum.
CONFIRM_DELAY_S = 0.01


@on_message(FollowRequest)
def on_follow_request(
    state: NodeState, peer: str, request: FollowRequest, now: float
) -> Step[NodeState]:
    """Record a daemon's report; it is answered once leadership is confirmed."""
    raft: RaftState = state.consensus
    if raft is None or not raft.is_leader:
        return Step(state, (_redirect_reply(state, peer, request, now),))
    control: ControlState = state.control
    previous = control.followers.get(peer)
    if (
        previous
        and previous.request.boot == request.boot
        and previous.request.seq >= request.seq
    ):
        return Step(state)
    follower = Follower(peer, request.revision, now, request)
    pending = PendingReply(peer, request.seq, raft.round + 1)
    other_pending = tuple(
        other for other in control.pending_replies if other.peer != peer
    )
    control = replace(
        control,
        followers=control.followers.set(peer, follower),
        pending_replies=other_pending + (pending,),
        ledgers=_ledger.record_reports(state, control, peer, request, now),
    )
    raft = replace(
        raft, heartbeat_due_at=min(raft.heartbeat_due_at, now + CONFIRM_DELAY_S)
    )
    state = replace(state, control=control, consensus=raft)
    step = _propose_holder(state, peer, request, now)
    step = step.then(_token_queue.tick(step.state, now))
    return step.then(serve_followers(step.state, now))


def _propose_holder(
    state: NodeState, peer: str, request: FollowRequest, now: float
) -> Step[NodeState]:
    """Record in the log the daemons whose reports a new leader has to wait for.

    A daemon's run is recorded before it is granted shares, and removed once it has
    returned all of them. A customer is recorded before its limits are divided.
    """
    step = _propose_divided(state, peer, request, now)
    state = step.state
    control: ControlState = state.control
    holds_shares = any(report.burst > 0 for report in request.shares)
    boot = request.boot
    if request.draining and not holds_shares:
        boot = ""
    elif not any(
        report.customer in state.catalogue.divided for report in request.shares
    ):
        return step
    recorded = state.catalogue.holders.get(peer, "")
    if boot == recorded or control.proposed_holders.get(peer) == boot:
        return step
    control = replace(
        control, proposed_holders=control.proposed_holders.set(peer, boot)
    )
    state = replace(state, control=control)
    return step.then(_proposals.propose_command(state, NoteHolder(peer, boot), now))


def _propose_divided(
    state: NodeState, peer: str, request: FollowRequest, now: float
) -> Step[NodeState]:
    """Record in the log the customers whose limits are about to be divided or lent."""
    control: ControlState = state.control
    divided = state.catalogue.divided | control.proposed_divided
    entry_daemons = _ledger.count_entry_daemons(state, control, now)
    entries = (state.catalogue.customer(report.customer) for report in request.shares)
    new_customers = frozenset(
        entry.name
        for entry in entries
        if entry and entry.name not in divided
        if is_lent_to(control, entry.name, peer)
        or not _ledger.is_on_demand(entry, entry_daemons)
    )
    if not new_customers:
        return Step(state)
    control = replace(
        control, proposed_divided=control.proposed_divided | new_customers
    )
    state = replace(state, control=control)
    return _proposals.propose_command(
        state, NoteDivided(tuple(sorted(new_customers))), now
    )


@on_message(SuspectNotice)
def on_suspect_notice(
    state: NodeState, peer: str, message: SuspectNotice, now: float
) -> Step[NodeState]:
    """Record a daemon's changed suspicions."""
    control: ControlState = state.control
    follower = control.followers.get(peer) if control else None
    if follower is None:
        return Step(state)
    request = replace(follower.request, suspects=message.suspects)
    follower = replace(follower, request=request, seen_at=now)
    followers = control.followers.set(peer, follower)
    return Step(replace(state, control=replace(control, followers=followers)))


def _redirect_reply(
    state: NodeState, peer: str, request: FollowRequest, now: float
) -> SendToPeer:
    """Return a reply that names the leader and renews no lease.

    After `LEADERLESS_S` without a leader, the reply to a daemon without a catalogue
    holds this VM's, which suffices for routes that are open to all callers.
    """
    raft: RaftState = state.consensus
    reply = FollowReply(
        seq=request.seq,
        leader=raft.leader if raft else "",
        is_latest=False,
        revision=state.catalogue.revision,
        delta=(
            _delta_since(state, 0) if _needs_catalogue(state, request, now) else None
        ),
        grants=(),
    )
    return SendToPeer(peer, reply)


def _needs_catalogue(state: NodeState, request: FollowRequest, now: float) -> bool:
    raft: RaftState = state.consensus
    if raft is None or raft.leader or request.revision:
        return False
    return raft.leader_contact_at > 0 and now - raft.leader_contact_at >= LEADERLESS_S


def _past_catalogue(state: NodeState, revision: int) -> Catalogue | None:
    """Return the catalogue of a follower's revision, if it is still kept."""
    return state.control.past_catalogues.get(revision) if revision else None


def _delta_since(state: NodeState, revision: int) -> CatalogueDelta:
    """Return what a follower lacks; the whole catalogue if its revision is not kept."""
    past = _past_catalogue(state, revision) or Catalogue()
    return diff_catalogues(past, state.catalogue)


def is_informed_leader(state: NodeState) -> bool:
    """Whether this VM leads, and has applied all that its predecessors committed."""
    raft: RaftState | None = state.consensus
    return raft is not None and raft.is_leader and state.control.is_caught_up


def serve_followers(state: NodeState, now: float) -> Step[NodeState]:
    """Answer confirmed requests and push catalogue changes to the other followers.

    A leader that has not caught up answers nothing: a majority confirms that it leads,
    but its catalogue may lack what its predecessor committed.
    """
    raft: RaftState = state.consensus
    control: ControlState = state.control
    if not control.is_caught_up:
        return Step(state)
    confirmed = confirmed_round(raft)
    due = tuple(
        pending for pending in control.pending_replies if pending.round <= confirmed
    )
    remaining = tuple(
        pending for pending in control.pending_replies if pending.round > confirmed
    )
    step = Step(replace(state, control=replace(control, pending_replies=remaining)))
    for pending in due:
        step = step.then(_send_reply(step.state, pending, now))
    return step.then(_push_changes(step.state, now))


def _send_reply(state: NodeState, pending: PendingReply, now: float) -> Step[NodeState]:
    raft: RaftState = state.consensus
    control: ControlState = state.control
    follower = control.followers.get(pending.peer)
    if follower is None:
        # Its record expired while this VM was suspended; its next report renews it.
        return Step(state)
    revision = follower.request.revision
    delta = None
    if not follower.request.has_log and revision < state.catalogue.revision:
        delta = _delta_since(state, revision)
    granted = _ledger.grant_shares(state, control, pending.peer, now)
    reply = FollowReply(
        seq=pending.seq,
        leader=raft.me,
        is_latest=True,
        revision=state.catalogue.revision,
        delta=delta,
        grants=granted.grants,
        entry_daemons=_ledger.count_entry_daemons(state, control, now),
        samples=_collect_samples(state, now),
        owners=_owner_directory.name_owners(state, follower.request),
        owners_revision=_owner_directory.current_revision(state),
    )
    follower = replace(
        follower, revision=max(follower.revision, state.catalogue.revision)
    )
    control = replace(
        granted.control, followers=control.followers.set(pending.peer, follower)
    )
    effects: tuple[Effect, ...] = (SendToPeer(pending.peer, reply),)
    return Step(replace(state, control=control), effects)


def _collect_samples(state: NodeState, now: float) -> tuple[GroupSample, ...]:
    """Return the latest position of each primary that a provider promotes."""
    samples: tuple[GroupSample, ...] = ()
    for name, view in state.groups.items():
        config = state.catalogue.group(name)
        if config.management is not Management.PROVIDER or not view.samples:
            continue
        sample = view.samples[-1]
        age_s = now - sample.sent_at
        samples += (GroupSample(name, config.term, sample.position, age_s),)
    return samples


def _push_changes(state: NodeState, now: float) -> Step[NodeState]:
    """Push to each follower the changes since the revision last sent to it.

    A change that concerns control VMs alone waits for the next report.
    """
    control: ControlState = state.control
    followers = control.followers
    effects: tuple[Effect, ...] = ()
    updates: dict[int, CatalogueUpdate | None] = {}
    for name, follower in control.followers.items():
        if now - follower.seen_at > FOLLOWER_EXPIRY_S:
            followers = followers.delete(name)
            continue
        revision = follower.revision
        if follower.request.has_log or revision >= state.catalogue.revision:
            continue
        if revision not in updates:
            updates[revision] = _update_since(state, revision)
        update = updates[revision]
        if update is None:
            continue
        effects += (SendToPeer(name, update),)
        updated = replace(follower, revision=update.delta.revision)
        followers = followers.set(name, updated)
    control = replace(control, followers=followers)
    return Step(replace(state, control=control), effects)


def _update_since(state: NodeState, revision: int) -> CatalogueUpdate | None:
    """Return the update to push to a follower.

    None if the change can wait for the next report, or if the follower's revision
    is not kept, so that the answer to its next report holds the whole catalogue.
    """
    past = _past_catalogue(state, revision)
    if past is None or is_equal_for_followers(past, state.catalogue):
        return None
    return CatalogueUpdate(diff_catalogues(past, state.catalogue))
