"""The stand-in's replication log and term, as one instance knows them."""

from dataclasses import dataclass, field

from immutables import Map

from lovagewalk.core import Effect, Event, every
from lovagewalk.groups import InstanceStatus, Role

# How long a primary holds a question open without news.
FETCH_WAIT_S = 0.1
# One question held open, and a round trip.
LINK_TIMEOUT_S = 0.15
# The lag that a replica adds.
APPLY_PERIOD_S = 0.005


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One committed transaction.

    Attributes
    ----------
    index : int
    term : int
        Term of the primary that committed it.
    statements : tuple of str
    """

    index: int
    term: int
    statements: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Waiter:
    """Somebody who waits until `index` is applied in `term`."""

    ticket: int
    term: int
    index: int
    until: float


@dataclass(frozen=True, slots=True)
class Delayed:
    """A fetched entry that is applied at `due`, in monotonic seconds."""

    entry: LogEntry
    due: float


@dataclass(frozen=True, slots=True)
class StandinState:
    """State of one stand-in instance.

    Attributes
    ----------
    log : Map of int to LogEntry
        Applied entries; `index` is the last one.
    term : int
        Highest term heard of; nothing of a lower one is accepted.
    served_term : int
        The last term in which it was primary; its log may still be fetched by
        replicas of that term after it has been fenced.
    lag_s : float
        Delay between fetching an entry and applying it, in seconds.
    linked_at : float
        When the primary last answered a fetch.
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
    delayed: tuple[Delayed, ...] = ()
    waiters: tuple[Waiter, ...] = ()
    linked_at: float = 0.0
    served_term: int = 0

    @property
    def last_term(self) -> int:
        """Term of the last applied entry; 0 for an empty log."""
        return self.log[self.index].term if self.index else 0

    def status(self, now: float) -> InstanceStatus:
        """Return what the instance says of itself."""
        linked = self.role is Role.PRIMARY or now - self.linked_at < LINK_TIMEOUT_S
        return InstanceStatus(
            self.incarnation, self.role, self.term, self.index, self.last_term, linked
        )


@every(APPLY_PERIOD_S)
@dataclass(frozen=True, slots=True)
class ApplyTick(Event):
    """Time to apply delayed entries and to fetch more."""


@dataclass(frozen=True, slots=True)
class TransactionCommitted(Event):
    """A client's transaction was committed in the database here."""

    statements: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StatusWanted(Event):
    """Somebody asks for the status, at once or when a position is reached."""

    ticket: int
    term: int = 0
    index: int = 0
    wait_s: float = 0.0


@dataclass(frozen=True, slots=True)
class FenceWanted(Event):
    """Refuse anything of a term lower than `term` from now on."""

    ticket: int
    term: int


@dataclass(frozen=True, slots=True)
class PromoteWanted(Event):
    """Become primary in `term`."""

    ticket: int
    term: int


@dataclass(frozen=True, slots=True)
class FollowWanted(Event):
    """Replicate from another instance in `term`."""

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
        Whether the last entry here is in the primary's log.
    """

    term: int
    matched: bool
    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class FetchFailed(Event):
    """The primary did not answer a fetch."""


@dataclass(frozen=True, slots=True)
class LagChanged(Event):
    """Somebody sets the replication lag."""

    lag_s: float


@dataclass(frozen=True, slots=True)
class SendStatus(Effect):
    """Answer a ticket with the status; `accepted` is False for a refusal."""

    ticket: int
    status: InstanceStatus
    accepted: bool = True


@dataclass(frozen=True, slots=True)
class ApplyEntries(Effect):
    """Run entries in the database."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class EndTransactions(Effect):
    """Roll back what clients left open in a term that is over.

    An open transaction may hold the database's write lock, which entries of
    the new primary need.
    """


@dataclass(frozen=True, slots=True)
class RebuildDatabase(Effect):
    """Empty the database and run entries in it."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class FetchLog(Effect):
    """Ask the primary for entries after `index`, whose term is `last_term`."""

    host: str
    port: int
    term: int
    index: int
    last_term: int
