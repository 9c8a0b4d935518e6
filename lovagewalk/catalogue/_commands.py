"""Commands that change the catalogue through the control log."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from lovagewalk.core import Handlers

from ._state import (
    ControlVoter,
    CustomerEntry,
    Endpoint,
    GroupLimits,
    KeyEntry,
    RouteEntry,
    TermStart,
    Voter,
)


@dataclass(frozen=True, slots=True)
class NoChange:
    """Change nothing; the first log entry of a new leader."""


@dataclass(frozen=True, slots=True)
class PutCustomer:
    """Write a customer entry if its revision is still `expected` (0: absent)."""

    entry: CustomerEntry
    expected: int


@dataclass(frozen=True, slots=True)
class PutRoute:
    """Write a route entry if its revision is still `expected` (0: absent)."""

    entry: RouteEntry
    expected: int


@dataclass(frozen=True, slots=True)
class IssueKey:
    """Add a key of a customer; only the digest of its secret is logged."""

    key_id: str
    customer: str
    digest: str


@dataclass(frozen=True, slots=True)
class WithdrawKey:
    """Withdraw a key permanently."""

    key_id: str


@dataclass(frozen=True, slots=True)
class AnnounceEndpoint:
    """Add an endpoint or change its address, limits or `leaving` flag."""

    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class ForgetEndpoint:
    """Remove an endpoint that has left."""

    name: str


@dataclass(frozen=True, slots=True)
class AllocateTerm:
    """Allocate the next term of a group to one promotion attempt."""

    group: str
    term: int


@dataclass(frozen=True, slots=True)
class AllocateFence:
    """Allocate a fence to one promotion attempt: the log index of this entry."""

    group: str


@dataclass(frozen=True, slots=True)
class InstallTerm:
    """Make a promoted primary and its voters the group's configuration."""

    group: str
    term: int
    primary: str
    voters: tuple[Voter, ...]
    start: TermStart


@dataclass(frozen=True, slots=True)
class AccessCount:
    """Statements of one customer on one daemon over one interval.

    Attributes
    ----------
    code : str
        ``ok`` or the label of a refusal.
    """

    customer: str
    code: str
    count: int


@dataclass(frozen=True, slots=True)
class RecordAccess:
    """Counts of accepted and refused statements, for the audit trail.

    Attributes
    ----------
    batch : str
        Identifies this report among those of the daemon; a resend has the same.
    """

    daemon: str
    batch: str
    counts: tuple[AccessCount, ...]


@dataclass(frozen=True, slots=True)
class ChangeControlVoters:
    """Change the set of voting control VMs by one VM."""

    voters: tuple[ControlVoter, ...]


@dataclass(frozen=True, slots=True)
class NoteHolder:
    """Record that a process of a daemon may hold shares of customers' rates.

    Once every recorded holder has reported its shares, a new control leader need
    not wait for the leases of older shares to expire.

    Attributes
    ----------
    boot : str
        Identity of the daemon's process; empty once it no longer holds shares.
    """

    daemon: str
    boot: str


@dataclass(frozen=True, slots=True)
class NoteDivided:
    """Record customers whose rates are divided into shares that daemons may hold.

    A new control leader can grant tokens of all other customers at once.
    """

    customers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReplaceConfiguration:
    """Replace routes, customers, keys and group limits as a whole.

    A version that is not higher than the catalogue's changes nothing.

    Attributes
    ----------
    document : bytes
        The configuration as sent, returned when it is queried.
    """

    version: int
    routes: tuple[RouteEntry, ...]
    customers: tuple[CustomerEntry, ...]
    keys: tuple[KeyEntry, ...]
    groups: tuple[GroupLimits, ...]
    idle_transaction_s: float = 0.0
    document: bytes = field(default=b"", repr=False)


@dataclass(frozen=True, slots=True)
class SetZoneEvacuation:
    """Evacuate an availability zone, or withdraw its evacuation.

    Attributes
    ----------
    in_settings : bool
        Whether the settings of the VM that was asked name the zone.
    seen : int
        Revision of the catalogue at that VM when it was asked.
    """

    zone: str
    evacuated: bool
    in_settings: bool = False
    seen: int = 0


Command = (
    NoChange
    | ReplaceConfiguration
    | NoteDivided
    | NoteHolder
    | ChangeControlVoters
    | PutCustomer
    | PutRoute
    | IssueKey
    | WithdrawKey
    | AnnounceEndpoint
    | ForgetEndpoint
    | AllocateTerm
    | AllocateFence
    | InstallTerm
    | RecordAccess
    | SetZoneEvacuation
)


@dataclass(frozen=True, slots=True)
class Proposal:
    """A command proposed for the log.

    Attributes
    ----------
    request_id : str
        Chosen by the proposer; a resend with the same id gets the first answer.
    operator : str
        Name of the proposer, for the audit trail.
    proposed_at : float
        Wall clock time at the proposer in seconds, for the audit trail only.
    """

    request_id: str
    operator: str
    proposed_at: float
    command: Command


# Encoded entries take up to five times the bytes of the document that lists them.
BYTES_PER_DOCUMENT_BYTE = 6
# A command that describes one entry, with names of at most 256 characters.
COMMAND_BYTES = 2048
# One of many counts or names in a command.
ITEM_BYTES = 512

SizeEstimator = Callable[[Any], int]
_size_estimators: Handlers[type, SizeEstimator] = Handlers()
estimates_size = _size_estimators.on


def estimate_size(command: Command) -> int:
    """Return an upper estimate of a command's encoded size, in bytes."""
    estimator = _size_estimators.get(type(command))
    return COMMAND_BYTES + (estimator(command) if estimator else 0)


@estimates_size(ReplaceConfiguration)
def _configuration_size(command: ReplaceConfiguration) -> int:
    return len(command.document) * BYTES_PER_DOCUMENT_BYTE


@estimates_size(RecordAccess)
def _access_size(command: RecordAccess) -> int:
    return len(command.counts) * ITEM_BYTES


@estimates_size(NoteDivided)
def _divided_size(command: NoteDivided) -> int:
    return len(command.customers) * ITEM_BYTES


def control_proposal(command: Command) -> Proposal:
    """Return a proposal by the control leader itself, without an operator."""
    return Proposal("", "control", 0.0, command)
