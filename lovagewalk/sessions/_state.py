"""Callers' sessions."""

from dataclasses import dataclass, field
from enum import Enum
from hashlib import sha256

from immutables import Map

from lovagewalk.groups import Position


class TransactionState(Enum):
    """Where a session stands with regard to transactions."""

    NONE = "none"
    BEGUN = "begun"
    PINNED = "pinned"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class PreparedShape:
    """A prepared statement, by content.

    Attributes
    ----------
    writes : bool
    shape : str
        Opaque to the decisions.
    """

    writes: bool
    shape: str

    @property
    def name(self) -> str:
        """A name that every session with this content shares."""
        content = f"{'w' if self.writes else 'r'} {self.shape}"
        return f"s{sha256(content.encode()).hexdigest()[:16]}"


@dataclass(frozen=True, slots=True)
class Session:
    """One caller's connection.

    Attributes
    ----------
    caller : int
        Number of the connection on this daemon.
    key_id : str
        The key it was opened with; empty on a route open to all.
    position : Position or None
        What its reads must include; None before it is known, which means all.
    transaction : TransactionState
        `BEGUN` has no connection yet, `PINNED` has one, `LOST` refuses
        statements until the caller ends the transaction.
    conn : int
        The pinned pool connection; 0 for none.
    req : int
        The request in progress; 0 for none.
    closing : bool
        Whether the caller is to be closed once no request is in progress.
    values : Map of str to str
        Values that the caller has set.
    prepared : Map of str to PreparedShape
        Statements that the caller has prepared, by its own names.
    position_term : int
        Term that was installed when `position` was learned.
    read_only : bool
        Whether the transaction was begun for reading only.
    wrote : bool
        Whether the transaction has run a write.
    operation_at : float
        When the operation in progress began, in monotonic seconds.
    idle_since : float
        When its last request was answered.
    """

    caller: int
    customer: str
    key_id: str
    route: str
    group: str
    position: Position | None = None
    transaction: TransactionState = TransactionState.NONE
    autocommit: bool = True
    conn: int = 0
    req: int = 0
    last_insert_id: int = 0
    closing: bool = False
    values: Map = field(default_factory=Map)
    prepared: Map = field(default_factory=Map)
    position_term: int = 0
    read_only: bool = False
    wrote: bool = False
    operation_at: float = 0.0
    idle_since: float = 0.0

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self.transaction in (TransactionState.BEGUN, TransactionState.PINNED)
