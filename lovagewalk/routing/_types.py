"""Statements as the reducer handles them, independent of SQL syntax."""

from dataclasses import dataclass
from enum import Enum

from lovagewalk.sessions import PreparedShape


class StatementKind(Enum):
    """What a statement does, as far as routing is concerned.

    A definition (DDL) is a write that implicitly commits a transaction at the
    endpoint, so it is refused inside one.
    """

    READ = "read"
    WRITE = "write"
    DEFINITION = "definition"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    AUTOCOMMIT_ON = "autocommit on"
    AUTOCOMMIT_OFF = "autocommit off"
    TOKEN = "token"
    LAST_INSERT_ID = "last insert id"
    NO_OP = "nothing"
    BEGIN_READ = "begin read"
    EXECUTE = "execute"
    SET_VARIABLE = "set value"
    PREPARE = "prepare"
    DEALLOCATE = "deallocate"


@dataclass(frozen=True, slots=True)
class Marks:
    """Options that a caller attaches to its statement.

    Attributes
    ----------
    token : str
        Signed session position; empty if the caller sent none.
    max_age_s : float or None
        Accepted age of the data, in seconds; None requests the session's own
        writes.
    request_id : str
        The caller's identifier of this request.
    once : bool
        Whether the request must run at most once.
    idempotent : bool
        Whether it may be retried after an unknown outcome.
    """

    token: str = ""
    max_age_s: float | None = None
    request_id: str = ""
    once: bool = False
    idempotent: bool = False


@dataclass(frozen=True, slots=True)
class SetVariable:
    """A session variable that the caller sets."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class PrepareStatement:
    """A statement that the caller prepares under a name that it chooses."""

    name: str
    shape: PreparedShape


@dataclass(frozen=True, slots=True)
class NamedStatement:
    """Name of the prepared statement that the caller executes or deallocates."""

    name: str


SessionStatement = SetVariable | PrepareStatement | NamedStatement

NO_MARKS = Marks()
WRITE_KINDS = frozenset((StatementKind.WRITE, StatementKind.DEFINITION))
BEGIN_KINDS = frozenset((StatementKind.BEGIN, StatementKind.BEGIN_READ))
