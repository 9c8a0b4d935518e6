"""Callers' sessions."""

from dataclasses import dataclass, field
from enum import Enum
from hashlib import sha256

from immutables import Map

from lovagewalk.catalogue import KeyEntry
from lovagewalk.groups import Position


class TransactionState(Enum):
    """State of a session's transaction.

    `BEGUN` has no connection yet, `PINNED` has one, `LOST` refuses statements
    until the caller ends the transaction.
    """

    NONE = "none"
    BEGUN = "begun"
    PINNED = "pinned"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class PreparedShape:
    """A prepared statement, identified by its content.

    Attributes
    ----------
    writes : bool
        Whether it writes.
    content : str
        Encoded content, which the reducers do not interpret.
    """

    writes: bool
    content: str

    @property
    def name(self) -> str:
        """Name derived from the content, the same for every session with it."""
        source = f"{'w' if self.writes else 'r'} {self.content}"
        return f"s{sha256(source.encode()).hexdigest()[:16]}"


@dataclass(frozen=True, slots=True)
class ObservedPosition:
    """What a session has seen of the log of one group, which its reads must include.

    Attributes
    ----------
    position : Position or None
        None if the endpoint stated no position with a write of the session.
    term : int
        Installed term of the group when the session observed it. A later change of
        primary may have rolled the position back.
    """

    position: Position | None
    term: int


@dataclass(frozen=True, slots=True)
class Session:
    """The session of one caller's connection.

    Attributes
    ----------
    caller : int
        Number of the connection on this daemon.
    key : KeyEntry or None
        The key as it was when the session was opened; None on a route open to all.
    group : str
        Group of its route when the operation in progress began.
    positions : Map of str to ObservedPosition
        What its reads must include, by group. A group stays after the session's route
        has moved to another one, since the route may move back.
    transaction : TransactionState
    conn : int
        The pinned pool connection; 0 for none.
    req : int
        The request in progress; 0 for none.
    closing : bool
        Whether the connection is to be closed once no request is in progress.
    variables : Map of str to str
        Session variables that the caller has set.
    prepared : Map of str to PreparedShape
        Statements that the caller has prepared, by the caller's names.
    stored_bytes : int
        Bytes of `variables` and `prepared`.
    read_only : bool
        Whether the transaction is read-only.
    has_written : bool
        Whether the transaction has run a write.
    operation_started_at : float
        When the operation in progress began, in monotonic seconds.
    idle_since : float
        When its last request was answered.
    """

    caller: int
    key: KeyEntry | None
    route: str
    group: str
    positions: Map = field(default_factory=Map)
    transaction: TransactionState = TransactionState.NONE
    autocommit: bool = True
    conn: int = 0
    req: int = 0
    last_insert_id: int = 0
    closing: bool = False
    variables: Map = field(default_factory=Map)
    prepared: Map = field(default_factory=Map)
    stored_bytes: int = 0
    read_only: bool = False
    has_written: bool = False
    operation_started_at: float = 0.0
    idle_since: float = 0.0

    @property
    def customer(self) -> str:
        """The customer that its statements run for; empty without a key."""
        return self.key.customer if self.key is not None else ""

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self.transaction in (TransactionState.BEGUN, TransactionState.PINNED)

    @property
    def position(self) -> Position | None:
        """The position observed in the session's group; None if none is known."""
        return self.position_in(self.group)

    def position_in(self, group: str) -> Position | None:
        """Return the position observed in a group; None if none is known.

        A session that knows no position has to include all writes in its reads, where
        its route states no consistency.
        """
        observed = self.positions.get(group)
        return observed.position if observed is not None else None
