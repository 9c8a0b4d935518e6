"""Control over the fleet: catalogue changes, leases, shares, primaries."""

from ._effects import (
    AnswerRequester,
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
    EndpointHeartbeat,
    EndpointLeft,
    JournalFilled,
    Order,
    OrderAnswered,
    PeerLost,
    PeerMessage,
    PromotionAnswered,
    PromotionOutcome,
    RepairTick,
    SeedsChanged,
    SwitchRequested,
)
from ._readiness import holds_shares, is_ready
from ._state import LEASE_S, ControlState, FollowState

__all__ = [
    "LEASE_S",
    "AnswerRequester",
    "ChangeRequested",
    "ConsensusTick",
    "ControlState",
    "ControlTick",
    "DrainRequested",
    "EndpointHeartbeat",
    "EndpointLeft",
    "FollowState",
    "JournalFilled",
    "Order",
    "OrderAnswered",
    "PeerLost",
    "PeerMessage",
    "PromoteInstance",
    "PromotionAnswered",
    "PromotionOutcome",
    "RecordAudit",
    "RepairTick",
    "SeedsChanged",
    "SendOrder",
    "StopDaemon",
    "SwitchRequested",
    "holds_shares",
    "is_ready",
]
