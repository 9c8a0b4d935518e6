"""Events of client connections."""

from dataclasses import dataclass

from lovagewalk.core import Event, every

from ._state import ClientKind

TICK_PERIOD_S = 0.5


@dataclass(frozen=True, slots=True)
class ClientConnected(Event):
    """A client has connected.

    Attributes
    ----------
    client : int
        Number of the connection; a caller's is its number in other events too.
    source : str
        Address of the client.
    """

    client: int
    kind: ClientKind
    source: str


@dataclass(frozen=True, slots=True)
class ClientWaiting(Event):
    """A connection has begun its session or request, or waits for the next one."""

    client: int
    kind: ClientKind
    waiting: bool


@dataclass(frozen=True, slots=True)
class ClientHeld(Event):
    """What a connection holds has crossed the threshold, or changed by a step.

    Attributes
    ----------
    message, ahead, unread : int
        As in `Holding`.
    """

    client: int
    kind: ClientKind
    message: int
    ahead: int
    unread: int


@dataclass(frozen=True, slots=True)
class ClientGone(Event):
    """A connection has ended."""

    client: int
    kind: ClientKind
    source: str


@every(TICK_PERIOD_S)
@dataclass(frozen=True, slots=True)
class ClientsTick(Event):
    """Periodic check of the time limits of clients."""
