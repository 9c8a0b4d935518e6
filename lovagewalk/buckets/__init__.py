"""Buckets that one daemon owns: who owns one, its queue, and requests for tokens.

A customer's burst may be too small to be divided among all daemons. The control leader
then lends the whole bucket to one entry daemon, its owner. The other daemons request
tokens there.
"""

from ._choice import choose_owner
from ._messages import (
    BucketOffer,
    BucketOwner,
    ForwardedAsk,
    PartOwner,
    TokenAdmission,
    TokenAnswer,
    TokenAsk,
    TokenDenial,
    TokenForward,
    TokenNeed,
)
from ._queue import (
    MAX_RETRY_AFTER_S,
    QUEUE_WAIT_FRACTION,
    DeniedNeed,
    QueuedNeed,
    admit_needs,
    deny_late_needs,
    insert_by_priority,
)

__all__ = [
    "MAX_RETRY_AFTER_S",
    "QUEUE_WAIT_FRACTION",
    "BucketOffer",
    "BucketOwner",
    "DeniedNeed",
    "ForwardedAsk",
    "PartOwner",
    "QueuedNeed",
    "TokenAdmission",
    "TokenAnswer",
    "TokenAsk",
    "TokenDenial",
    "TokenForward",
    "TokenNeed",
    "admit_needs",
    "choose_owner",
    "deny_late_needs",
    "insert_by_priority",
]
