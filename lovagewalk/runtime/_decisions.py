"""Log lines for decisions on requests, and for changed beliefs."""

import logging
from typing import TYPE_CHECKING
from zlib import crc32

from lovagewalk.core import performs
from lovagewalk.node import NodeState
from lovagewalk.pools import OpenConnection, OpenFailure
from lovagewalk.records import (
    CallerClosed,
    EndpointRefused,
    LogRecord,
    RequestAnswered,
    fields_of,
    kind_of,
    record_types,
)
from lovagewalk.routing import AnswerCaller, CloseCaller

if TYPE_CHECKING:
    from ._ports import Ports

# One answered request in so many is logged; the same ones on every VM.
SAMPLE_EVERY = 64


class Decisions:
    """Writes a line for each decision that is worth one.

    No line holds a key, a token or the text of a statement.
    """

    def __init__(self, ports: "Ports") -> None:
        self._ports = ports

    @property
    def _state(self) -> NodeState:
        return self._ports.state

    def note_answer(self, effect: AnswerCaller, elapsed_s: float) -> None:
        """Log an answer: each refusal, and a sample of the rest."""
        trace = effect.trace
        sampled = crc32(trace.request_id.encode()) % SAMPLE_EVERY == 0
        if effect.refusal is None and not sampled:
            return
        outcome, detail = "ok", ""
        if effect.refusal is not None:
            outcome, detail = effect.refusal.code.label, str(effect.refusal)
        fresh_s = self._state.fresh_until - self._ports.now()
        record = RequestAnswered(
            request=trace.request_id,
            customer=effect.customer,
            route=trace.route,
            kind=trace.kind.value,
            phase=trace.phase.value,
            endpoint=trace.endpoint,
            attempts=trace.attempts,
            elapsed_ms=round(elapsed_s * 1000, 1),
            term=trace.term,
            revision=trace.revision,
            version=self._state.catalogue.version,
            fresh_ms=round(fresh_s * 1000),
            outcome=outcome,
            detail=detail,
        )
        write_record(record)

    def note_close(self, effect: CloseCaller) -> None:
        """Log that a caller was turned away or closed."""
        label = effect.refusal.code.label
        revision = self._state.catalogue.revision
        write_record(CallerClosed(effect.caller, label, revision))

    def note_refused_connection(
        self, effect: OpenConnection, reason: OpenFailure, detail: str
    ) -> None:
        """Log that an endpoint could not be connected to."""
        write_record(
            EndpointRefused(effect.endpoint, effect.group, reason.value, detail)
        )


def write_record(record: LogRecord) -> None:
    """Write a record's line."""
    kind = kind_of(record)
    part = logging.getLogger(f"lovagewalk.{kind.part}")
    part.info(kind.sentence, extra=fields_of(record))


def _perform_record(ports: "Ports", effect: LogRecord) -> None:
    kind = kind_of(effect)
    ports.metrics.note_event(kind.part, kind.sentence)
    write_record(effect)


for _record_type in record_types():
    performs(_record_type)(_perform_record)
