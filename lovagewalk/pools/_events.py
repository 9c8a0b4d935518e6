"""Events of pool connections."""

from dataclasses import dataclass
from enum import Enum

from lovagewalk.core import Event


@dataclass(frozen=True, slots=True)
class ConnectionOpened(Event):
    """A connection is ready.

    Attributes
    ----------
    incarnation : str
        Identity of the endpoint's data.
    """

    conn: int
    endpoint: str
    incarnation: str


class OpenFailure(Enum):
    """Why a connection could not be opened."""

    UNREACHABLE = "unreachable"
    TOO_MANY = "too many connections"
    WRONG_INSTANCE = "another instance answers there"


@dataclass(frozen=True, slots=True)
class ConnectionRefused(Event):
    """A connection could not be opened."""

    conn: int
    endpoint: str
    reason: OpenFailure = OpenFailure.UNREACHABLE


@dataclass(frozen=True, slots=True)
class ConnectionSettled(Event):
    """An endpoint has answered all that was sent with the last statement.

    Attributes
    ----------
    usable : bool
        Whether no transaction is open, so that the connection may be reused.
    """

    conn: int
    usable: bool


@dataclass(frozen=True, slots=True)
class ConnectionBroken(Event):
    """An idle connection was closed by the endpoint."""

    conn: int
    endpoint: str
