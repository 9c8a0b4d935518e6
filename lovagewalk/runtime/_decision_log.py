"""Log lines for decisions on requests, and for changes of the state."""

import logging
from typing import TYPE_CHECKING
from zlib import crc32

from lovagewalk.core import LovageError, performs
from lovagewalk.groups import Position
from lovagewalk.node import NodeState
from lovagewalk.pools import OpenConnection, OpenFailure
from lovagewalk.records import (
    CallerClosed,
    EndpointPaceChanged,
    EndpointRefused,
    HttpRequestRefused,
    LogRecord,
    RequestAnswered,
    get_record_fields,
    get_record_format,
    record_types,
)
from lovagewalk.routing import AnswerCaller, CloseCaller

from ._http import HttpRequest

if TYPE_CHECKING:
    from ._ports import Ports

# One of this many answered requests is logged. The request id decides which, so that
# all VMs log the same requests.
SAMPLE_EVERY = 64
# Paths of valid requests are shorter; the rest of a longer one is not logged.
MAX_PATH_LENGTH = 128


class DecisionLog:
    """Logs decisions: all refusals, and a sample of the other answers.

    No line holds a key, a token or the text of a statement.
    """

    def __init__(self, ports: "Ports") -> None:
        self._ports = ports

    @property
    def _state(self) -> NodeState:
        return self._ports.state

    def log_answer(self, effect: AnswerCaller, elapsed_s: float) -> None:
        """Log an answer if it is a refusal or part of the sample."""
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
            min_position=_format_position(trace.min_position),
            session_position=_format_position(trace.session_position),
            term=trace.term,
            revision=trace.revision,
            version=self._state.catalogue.version,
            fresh_ms=round(fresh_s * 1000),
            outcome=outcome,
            detail=detail,
        )
        write_record(record)

    def log_close(self, effect: CloseCaller) -> None:
        """Log that a caller was refused or its connection closed."""
        label = effect.refusal.code.label
        revision = self._state.catalogue.revision
        write_record(CallerClosed(effect.caller, label, revision))

    def log_refused_connection(
        self, effect: OpenConnection, reason: OpenFailure, detail: str
    ) -> None:
        """Log that a connection to an endpoint could not be opened."""
        write_record(
            EndpointRefused(effect.endpoint, effect.group, reason.value, detail)
        )

    def log_refused_request(self, request: HttpRequest, exc: LovageError) -> None:
        """Log and count that a request was answered with an error."""
        subject = f"{request.method} {request.path[:MAX_PATH_LENGTH]}"
        record = HttpRequestRefused(subject, exc.code.label, exc.refusal.detail)
        _perform_record(self._ports, record)


def _format_position(position: Position | None) -> str:
    return f"{position.term}.{position.index}" if position is not None else ""


def write_record(record: LogRecord) -> None:
    """Write a record to the log of its part."""
    record_format = get_record_format(record)
    logger = logging.getLogger(f"lovagewalk.{record_format.part}")
    logger.info(record_format.message, extra=get_record_fields(record))


def _perform_record(ports: "Ports", effect: LogRecord) -> None:
    record_format = get_record_format(effect)
    ports.metrics.count_event(record_format.part, record_format.message)
    write_record(effect)


def _perform_pace_record(ports: "Ports", effect: EndpointPaceChanged) -> None:
    ports.metrics.count_pace_change(effect.endpoint, effect.state, effect.cause)
    _perform_record(ports, effect)


performs(EndpointPaceChanged)(_perform_pace_record)
for _record_type in record_types():
    if _record_type is not EndpointPaceChanged:
        performs(_record_type)(_perform_record)
