"""Effects on the status connections to database instances."""

from dataclasses import dataclass
from enum import Enum

from lovagewalk.core import Effect

from ._state import Position


class Receiving(Enum):
    """Whether a replica is to receive log entries from its primary.

    ``AS_IT_IS`` changes nothing, ``HOLD`` pauses and ``RESUME`` resumes it.
    """

    AS_IT_IS = "unchanged"
    HOLD = "hold"
    RESUME = "resume"


@dataclass(frozen=True, slots=True)
class PollInstance(Effect):
    """Query the status of an instance.

    Attributes
    ----------
    receiving : Receiving
        Order to a replica in the same request.
    term : int
        With ``Receiving.HOLD``, a term above the newest one.
    """

    endpoint: str
    host: str
    port: int
    group: str = ""
    receiving: Receiving = Receiving.AS_IT_IS
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
class ForgetInstance(Effect):
    """Close the status connections to an instance that left the catalogue."""

    endpoint: str
