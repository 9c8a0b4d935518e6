"""The leader's queues of requests that wait for customers' tokens.

Tokens are granted one by one. An answer needs no round of the quorum: while the
leader's lease lasts, no other VM can lead, and a new leader's buckets start empty
after that lease.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from lovagewalk.catalogue import CustomerEntry
from lovagewalk.consensus import RaftState, SendToPeer, holds_leader_lease
from lovagewalk.core import Effect, Step, replace
from lovagewalk.node import NodeState

from . import _ledger
from ._messages import (
    ShareRecall,
    TokenAdmission,
    TokenAnswer,
    TokenAsk,
    TokenDenial,
)
from ._peer_messages import on_message
from ._state import ControlState, Ledger, QueuedNeed

# Recalls of a customer's shares are at least a round trip between regions apart.
RECALL_PERIOD_S = 0.05
# The retry time that a caller is given is bounded, since at a rate of zero no token is
# ever free.
MAX_RETRY_AFTER_S = 5.0


@dataclass(frozen=True, slots=True)
class DeniedNeed:
    """A need that will get no token in time.

    Attributes
    ----------
    wait_s : float
        Time until a token would be free, in seconds.
    """

    need: QueuedNeed
    wait_s: float


@dataclass(frozen=True, slots=True)
class QueueResult:
    """Result of serving a customer's queue."""

    ledger: Ledger
    admitted: tuple[QueuedNeed, ...] = ()
    denied: tuple[DeniedNeed, ...] = ()
    recalls: tuple[_ledger.Recall, ...] = ()


@on_message(TokenAsk)
def on_token_ask(
    state: NodeState, peer: str, message: TokenAsk, now: float
) -> Step[NodeState]:
    """Queue a daemon's needs, and grant the tokens that are free."""
    raft: RaftState = state.consensus
    if raft is None or not raft.is_leader:
        leader = raft.leader if raft is not None else ""
        answer = TokenAnswer(is_leader=False, leader=leader)
        return Step(state, (SendToPeer(peer, answer),))
    control: ControlState = state.control
    ledgers = control.ledgers
    for need in message.needs:
        ledger = ledgers.get(need.customer)
        if ledger is None:
            ledger = _ledger.get_ledger(state, control, need.customer, now)
        queued_need = QueuedNeed(
            peer, need.req, now + need.wait_s, 1.0 - need.paid, need.priority
        )
        ledger = _ledger.add_queued_demand(ledger, peer)
        ledger = replace(ledger, queue=_insert_by_priority(ledger.queue, queued_need))
        ledgers = ledgers.set(need.customer, ledger)
    customers = frozenset(need.customer for need in message.needs)
    control = replace(
        control, ledgers=ledgers, queued_customers=control.queued_customers | customers
    )
    return serve_queues(replace(state, control=control), customers, now)


def _insert_by_priority(
    queue: tuple[QueuedNeed, ...], need: QueuedNeed
) -> tuple[QueuedNeed, ...]:
    """Insert a need behind those of the same or a higher priority.

    Needs may wait for different times. In order of arrival, the queue of a customer
    above its rate would grow to the longest of these times, and every need with a
    shorter time would be denied.
    """
    position = sum(other.priority <= need.priority for other in queue)
    return queue[:position] + (need,) + queue[position:]


def tick(state: NodeState, now: float) -> Step[NodeState]:
    """Serve the queues of all customers."""
    return serve_queues(state, state.control.queued_customers, now)


def serve_queues(
    state: NodeState, customers: Iterable[str], now: float
) -> Step[NodeState]:
    """Grant free tokens to queued needs of these customers, and answer the daemons."""
    control: ControlState = state.control
    if not customers or not holds_leader_lease(state.consensus, now):
        return Step(state)
    if not _ledger.may_grant(state, now):
        return Step(state)
    answers: dict[str, TokenAnswer] = {}
    effects: tuple[Effect, ...] = ()
    for customer in customers:
        result = _serve_customer(state, control, customer, now)
        queued = control.queued_customers
        if not result.ledger.queue:
            queued = queued - {customer}
        control = replace(
            control,
            ledgers=control.ledgers.set(customer, result.ledger),
            queued_customers=queued,
        )
        _collect_answers(answers, customer, result)
        effects += tuple(
            SendToPeer(recall.daemon, ShareRecall(recall.grant))
            for recall in result.recalls
        )
    effects += tuple(SendToPeer(peer, answer) for peer, answer in answers.items())
    return Step(replace(state, control=control), effects)


def _serve_customer(
    state: NodeState,
    control: ControlState,
    customer: str,
    now: float,
) -> QueueResult:
    """Grant the free tokens in order, then deny late needs and recall shares."""
    entry = state.catalogue.customer(customer)
    ledger = control.ledgers[customer]
    if entry is None:
        denied = tuple(DeniedNeed(need, MAX_RETRY_AFTER_S) for need in ledger.queue)
        return QueueResult(replace(ledger, queue=()), denied=denied)
    ledger = _ledger.refresh_ledger(state, control, ledger, entry, now)
    waiting = list(ledger.queue)
    admitted: tuple[QueuedNeed, ...] = ()
    tokens = ledger.tokens
    while waiting and waiting[0].missing <= tokens + _ledger.EPSILON:
        tokens = max(tokens - waiting[0].missing, 0.0)
        admitted += (waiting.pop(0),)
    ledger = replace(ledger, tokens=tokens, queue=tuple(waiting))
    if not waiting:
        return QueueResult(ledger, admitted)
    on_demand = _ledger.is_on_demand(state, control, entry, now)
    result = QueueResult(ledger)
    if _ledger.knows_all_holdings(state, control, customer, now):
        # Before, each report may free tokens at once.
        result = _deny_late(ledger, entry, on_demand, now)
    result = replace(result, admitted=admitted)
    if on_demand or now - ledger.recalled_at < RECALL_PERIOD_S:
        return result
    recalls = _ledger.recall_shares(control, ledger, entry, waiting[0].peer)
    ledger = replace(result.ledger, recalled_at=now)
    return replace(result, ledger=ledger, recalls=recalls)


def _deny_late(
    ledger: Ledger, entry: CustomerEntry, on_demand: bool, now: float
) -> QueueResult:
    """Deny needs whose token would come after their deadline.

    Where daemons hold shares, they may return tokens at any moment, so a need is
    denied only at its deadline.
    """
    free_rate = entry.rate - ledger.held_rate
    remaining: tuple[QueuedNeed, ...] = ()
    denied: tuple[DeniedNeed, ...] = ()
    missing = -ledger.tokens
    for need in ledger.queue:
        missing += need.missing
        wait_s = MAX_RETRY_AFTER_S
        if free_rate > 0:
            wait_s = min(missing / free_rate, MAX_RETRY_AFTER_S)
        is_in_time = now + wait_s < need.deadline if on_demand else now < need.deadline
        if is_in_time:
            remaining += (need,)
        else:
            denied += (DeniedNeed(need, wait_s),)
            missing -= need.missing
    return QueueResult(replace(ledger, queue=remaining), denied=denied)


def _collect_answers(
    answers: dict[str, TokenAnswer], customer: str, result: QueueResult
) -> None:
    """Add the results of one queue to the answers, which are keyed by daemon."""
    for need in result.admitted:
        answer = answers.get(need.peer) or TokenAnswer()
        admission = TokenAdmission(need.req, customer, need.missing)
        answers[need.peer] = replace(answer, admitted=answer.admitted + (admission,))
    for denied_need in result.denied:
        peer = denied_need.need.peer
        answer = answers.get(peer) or TokenAnswer()
        denial = TokenDenial(denied_need.need.req, denied_need.wait_s)
        answers[peer] = replace(answer, denied=answer.denied + (denial,))
