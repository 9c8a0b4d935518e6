"""Effects of the consensus module. Performers run them strictly in order."""

from dataclasses import dataclass
from typing import Any

from lovagewalk.catalogue import Catalogue, ControlVoter
from lovagewalk.core import DependentEffect, RequiredEffect

from ._messages import LogEntry


@dataclass(frozen=True, slots=True)
class PersistVote(RequiredEffect):
    """Sync the term and the vote to disk before any later message is sent."""

    term: int
    voted_for: str


@dataclass(frozen=True, slots=True)
class PersistVoters(RequiredEffect):
    """Sync the initial voters of a new fleet."""

    voters: tuple[ControlVoter, ...]


@dataclass(frozen=True, slots=True)
class PersistEntries(RequiredEffect):
    """Sync log entries; they replace all entries from the first index on."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class PersistSnapshot(RequiredEffect):
    """Sync a snapshot and drop the entries that it covers.

    Attributes
    ----------
    keep : tuple of LogEntry
        Entries after `index`, which stay in the log.
    """

    index: int
    index_term: int
    voters: tuple[ControlVoter, ...]
    catalogue: Catalogue
    keep: tuple[LogEntry, ...]
    term: int
    voted_for: str


@dataclass(frozen=True, slots=True)
class SendToPeer(DependentEffect):
    """Send a message to a peer daemon; delivery is not guaranteed."""

    peer: str
    message: Any
