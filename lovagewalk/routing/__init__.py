"""Routing of statements: where a request runs and how its caller is answered."""

from ._closing import is_closed
from ._effects import (
    AcceptCaller,
    AnswerCaller,
    CloseCaller,
    DiscardSettings,
    DropResult,
    HurryReport,
    OnceMark,
    PrepareShape,
    RequestTrace,
    RunStatement,
)
from ._events import (
    CallerConnected,
    CallerLeft,
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
    Detail,
    Marks,
    NamedStatement,
    PrepareStatement,
    SetValue,
    StatementKind,
)

__all__ = [
    "NO_MARKS",
    "AcceptCaller",
    "AnswerCaller",
    "CallerConnected",
    "CallerLeft",
    "CallerReset",
    "CloseCaller",
    "Detail",
    "DiscardSettings",
    "DropResult",
    "Failure",
    "HurryReport",
    "Marks",
    "NamedStatement",
    "OnceMark",
    "Phase",
    "PrepareShape",
    "PrepareStatement",
    "Request",
    "RequestTrace",
    "RunStatement",
    "SetValue",
    "StatementArrived",
    "StatementDone",
    "StatementFailed",
    "StatementKind",
    "StatementRejected",
    "StreamEnded",
    "is_closed",
]
