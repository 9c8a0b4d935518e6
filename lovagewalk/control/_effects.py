"""Effects of control."""

from dataclasses import dataclass

from lovagewalk.catalogue import Catalogue, ChangeResult
from lovagewalk.consensus import LogEntry
from lovagewalk.core import DependentEffect, Effect, Refusal, RequiredEffect

from ._events import Order


@dataclass(frozen=True, slots=True)
class AnswerRequester(DependentEffect):
    """Send the result of a change to the operator or endpoint that requested it."""

    ticket: int
    result: ChangeResult


@dataclass(frozen=True, slots=True)
class CatalogueReadResult:
    """The latest catalogue, or why it cannot be returned."""

    catalogue: Catalogue | None
    refusal: Refusal | None = None


@dataclass(frozen=True, slots=True)
class AnswerReader(Effect):
    """Send the result of a request for the latest catalogue."""

    ticket: int
    result: CatalogueReadResult


@dataclass(frozen=True, slots=True)
class RecordAudit(RequiredEffect):
    """Add a committed change to the audit trail, before its result is sent."""

    entry: LogEntry
    result: ChangeResult


@dataclass(frozen=True, slots=True)
class SendOrder(Effect):
    """Send an order to an instance.

    Attributes
    ----------
    term : int
        The group's term that the order belongs to.
    source_host, source_port : str, int
        Address of the primary to follow.
    catch_up_index, catch_up_term : int
        Log index to catch up to, and the term of that position.
    """

    group: str
    endpoint: str
    host: str
    port: int
    order: Order
    term: int
    source_host: str = ""
    source_port: int = 0
    catch_up_index: int = 0
    catch_up_term: int = 0


@dataclass(frozen=True, slots=True)
class PromoteInstance(Effect):
    """Order the provider to make an instance the primary of its group.

    Attributes
    ----------
    lease_holder : str
        Name of the control leader, which sends the order.
    fence : int
        Fencing token, by which the provider refuses orders older than this one.
    """

    group: str
    endpoint: str
    lease_holder: str
    fence: int


@dataclass(frozen=True, slots=True)
class StopDaemon(Effect):
    """Stop the process; no work is left to finish."""
