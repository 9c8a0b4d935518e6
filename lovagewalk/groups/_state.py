"""A daemon's view of the database groups that it uses."""

from dataclasses import dataclass, field
from enum import Enum

from immutables import Map


class Role(Enum):
    """Role that an instance reports."""

    PRIMARY = "primary"
    REPLICA = "replica"
    SYNCING = "syncing"
    FENCED = "fenced"


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """A point in a group's log. Positions compare by term first.

    Attributes
    ----------
    term : int
        Term of the primary that reported the position.
    index : int
        Log index; it is not reset when the term changes.
    """

    term: int
    index: int


@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """Status that an instance reports.

    Attributes
    ----------
    incarnation : str
        Identity of its data; changes when data is lost.
    role : Role
    term : int
        Highest term it has been fenced to or follows.
    index : int
        Log index it has applied.
    last_term : int
        Term of the log entry at `index`.
    linked : bool
        Whether a replica is in contact with its primary; True for a primary.
    paused_term : int
        Term of the order by which a replica receives no log entries; 0 if it does.
    """

    incarnation: str
    role: Role
    term: int
    index: int
    last_term: int
    linked: bool = True
    paused_term: int = 0


@dataclass(frozen=True, slots=True)
class InstanceView:
    """The last known status of one instance, as seen by this daemon.

    Attributes
    ----------
    status : InstanceStatus or None
        None until the first answer and after its connection broke.
    seen_at : float
        When the last answer arrived, in monotonic seconds.
    sent_at : float
        When the poll behind that answer was sent.
    polling, awaiting : bool
        Whether a poll or a wait for a position is under way.
    linked_at : float
        When it last reported a link to its primary.
    polled_at : float
        When it was last polled.
    """

    endpoint: str
    status: InstanceStatus | None = None
    seen_at: float = 0.0
    sent_at: float = 0.0
    polling: bool = False
    awaiting: bool = False
    linked_at: float = 0.0
    polled_at: float = 0.0


@dataclass(frozen=True, slots=True)
class PositionSample:
    """A primary's position at or after a time of this daemon's clock.

    Attributes
    ----------
    sent_at : float
        When the poll that returned `position` was sent.
    verified : bool
        Whether a replica of the same term answered a later poll, which proves
        that the primary had not been replaced at `sent_at`.
    """

    sent_at: float
    position: Position
    verified: bool = False


@dataclass(frozen=True, slots=True)
class ConfirmWaiter:
    """A request whose answer waits until a quorum holds `position`."""

    req: int
    position: Position


@dataclass(frozen=True, slots=True)
class MissingPosition:
    """A position that an endpoint has not applied, and until when this counts."""

    position: Position
    until: float


@dataclass(frozen=True, slots=True)
class LoopDelay:
    """A time in which this daemon's own loop handled nothing, in monotonic seconds."""

    start: float
    end: float


@dataclass(frozen=True, slots=True)
class GroupView:
    """A daemon's view of one group.

    Attributes
    ----------
    samples : tuple of PositionSample
        Newest last, at most `MAX_SAMPLES`.
    waiters : tuple of ConfirmWaiter
    waiting_reads : tuple of int
        Requests that wait for a replica to catch up.
    term : int
        The term that this view was last reset for.
    term_installed_at : float
        When this daemon installed that term, in monotonic seconds.
    missing_positions : Map of str to MissingPosition
        By endpoint, a position that it recently reported as not applied.
    failed_at, failing_since : float
        Times of the latest and the first statement that failed at the primary
        since it last answered; 0 if none has failed.
    polled_at : float
        When this daemon last polled the instances that are not polled already.
    delays : tuple of LoopDelay
        Late polls within the last `DELAYS_KEPT_S`.
    """

    name: str
    instances: Map = field(default_factory=Map)
    samples: tuple[PositionSample, ...] = ()
    waiters: tuple[ConfirmWaiter, ...] = ()
    waiting_reads: tuple[int, ...] = ()
    term: int = 0
    term_installed_at: float = 0.0
    missing_positions: Map = field(default_factory=Map)
    failed_at: float = 0.0
    failing_since: float = 0.0
    polled_at: float = 0.0
    delays: tuple[LoopDelay, ...] = ()
