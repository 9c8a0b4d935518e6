"""The leader's side of following: reports in; leases, entries and grants out."""

from lovagewalk.catalogue import Management, NoteHolder, Proposal
from lovagewalk.consensus import LogEntry, RaftState, SendPeer, confirmed_round
from lovagewalk.core import Effect, Step, replace
from lovagewalk.node import NodeState

from . import _ledger, _proposals, _token_queue
from ._messages import (
    CatalogueUpdate,
    FollowReply,
    FollowRequest,
    GroupSample,
    SuspectNotice,
)
from ._state import ControlState, Follower, PendingFollow

# As many as one batch of the log.
MAX_PUSHED_ENTRIES = 200
# An entry may hold a whole configuration, as a snapshot does once.
SNAPSHOT_FROM_ENTRIES = 4
# Ten leases; nothing is held by then.
FORGET_FOLLOWER_S = 30.0
# Longer than an election.
LEADERLESS_S = 1.0
# Reports that come together share one round of the quorum.
CONFIRM_DELAY_S = 0.01


def on_follow_request(
    state: NodeState, peer: str, request: FollowRequest, now: float
) -> Step[NodeState]:
    """Note a daemon's report; it is answered once leadership is confirmed."""
    raft: RaftState = state.consensus
    if raft is None or not raft.is_leader:
        return Step(state, (_refer(state, peer, request, now),))
    control: ControlState = state.control
    known = control.followers.get(peer)
    if (
        known
        and known.request.boot == request.boot
        and known.request.seq >= request.seq
    ):
        return Step(state)
    follower = Follower(peer, request.revision, now, request)
    pending = PendingFollow(peer, request.seq, raft.round + 1)
    kept = tuple(other for other in control.pending if other.peer != peer)
    control = replace(
        control,
        followers=control.followers.set(peer, follower),
        pending=kept + (pending,),
        ledgers=_ledger.take_reports(state, control, peer, request, now),
    )
    raft = replace(raft, heartbeat_at=min(raft.heartbeat_at, now + CONFIRM_DELAY_S))
    state = replace(state, control=control, consensus=raft)
    step = _note_holder(state, peer, request, now)
    step = step.then(_token_queue.tick(step.state, now))
    return step.then(serve_followers(step.state, now))


def _note_holder(
    state: NodeState, peer: str, request: FollowRequest, now: float
) -> Step[NodeState]:
    """Write a daemon's run into the log before it is given shares."""
    control: ControlState = state.control
    noting = control.noting.get(peer) == request.boot
    if not request.shares or noting or _ledger.may_hold(state, peer, request):
        return Step(state)
    noting = control.noting.set(peer, request.boot)
    state = replace(state, control=replace(control, noting=noting))
    command = NoteHolder(peer, request.boot)
    proposal = Proposal("", "control", 0.0, command)
    return _proposals.propose(state, proposal, None, now)


def on_suspect_notice(
    state: NodeState, peer: str, message: SuspectNotice, now: float
) -> Step[NodeState]:
    """Note a daemon's changed suspicions."""
    control: ControlState = state.control
    follower = control.followers.get(peer) if control else None
    if follower is None:
        return Step(state)
    request = replace(follower.request, suspects=message.suspects)
    follower = replace(follower, request=request, seen_at=now)
    followers = control.followers.set(peer, follower)
    return Step(replace(state, control=replace(control, followers=followers)))


def _refer(state: NodeState, peer: str, request: FollowRequest, now: float) -> SendPeer:
    """Name the leader; this renews no lease.

    Where nobody has led for a while, the catalogue is sent along as this VM has
    it: routes that are open to all go on by it.
    """
    raft: RaftState = state.consensus
    reply = FollowReply(
        seq=request.seq,
        leader=raft.leader if raft else "",
        is_latest=False,
        revision=state.catalogue.revision,
        entries=(),
        snapshot=state.catalogue if _is_owed_catalogue(state, request, now) else None,
        grants=(),
    )
    return SendPeer(peer, reply)


def _is_owed_catalogue(state: NodeState, request: FollowRequest, now: float) -> bool:
    raft: RaftState = state.consensus
    if raft is None or raft.leader or request.revision:
        return False
    return raft.heard_at > 0 and now - raft.heard_at >= LEADERLESS_S


def is_far_behind(raft: RaftState, revision: int) -> bool:
    """Whether a snapshot brings a daemon up to date with less than entries would."""
    if revision < raft.log.base_index:
        return True
    return raft.applied - revision >= SNAPSHOT_FROM_ENTRIES


def _entries_after(raft: RaftState, revision: int) -> tuple[LogEntry, ...]:
    if revision < raft.log.base_index:
        return ()
    last = min(raft.applied, revision + MAX_PUSHED_ENTRIES)
    return tuple(raft.log.entries[i] for i in range(revision + 1, last + 1))


def serve_followers(state: NodeState, now: float) -> Step[NodeState]:
    """Answer confirmed requests and push new entries to everybody else."""
    raft: RaftState = state.consensus
    control: ControlState = state.control
    confirmed = confirmed_round(raft)
    due = tuple(p for p in control.pending if p.round <= confirmed)
    left = tuple(p for p in control.pending if p.round > confirmed)
    step = Step(replace(state, control=replace(control, pending=left)))
    for pending in due:
        step = step.then(_reply(step.state, pending, now))
    return step.then(_push(step.state, now))


def _reply(state: NodeState, pending: PendingFollow, now: float) -> Step[NodeState]:
    raft: RaftState = state.consensus
    control: ControlState = state.control
    follower = control.followers[pending.peer]
    known = follower.request.revision
    behind = is_far_behind(raft, known)
    entries = () if behind else _entries_after(raft, known)
    granted = _ledger.grant_shares(state, control, pending.peer, now)
    reply = FollowReply(
        seq=pending.seq,
        leader=raft.me,
        is_latest=True,
        revision=state.catalogue.revision,
        entries=entries,
        snapshot=state.catalogue if behind else None,
        grants=granted.grants,
        entry_daemons=_ledger.count_entry_daemons(control, now),
        samples=_samples(state, now),
    )
    revision = entries[-1].index if entries else known
    if behind:
        revision = state.catalogue.revision
    follower = replace(follower, revision=max(follower.revision, revision))
    control = replace(
        granted.control, followers=control.followers.set(pending.peer, follower)
    )
    effects: tuple[Effect, ...] = (SendPeer(pending.peer, reply),)
    return Step(replace(state, control=control), effects)


def _samples(state: NodeState, now: float) -> tuple[GroupSample, ...]:
    """Return the latest proof of each primary that a provider promotes."""
    found: tuple[GroupSample, ...] = ()
    for name, view in state.groups.items():
        config = state.catalogue.group(name)
        if config.management is not Management.PROVIDER or not view.samples:
            continue
        sample = view.samples[-1]
        age_s = now - sample.sent_at
        found += (GroupSample(name, config.term, sample.position, age_s),)
    return found


def _push(state: NodeState, now: float) -> Step[NodeState]:
    raft: RaftState = state.consensus
    control: ControlState = state.control
    followers = control.followers
    effects: tuple[Effect, ...] = ()
    updates: dict[int, CatalogueUpdate] = {}
    for name, follower in control.followers.items():
        if now - follower.seen_at > FORGET_FOLLOWER_S:
            followers = followers.delete(name)
            continue
        is_current = follower.revision >= raft.applied
        if is_current or is_far_behind(raft, follower.revision):
            continue
        update = updates.get(follower.revision)
        if update is None:
            update = CatalogueUpdate(_entries_after(raft, follower.revision))
            updates[follower.revision] = update
        if not update.entries:
            continue
        effects += (SendPeer(name, update),)
        sent = replace(follower, revision=update.entries[-1].index)
        followers = followers.set(name, sent)
    control = replace(control, followers=followers)
    return Step(replace(state, control=control), effects)
