"""Routing of statements: where a request runs and how its caller is answered."""

from ._dispatch import may_send
from ._draining import begin_drain, plan_drain, refuses_operations
from ._effects import (
    AcceptCaller,
    AnswerCaller,
    CheckReportDue,
    CloseCaller,
    DiscardResult,
    DiscardSettings,
    OnceId,
    PrepareShape,
    RequestTrace,
    RunStatement,
)
from ._events import (
    CallerConnected,
    CallerDisconnected,
    CallerReset,
    Failure,
    StatementArrived,
    StatementDone,
    StatementFailed,
    StatementRejected,
    StreamEnded,
)
from ._state import Phase, Request
from ._types import (
    NO_MARKS,
    Marks,
    NamedStatement,
    PrepareStatement,
    SessionStatement,
    SetVariable,
    StatementKind,
)

__all__ = [
    "NO_MARKS",
    "AcceptCaller",
    "AnswerCaller",
    "CallerConnected",
    "CallerDisconnected",
    "CallerReset",
    "CheckReportDue",
    "CloseCaller",
    "DiscardResult",
    "DiscardSettings",
    "Failure",
    "Marks",
    "NamedStatement",
    "OnceId",
    "Phase",
    "PrepareShape",
    "PrepareStatement",
    "Request",
    "RequestTrace",
    "RunStatement",
    "SessionStatement",
    "SetVariable",
    "StatementArrived",
    "StatementDone",
    "StatementFailed",
    "StatementKind",
    "StatementRejected",
    "StreamEnded",
    "begin_drain",
    "may_send",
    "plan_drain",
    "refuses_operations",
]
