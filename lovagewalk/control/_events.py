"""Events of control."""

from dataclasses import dataclass
from enum import Enum
from typing import Any

from lovagewalk.catalogue import Catalogue, Endpoint, Proposal
from lovagewalk.consensus import RaftState
from lovagewalk.core import Event, Refusal, every
from lovagewalk.groups import InstanceStatus

# Elections and heartbeats are checked more than twice per heartbeat interval, 50 ms.
CONSENSUS_PERIOD_S = 0.02
# This bounds the delay of a decision. It is an eighth of the time after which an
# unresponsive primary is suspected.
CONTROL_PERIOD_S = 0.05
# Repairs take seconds, so they need no shorter period; a tick takes 9 ms at 400
# groups, see CAPACITY.md.
REPAIR_PERIOD_S = 0.25


@every(CONSENSUS_PERIOD_S)
@dataclass(frozen=True, slots=True)
class ConsensusTick(Event):
    """Periodic check of elections and heartbeats."""


@every(CONTROL_PERIOD_S)
@dataclass(frozen=True, slots=True)
class ControlTick(Event):
    """Periodic check of leases, suspicions and failovers."""


@every(REPAIR_PERIOD_S)
@dataclass(frozen=True, slots=True)
class RepairTick(Event):
    """Periodic check of voters and of instances that do not follow the primary."""


@dataclass(frozen=True, slots=True)
class SeedsChanged(Event):
    """The settings were reloaded; `seeds` are the control VMs to contact first."""

    seeds: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CatalogueRequested(Event):
    """An operator requests the latest catalogue.

    Attributes
    ----------
    with_document : bool
        Whether the configuration as the operator sent it is part of the request.
    """

    ticket: int
    with_document: bool = False


@dataclass(frozen=True, slots=True)
class PeerLost(Event):
    """The connection to a daemon was closed or could not be set up."""

    peer: str


@dataclass(frozen=True, slots=True)
class PeerMessage(Event):
    """A message from an authenticated daemon."""

    peer: str
    message: Any


@dataclass(frozen=True, slots=True)
class ChangeRequested(Event):
    """An operator, or an endpoint that announces itself, requests a change."""

    ticket: int
    proposal: Proposal


@dataclass(frozen=True, slots=True)
class SwitchRequested(Event):
    """An operator requests another primary."""

    ticket: int
    group: str
    endpoint: str


@dataclass(frozen=True, slots=True)
class DrainRequested(Event):
    """This daemon is to stop gracefully."""


@dataclass(frozen=True, slots=True)
class JournalUnavailable(Event):
    """The data folder refuses what is needed, so nothing can be persisted any more.

    Attributes
    ----------
    reason : Refusal
        The error of the disk.
    """

    reason: Refusal


@dataclass(frozen=True, slots=True)
class JournalRestored(Event):
    """The data folder was loaded again, and takes writes.

    Attributes
    ----------
    raft : RaftState
        The consensus state restored from the folder.
    catalogue : Catalogue
        The catalogue of the folder's snapshot, to which the log applies.
    """

    raft: RaftState
    catalogue: Catalogue


@dataclass(frozen=True, slots=True)
class EndpointHeartbeat(Event):
    """An endpoint reports its address and whether it is leaving."""

    ticket: int
    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class EndpointLeft(Event):
    """An endpoint reports that it has left."""

    ticket: int
    name: str


class PromotionOutcome(Enum):
    """Outcome of a promotion order to the provider."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class PromotionAnswered(Event):
    """The provider answered a promotion order, or the call ended without an answer."""

    group: str
    endpoint: str
    fence: int
    outcome: PromotionOutcome


class Order(Enum):
    """Orders that the control leader sends to instances."""

    FENCE = "fence"
    PROMOTE = "promote"
    FOLLOW = "follow"
    CATCH_UP = "catch up"


@dataclass(frozen=True, slots=True)
class OrderAnswered(Event):
    """An instance answered an order, or the call ended without an answer.

    Attributes
    ----------
    status : InstanceStatus or None
        None if the instance refused the order or did not answer.
    """

    group: str
    endpoint: str
    order: Order
    term: int
    status: InstanceStatus | None
