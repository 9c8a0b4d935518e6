"""What daemons log of their decisions and beliefs, as typed records."""

from ._kinds import LogRecord, RecordKind, fields_of, kind_of, record_types, sentence_of
from ._records import (
    CallerClosed,
    ConfigurationInForce,
    EndpointFull,
    EndpointHasRoom,
    EndpointRefused,
    LeadershipGained,
    LeadershipLost,
    LeaseGained,
    LeaseLost,
    PrimaryInstalled,
    PromotionBegun,
    PromotionOrdered,
    RequestAnswered,
    StatementFailedThere,
    VotersChange,
)

__all__ = [
    "CallerClosed",
    "ConfigurationInForce",
    "EndpointFull",
    "EndpointHasRoom",
    "EndpointRefused",
    "LeadershipGained",
    "LeadershipLost",
    "LeaseGained",
    "LeaseLost",
    "LogRecord",
    "PrimaryInstalled",
    "PromotionBegun",
    "PromotionOrdered",
    "RecordKind",
    "RequestAnswered",
    "StatementFailedThere",
    "VotersChange",
    "fields_of",
    "kind_of",
    "record_types",
    "sentence_of",
]
