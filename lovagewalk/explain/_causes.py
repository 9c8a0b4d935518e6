"""The cause of a request's outcome, by the code of its answer."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from lovagewalk.core import Code, Handlers
from lovagewalk.records import (
    ConfigurationInForce,
    EndpointFull,
    EndpointHasRoom,
    EndpointRefused,
    LeadershipGained,
    LeadershipLost,
    LeaseGained,
    LeaseLost,
    PrimaryInstalled,
    PromotionBegun,
    PromotionOrdered,
    RequestAnswered,
    StatementFailedThere,
    sentence_of,
)

from ._lines import LogLine

ANSWERED = sentence_of(RequestAnswered)
# These messages report state of a VM, a group or control that may explain an answer.
CONTEXT_MESSAGES = frozenset(
    map(
        sentence_of,
        (
            LeaseLost,
            LeaseGained,
            ConfigurationInForce,
            PrimaryInstalled,
            PromotionBegun,
            PromotionOrdered,
            LeadershipGained,
            LeadershipLost,
            EndpointRefused,
            EndpointFull,
            EndpointHasRoom,
        ),
    )
) | {"daemon started", "daemon drains"}
# This number of lines fits on a screen together with the lines of the request.
MAX_CONTEXT_LINES = 12

Cause = Callable[[LogLine, Sequence[LogLine]], str]
_causes: Handlers[Code, Cause] = Handlers()
causes = _causes.on
_codes = {code.label: code for code in Code}


@dataclass(frozen=True, slots=True)
class Explanation:
    """The outcome of a request and its cause.

    Attributes
    ----------
    lines : tuple of LogLine
        The lines that hold the request id, oldest first.
    beliefs : tuple of LogLine
        Earlier lines on the state of the daemon, the group and the control VMs.
    cause : str
        The cause, in one sentence.
    """

    lines: tuple[LogLine, ...]
    beliefs: tuple[LogLine, ...]
    cause: str


def explain(request: str, records: Sequence[LogLine]) -> Explanation | None:
    """Return the outcome of a request, or None if no line holds its id."""
    ordered = sorted(records, key=lambda record: record.time)
    lines = tuple(r for r in ordered if r.get("request") == request)
    if not lines:
        return None
    answers = [line for line in lines if line.message == ANSWERED]
    last = answers[-1] if answers else lines[-1]
    beliefs = _context_before(last, ordered)
    if not answers:
        cause = (
            "No answer was logged: the daemon stopped first, or dropped the log line."
        )
        return Explanation(lines, beliefs, cause)
    cause = _causes.get(_codes.get(last.get("outcome"))) or _default_cause
    return Explanation(lines, beliefs, cause(last, lines + beliefs))


def _context_before(answer: LogLine, ordered: Sequence[LogLine]) -> tuple[LogLine, ...]:
    found = [
        record
        for record in ordered
        if record.message in CONTEXT_MESSAGES
        and record.time <= answer.time
        and (record.vm == answer.vm or record.part in ("groups", "control"))
    ]
    return tuple(found[-MAX_CONTEXT_LINES:])


def _latest(records: Sequence[LogLine], record_type: type) -> LogLine:
    """Return the latest line of a record type; an empty line if there is none."""
    sentence = sentence_of(record_type)
    for record in reversed(records):
        if record.message == sentence:
            return record
    return LogLine("", "", "", "")


def _default_cause(answer: LogLine, records: Sequence[LogLine]) -> str:
    if answer.get("outcome") == "ok":
        return (
            f"Answered in {answer.get('elapsed_ms')} ms by {answer.get('endpoint')} "
            f"after {answer.get('attempts')} attempts."
        )
    return f"Refused: {answer.get('detail')}."


@causes(Code.RATE_EXCEEDED)
def _rate_exceeded(answer: LogLine, records: Sequence[LogLine]) -> str:
    return (
        f"Customer {answer.get('customer')} had used up its rate and burst on "
        f"{answer.vm} for {answer.get('elapsed_ms')} ms: {answer.get('detail')}."
    )


@causes(Code.CONFIG_STALE)
def _catalogue_stale(answer: LogLine, records: Sequence[LogLine]) -> str:
    lost = _latest([r for r in records if r.vm == answer.vm], LeaseLost)
    since = f"since {lost.time}" if lost.time else "since before its log begins"
    return (
        f"{answer.vm} had no lease {since}: control had not answered it for "
        f"{lost.get('answered_ms_ago', 'an unknown number of')} ms, so it could not "
        "verify that the key is still valid."
    )


@causes(Code.KEY_UNKNOWN, Code.KEY_WITHDRAWN, Code.ROUTE_UNKNOWN, Code.ROUTE_FORBIDDEN)
def _not_admitted(answer: LogLine, records: Sequence[LogLine]) -> str:
    return (
        f"Configuration version {answer.get('version')} does not admit the request: "
        f"{answer.get('detail')}."
    )


@causes(Code.NO_ENDPOINT, Code.OVERLOADED)
def _no_endpoint(answer: LogLine, records: Sequence[LogLine]) -> str:
    begun = _latest(records, PromotionBegun)
    installed = _latest(records, PrimaryInstalled)
    if begun.time and begun.time > installed.time:
        return (
            f"The primary {begun.get('primary')} of {begun.get('group')} was being "
            f"replaced from {begun.time} on, {begun.get('silent_ms')} ms after its "
            "last answer to control."
        )
    if answer.get("phase") == "primary":
        return (
            f"It waited {answer.get('elapsed_ms')} ms for a primary: the primary of "
            f"term {answer.get('term')} did not accept it, and {answer.vm} knew no "
            f"later one at revision {answer.get('revision')}."
        )
    endpoint = answer.get("endpoint") or "any endpoint"
    lines = [r for r in records if r.vm == answer.vm and r.get("endpoint") == endpoint]
    full, recovered = _latest(lines, EndpointFull), _latest(lines, EndpointHasRoom)
    if full.time > recovered.time:
        return (
            f"It waited {answer.get('elapsed_ms')} ms for {endpoint}, which had been "
            f"full since {full.time}: {answer.vm} sent it one statement per backoff."
        )
    return (
        f"It waited {answer.get('elapsed_ms')} ms in phase {answer.get('phase')} for "
        f"{endpoint} and was sent {answer.get('attempts')} times: every endpoint was "
        "busy or full."
    )


@causes(Code.CONNECTION_LOST, Code.TIMED_OUT, Code.UNCONFIRMED)
def _in_doubt(answer: LogLine, records: Sequence[LogLine]) -> str:
    failed = _latest(records, StatementFailedThere)
    failure = failed.get("failure") or "no answer in time"
    return (
        f"{answer.get('endpoint')} may have run the {answer.get('kind')}: it was sent, "
        f"and its outcome is unknown: {failure}. A write is never sent again."
    )


@causes(Code.TRANSACTION_LOST)
def _transaction_lost(answer: LogLine, records: Sequence[LogLine]) -> str:
    failed = _latest(records, StatementFailedThere)
    failure = failed.get("failure") or answer.get("detail")
    return (
        f"Its transaction at {answer.get('endpoint') or failed.get('endpoint')} was "
        f"rolled back: {failure}."
    )


@causes(Code.DRAINING)
def _draining(answer: LogLine, records: Sequence[LogLine]) -> str:
    return f"{answer.vm} was being stopped and accepted no new operations."
