"""Error codes reported to callers and operators.

Every refusal states whether the request may have run. Callers rely on this outcome,
so it is part of the definition of each code.
"""

from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """Whether a refused request has run or may have run."""

    NOT_RUN = "not run"
    UNKNOWN = "outcome unknown"
    FAILED = "failed"
    RUN_BEFORE = "run before"


class Code(Enum):
    """Stable error codes: number, outcome, MySQL error number, default text."""

    KEY_UNKNOWN = (1001, Outcome.NOT_RUN, 1045, "key unknown or secret wrong")
    KEY_WITHDRAWN = (1002, Outcome.NOT_RUN, 1045, "key withdrawn")
    ROUTE_UNKNOWN = (1003, Outcome.NOT_RUN, 1049, "unknown route")
    ROUTE_FORBIDDEN = (1004, Outcome.NOT_RUN, 1044, "route not open to this customer")
    CONFIG_STALE = (1005, Outcome.NOT_RUN, 1053, "catalogue freshness lease expired")
    RATE_EXCEEDED = (1101, Outcome.NOT_RUN, 1226, "rate and burst used up")
    OVERLOADED = (1102, Outcome.NOT_RUN, 1040, "no connection before the deadline")
    NO_ENDPOINT = (1103, Outcome.NOT_RUN, 1053, "no endpoint available")
    DRAINING = (1104, Outcome.NOT_RUN, 1053, "daemon is shutting down")
    CLIENT_LIMIT = (1105, Outcome.NOT_RUN, 1040, "limit for clients reached")
    RATE_UNKNOWN = (1106, Outcome.NOT_RUN, 1053, "no control VM answers about the rate")
    TOKEN_INVALID = (1201, Outcome.NOT_RUN, 1227, "session token invalid")
    ALREADY_RUN = (1202, Outcome.RUN_BEFORE, 1062, "request id already run")
    STATEMENT_BAD = (1301, Outcome.NOT_RUN, 1064, "statement not accepted")
    STATEMENT_LARGE = (1302, Outcome.NOT_RUN, 1153, "statement too large")
    PACKET_BAD = (1303, Outcome.NOT_RUN, 1835, "malformed packet")
    STATEMENT_UNKNOWN = (1304, Outcome.NOT_RUN, 1243, "no such prepared statement")
    TRANSACTION_LOST = (1401, Outcome.FAILED, 1180, "transaction rolled back")
    ENDPOINT_ERROR = (1402, Outcome.FAILED, 1105, "endpoint reported an error")
    UNCONFIRMED = (1501, Outcome.UNKNOWN, 1317, "write not confirmed by a quorum")
    TIMED_OUT = (1503, Outcome.UNKNOWN, 3024, "no answer within the route's limit")
    CONNECTION_LOST = (1502, Outcome.UNKNOWN, 2013, "connection lost while running")
    SETTINGS_BAD = (2001, Outcome.NOT_RUN, 1105, "settings not accepted")
    CHANGE_BAD = (2101, Outcome.NOT_RUN, 1105, "change not accepted")
    CHANGE_CONFLICT = (2102, Outcome.NOT_RUN, 1105, "entry has another revision")
    NOT_LEADER = (2103, Outcome.NOT_RUN, 1105, "no control leader reachable")
    CHANGE_UNKNOWN = (2104, Outcome.UNKNOWN, 1105, "change not yet decided")
    UNAUTHORISED = (2105, Outcome.NOT_RUN, 1045, "operator or endpoint not authorised")
    DISK_FAILED = (2201, Outcome.FAILED, 1105, "data folder write failed")
    DISK_CORRUPT = (2202, Outcome.FAILED, 1105, "data folder damaged")
    DISK_FULL = (2203, Outcome.FAILED, 1105, "data folder is full")
    DISK_TAKEN = (2204, Outcome.FAILED, 1105, "data folder is used by another process")
    EFFECT_FAILED = (2205, Outcome.FAILED, 1105, "a required effect failed")
    DISK_UNREADABLE = (2206, Outcome.FAILED, 1105, "data folder of another version")
    FRAME_BAD = (2301, Outcome.NOT_RUN, 1105, "peer frame not accepted")

    def __init__(self, number: int, outcome: Outcome, errno: int, text: str) -> None:
        self.number = number
        self.outcome = outcome
        self.errno = errno
        self.text = text

    @property
    def label(self) -> str:
        """The printed form of the code, such as ``LW1001``."""
        return f"LW{self.number}"


@dataclass(frozen=True, slots=True)
class Refusal:
    """A coded refusal as data.

    Attributes
    ----------
    code : Code
    detail : str
        Details of this case; never holds keys, tokens or statement text.
    errno : int
        MySQL error number that the endpoint reported; 0 for that of `code`.
    retry_after_s : float
        Seconds after which a retry may succeed; 0 if unknown.
    """

    code: Code
    detail: str = ""
    errno: int = 0
    retry_after_s: float = 0.0

    def __str__(self) -> str:
        text = f"{self.code.label} [{self.code.outcome.value}] {self.code.text}"
        if self.detail:
            text = f"{text}: {self.detail}"
        if self.retry_after_s:
            text = f"{text}; retry after {self.retry_after_s:.2f} s"
        return text


class LovageError(Exception):
    """An exception that carries a `Refusal`.

    Parameters
    ----------
    code : Code
    detail : str, optional
    """

    def __init__(self, code: Code, detail: str = "") -> None:
        self.refusal = Refusal(code, detail)
        super().__init__(str(self.refusal))

    @property
    def code(self) -> Code:
        """The code of the refusal."""
        return self.refusal.code


class RequirementFailed(LovageError):
    """A required effect failed, and its performer has started the recovery."""
