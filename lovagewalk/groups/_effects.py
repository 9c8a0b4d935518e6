"""Effects on database instances, through the group's published statements."""

from dataclasses import dataclass

from lovagewalk.core import Effect

from ._state import Position


@dataclass(frozen=True, slots=True)
class PollInstance(Effect):
    """Ask an instance for its status."""

    endpoint: str
    host: str
    port: int
    group: str = ""


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
