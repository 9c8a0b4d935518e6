"""The cause of a request's outcome, by the code of its answer."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from lovagewalk.core import Code, Handlers
from lovagewalk.records import (
    BucketOffered,
    BucketPartChanged,
    ConfigurationInstalled,
    EndpointRecovered,
    EndpointRefused,
    EndpointSaturated,
    EndpointStatementFailed,
    EvacuationWithdrawn,
    LeadershipGained,
    LeadershipLost,
    LeaseGained,
    LeaseLost,
    OwnerSilent,
    PrimaryInstalled,
    PromotionOrdered,
    PromotionStarted,
    RequestAnswered,
    ZoneEvacuated,
    get_record_message,
)

from ._lines import LogLine

ANSWERED_MESSAGE = get_record_message(RequestAnswered)
# These messages report state of a VM, a group or control that may explain an answer.
CONTEXT_MESSAGES = frozenset(
    map(
        get_record_message,
        (
            LeaseLost,
            LeaseGained,
            ConfigurationInstalled,
            PrimaryInstalled,
            PromotionStarted,
            PromotionOrdered,
            LeadershipGained,
            LeadershipLost,
            EndpointRefused,
            EndpointSaturated,
            EndpointRecovered,
            BucketOffered,
            BucketPartChanged,
            OwnerSilent,
            ZoneEvacuated,
            EvacuationWithdrawn,
        ),
    )
) | {"daemon started", "daemon drains"}
# This number of lines fits on a screen together with the lines of the request.
MAX_CONTEXT_LINES = 12

CauseFunction = Callable[[LogLine, Sequence[LogLine]], str]
_cause_functions: Handlers[Code, CauseFunction] = Handlers()
explains = _cause_functions.on
_codes_by_label = {code.label: code for code in Code}


@dataclass(frozen=True, slots=True)
class Explanation:
    """The outcome of a request and its cause.

    Attributes
    ----------
    lines : tuple of LogLine
        The lines that hold the request id, oldest first.
    context : tuple of LogLine
        Earlier lines on the state of the daemon, the group and the control VMs.
    cause : str
        The cause, in one sentence.
    """

    lines: tuple[LogLine, ...]
    context: tuple[LogLine, ...]
    cause: str


def explain(request: str, log_lines: Sequence[LogLine]) -> Explanation | None:
    """Return the outcome of a request, or None if no line holds its id."""
    sorted_lines = sorted(log_lines, key=lambda line: line.time)
    lines = tuple(line for line in sorted_lines if line.get("request") == request)
    if not lines:
        return None
    answer_lines = [line for line in lines if line.message == ANSWERED_MESSAGE]
    last_line = answer_lines[-1] if answer_lines else lines[-1]
    context = _context_lines_before(last_line, sorted_lines)
    if not answer_lines:
        cause = (
            "No answer was logged: the daemon stopped first, or dropped the log line."
        )
        return Explanation(lines, context, cause)
    find_cause = (
        _cause_functions.get(_codes_by_label.get(last_line.get("outcome")))
        or _default_cause
    )
    return Explanation(lines, context, find_cause(last_line, lines + context))


def _context_lines_before(
    answer: LogLine, sorted_lines: Sequence[LogLine]
) -> tuple[LogLine, ...]:
    context = [
        line
        for line in sorted_lines
        if line.message in CONTEXT_MESSAGES
        and line.time <= answer.time
        and (line.vm == answer.vm or line.part in ("groups", "control"))
    ]
    return tuple(context[-MAX_CONTEXT_LINES:])


def _latest(log_lines: Sequence[LogLine], record_type: type) -> LogLine:
    """Return the latest line of a record type; an empty line if there is none."""
    message = get_record_message(record_type)
    for line in reversed(log_lines):
        if line.message == message:
            return line
    return LogLine("", "", "", "")


def _default_cause(answer: LogLine, log_lines: Sequence[LogLine]) -> str:
    if answer.get("outcome") == "ok":
        return (
            f"Answered in {answer.get('elapsed_ms')} ms by {answer.get('endpoint')} "
            f"after {answer.get('attempts')} attempts."
        )
    return f"Refused: {answer.get('detail')}."


@explains(Code.RATE_EXCEEDED)
def _rate_exceeded(answer: LogLine, log_lines: Sequence[LogLine]) -> str:
    return (
        f"Customer {answer.get('customer')} had used up its rate and burst on "
        f"{answer.vm} for {answer.get('elapsed_ms')} ms: {answer.get('detail')}."
    )


@explains(Code.RATE_UNKNOWN)
def _control_silent(answer: LogLine, log_lines: Sequence[LogLine]) -> str:
    return (
        f"{answer.vm} had no answer of control, and knew no owner of the bucket of "
        f"customer {answer.get('customer')}, so no token could come in time."
    )


@explains(Code.CONFIG_STALE)
def _lease_lost(answer: LogLine, log_lines: Sequence[LogLine]) -> str:
    lease_lost = _latest(
        [line for line in log_lines if line.vm == answer.vm], LeaseLost
    )
    since = (
        f"since {lease_lost.time}" if lease_lost.time else "since before its log begins"
    )
    return (
        f"{answer.vm} had no lease {since}: control had not answered it for "
        f"{lease_lost.get('answered_ms_ago', 'an unknown number of')} ms, so it could "
        "not verify that the key is still valid."
    )


@explains(
    Code.KEY_UNKNOWN, Code.KEY_WITHDRAWN, Code.ROUTE_UNKNOWN, Code.ROUTE_FORBIDDEN
)
def _not_admitted(answer: LogLine, log_lines: Sequence[LogLine]) -> str:
    return (
        f"Configuration version {answer.get('version')} does not admit the request: "
        f"{answer.get('detail')}."
    )


@explains(Code.NO_ENDPOINT, Code.OVERLOADED)
def _no_endpoint(answer: LogLine, log_lines: Sequence[LogLine]) -> str:
    promotion = _latest(log_lines, PromotionStarted)
    installation = _latest(log_lines, PrimaryInstalled)
    evacuation = _latest(log_lines, ZoneEvacuated)
    if "evacuated" in str(answer.get("detail")):
        return (
            f"Only endpoints in evacuated zones could serve it; {answer.vm} had known "
            f"of the evacuation of {evacuation.get('zone')} since {evacuation.time}."
        )
    if promotion.time and promotion.time > installation.time:
        return (
            f"The primary {promotion.get('primary')} of {promotion.get('group')} was "
            f"being replaced from {promotion.time} on, {promotion.get('silent_ms')} ms "
            "after its last answer to control."
        )
    if answer.get("phase") == "primary":
        return (
            f"It waited {answer.get('elapsed_ms')} ms for a primary: the primary of "
            f"term {answer.get('term')} did not accept it, and {answer.vm} knew no "
            f"later one at revision {answer.get('revision')}."
        )
    endpoint = answer.get("endpoint") or "any endpoint"
    endpoint_lines = [
        line
        for line in log_lines
        if line.vm == answer.vm and line.get("endpoint") == endpoint
    ]
    saturation, recovery = (
        _latest(endpoint_lines, EndpointSaturated),
        _latest(endpoint_lines, EndpointRecovered),
    )
    if saturation.time > recovery.time:
        return (
            f"It waited {answer.get('elapsed_ms')} ms for {endpoint}, which had been "
            f"full since {saturation.time}: {answer.vm} sent it one statement per "
            "backoff."
        )
    return (
        f"It waited {answer.get('elapsed_ms')} ms in phase {answer.get('phase')} for "
        f"{endpoint} and was sent {answer.get('attempts')} times: every endpoint was "
        "busy or full."
    )


@explains(Code.CONNECTION_LOST, Code.TIMED_OUT, Code.UNCONFIRMED)
def _outcome_unknown(answer: LogLine, log_lines: Sequence[LogLine]) -> str:
    failed = _latest(log_lines, EndpointStatementFailed)
    failure = failed.get("failure") or "no answer in time"
    return (
        f"{answer.get('endpoint')} may have run the {answer.get('kind')}: it was sent, "
        f"and its outcome is unknown: {failure}. A write is never sent again."
    )


@explains(Code.TRANSACTION_LOST)
def _transaction_lost(answer: LogLine, log_lines: Sequence[LogLine]) -> str:
    failed = _latest(log_lines, EndpointStatementFailed)
    failure = failed.get("failure") or answer.get("detail")
    return (
        f"Its transaction at {answer.get('endpoint') or failed.get('endpoint')} was "
        f"rolled back: {failure}."
    )


@explains(Code.DRAINING)
def _draining(answer: LogLine, log_lines: Sequence[LogLine]) -> str:
    return f"{answer.vm} was being stopped and accepted no new operations."
