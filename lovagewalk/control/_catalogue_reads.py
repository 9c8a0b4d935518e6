"""Answers requests for the latest catalogue.

A lease says that the catalogue was the latest some seconds ago, which is enough to
serve callers but not to answer an operator. A request is answered once the leader has
answered a report that was sent after the request came, and this daemon has applied the
revision that the leader stated.
"""

from zlib import crc32

from lovagewalk.consensus import RaftState
from lovagewalk.core import Code, Effect, Refusal, Step, replace
from lovagewalk.node import NodeState
from lovagewalk.records import CatalogueRead
from lovagewalk.routing import CheckReportDue

from ._effects import AnswerReader, CatalogueReadResult
from ._events import CatalogueRequested
from ._state import FollowState, PendingRead

# Several round trips between regions; a reader waits for a second at most.
READ_WAIT_S = 0.8
NO_DOCUMENT = "document not held here"


def on_catalogue_requested(
    state: NodeState, event: CatalogueRequested
) -> Step[NodeState]:
    """Wait for the leader's confirmation, unless it is known that none will come."""
    read = PendingRead(event.ticket, event.at, event.with_document)
    if event.at >= state.fresh_until:
        return Step(state, _refuse(state, read, "no lease", event.at))
    if _lacks_document(state, read):
        return Step(state, _refuse(state, read, NO_DOCUMENT, event.at))
    follow: FollowState = state.follow
    follow = replace(follow, reads=follow.reads + (read,))
    return Step(replace(state, follow=follow), (CheckReportDue(),))


def confirm_reads(state: NodeState, sent_at: float, revision: int) -> NodeState:
    """Record that `revision` was the latest after a report was sent.

    Parameters
    ----------
    sent_at : float
        When the report was sent, in monotonic seconds.
    """
    follow: FollowState = state.follow
    reads = tuple(
        (
            replace(read, min_revision=revision)
            if read.min_revision is None and read.requested_at <= sent_at
            else read
        )
        for read in follow.reads
    )
    return replace(state, follow=replace(follow, reads=reads))


def answer_reads(state: NodeState, now: float) -> Step[NodeState]:
    """Answer the confirmed reads, and refuse those that have waited too long.

    The document may be lost while a read waits, if the disk refuses a write.
    """
    follow: FollowState = state.follow
    remaining: tuple[PendingRead, ...] = ()
    effects: tuple[Effect, ...] = ()
    for read in follow.reads:
        is_confirmed = read.min_revision is not None
        if _lacks_document(state, read):
            effects += _refuse(state, read, NO_DOCUMENT, now)
        elif is_confirmed and state.catalogue.revision >= read.min_revision:
            result = CatalogueReadResult(state.catalogue)
            effects += _answer(state, read, result, now)
        elif now - read.requested_at >= READ_WAIT_S:
            effects += _refuse(state, read, "not confirmed in time", now)
        else:
            remaining += (read,)
    if not effects:
        return Step(state)
    return Step(replace(state, follow=replace(follow, reads=remaining)), effects)


def _lacks_document(state: NodeState, read: PendingRead) -> bool:
    return read.with_document and not state.catalogue.document


def has_unconfirmed_reads(follow: FollowState) -> bool:
    """Whether a read waits for the answer to a report."""
    return any(read.min_revision is None for read in follow.reads)


def _refuse(
    state: NodeState, read: PendingRead, detail: str, now: float
) -> tuple[Effect, ...]:
    refusal = Refusal(Code.CONFIG_STALE, detail)
    return _answer(state, read, CatalogueReadResult(None, refusal), now)


def _answer(
    state: NodeState, read: PendingRead, result: CatalogueReadResult, now: float
) -> tuple[Effect, ...]:
    raft: RaftState | None = state.consensus
    catalogue = state.catalogue
    record = CatalogueRead(
        version=catalogue.version,
        revision=catalogue.revision,
        document_crc=f"{crc32(catalogue.document):08x}",
        fresh_ms=round((state.fresh_until - now) * 1000),
        waited_ms=round((now - read.requested_at) * 1000),
        role=raft.role.value if raft else "none",
        target=state.follow.target,
        outcome=result.refusal.code.label if result.refusal else "ok",
        detail=result.refusal.detail if result.refusal else "",
    )
    return (record, AnswerReader(read.ticket, result))
