"""Answers requests for the latest catalogue."""

from zlib import crc32

from lovagewalk.consensus import RaftState
from lovagewalk.core import Code, Refusal, Step
from lovagewalk.node import NodeState
from lovagewalk.records import CatalogueRead

from ._effects import AnswerReader, CatalogueReadResult
from ._events import CatalogueRequested


def on_catalogue_requested(
    state: NodeState, event: CatalogueRequested
) -> Step[NodeState]:
    """Answer with the catalogue while it is known to be the latest."""
    result = CatalogueReadResult(state.catalogue)
    if event.at >= state.fresh_until:
        result = CatalogueReadResult(None, Refusal(Code.CONFIG_STALE))
    elif event.with_document and not state.catalogue.document:
        refusal = Refusal(Code.CONFIG_STALE, "this VM does not hold the document")
        result = CatalogueReadResult(None, refusal)
    record = _build_record(state, result, event.at)
    return Step(state, (record, AnswerReader(event.ticket, result)))


def _build_record(
    state: NodeState, result: CatalogueReadResult, now: float
) -> CatalogueRead:
    raft: RaftState | None = state.consensus
    catalogue = state.catalogue
    return CatalogueRead(
        version=catalogue.version,
        revision=catalogue.revision,
        document_crc=f"{crc32(catalogue.document):08x}",
        fresh_ms=round((state.fresh_until - now) * 1000),
        role=raft.role.value if raft else "none",
        target=state.follow.target,
        outcome=result.refusal.code.label if result.refusal else "ok",
    )
