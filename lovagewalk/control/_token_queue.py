"""The leader's queue for tokens of customers, which it gives out one by one.

An answer needs no round of the quorum: while its lease lasts, no other VM can
lead, and a new leader's buckets start empty after it.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from lovagewalk.catalogue import CustomerEntry
from lovagewalk.consensus import RaftState, SendPeer, holds_leader_lease
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

# A round trip between regions.
RECALL_PERIOD_S = 0.05
# A rate of zero gives no token at all; the longest stay that a caller is told.
MAX_RETRY_AFTER_S = 5.0


@dataclass(frozen=True, slots=True)
class DeniedNeed:
    """A need that no token will come for in time.

    Attributes
    ----------
    wait_s : float
        When one would, in seconds.
    """

    need: QueuedNeed
    wait_s: float


@dataclass(frozen=True, slots=True)
class Served:
    """What became of a customer's queue."""

    ledger: Ledger
    admitted: tuple[QueuedNeed, ...] = ()
    denied: tuple[DeniedNeed, ...] = ()
    recalls: tuple[_ledger.Recall, ...] = ()


@on_message(TokenAsk)
def on_token_ask(
    state: NodeState, peer: str, message: TokenAsk, now: float
) -> Step[NodeState]:
    """Queue a daemon's needs, and give what tokens there are."""
    raft: RaftState = state.consensus
    if raft is None or not raft.is_leader:
        leader = raft.leader if raft is not None else ""
        answer = TokenAnswer(is_leader=False, leader=leader)
        return Step(state, (SendPeer(peer, answer),))
    control: ControlState = state.control
    ledgers = control.ledgers
    for need in message.needs:
        ledger = ledgers.get(need.customer)
        if ledger is None:
            ledger = _ledger.ledger_of(state, control, need.customer, now)
        queued = QueuedNeed(
            peer, need.req, now + need.wait_s, 1.0 - need.paid, need.priority
        )
        ledger = _ledger.note_need(ledger, peer)
        ledger = replace(ledger, queue=_insert(ledger.queue, queued))
        ledgers = ledgers.set(need.customer, ledger)
    customers = frozenset(need.customer for need in message.needs)
    control = replace(control, ledgers=ledgers, queued=control.queued | customers)
    return serve(replace(state, control=control), customers, now)


def _insert(queue: tuple[QueuedNeed, ...], need: QueuedNeed) -> tuple[QueuedNeed, ...]:
    """Queue a need behind those that are as urgent.

    Needs may wait for different times. In the order of their arrival, a customer
    above its rate would keep the queue as long as the longest of these, and all
    that may wait less would be turned away.
    """
    ahead = sum(other.priority <= need.priority for other in queue)
    return queue[:ahead] + (need,) + queue[ahead:]


def tick(state: NodeState, now: float) -> Step[NodeState]:
    """Serve what waits for tokens."""
    return serve(state, state.control.queued, now)


def serve(state: NodeState, customers: Iterable[str], now: float) -> Step[NodeState]:
    """Give tokens to the first needs of some customers."""
    control: ControlState = state.control
    if not customers or not holds_leader_lease(state.consensus, now):
        return Step(state)
    entry_daemons = _ledger.count_entry_daemons(control, now)
    answers: dict[str, TokenAnswer] = {}
    effects: tuple[Effect, ...] = ()
    for customer in customers:
        if not _ledger.may_grant(state, control, customer, now):
            continue
        served = _serve_customer(state, control, customer, entry_daemons, now)
        queued = control.queued
        if not served.ledger.queue:
            queued = queued - {customer}
        control = replace(
            control, ledgers=control.ledgers.set(customer, served.ledger), queued=queued
        )
        _collect(answers, customer, served)
        effects += tuple(
            SendPeer(recall.daemon, ShareRecall(recall.grant))
            for recall in served.recalls
        )
    effects += tuple(SendPeer(peer, answer) for peer, answer in answers.items())
    return Step(replace(state, control=control), effects)


def _serve_customer(
    state: NodeState,
    control: ControlState,
    customer: str,
    entry_daemons: int,
    now: float,
) -> Served:
    entry = state.catalogue.customer(customer)
    ledger = control.ledgers[customer]
    if entry is None:
        denied = tuple(DeniedNeed(need, MAX_RETRY_AFTER_S) for need in ledger.queue)
        return Served(replace(ledger, queue=()), denied=denied)
    ledger = _ledger.refresh(state, control, ledger, entry, now)
    waiting = list(ledger.queue)
    admitted: tuple[QueuedNeed, ...] = ()
    tokens = ledger.tokens
    while waiting and waiting[0].missing <= tokens + _ledger.EPSILON:
        tokens = max(tokens - waiting[0].missing, 0.0)
        admitted += (waiting.pop(0),)
    ledger = replace(ledger, tokens=tokens, queue=tuple(waiting))
    if not waiting:
        return Served(ledger, admitted)
    on_demand = _ledger.is_on_demand(entry, entry_daemons)
    served = _deny_hopeless(ledger, entry, on_demand, now)
    served = replace(served, admitted=admitted)
    if on_demand or now - ledger.recalled_at < RECALL_PERIOD_S:
        return served
    recalls = _ledger.recall_shares(control, ledger, entry, waiting[0].peer)
    ledger = replace(served.ledger, recalled_at=now)
    return replace(served, ledger=ledger, recalls=recalls)


def _deny_hopeless(
    ledger: Ledger, entry: CustomerEntry, on_demand: bool, now: float
) -> Served:
    """Turn away needs whose token comes after they are given up.

    Where daemons hold shares, some of those may come back at any moment.
    """
    free_rate = entry.rate - ledger.held_rate
    kept: tuple[QueuedNeed, ...] = ()
    denied: tuple[DeniedNeed, ...] = ()
    missing = -ledger.tokens
    for need in ledger.queue:
        missing += need.missing
        wait_s = MAX_RETRY_AFTER_S
        if free_rate > 0:
            wait_s = min(missing / free_rate, MAX_RETRY_AFTER_S)
        in_time = now + wait_s < need.until if on_demand else now < need.until
        if in_time:
            kept += (need,)
        else:
            denied += (DeniedNeed(need, wait_s),)
            missing -= need.missing
    return Served(replace(ledger, queue=kept), denied=denied)


def _collect(answers: dict[str, TokenAnswer], customer: str, served: Served) -> None:
    """Add what became of a queue to the answers of the daemons that asked."""
    for need in served.admitted:
        answer = answers.get(need.peer) or TokenAnswer()
        admission = TokenAdmission(need.req, customer, need.missing)
        answers[need.peer] = replace(answer, admitted=answer.admitted + (admission,))
    for item in served.denied:
        peer = item.need.peer
        answer = answers.get(peer) or TokenAnswer()
        denial = TokenDenial(item.need.req, item.wait_s)
        answers[peer] = replace(answer, denied=answer.denied + (denial,))
