"""Database groups: instance status, quorum confirmation, data age."""

from ._effects import (
    AwaitPosition,
    CloseStatusConnections,
    PollInstance,
    ReplicationOrder,
)
from ._events import POLL_PERIOD_S, InstanceFailed, InstanceSeen, PollTick
from ._observations import (
    get_view,
    is_isolated_from_primary,
    record_missing_position,
    record_primary_failure,
    record_primary_proof,
)
from ._policy import (
    SUSPECT_AFTER_S,
    add_proof,
    add_sample,
    data_age,
    is_confirmed,
    is_primary_suspect,
    replica_has_applied,
    resolve_position,
    sample_since,
    translate_position,
    verify_samples,
)
from ._state import (
    ConfirmWaiter,
    GroupView,
    InstanceStatus,
    InstanceView,
    Position,
    PositionSample,
    Role,
)

__all__ = [
    "POLL_PERIOD_S",
    "SUSPECT_AFTER_S",
    "AwaitPosition",
    "CloseStatusConnections",
    "ConfirmWaiter",
    "GroupView",
    "InstanceFailed",
    "InstanceSeen",
    "InstanceStatus",
    "InstanceView",
    "PollInstance",
    "PollTick",
    "Position",
    "PositionSample",
    "ReplicationOrder",
    "Role",
    "add_proof",
    "add_sample",
    "data_age",
    "get_view",
    "is_confirmed",
    "is_isolated_from_primary",
    "is_primary_suspect",
    "record_missing_position",
    "record_primary_failure",
    "record_primary_proof",
    "replica_has_applied",
    "resolve_position",
    "sample_since",
    "translate_position",
    "verify_samples",
]
