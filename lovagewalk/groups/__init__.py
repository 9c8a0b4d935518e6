"""Database groups: instance status, quorum confirmation, data age."""

from ._effects import AwaitPosition, ForgetInstance, PollInstance, Receiving
from ._events import POLL_PERIOD_S, InstanceFailed, InstanceSeen, PollTick
from ._observations import is_cut_off, note_lacking, note_proof, note_trouble, view_of
from ._policy import (
    SUSPECT_AFTER_S,
    add_proof,
    add_sample,
    data_age,
    is_confirmed,
    is_primary_suspect,
    replica_holds,
    resolve,
    sample_since,
    translate,
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
    "ConfirmWaiter",
    "ForgetInstance",
    "GroupView",
    "InstanceFailed",
    "InstanceSeen",
    "InstanceStatus",
    "InstanceView",
    "PollInstance",
    "PollTick",
    "Position",
    "PositionSample",
    "Receiving",
    "Role",
    "add_proof",
    "add_sample",
    "data_age",
    "is_confirmed",
    "is_cut_off",
    "is_primary_suspect",
    "note_lacking",
    "note_proof",
    "note_trouble",
    "replica_holds",
    "resolve",
    "sample_since",
    "translate",
    "verify_samples",
    "view_of",
]
