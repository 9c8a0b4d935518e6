"""The leader's queues of requests that wait for customers' tokens.

Tokens are granted one by one. An answer needs no round of the quorum: while the
leader's lease lasts, no other VM can lead, and a new leader's buckets start empty
after that lease.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from lovagewalk.buckets import (
    MAX_RETRY_AFTER_S,
    BucketOwner,
    DeniedNeed,
    QueuedNeed,
    TokenAdmission,
    TokenAnswer,
    TokenAsk,
    TokenDenial,
    TokenNeed,
    admit_needs,
    deny_late_needs,
    insert_by_priority,
)
from lovagewalk.consensus import RaftState, SendToPeer, holds_leader_lease
from lovagewalk.core import Effect, Step, replace
from lovagewalk.node import NodeState

from . import _ledger
from ._bucket_owners import OfferResult, offer_bucket, offer_part
from ._messages import ShareRecall
from ._owned_buckets import owns_bucket, queue_owned_needs
from ._ownership import adopt_owners, find_owners
from ._peer_messages import on_message
from ._regions import (
    EntryFleet,
    describe_entry_fleet,
    find_region,
    is_lent_by_region,
)
from ._state import ControlState, Ledger, Ownership

# Recalls of a customer's shares are at least a round trip between regions apart.
RECALL_PERIOD_S = 0.05


@dataclass(frozen=True, slots=True)
class QueueResult:
    """Result of serving a customer's queue.

    Attributes
    ----------
    owners : tuple of (str, BucketOwner)
        Daemons, and where they have to send their needs, which are not queued here.
    asking_regions : frozenset of str
        Regions of the daemons whose needs were in the queue.
    """

    ledger: Ledger
    admitted: tuple[QueuedNeed, ...] = ()
    denied: tuple[DeniedNeed, ...] = ()
    recalls: tuple[_ledger.Recall, ...] = ()
    owners: tuple[tuple[str, BucketOwner], ...] = ()
    asking_regions: frozenset[str] = frozenset()


@on_message(TokenAsk)
def on_token_ask(
    state: NodeState, peer: str, message: TokenAsk, now: float
) -> Step[NodeState]:
    """Queue a daemon's needs, and grant the tokens that are free."""
    owned = tuple(n for n in message.needs if owns_bucket(state, n.customer, now))
    others = tuple(n for n in message.needs if n not in owned)
    step = Step(state)
    if owned:
        step = queue_owned_needs(state, peer, owned, now, message.region)
    if not others:
        return step
    raft: RaftState = state.consensus
    if raft is not None and raft.is_leader:
        return step.then(_queue_needs(step.state, peer, others, now))
    return step.then(Step(step.state, (_refuse_needs(state, peer, others),)))


def _refuse_needs(
    state: NodeState, peer: str, needs: tuple[TokenNeed, ...]
) -> SendToPeer:
    """Return an answer to needs that this daemon can neither queue nor grant."""
    raft: RaftState = state.consensus
    if raft is not None:
        return SendToPeer(peer, TokenAnswer(is_leader=False, leader=raft.leader))
    customers = dict.fromkeys(need.customer for need in needs)
    owners = tuple(BucketOwner(customer, "") for customer in customers)
    return SendToPeer(peer, TokenAnswer(owners=owners))


def _queue_needs(
    state: NodeState, peer: str, needs: tuple[TokenNeed, ...], now: float
) -> Step[NodeState]:
    """Queue a daemon's needs at the leader, whose queues then send them to owners."""
    control: ControlState = state.control
    ledgers = control.ledgers
    for need in needs:
        ledger = ledgers.get(need.customer)
        if ledger is None:
            ledger = _ledger.get_ledger(state, control, need.customer, now)
        queued_need = QueuedNeed(
            peer, need.req, now + need.wait_s, 1.0 - need.paid, need.priority
        )
        ledger = _ledger.add_queued_demand(ledger, peer)
        ledger = replace(ledger, queue=insert_by_priority(ledger.queue, queued_need))
        ledgers = ledgers.set(need.customer, ledger)
    customers = frozenset(need.customer for need in needs)
    control = replace(
        control, ledgers=ledgers, queued_customers=control.queued_customers | customers
    )
    return serve_queues(replace(state, control=control), customers, now)


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
    entry_daemons = _ledger.count_entry_daemons(state, control, now)
    fleet = describe_entry_fleet(control, now)
    answers: dict[str, TokenAnswer] = {}
    effects: tuple[Effect, ...] = ()
    for customer in customers:
        result = _serve_customer(state, control, customer, entry_daemons, fleet, now)
        queued = control.queued_customers
        if not result.ledger.queue:
            queued = queued - {customer}
        control = replace(
            control,
            ledgers=control.ledgers.set(customer, result.ledger),
            queued_customers=queued,
        )
        _collect_answers(answers, customer, result)
        offered = _offer_bucket(
            state, control, customer, entry_daemons, fleet, result.asking_regions, now
        )
        control = offered.control
        effects += offered.effects
        effects += tuple(
            SendToPeer(recall.daemon, ShareRecall(recall.grant))
            for recall in result.recalls
        )
    effects += tuple(SendToPeer(peer, answer) for peer, answer in answers.items())
    return Step(replace(state, control=control), effects)


def _offer_bucket(
    state: NodeState,
    control: ControlState,
    customer: str,
    entry_daemons: int,
    fleet: EntryFleet,
    asking_regions: frozenset[str],
    now: float,
) -> OfferResult:
    """Offer a customer's bucket to a daemon if it is not divided and has no owner.

    Where it is lent by region, a part is offered in each asking region that has none.
    """
    entry = state.catalogue.customer(customer)
    if entry is None or not _ledger.is_on_demand(entry, entry_daemons):
        return OfferResult(control)
    ledger = control.ledgers[customer]
    by_region = is_lent_by_region(entry, fleet)
    control = adopt_owners(control, ledger, now, by_region=by_region)
    owners = find_owners(control, ledger, now, by_region=by_region)
    regions = asking_regions & fleet.regions if by_region else frozenset()
    if not owners and not regions:
        return offer_bucket(state, control, ledger, now)
    result = OfferResult(control)
    for region in sorted(regions.difference(o.region for o in owners)):
        offered = offer_part(result.control, ledger, region, now)
        result = OfferResult(offered.control, result.effects + offered.effects)
    return result


def _serve_customer(
    state: NodeState,
    control: ControlState,
    customer: str,
    entry_daemons: int,
    fleet: EntryFleet,
    now: float,
) -> QueueResult:
    """Grant the free tokens in order, then deny late needs and recall shares.

    Where daemons own the bucket, the needs of the others are sent on to them.
    """
    entry = state.catalogue.customer(customer)
    ledger = control.ledgers[customer]
    if entry is None:
        denied = tuple(DeniedNeed(need, MAX_RETRY_AFTER_S) for need in ledger.queue)
        return QueueResult(replace(ledger, queue=()), denied=denied)
    ledger = _ledger.refresh_ledger(state, control, ledger, entry, now)
    on_demand = _ledger.is_on_demand(entry, entry_daemons)
    peers = dict.fromkeys(need.peer for need in ledger.queue)
    regions = frozenset(find_region(control, peer) for peer in peers)
    by_region = is_lent_by_region(entry, fleet)
    owners: tuple[Ownership, ...] = ()
    if on_demand:
        owners = find_owners(control, ledger, now, by_region=by_region)
    if owners:
        ledger = replace(ledger, queue=())
        sources = tuple(
            (peer, _choose_source(control, customer, owners, peer)) for peer in peers
        )
        return QueueResult(ledger, owners=sources, asking_regions=regions)
    granted = admit_needs(ledger.queue, ledger.tokens)
    ledger = replace(ledger, tokens=granted.tokens, queue=granted.queue)
    result = QueueResult(ledger, granted.admitted, asking_regions=regions)
    if not ledger.queue:
        return result
    if _ledger.knows_all_holdings(state, control, customer, now):
        # Before, each report may free tokens at once.
        denied = deny_late_needs(
            ledger.queue,
            ledger.tokens,
            entry.rate - ledger.held_rate,
            now,
            free_at=_ledger.next_expiry(ledger, now),
            may_be_returned=not on_demand,
            is_short=fleet.has_narrow_links,
        )
        ledger = replace(ledger, queue=denied.queue)
        result = replace(result, ledger=ledger, denied=denied.denied)
    if on_demand or now - ledger.recalled_at < RECALL_PERIOD_S:
        return result
    recalls = _ledger.recall_shares(control, ledger, entry, granted.queue[0].peer)
    ledger = replace(ledger, recalled_at=now)
    return replace(result, ledger=ledger, recalls=recalls)


def _choose_source(
    control: ControlState, customer: str, owners: tuple[Ownership, ...], peer: str
) -> BucketOwner:
    """Return the owner that a daemon has to ask: that of its region, if there is one.

    A daemon that asks although it owns a part has lost it; it is sent to another owner.
    """
    region = find_region(control, peer)
    names = [
        ownership.owner
        for ownership in sorted(owners, key=lambda o: o.region != region)
    ]
    if peer in names and len(names) > 1:
        names.remove(peer)
    return BucketOwner(customer, *names[:2])


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
    for peer, owner in result.owners:
        answer = answers.get(peer) or TokenAnswer()
        answers[peer] = replace(answer, owners=answer.owners + (owner,))
