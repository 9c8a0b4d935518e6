"""Turns steps of the consensus into steps of the whole daemon."""

from immutables import Map

from lovagewalk.catalogue import (
    AppliedChange,
    Catalogue,
    ChangeResult,
    apply_proposal,
)
from lovagewalk.consensus import (
    SNAPSHOT_INTERVAL_ENTRIES,
    LogEntry,
    RaftState,
    RaftStep,
    SendToPeer,
    compact,
    has_committed_in_term,
    is_compaction_due,
    send_snapshots,
)
from lovagewalk.core import Code, Effect, Refusal, Step, replace
from lovagewalk.daemon._changes import install_catalogue
from lovagewalk.node import NodeState
from lovagewalk.records import (
    EntryNotApplied,
    LeaderCaughtUp,
    LeadershipGained,
    LeadershipLost,
)

from . import _leader
from ._effects import AnswerRequester, RecordAudit
from ._messages import ProposalResult
from ._state import LEASE_MARGIN, LEASE_S, ControlState, Ticket

# The leader keeps this many past catalogues for deltas. Daemons report every 0.5 s;
# frequent changes create some tens of revisions in that time.
MAX_PAST_CATALOGUES = 64


def apply_raft_step(
    state: NodeState, raft_step: RaftStep, now: float
) -> Step[NodeState]:
    """Store a step of the consensus, and process what it commits or confirms.

    Committed entries are applied, proposers and followers are answered, changes are
    pushed and the log is compacted. The effects of the consensus come first, so that
    nothing is answered before it is on disk.
    """
    state = replace(state, consensus=raft_step.raft)
    step = _track_leadership(state, now)
    step = Step(step.state, raft_step.effects + step.effects)
    step = step.then(_answer_undecided(step.state))
    step = step.then(_apply_committed(step.state, now))
    step = step.then(_track_catch_up(step.state, now))
    step = step.then(_compact_log(step.state))
    if step.state.consensus.is_leader:
        step = step.then(_send_snapshots(step.state, now))
        step = step.then(_leader.serve_followers(step.state, now))
    return step


def _track_leadership(state: NodeState, now: float) -> Step[NodeState]:
    """Reset the control state, and log it, when this VM starts or stops leading."""
    raft: RaftState = state.consensus
    control: ControlState = state.control
    if raft.is_leader and control.led_term != raft.term:
        new_control = ControlState(
            led_term=raft.term,
            former_shares_expire_at=(
                now if _is_first_leader(raft) else now + LEASE_S * LEASE_MARGIN
            ),
            tickets=control.tickets,
        )
        voters = ", ".join(voter.name for voter in raft.voters)
        record = LeadershipGained(
            term=raft.term,
            last_index=raft.log.last_index,
            voters=voters,
        )
        return Step(replace(state, control=new_control), (record,))
    if not raft.is_leader and control.led_term:
        record = LeadershipLost(
            led_term=control.led_term,
            term=raft.term,
            leader=raft.leader,
        )
        new_control = ControlState(tickets=control.tickets)
        return Step(replace(state, control=new_control), (record,))
    return Step(state)


def _is_first_leader(raft: RaftState) -> bool:
    """Whether no leader before this one can have granted anything.

    A leader grants only once an entry of its term is committed, so the first
    one's term stays at the start of the log.
    """
    return raft.log.base_index == 0 and raft.log.term_at(1) == raft.term


def _track_catch_up(state: NodeState, now: float) -> Step[NodeState]:
    """Record that this leader has applied all that its predecessors committed."""
    raft: RaftState = state.consensus
    control: ControlState = state.control
    if control.is_caught_up or not raft.is_leader or not has_committed_in_term(raft):
        return Step(state)
    record = LeaderCaughtUp(
        term=raft.term,
        revision=state.catalogue.revision,
        elapsed_ms=round((now - raft.elected_at) * 1000),
    )
    control = replace(control, is_caught_up=True)
    return Step(replace(state, control=control), (record,))


def _answer_undecided(state: NodeState) -> Step[NodeState]:
    """Answer "unknown" for pending changes once this VM does not lead any more.

    The next leader decides whether they are committed.
    """
    control: ControlState = state.control
    if state.consensus.is_leader or not control.tickets:
        return Step(state)
    result = ChangeResult(0, Refusal(Code.CHANGE_UNKNOWN, "send it again"))
    effects = tuple(
        answer_ticket(state, ticket, result) for ticket in control.tickets.values()
    )
    cleared = replace(control, tickets=type(control.tickets)())
    return Step(replace(state, control=cleared), effects)


def answer_ticket(state: NodeState, ticket: Ticket, result: ChangeResult) -> Effect:
    """Return the effect that sends a result to the proposer."""
    if not ticket.peer:
        return AnswerRequester(ticket.number, result)
    message = ProposalResult(ticket.number, result, state.consensus.leader)
    return SendToPeer(ticket.peer, message)


def _apply_committed(state: NodeState, now: float) -> Step[NodeState]:
    """Apply committed entries to the catalogue, and answer their proposers."""
    raft: RaftState = state.consensus
    if raft.last_applied >= raft.commit_index:
        return Step(state)
    catalogue = _get_log_catalogue(state)
    control: ControlState = state.control
    tickets = control.tickets
    effects: tuple[Effect, ...] = ()
    for index in range(raft.last_applied + 1, raft.commit_index + 1):
        entry = raft.log.entries[index]
        applied, records = _apply_entry(catalogue, entry)
        catalogue = applied.catalogue
        effects += records + (RecordAudit(entry, applied.result),)
        ticket = tickets.get(index)
        if ticket is not None:
            tickets = tickets.delete(index)
            effects += (answer_ticket(state, ticket, applied.result),)
    past = _keep_past_catalogue(control, state.catalogue)
    state = replace(
        state,
        consensus=replace(raft, last_applied=raft.commit_index),
        control=replace(control, tickets=tickets, past_catalogues=past),
    )
    adopted = adopt_log_catalogue(state, catalogue, now)
    return Step(adopted.state, effects + adopted.effects)


def _apply_entry(
    catalogue: Catalogue, entry: LogEntry
) -> tuple[AppliedChange, tuple[Effect, ...]]:
    """Apply an entry; one that cannot be applied changes nothing, on any VM.

    It is committed, so all VMs meet it, and again at each start.
    """
    try:
        return apply_proposal(catalogue, entry.index, entry.proposal), ()
    except Exception as exc:
        command = type(entry.proposal.command).__name__
        # The text of the exception may repeat a value of the entry, such as a key.
        detail = type(exc).__name__
        refusal = Refusal(Code.CHANGE_BAD, f"{command} cannot be applied: {detail}")
        result = ChangeResult(entry.index, refusal)
        unchanged = replace(catalogue, revision=entry.index)
        record = EntryNotApplied(index=entry.index, request=command, detail=detail)
        return AppliedChange(unchanged, result), (record,)


def _get_log_catalogue(state: NodeState) -> Catalogue:
    """Return the catalogue that the next log entry applies to."""
    if state.log_catalogue is None:
        return state.catalogue
    return state.log_catalogue


def adopt_log_catalogue(
    state: NodeState, catalogue: Catalogue, now: float
) -> Step[NodeState]:
    """Install the catalogue of this VM's log, once it is not behind the one in force.

    While this VM was offline, it has received newer catalogues from the leader. They
    lack parts that the log has, so one of the same revision is replaced.
    """
    if catalogue.revision < state.catalogue.revision:
        return Step(replace(state, log_catalogue=catalogue))
    state = replace(state, log_catalogue=None)
    if catalogue.revision == state.catalogue.revision:
        return Step(replace(state, catalogue=catalogue))
    return install_catalogue(state, catalogue, now)


def _keep_past_catalogue(control: ControlState, catalogue: Catalogue) -> Map:
    """Return the past catalogues with one more; they share unchanged parts."""
    if not control.led_term:
        return control.past_catalogues
    past = control.past_catalogues.set(catalogue.revision, catalogue)
    if len(past) <= MAX_PAST_CATALOGUES:
        return past
    return past.delete(min(past))


def _compact_log(state: NodeState) -> Step[NodeState]:
    if not is_compaction_due(state.consensus, SNAPSHOT_INTERVAL_ENTRIES):
        return Step(state)
    compacted = compact(state.consensus, _get_log_catalogue(state))
    return Step(replace(state, consensus=compacted.raft), compacted.effects)


def _send_snapshots(state: NodeState, now: float) -> Step[NodeState]:
    sent = send_snapshots(state.consensus, _get_log_catalogue(state), now)
    return Step(replace(state, consensus=sent.raft), sent.effects)
