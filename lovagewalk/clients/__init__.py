"""The budget of one process for its clients: their memory, descriptors and time.

All decisions are pure functions over `ClientBudget`; its reducers are imported by
`lovagewalk.daemon`.
"""

from ._effects import CloseClient, MeasureClients, PauseClient, ResumeClient
from ._events import (
    ClientConnected,
    ClientGone,
    ClientHeld,
    ClientsTick,
    ClientWaiting,
)
from ._limits import (
    DEFAULT_LIMITS,
    HOLDING_STEP_BYTES,
    MAX_STORED_BYTES,
    STATEMENT_COPIES,
    ClientLimits,
    LimitSettings,
    derive_limits,
)
from ._state import ClientBudget, ClientKind, Holding, create_budget

__all__ = [
    "DEFAULT_LIMITS",
    "HOLDING_STEP_BYTES",
    "MAX_STORED_BYTES",
    "STATEMENT_COPIES",
    "ClientBudget",
    "ClientConnected",
    "ClientGone",
    "ClientHeld",
    "ClientKind",
    "ClientLimits",
    "ClientWaiting",
    "ClientsTick",
    "CloseClient",
    "Holding",
    "LimitSettings",
    "MeasureClients",
    "PauseClient",
    "ResumeClient",
    "create_budget",
    "derive_limits",
]
