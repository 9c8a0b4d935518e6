"""Pure decisions on the connections of clients."""

from dataclasses import dataclass
from enum import Enum

from lovagewalk.core import replace

from ._limits import PEER_SILENT_S, RESUME_FRACTION, SILENT_S, STALL_S, ClientLimits
from ._state import ClientBudget, ClientKind, ConnectionSource, Holding

# A message that grows by less between two reports makes no progress.
PROGRESS_BYTES = 16 * 1024


class ClosureReason(Enum):
    """Why a connection was refused or closed."""

    CONNECTIONS = "too many connections"
    SOURCE = "too many connections from one address"
    MEMORY = "memory for clients used up"
    SILENT = "no request while the listener is full"
    STARTUP = "no request in time"
    MESSAGE = "message not complete in time"
    UNREAD = "answers not read in time"


@dataclass(frozen=True, slots=True)
class Admission:
    """Whether a new connection is admitted.

    Attributes
    ----------
    reason : ClosureReason or None
        Why it is refused; None if it is admitted.
    evicted : int
        Connection to close, so that there is room for the new one; 0 for none.
    """

    reason: ClosureReason | None = None
    evicted: int = 0


def get_max_connections(limits: ClientLimits, kind: ClientKind) -> int:
    """Return the limit on the connections of a kind of client."""
    return {
        ClientKind.CALLER: limits.callers,
        ClientKind.OPERATOR: limits.operators,
        ClientKind.READINESS: limits.readiness,
        ClientKind.PEER: limits.peers,
    }[kind]


def admit(budget: ClientBudget, kind: ClientKind, source: str, now: float) -> Admission:
    """Decide on a new connection.

    High memory pressure refuses callers only: operators, the load balancer and daemons
    are few, and hold little.
    """
    limits = budget.limits
    is_caller = kind is ClientKind.CALLER
    if is_caller and budget.held_bytes > limits.refuse_bytes:
        return Admission(ClosureReason.MEMORY)
    from_source = budget.sources.get(ConnectionSource(kind, source), 0)
    if is_caller and from_source >= limits.callers_per_source:
        reason = ClosureReason.SOURCE
    elif budget.connections.get(kind, 0) >= get_max_connections(limits, kind):
        reason = ClosureReason.CONNECTIONS
    else:
        return Admission()
    evicted = _find_silent(budget, kind, now) or _find_stalled(budget, kind, now)
    return Admission(None, evicted) if evicted else Admission(reason)


def _find_silent(budget: ClientBudget, kind: ClientKind, now: float) -> int:
    """Return the connection that has waited longest without a request; 0 for none."""
    silent_s = PEER_SILENT_S if kind is ClientKind.PEER else SILENT_S
    silent = [
        (waiting.since, client)
        for client, waiting in budget.waiting.items()
        if waiting.kind is kind
        and client not in budget.holdings
        and now - waiting.since >= silent_s
    ]
    return min(silent)[1] if silent else 0


def _find_stalled(budget: ClientBudget, kind: ClientKind, now: float) -> int:
    """Return the connection whose incomplete message is longest without progress."""
    stalled = [
        (held.progressed_at, client)
        for client, held in budget.holdings.items()
        if held.kind is kind and held.message and _is_stalled(held, now)
    ]
    return min(stalled)[1] if stalled else 0


def update_holding(
    before: Holding | None,
    kind: ClientKind,
    message: int,
    ahead: int,
    unread: int,
    now: float,
) -> Holding:
    """Return what a connection holds after a report."""
    if before is None:
        before = Holding(kind, since=now, progressed_at=now)
    progressed = (
        message >= before.message + PROGRESS_BYTES
        or message < before.message
        or ahead < before.ahead
        or unread < before.unread
    )
    # An answer that begins to wait for the client starts its time.
    progressed |= bool(unread) and not before.unread
    is_same_message = before.message_since and message >= before.message
    return replace(
        before,
        message=message,
        ahead=ahead,
        unread=unread,
        message_since=(before.message_since if is_same_message else now)
        * bool(message),
        progressed_at=now if progressed else before.progressed_at,
    )


def store_holding(budget: ClientBudget, client: int, holding: Holding) -> ClientBudget:
    """Return the budget with what a connection holds; nothing is not recorded."""
    before = budget.holdings.get(client)
    held_bytes = budget.held_bytes + holding.total
    paused = budget.paused + holding.paused
    if before is not None:
        held_bytes -= before.total
        paused -= before.paused
    holdings = budget.holdings
    if holding.total or holding.paused:
        holdings = holdings.set(client, holding)
    elif before is not None:
        holdings = holdings.delete(client)
    return replace(budget, holdings=holdings, held_bytes=held_bytes, paused=paused)


def remove_holding(budget: ClientBudget, client: int) -> ClientBudget:
    """Return the budget without what a connection holds."""
    if client not in budget.holdings:
        return budget
    empty = Holding(budget.holdings[client].kind)
    return store_holding(budget, client, empty)


def is_pressure_over(budget: ClientBudget) -> bool:
    """Whether paused connections are to be read again."""
    return budget.held_bytes <= budget.limits.pause_bytes * RESUME_FRACTION


def choose_paused(budget: ClientBudget, now: float) -> frozenset[int]:
    """Return the connections that are to be paused.

    Those that have held the most for the longest time, until the others hold at most
    the pause limit. What is paused stays so until the pressure is over.
    """
    limits = budget.limits
    if budget.held_bytes <= limits.pause_bytes:
        return frozenset()
    chosen = {client for client, held in budget.holdings.items() if held.paused}
    unpaused = budget.held_bytes - sum(budget.holdings[c].total for c in chosen)
    others = sorted(
        (client for client in budget.holdings if client not in chosen),
        key=lambda client: _byte_seconds(budget.holdings[client], now),
    )
    while others and unpaused > limits.pause_bytes:
        client = others.pop()
        chosen.add(client)
        unpaused -= budget.holdings[client].total
    return frozenset(chosen)


def _byte_seconds(held: Holding, now: float) -> float:
    # A second is added so that connections of the same moment differ by their size.
    return held.total * (now - held.since + 1.0)


def choose_closed(budget: ClientBudget, now: float) -> tuple[int, ...]:
    """Return the connections to close because of memory.

    Above the refuse limit, those without progress, until the pause limit is met. Above
    the close limit others as well, until it is met; a connection that makes progress is
    closed only after all those that make none.
    """
    limits = budget.limits
    held_bytes = budget.held_bytes
    if held_bytes <= limits.refuse_bytes:
        return ()
    order = sorted(
        budget.holdings,
        key=lambda client: _closing_rank(budget.holdings[client], now),
        reverse=True,
    )
    closed: tuple[int, ...] = ()
    for client in order:
        held = budget.holdings[client]
        limit = limits.pause_bytes if _is_stalled(held, now) else limits.close_bytes
        if held_bytes <= limit:
            break
        closed += (client,)
        held_bytes -= held.total
    return closed


def _is_stalled(held: Holding, now: float) -> bool:
    return now - held.progressed_at >= STALL_S


def _closing_rank(held: Holding, now: float) -> tuple[bool, bool, float]:
    # A statement in progress is interrupted last, since its outcome would be unknown.
    is_waiting = bool(held.message or held.unread or held.stored)
    idle_s = now - held.progressed_at
    return _is_stalled(held, now), is_waiting, held.total * (idle_s + 1.0)


def find_overdue(
    budget: ClientBudget, now: float
) -> tuple[tuple[int, ClosureReason], ...]:
    """Return the connections whose time is over, each with the reason."""
    limits = budget.limits
    # HTTP connections may be idle between requests, and handshakes of daemons are
    # limited where they are made.
    overdue = {
        client: ClosureReason.STARTUP
        for client, waiting in budget.waiting.items()
        if waiting.kind is ClientKind.CALLER
        and now - waiting.since >= limits.startup_timeout_s
    }
    for client, held in budget.holdings.items():
        message_s = now - held.message_since if held.message_since else 0.0
        if message_s >= limits.message_timeout_s:
            overdue[client] = ClosureReason.MESSAGE
        elif held.unread and now - held.progressed_at >= limits.unread_timeout_s:
            overdue[client] = ClosureReason.UNREAD
    return tuple(overdue.items())
