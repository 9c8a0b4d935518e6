"""State, events and effects of the load tool."""

from dataclasses import dataclass, field

from immutables import Map

from lovagewalk.core import Effect, Event, every

SEND_PERIOD_S = 0.005
OK = "ok"


@dataclass(frozen=True, slots=True)
class CustomerPlan:
    """The traffic of one customer.

    Attributes
    ----------
    rate : float
        Requests a second; they do not wait for the answers to earlier ones.
    key_id, secret : str
        The key with which its callers connect.
    """

    name: str
    key_id: str
    secret: str = field(repr=False)
    rate: float = 0.0


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """The plan of a run.

    Attributes
    ----------
    entry_addresses : tuple of str
        Addresses on which the daemons serve callers, as ``IP:PORT``.
    write_share : float
        Fraction of the requests that write.
    seconds : float
        Duration of the run.
    """

    entry_addresses: tuple[str, ...]
    route: str
    customers: tuple[CustomerPlan, ...]
    write_share: float
    seconds: float
    seed: int = 1


@dataclass(frozen=True, slots=True)
class Tally:
    """Requests sent for one customer, and the number of answers by code."""

    sent: int = 0
    answers: Map = field(default_factory=Map)


@dataclass(frozen=True, slots=True)
class LoadState:
    """State of a run.

    Attributes
    ----------
    carryover : Map of str to float
        Fraction of a request of each customer that carries over to the next tick.
    """

    plan: LoadPlan
    started_at: float
    seed: int
    last_tick_at: float
    last_number: int = 0
    carryover: Map = field(default_factory=Map)
    tallies: Map = field(default_factory=Map)
    finished: bool = False


@every(SEND_PERIOD_S)
@dataclass(frozen=True, slots=True)
class SendTick(Event):
    """Send the requests that are due."""


@dataclass(frozen=True, slots=True)
class RequestAnswered(Event):
    """A request was answered.

    Attributes
    ----------
    code : str
        ``ok``, the label of an error code, or the name of an exception type.
    """

    customer: str
    code: str


@dataclass(frozen=True, slots=True)
class SendRequest(Effect):
    """Send one request.

    Attributes
    ----------
    entry_index : int
        Index of the daemon; it varies, so that sessions roam.
    """

    number: int
    customer: CustomerPlan
    entry_index: int
    is_write: bool


@dataclass(frozen=True, slots=True)
class FinishRun(Effect):
    """End the run, since its duration is over."""
