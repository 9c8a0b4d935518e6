"""State, events and effects of one stand-in instance."""

from dataclasses import dataclass, field

from immutables import Map

from lovagewalk.core import Effect, Event, every
from lovagewalk.groups import InstanceStatus, Role

# A primary without new entries holds a fetch open for this long.
FETCH_WAIT_S = 0.1
# A replica counts as linked to its primary for this long after an answered fetch. The
# time covers a fetch that the primary holds open and a round trip.
LINK_TIMEOUT_S = 0.15
# A replica applies a delayed entry up to this long after it is due.
APPLY_PERIOD_S = 0.005


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One committed transaction.

    Attributes
    ----------
    index : int
        Place of the entry in the log; the first entry has index 1.
    term : int
        Term of the primary that committed it.
    statements : tuple of str
    """

    index: int
    term: int
    statements: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StatusWaiter:
    """A status request that waits until `index` is applied in `term`."""

    ticket: int
    term: int
    index: int
    deadline: float


@dataclass(frozen=True, slots=True)
class DelayedEntry:
    """A fetched entry that is applied at `due_at`, in monotonic seconds."""

    entry: LogEntry
    due_at: float


@dataclass(frozen=True, slots=True)
class StandinState:
    """State of one stand-in instance.

    Attributes
    ----------
    log : Map of int to LogEntry
        Applied entries by index; `index` is the index of the last one.
    term : int
        Highest term that the instance knows; orders of a lower term are refused.
    served_term : int
        The last term in which the instance was primary. Replicas of that term may
        still fetch its log after it has been fenced.
    lag_s : float
        Emulated delay between fetching an entry and applying it, in seconds.
    linked_at : float
        When the primary last answered a fetch, in monotonic seconds.
    """

    name: str
    incarnation: str
    role: Role = Role.FENCED
    term: int = 0
    log: Map = field(default_factory=Map)
    index: int = 0
    source_host: str = ""
    source_port: int = 0
    fetching: bool = False
    lag_s: float = 0.0
    delayed: tuple[DelayedEntry, ...] = ()
    waiters: tuple[StatusWaiter, ...] = ()
    linked_at: float = 0.0
    served_term: int = 0

    @property
    def last_term(self) -> int:
        """Term of the last applied entry; 0 for an empty log."""
        return self.log[self.index].term if self.index else 0

    def status(self, now: float) -> InstanceStatus:
        """Return the status that the instance reports."""
        linked = self.role is Role.PRIMARY or now - self.linked_at < LINK_TIMEOUT_S
        return InstanceStatus(
            self.incarnation, self.role, self.term, self.index, self.last_term, linked
        )


@every(APPLY_PERIOD_S)
@dataclass(frozen=True, slots=True)
class ApplyTick(Event):
    """Apply the delayed entries that are due and fetch more."""


@dataclass(frozen=True, slots=True)
class TransactionCommitted(Event):
    """A client's transaction was committed in the database of this instance."""

    statements: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StatusRequested(Event):
    """A client requests the status, at once or when a position is reached.

    Attributes
    ----------
    ticket : int
        Number of the request; `SendStatus` refers to it.
    wait_s : float
        Longest wait for `index` in `term`, in seconds; 0 for an immediate answer.
    """

    ticket: int
    term: int = 0
    index: int = 0
    wait_s: float = 0.0


@dataclass(frozen=True, slots=True)
class FenceRequested(Event):
    """The instance is ordered to refuse all orders of terms lower than `term`."""

    ticket: int
    term: int


@dataclass(frozen=True, slots=True)
class PromotionRequested(Event):
    """The instance is ordered to become primary in `term`."""

    ticket: int
    term: int


@dataclass(frozen=True, slots=True)
class FollowRequested(Event):
    """The instance is ordered to replicate from another instance in `term`."""

    ticket: int
    term: int
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class LogFetched(Event):
    """The primary answered a fetch.

    Attributes
    ----------
    term : int
        The primary's term.
    matched : bool
        Whether the primary's log contains the last entry of this instance.
    """

    term: int
    matched: bool
    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class FetchFailed(Event):
    """A fetch from the primary failed."""


@dataclass(frozen=True, slots=True)
class LagChanged(Event):
    """The emulated replication lag was changed."""

    lag_s: float


@dataclass(frozen=True, slots=True)
class SendStatus(Effect):
    """Answer the request `ticket`; `accepted` is False if the order was refused."""

    ticket: int
    status: InstanceStatus
    accepted: bool = True


@dataclass(frozen=True, slots=True)
class ApplyEntries(Effect):
    """Execute the statements of log entries in the database."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class RollBackTransactions(Effect):
    """Roll back the open transactions of clients when their term ends.

    An open transaction may hold the database's write lock, which applying the
    entries of the new primary needs.
    """


@dataclass(frozen=True, slots=True)
class RebuildDatabase(Effect):
    """Empty the database and execute log entries in it."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class FetchLog(Effect):
    """Fetch the entries after `index`, whose term is `last_term`, from the primary."""

    host: str
    port: int
    term: int
    index: int
    last_term: int
