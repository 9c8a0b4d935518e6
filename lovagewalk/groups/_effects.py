"""Effects on the status connections to database instances."""

from dataclasses import dataclass
from enum import Enum

from lovagewalk.core import Effect

from ._state import Position


class ReplicationOrder(Enum):
    """Whether a replica is to receive log entries from its primary.

    ``NO_CHANGE`` leaves it as it is, ``PAUSE`` pauses and ``RESUME`` resumes it.
    """

    NO_CHANGE = "unchanged"
    PAUSE = "hold"
    RESUME = "resume"


@dataclass(frozen=True, slots=True)
class PollInstance(Effect):
    """Query the status of an instance.

    Attributes
    ----------
    order : ReplicationOrder
        Order to a replica in the same request.
    term : int
        With ``ReplicationOrder.PAUSE``, a term above the newest one.
    """

    endpoint: str
    host: str
    port: int
    group: str = ""
    order: ReplicationOrder = ReplicationOrder.NO_CHANGE
    term: int = 0


@dataclass(frozen=True, slots=True)
class AwaitPosition(Effect):
    """Request an answer from an instance once it has applied a position.

    Attributes
    ----------
    wait_s : float
        Longest wait at the instance, in seconds.
    """

    endpoint: str
    host: str
    port: int
    position: Position
    wait_s: float


@dataclass(frozen=True, slots=True)
class CloseStatusConnections(Effect):
    """Close the status connections to an instance that left the catalogue."""

    endpoint: str
