"""Events of control."""

from dataclasses import dataclass
from enum import Enum
from typing import Any

from lovagewalk.catalogue import Endpoint, Proposal
from lovagewalk.core import Event, every
from lovagewalk.groups import InstanceStatus

# Below half a heartbeat.
CONSENSUS_PERIOD_S = 0.02
# Bounds the delay of a decision; an eighth of the silence that suspects.
CONTROL_PERIOD_S = 0.05
# Repairs take seconds; 9 ms a tick at 400 groups, see CAPACITY.md.
REPAIR_PERIOD_S = 0.25


@every(CONSENSUS_PERIOD_S)
@dataclass(frozen=True, slots=True)
class ConsensusTick(Event):
    """Time to look at elections and heartbeats."""


@every(CONTROL_PERIOD_S)
@dataclass(frozen=True, slots=True)
class ControlTick(Event):
    """Time to look at leases, suspicions and failovers."""


@every(REPAIR_PERIOD_S)
@dataclass(frozen=True, slots=True)
class RepairTick(Event):
    """Time to look at voters and at instances that have gone astray."""


@dataclass(frozen=True, slots=True)
class SeedsChanged(Event):
    """The settings were read again; they name the control VMs to ask at first."""

    controls: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PeerLost(Event):
    """The link to a daemon has ended, or could not be set up."""

    peer: str


@dataclass(frozen=True, slots=True)
class PeerMessage(Event):
    """A message from an authenticated daemon."""

    peer: str
    message: Any


@dataclass(frozen=True, slots=True)
class ChangeRequested(Event):
    """An operator, or an endpoint that announces itself, wants a change."""

    ticket: int
    proposal: Proposal


@dataclass(frozen=True, slots=True)
class SwitchRequested(Event):
    """An operator wants another primary."""

    ticket: int
    group: str
    endpoint: str


@dataclass(frozen=True, slots=True)
class DrainRequested(Event):
    """This daemon is to stop gracefully."""


@dataclass(frozen=True, slots=True)
class JournalFilled(Event):
    """The data folder is full; nothing can be promised any more."""


@dataclass(frozen=True, slots=True)
class EndpointBeat(Event):
    """An endpoint says where it is and whether it leaves."""

    ticket: int
    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class EndpointLeft(Event):
    """An endpoint says that it has gone."""

    ticket: int
    name: str


class Ordered(Enum):
    """What became of an order to the provider."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class InstancePromoted(Event):
    """The provider answered an order, or did not."""

    group: str
    endpoint: str
    fence: int
    outcome: Ordered


class Order(Enum):
    """What an instance is told to do."""

    FENCE = "fence"
    PROMOTE = "promote"
    FOLLOW = "follow"
    CATCH_UP = "catch up"


@dataclass(frozen=True, slots=True)
class InstanceSteered(Event):
    """An instance answered an order.

    Attributes
    ----------
    status : InstanceStatus or None
        None if it refused or did not answer.
    """

    group: str
    endpoint: str
    order: Order
    term: int
    status: InstanceStatus | None
