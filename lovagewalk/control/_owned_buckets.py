"""The owner's side of undivided buckets: a queue of needs for each."""

from collections.abc import Iterable

from lovagewalk.buckets import (
    BucketOwner,
    QueuedNeed,
    TokenAdmission,
    TokenAnswer,
    TokenDenial,
    TokenNeed,
    admit_needs,
    deny_late_needs,
    insert_by_priority,
)
from lovagewalk.consensus import SendToPeer
from lovagewalk.core import Step, replace
from lovagewalk.node import NodeState
from lovagewalk.shares import Share, expire, refill


def owns_bucket(state: NodeState, customer: str, now: float) -> bool:
    """Whether this daemon owns a customer's bucket."""
    share = state.shares.get(customer)
    return share is not None and share.is_whole_bucket and now < share.lease_until


def queue_owned_needs(
    state: NodeState, peer: str, needs: Iterable[TokenNeed], now: float
) -> Step[NodeState]:
    """Queue a daemon's needs at the buckets owned here, and answer it at once.

    The answer may be empty: it says that this owner is alive.
    """
    shares = state.shares
    customers = []
    for need in needs:
        share = shares[need.customer]
        queued_need = QueuedNeed(
            peer, need.req, now + need.wait_s, 1.0 - need.paid, need.priority
        )
        share = replace(
            share,
            queue=insert_by_priority(share.queue, queued_need),
            arrivals=share.arrivals + (peer != state.identity.name),
        )
        shares = shares.set(need.customer, share)
        customers.append(need.customer)
    answers = {peer: TokenAnswer()}
    return _serve(replace(state, shares=shares), dict.fromkeys(customers), answers, now)


def tick(state: NodeState, now: float) -> Step[NodeState]:
    """Serve the queues of all buckets owned here."""
    customers = [name for name, share in state.shares.items() if share.queue]
    if not customers:
        return Step(state)
    return _serve(state, customers, {}, now)


def _serve(
    state: NodeState,
    customers: Iterable[str],
    answers: dict[str, TokenAnswer],
    now: float,
) -> Step[NodeState]:
    """Grant free tokens to the queues, and send the answers, keyed by daemon."""
    shares = state.shares
    for customer in customers:
        share = expire(shares[customer], now)
        if share.is_whole_bucket:
            share = _serve_queue(state, share, answers, now)
        else:
            _send_elsewhere(share, answers)
            share = replace(share, queue=())
        shares = shares.set(customer, share)
    effects = tuple(SendToPeer(peer, answer) for peer, answer in answers.items())
    return Step(replace(state, shares=shares), effects)


def _serve_queue(
    state: NodeState, share: Share, answers: dict[str, TokenAnswer], now: float
) -> Share:
    """Serve the queue of one bucket, and add the results to the answers."""
    share = refill(share, now)
    result = admit_needs(share.queue, share.level)
    for need in result.admitted:
        answer = answers.get(need.peer) or TokenAnswer()
        admission = TokenAdmission(need.req, share.customer, need.missing)
        answers[need.peer] = replace(answer, admitted=answer.admitted + (admission,))
    remaining = deny_late_needs(
        result.queue,
        result.tokens,
        share.rate,
        now,
        free_at=share.lease_until,
        may_be_returned=False,
        is_short=state.identity.low_bandwidth,
    )
    for denied in remaining.denied:
        answer = answers.get(denied.need.peer) or TokenAnswer()
        denial = TokenDenial(denied.need.req, denied.wait_s)
        answers[denied.need.peer] = replace(answer, denied=answer.denied + (denial,))
    return replace(share, level=result.tokens, queue=remaining.queue)


def _send_elsewhere(share: Share, answers: dict[str, TokenAnswer]) -> None:
    """Tell the daemons that wait for a bucket that it is not owned here any more."""
    for peer in dict.fromkeys(need.peer for need in share.queue):
        answer = answers.get(peer) or TokenAnswer()
        owner = BucketOwner(share.customer, "")
        answers[peer] = replace(answer, owners=answer.owners + (owner,))
