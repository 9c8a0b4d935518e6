"""All records. None holds a key, a token or the text of a statement."""

from dataclasses import dataclass

from ._kinds import LogRecord, recorded


@recorded("decisions", "request answered")
@dataclass(frozen=True, slots=True)
class RequestAnswered(LogRecord):
    """A request's answer, and what it was decided on.

    Attributes
    ----------
    phase : str
        What the request waited for last.
    term, revision, version : int
        Group term, catalogue revision and configuration in force.
    fresh_ms : int
        How much longer the catalogue is known to be the latest.
    outcome : str
        ``ok`` or the label of a refusal.
    """

    request: str
    customer: str
    route: str
    kind: str
    phase: str
    endpoint: str
    attempts: int
    elapsed_ms: float
    term: int
    revision: int
    version: int
    fresh_ms: int
    outcome: str
    detail: str


@recorded("decisions", "caller closed")
@dataclass(frozen=True, slots=True)
class CallerClosed(LogRecord):
    """A caller was turned away or closed."""

    caller: int
    outcome: str
    revision: int


@recorded("decisions", "endpoint refused a connection")
@dataclass(frozen=True, slots=True)
class EndpointRefused(LogRecord):
    """An endpoint could not be connected to."""

    endpoint: str
    group: str
    outcome: str
    detail: str


@recorded("routing", "statement failed at an endpoint")
@dataclass(frozen=True, slots=True)
class StatementFailedThere(LogRecord):
    """A statement failed for another reason than ordinary load."""

    request: str
    endpoint: str
    failure: str
    detail: str
    attempts: int
    term: int
    sent_ms_ago: int


@recorded("routing", "endpoint is full")
@dataclass(frozen=True, slots=True)
class EndpointFull(LogRecord):
    """An endpoint refuses more than a burst; this daemon sends it less."""

    endpoint: str
    group: str
    strikes: int
    waiting: int


@recorded("routing", "endpoint has room again")
@dataclass(frozen=True, slots=True)
class EndpointHasRoom(LogRecord):
    """An endpoint that was full has run what it was sent."""

    endpoint: str
    group: str
    waiting: int


@recorded("catalogue", "configuration in force")
@dataclass(frozen=True, slots=True)
class ConfigurationInForce(LogRecord):
    """Another version of the configuration holds here from now on."""

    version: int
    before: int
    revision: int


@recorded("groups", "primary installed")
@dataclass(frozen=True, slots=True)
class PrimaryInstalled(LogRecord):
    """A group has another term, and with it a primary."""

    group: str
    primary: str
    term: int
    revision: int


@recorded("groups", "promotion begins")
@dataclass(frozen=True, slots=True)
class PromotionBegun(LogRecord):
    """A primary is to be replaced, and why.

    Attributes
    ----------
    silent_ms : int
        How long it has not answered the control leader.
    leaving : bool
        Whether it has said that it leaves, or has gone.
    suspecting : int
        Daemons that hold it for failed.
    """

    group: str
    primary: str
    term: int
    silent_ms: int
    leaving: bool
    suspecting: int


@recorded("groups", "promotion ordered")
@dataclass(frozen=True, slots=True)
class PromotionOrdered(LogRecord):
    """The provider was ordered to promote an instance."""

    group: str
    target: str
    fence: int


@recorded("control", "this VM leads")
@dataclass(frozen=True, slots=True)
class LeadershipGained(LogRecord):
    """This VM was elected."""

    term: int
    last_index: int
    voters: str


@recorded("control", "this VM no longer leads")
@dataclass(frozen=True, slots=True)
class LeadershipLost(LogRecord):
    """Another VM leads, or no quorum answers."""

    led_term: int
    term: int
    leader: str


@recorded("control", "voters change")
@dataclass(frozen=True, slots=True)
class VotersChange(LogRecord):
    """A control VM is taken in, dropped or replaced."""

    before: str
    after: str


@recorded("follow", "seeds replaced")
@dataclass(frozen=True, slots=True)
class SeedsReplaced(LogRecord):
    """The settings name other control VMs to ask at first."""

    before: str
    after: str


@recorded("follow", "lease regained")
@dataclass(frozen=True, slots=True)
class LeaseGained(LogRecord):
    """The catalogue is known to be the latest again."""

    target: str
    answered_ms_ago: int
    revision: int


@recorded("follow", "lease lost")
@dataclass(frozen=True, slots=True)
class LeaseLost(LogRecord):
    """The catalogue may be out of date; keyed routes are refused."""

    target: str
    answered_ms_ago: int
    revision: int
