"""A stand-in for an instance of a database group, with replication and faults."""

from . import _reducer
from ._announce import Announcement, announce_once, announce_periodically, next_sequence
from ._server import Standin, StandinSettings

__all__ = [
    "Announcement",
    "Standin",
    "StandinSettings",
    "announce_periodically",
    "announce_once",
    "next_sequence",
]

_REGISTERED = (_reducer,)
