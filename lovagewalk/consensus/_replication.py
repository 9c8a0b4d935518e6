"""Replication of the log: appends, heartbeats, commits, snapshots."""

from immutables import Map

from lovagewalk.catalogue import Catalogue, ControlVoter, Proposal
from lovagewalk.core import replace

from . import _messages as msg
from ._effects import PersistEntries, PersistSnapshot, PersistVote, SendToPeer
from ._state import (
    ELECTION_TIMEOUT_MAX_S,
    ELECTION_TIMEOUT_MIN_S,
    HEARTBEAT_INTERVAL_S,
    LEADER_LEASE_S,
    MAX_LOG_BYTES,
    Progress,
    RaftLog,
    RaftRole,
    RaftState,
    RaftStep,
    VoterConfig,
    add_voter_peers,
    extend_configs,
)
from ._terms import reset_election_timer, step_down

# The delay is several round trips between regions, and below the minimum election
# timeout.
RESEND_AFTER_S = 0.3


def append_proposals(
    raft: RaftState, proposals: tuple[Proposal, ...], now: float
) -> RaftStep:
    """Append proposals to the leader's own log and send them to the peers."""
    first_index = raft.log.last_index + 1
    entries = tuple(
        msg.LogEntry(first_index + offset, raft.term, proposal)
        for offset, proposal in enumerate(proposals)
    )
    raft = replace(
        raft,
        log=raft.log.append(entries),
        configs=extend_configs(raft.configs, entries),
    )
    raft = add_voter_peers(raft)
    step = RaftStep(raft, (PersistEntries(entries),))
    step = step.then(advance_commit(raft))
    return step.then(send_appends(step.raft, now, False))


def send_appends(raft: RaftState, now: float, heartbeat: bool) -> RaftStep:
    """Send each peer its missing entries; with `heartbeat`, an empty append if none."""
    if heartbeat:
        raft = replace(
            raft,
            round=raft.round + 1,
            heartbeat_due_at=now + HEARTBEAT_INTERVAL_S,
            round_times=_pending_round_times(raft, now).set(raft.round + 1, now),
        )
    step = RaftStep(raft)
    for peer in raft.peers:
        step = step.then(_send_append(step.raft, peer, now, heartbeat))
    return step


def _pending_round_times(raft: RaftState, now: float) -> Map:
    """Return the times of the rounds that can still confirm a lease."""
    pending_times = raft.round_times
    latest_confirmed = confirmed_round(raft)
    for round_number, sent_at in raft.round_times.items():
        if round_number < latest_confirmed or now - sent_at >= ELECTION_TIMEOUT_MAX_S:
            pending_times = pending_times.delete(round_number)
    return pending_times


def _send_append(raft: RaftState, peer: str, now: float, heartbeat: bool) -> RaftStep:
    """Send a peer its next entries; a heartbeat does not resend a batch in flight."""
    progress = raft.progress[peer]
    batch_sent_at = progress.in_flight_since
    if batch_sent_at and now - batch_sent_at < RESEND_AFTER_S and not heartbeat:
        return RaftStep(raft)
    if progress.next_index <= raft.log.base_index:
        return RaftStep(raft)
    entries: tuple[msg.LogEntry, ...] = ()
    if not batch_sent_at or now - batch_sent_at >= RESEND_AFTER_S:
        entries = raft.log.next_batch(progress.next_index)
    if not entries and not heartbeat:
        return RaftStep(raft)
    prev_index = progress.next_index - 1
    message = msg.AppendRequest(
        raft.term,
        prev_index,
        raft.log.term_at(prev_index),
        entries,
        raft.commit_index,
        raft.round,
    )
    if entries:
        progress = replace(progress, in_flight_since=now)
        raft = replace(raft, progress=raft.progress.set(peer, progress))
    return RaftStep(raft, (SendToPeer(peer, message),))


def send_snapshots(raft: RaftState, catalogue: Catalogue, now: float) -> RaftStep:
    """Send the applied state to peers whose next entry is compacted away."""
    step = RaftStep(raft)
    for peer in raft.peers:
        progress = step.raft.progress[peer]
        batch_sent_at = progress.in_flight_since
        if progress.next_index > raft.log.base_index:
            continue
        if batch_sent_at and now - batch_sent_at < RESEND_AFTER_S:
            continue
        message = msg.SnapshotRequest(
            raft.term,
            raft.last_applied,
            raft.log.term_at(raft.last_applied),
            voters_at(raft, raft.last_applied),
            catalogue,
            raft.round,
        )
        progress = replace(progress, in_flight_since=now)
        next_raft = replace(step.raft, progress=step.raft.progress.set(peer, progress))
        step = step.then(RaftStep(next_raft, (SendToPeer(peer, message),)))
    return step


def voters_at(raft: RaftState, index: int) -> tuple[ControlVoter, ...]:
    """Return the voters in force at a log index."""
    preceding = [config.voters for config in raft.configs if config.index <= index]
    return preceding[-1] if preceding else ()


def on_append_request(
    raft: RaftState, peer: str, message: msg.AppendRequest, now: float
) -> RaftStep:
    """Append the entries received from the leader."""
    if message.term < raft.term:
        return RaftStep(
            raft, (_build_append_reply(raft, peer, False, 0, message.round),)
        )
    step = _accept_leader(raft, peer, message.term, now)
    raft = step.raft
    prev_term = raft.log.term_at(message.prev_index)
    is_compacted = message.prev_index < raft.log.base_index
    if not is_compacted and prev_term != message.prev_term:
        next_index = min(message.prev_index, raft.log.last_index + 1)
        reply = _build_append_reply(
            raft, peer, False, max(next_index, 1), message.round
        )
        return step.then(RaftStep(raft, (reply,)))
    step = step.then(_store_entries(raft, message.entries))
    raft = step.raft
    last_index = message.prev_index + len(message.entries)
    commit_index = max(raft.commit_index, min(message.commit, last_index))
    raft = replace(raft, commit_index=commit_index)
    reply = _build_append_reply(raft, peer, True, last_index, message.round)
    return step.then(RaftStep(raft, (reply,)))


def _build_append_reply(
    raft: RaftState, peer: str, success: bool, index: int, round_: int
) -> SendToPeer:
    return SendToPeer(
        peer, msg.AppendReply(raft.term, success, index, round_, raft.disk)
    )


def _accept_leader(raft: RaftState, peer: str, term: int, now: float) -> RaftStep:
    """Follow the leader of a term that is not behind the term of this VM."""
    step = RaftStep(raft)
    if term > raft.term:
        raft = replace(raft, term=term, voted_for="")
        step = RaftStep(raft, (PersistVote(term, ""),))
    raft = replace(
        reset_election_timer(raft, now),
        role=RaftRole.FOLLOWER,
        leader=peer,
        leader_contact_at=now,
        votes=frozenset(),
    )
    return RaftStep(raft, step.effects)


def _store_entries(raft: RaftState, entries: tuple[msg.LogEntry, ...]) -> RaftStep:
    """Append the entries that the log lacks, in place of those that conflict."""
    missing = [
        entry
        for entry in entries
        if entry.index > raft.log.base_index
        and raft.log.term_at(entry.index) != entry.term
    ]
    if not missing:
        return RaftStep(raft)
    first_index = missing[0].index
    appended = tuple(entry for entry in entries if entry.index >= first_index)
    configs = tuple(config for config in raft.configs if config.index < first_index)
    raft = replace(
        raft,
        log=raft.log.truncate(first_index).append(appended),
        configs=extend_configs(configs, appended),
    )
    return RaftStep(add_voter_peers(raft), (PersistEntries(appended),))


def on_append_reply(
    raft: RaftState, peer: str, message: msg.AppendReply, now: float
) -> RaftStep:
    """Record a peer's progress and commit the entries that a majority holds."""
    if message.term > raft.term:
        return step_down(raft, message.term, now)
    if not raft.is_leader or message.term < raft.term or peer not in raft.progress:
        return RaftStep(raft)
    progress = _update_progress(raft.progress[peer], message, now)
    raft = replace(raft, progress=raft.progress.set(peer, progress))
    step = advance_commit(raft)
    if progress.next_index <= step.raft.log.last_index:
        step = step.then(_send_append(step.raft, peer, now, False))
    return step


def _update_progress(
    progress: Progress, message: msg.AppendReply, now: float
) -> Progress:
    """Update a peer's progress; a peer with another disk starts at the first entry."""
    if progress.disk and progress.disk != message.disk:
        progress = Progress(1)
    progress = replace(
        progress,
        disk=message.disk,
        answered_at=now,
        round=max(progress.round, message.round),
    )
    if not message.success:
        return replace(progress, next_index=message.index, in_flight_since=0.0)
    if message.index < progress.match_index:
        return progress
    match_index = message.index
    advanced = match_index > progress.match_index
    return replace(
        progress,
        match_index=match_index,
        next_index=max(progress.next_index, match_index + 1),
        in_flight_since=0.0 if advanced else progress.in_flight_since,
    )


def advance_commit(raft: RaftState) -> RaftStep:
    """Commit up to the last entry of this term that a majority has on disk."""
    index = _majority_value(raft, raft.log.last_index, "match_index")
    if index > raft.commit_index and raft.log.term_at(index) == raft.term:
        raft = replace(raft, commit_index=index)
    return RaftStep(raft)


def has_committed_in_term(raft: RaftState) -> bool:
    """Whether an entry of the current term is committed, and so all earlier ones are.

    A new leader does not know which of the last entries its predecessor committed.
    """
    return raft.log.term_at(raft.commit_index) == raft.term


def confirmed_round(raft: RaftState) -> int:
    """Return the latest heartbeat round that a majority has answered."""
    return _majority_value(raft, raft.round, "round")


def holds_leader_lease(raft: RaftState, now: float) -> bool:
    """Whether no other VM can have been elected yet.

    A majority has answered a heartbeat round, and grants no vote within the minimum
    election timeout after receiving it. The lease counts from the time that the
    round was sent, which is earlier.
    """
    sent_at = raft.round_times.get(confirmed_round(raft))
    if not raft.is_leader or sent_at is None:
        return False
    return now < sent_at + LEADER_LEASE_S


def _majority_value(raft: RaftState, own_value: int, field_name: str) -> int:
    """Return the highest value of a field of `Progress` that a majority has reached."""
    values = []
    for voter in raft.voters:
        if voter.name == raft.me and voter.disk == raft.disk:
            values.append(own_value)
            continue
        progress = raft.progress.get(voter.name)
        same_disk = progress is not None and progress.disk == voter.disk
        values.append(getattr(progress, field_name) if same_disk else 0)
    values.sort(reverse=True)
    return values[raft.quorum - 1] if values else 0


def have_earlier_leases_expired(raft: RaftState, now: float) -> bool:
    """Whether no earlier leader can still hold its lease.

    Voters that have had contact with a leader in this run grant votes only after
    its lease. Voters that restarted since may have lost the record of it. A voter
    that answers this leader is itself no longer the leader.
    """
    if (
        not raft.may_overlap_earlier_lease
        or now >= raft.elected_at + ELECTION_TIMEOUT_MIN_S
    ):
        return True
    others = (voter.name for voter in raft.voters if voter.name != raft.me)
    voter_progress = (raft.progress.get(name) for name in others)
    return all(progress and progress.round > 0 for progress in voter_progress)


def has_quorum(raft: RaftState, now: float) -> bool:
    """Whether a majority has answered within the maximum election timeout."""
    answering = 0
    for voter in raft.voters:
        progress = raft.progress.get(voter.name)
        if voter.name == raft.me:
            answering += 1
        elif progress and now - progress.answered_at < ELECTION_TIMEOUT_MAX_S:
            answering += 1
    return answering >= raft.quorum


def on_snapshot_request(
    raft: RaftState, peer: str, message: msg.SnapshotRequest, now: float
) -> RaftStep:
    """Replace the log by a snapshot that is ahead of the commit index."""
    if message.term < raft.term:
        return RaftStep(
            raft, (_build_append_reply(raft, peer, False, 0, message.round),)
        )
    step = _accept_leader(raft, peer, message.term, now)
    raft = step.raft
    if message.index > raft.commit_index:
        step = step.then(_install_snapshot(raft, message))
        raft = step.raft
    reply = _build_append_reply(raft, peer, True, message.index, message.round)
    return step.then(RaftStep(raft, (reply,)))


def _install_snapshot(raft: RaftState, message: msg.SnapshotRequest) -> RaftStep:
    log = RaftLog(
        last_index=message.index,
        base_index=message.index,
        base_term=message.index_term,
    )
    raft = replace(
        raft,
        log=log,
        configs=(VoterConfig(message.index, message.voters),),
        commit_index=message.index,
        last_applied=message.index,
    )
    raft = add_voter_peers(raft)
    return RaftStep(raft, (_build_persist_snapshot(raft, message.catalogue, ()),))


def _build_persist_snapshot(
    raft: RaftState, catalogue: Catalogue, keep: tuple[msg.LogEntry, ...]
) -> PersistSnapshot:
    return PersistSnapshot(
        index=raft.log.base_index,
        index_term=raft.log.base_term,
        voters=voters_at(raft, raft.log.base_index),
        catalogue=catalogue,
        keep=keep,
        term=raft.term,
        voted_for=raft.voted_for,
    )


def compact(raft: RaftState, catalogue: Catalogue) -> RaftStep:
    """Snapshot the applied state and drop the log entries that it covers."""
    index = raft.last_applied
    later_configs = tuple(config for config in raft.configs if config.index > index)
    base_config = VoterConfig(index, voters_at(raft, index))
    raft = replace(
        raft, log=raft.log.compact(index), configs=(base_config,) + later_configs
    )
    keep = raft.log.slice(index + 1, raft.log.last_index - index)
    return RaftStep(raft, (_build_persist_snapshot(raft, catalogue, keep),))


def is_compaction_due(raft: RaftState, interval: int) -> bool:
    """Whether the log has become long or large since the last snapshot.

    Parameters
    ----------
    interval : int
        Number of applied entries from which on it is long.
    """
    applied = raft.last_applied - raft.log.base_index
    return applied >= interval or (applied > 0 and raft.log.size > MAX_LOG_BYTES)
