"""Control over the fleet: catalogue changes, leases, shares, primaries."""

from ._effects import (
    AnswerOperator,
    PromoteInstance,
    RecordAudit,
    SendOrder,
    StopDaemon,
)
from ._events import (
    ChangeRequested,
    ConsensusTick,
    ControlTick,
    DrainRequested,
    EndpointBeat,
    EndpointLeft,
    InstancePromoted,
    JournalFilled,
    Order,
    OrderAnswered,
    Ordered,
    PeerLost,
    PeerMessage,
    RepairTick,
    SeedsChanged,
    SwitchRequested,
)
from ._readiness import holds_shares, is_ready
from ._state import LEASE_S, ControlState, FollowState

__all__ = [
    "LEASE_S",
    "AnswerOperator",
    "ChangeRequested",
    "ConsensusTick",
    "ControlState",
    "ControlTick",
    "DrainRequested",
    "EndpointBeat",
    "EndpointLeft",
    "FollowState",
    "InstancePromoted",
    "JournalFilled",
    "Order",
    "OrderAnswered",
    "Ordered",
    "PeerLost",
    "PeerMessage",
    "PromoteInstance",
    "RecordAudit",
    "RepairTick",
    "SeedsChanged",
    "SendOrder",
    "StopDaemon",
    "SwitchRequested",
    "holds_shares",
    "is_ready",
]
