"""Changes that go through the control log."""

from dataclasses import dataclass, field

from ._state import (
    ControlVoter,
    CustomerEntry,
    Endpoint,
    GroupLimits,
    KeyEntry,
    RouteEntry,
    TermStart,
    Voter,
)


@dataclass(frozen=True, slots=True)
class NoChange:
    """Commits nothing; a new leader's first entry."""


@dataclass(frozen=True, slots=True)
class PutCustomer:
    """Write a customer entry if its revision is still `expected` (0: absent)."""

    entry: CustomerEntry
    expected: int


@dataclass(frozen=True, slots=True)
class PutRoute:
    """Write a route entry if its revision is still `expected` (0: absent)."""

    entry: RouteEntry
    expected: int


@dataclass(frozen=True, slots=True)
class IssueKey:
    """Add a key of a customer; only the digest of its secret is logged."""

    key_id: str
    customer: str
    digest: str


@dataclass(frozen=True, slots=True)
class WithdrawKey:
    """End a key for good."""

    key_id: str


@dataclass(frozen=True, slots=True)
class AnnounceEndpoint:
    """Add an endpoint or change its address, limits or leaving mark."""

    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class ForgetEndpoint:
    """Remove an endpoint that has left."""

    name: str


@dataclass(frozen=True, slots=True)
class AllocateTerm:
    """Give the next term of a group to one promotion attempt."""

    group: str
    term: int


@dataclass(frozen=True, slots=True)
class AllocateFence:
    """Give one promotion attempt a fence: the log index of this entry."""

    group: str


@dataclass(frozen=True, slots=True)
class InstallTerm:
    """Make a promoted primary and its voters the group's configuration."""

    group: str
    term: int
    primary: str
    voters: tuple[Voter, ...]
    start: TermStart


@dataclass(frozen=True, slots=True)
class AccessCount:
    """Statements of one customer on one daemon over one interval.

    Attributes
    ----------
    code : str
        ``ok`` or the label of a refusal.
    """

    customer: str
    code: str
    count: int


@dataclass(frozen=True, slots=True)
class RecordAccess:
    """Counts of accepted and refused statements, for the audit trail.

    Attributes
    ----------
    batch : str
        Names this report among those of the daemon; a resend has the same.
    """

    daemon: str
    batch: str
    counts: tuple[AccessCount, ...]


@dataclass(frozen=True, slots=True)
class ChangeControlVoters:
    """Change the voting control VMs, by one VM at a time."""

    voters: tuple[ControlVoter, ...]


@dataclass(frozen=True, slots=True)
class NoteHolder:
    """Note the run of a daemon that may hold shares of customers' rates.

    A new control leader need not wait for old shares to run out, once every
    holder has told it what it holds.

    Attributes
    ----------
    boot : str
        The run; empty once the daemon holds no shares any more.
    """

    daemon: str
    boot: str


@dataclass(frozen=True, slots=True)
class NoteDivided:
    """Note customers of whose rates daemons may hold shares.

    Of the others a new control leader can give tokens at once.
    """

    customers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReplaceConfiguration:
    """Replace routes, customers, keys and group limits as a whole.

    A version that is not higher than the one held changes nothing.

    Attributes
    ----------
    document : bytes
        The configuration as sent, kept to be read back.
    """

    version: int
    routes: tuple[RouteEntry, ...]
    customers: tuple[CustomerEntry, ...]
    keys: tuple[KeyEntry, ...]
    groups: tuple[GroupLimits, ...]
    idle_transaction_s: float = 0.0
    document: bytes = field(default=b"", repr=False)


Command = (
    NoChange
    | ReplaceConfiguration
    | NoteDivided
    | NoteHolder
    | ChangeControlVoters
    | PutCustomer
    | PutRoute
    | IssueKey
    | WithdrawKey
    | AnnounceEndpoint
    | ForgetEndpoint
    | AllocateTerm
    | AllocateFence
    | InstallTerm
    | RecordAccess
)


@dataclass(frozen=True, slots=True)
class Proposal:
    """A command on its way into the log.

    Attributes
    ----------
    request_id : str
        Chosen by the proposer; a resend with the same id gets the first answer.
    operator : str
        Who asks, for the audit trail.
    proposed_at : float
        Wall clock of the proposer in seconds, for the audit trail only.
    """

    request_id: str
    operator: str
    proposed_at: float
    command: Command


def control_proposal(command: Command) -> Proposal:
    """Return a proposal that control itself makes, without an operator's wish."""
    return Proposal("", "control", 0.0, command)
