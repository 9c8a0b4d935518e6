"""The reducer, the registries of its handlers, and the shell that runs them.

``reduce(state, event)`` is the whole interface of the decisions and needs no
socket; `Shell` runs it on an event loop. See docs/EMBEDDING.md for an example.
"""

from ._errors import Code, LovageError, Outcome, Refusal, RequirementFailed
from ._handlers import Handlers
from ._random import Draw, draw
from ._registry import (
    DuplicateHandlerError,
    UnknownTypeError,
    every,
    get_period_s,
    perform,
    performs,
    reduce,
    reduces,
)
from ._replace import replace
from ._shell import Shell
from ._timer import TimerService, boot_clock
from ._types import DependentEffect, Effect, Event, RequiredEffect, Step
from ._values import MAX_PORT, find_value_problem, parse_count

__all__ = [
    "Code",
    "DependentEffect",
    "Draw",
    "DuplicateHandlerError",
    "Effect",
    "Event",
    "Handlers",
    "LovageError",
    "MAX_PORT",
    "Outcome",
    "Refusal",
    "RequiredEffect",
    "RequirementFailed",
    "Shell",
    "Step",
    "TimerService",
    "UnknownTypeError",
    "boot_clock",
    "draw",
    "every",
    "find_value_problem",
    "get_period_s",
    "parse_count",
    "perform",
    "performs",
    "reduce",
    "reduces",
    "replace",
]
