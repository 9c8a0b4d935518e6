"""Effects on database instances, through the group's published statements."""

from dataclasses import dataclass
from enum import Enum

from lovagewalk.core import Effect

from ._state import Position


class Receiving(Enum):
    """Whether a replica is to go on receiving from its primary."""

    AS_IT_IS = "as it is"
    HOLD = "hold"
    RESUME = "resume"


@dataclass(frozen=True, slots=True)
class PollInstance(Effect):
    """Ask an instance for its status.

    Attributes
    ----------
    receiving : Receiving
        What a replica is told at the same time.
    term : int
        Above the newest term, where it is told to hold.
    """

    endpoint: str
    host: str
    port: int
    group: str = ""
    receiving: Receiving = Receiving.AS_IT_IS
    term: int = 0


@dataclass(frozen=True, slots=True)
class AwaitPosition(Effect):
    """Ask an instance to answer once it has applied a position.

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
    """Close what is open to an instance that has left."""

    endpoint: str
