"""The owner's side of undivided buckets: a queue of needs for each."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lovagewalk.buckets import (
    BucketOwner,
    DeniedNeed,
    ForwardedAsk,
    QueuedNeed,
    TokenAdmission,
    TokenAnswer,
    TokenDenial,
    TokenForward,
    TokenNeed,
    admit_needs,
    deny_late_needs,
    insert_by_priority,
)
from lovagewalk.consensus import SendToPeer
from lovagewalk.core import Effect, Step, replace
from lovagewalk.node import NodeState
from lovagewalk.records import NeedsForwarded
from lovagewalk.shares import Share, expire, refill

from ._peer_messages import on_message

# An owner to which needs are forwarded shows once in this time that it is alive.
FORWARD_ANSWER_PERIOD_S = 1.0


@dataclass(frozen=True, slots=True)
class Outbox:
    """Messages that result from serving queues.

    Attributes
    ----------
    answers : mapping of str to TokenAnswer
        Answers by daemon.
    forwards : mapping of str to tuple of ForwardedAsk
        Needs by the owner that they are forwarded to.
    awaiting : frozenset of str
        Owners that have to show that they are alive.
    """

    answers: Mapping[str, TokenAnswer] = field(default_factory=dict)
    forwards: Mapping[str, tuple[ForwardedAsk, ...]] = field(default_factory=dict)
    awaiting: frozenset[str] = frozenset()

    def admit(self, peer: str, admission: TokenAdmission) -> "Outbox":
        """Add an admission to the answer to a daemon."""
        answer = self._answer(peer)
        return self._with(
            peer, replace(answer, admitted=answer.admitted + (admission,))
        )

    def deny(self, denied: DeniedNeed) -> "Outbox":
        """Add a denial to the answer to a need's daemon."""
        peer = denied.need.peer
        answer = self._answer(peer)
        denial = TokenDenial(denied.need.req, denied.wait_s)
        return self._with(peer, replace(answer, denied=answer.denied + (denial,)))

    def send_elsewhere(self, peer: str, owner: BucketOwner) -> "Outbox":
        """Tell a daemon that its needs are not queued here any more."""
        answer = self._answer(peer)
        return self._with(peer, replace(answer, owners=answer.owners + (owner,)))

    def name_next_owner(self, peer: str, owner: BucketOwner) -> "Outbox":
        """Tell a daemon where to request a customer's tokens later."""
        answer = self._answer(peer)
        next_owners = answer.next_owners + (owner,)
        return self._with(peer, replace(answer, next_owners=next_owners))

    def forward(self, target: str, peer: str, need: TokenNeed) -> "Outbox":
        """Forward a daemon's need to the owner of another part."""
        needs = {ask.peer: ask.needs for ask in self.forwards.get(target, ())}
        needs[peer] = needs.get(peer, ()) + (need,)
        asks = tuple(ForwardedAsk(*item) for item in needs.items())
        return replace(self, forwards={**self.forwards, target: asks})

    def effects(self) -> tuple[Effect, ...]:
        """Return the messages, and the log records of what is forwarded."""
        effects: tuple[Effect, ...] = tuple(
            SendToPeer(peer, answer) for peer, answer in self.answers.items()
        )
        for target, asks in self.forwards.items():
            needs = tuple(need for ask in asks for need in ask.needs)
            customers = ", ".join(sorted({need.customer for need in needs}))
            forward = TokenForward(asks, wants_answer=target in self.awaiting)
            record = NeedsForwarded(target, len(needs), customers)
            effects += (SendToPeer(target, forward), record)
        return effects

    def _answer(self, peer: str) -> TokenAnswer:
        return self.answers.get(peer) or TokenAnswer()

    def _with(self, peer: str, answer: TokenAnswer) -> "Outbox":
        return replace(self, answers={**self.answers, peer: answer})


@dataclass(frozen=True, slots=True)
class ServedBucket:
    """A bucket after its queue was served, and the messages that result."""

    share: Share
    outbox: Outbox


def owns_bucket(state: NodeState, customer: str, now: float) -> bool:
    """Whether this daemon owns a customer's bucket, or a part of it."""
    share = state.shares.get(customer)
    return share is not None and share.is_whole_bucket and now < share.lease_until


def queue_owned_needs(
    state: NodeState, peer: str, needs: Iterable[TokenNeed], now: float, region: str
) -> Step[NodeState]:
    """Queue a daemon's needs at the buckets owned here, and answer it at once.

    The answer may be empty: it says that this owner is alive. A daemon of another
    region is told which owner to ask there later.

    Parameters
    ----------
    region : str
        The daemon's region; empty if it does not state it.
    """
    outbox = Outbox({peer: TokenAnswer()})
    customers = dict.fromkeys(need.customer for need in needs)
    for need in needs:
        is_new = peer != state.identity.name
        state = _queue_need(state, peer, need, now, counts=is_new, is_forwarded=False)
    for customer in customers:
        share = state.shares[customer]
        if share.by_region and region not in ("", state.identity.region):
            next_owner = _find_owner_in_region(state, share, peer, region)
            outbox = outbox.name_next_owner(peer, next_owner)
    return _serve(state, customers, outbox, now)


def _queue_need(
    state: NodeState,
    peer: str,
    need: TokenNeed,
    now: float,
    *,
    counts: bool,
    is_forwarded: bool,
) -> NodeState:
    """Queue one need at the bucket owned here.

    Parameters
    ----------
    counts : bool
        Whether the need counts as an arrival, which is demand of this daemon's region.
    """
    share = state.shares[need.customer]
    queued_need = QueuedNeed(
        peer,
        need.req,
        now + need.wait_s,
        1.0 - need.paid,
        need.priority,
        is_forwarded=is_forwarded,
    )
    share = replace(
        share,
        queue=insert_by_priority(share.queue, queued_need),
        arrivals=share.arrivals + counts,
    )
    return replace(state, shares=state.shares.set(need.customer, share))


def _find_owner_in_region(
    state: NodeState, share: Share, peer: str, region: str
) -> BucketOwner:
    """Return where a daemon of another region has to request tokens later.

    If its region has no owner, it asks the leader, which lends a part there. So does a
    daemon that owns a part by the last grant, but has lost it.
    """
    owners = (part.owner for part in share.other_parts if part.region == region)
    owner = next(owners, "")
    if owner in ("", peer):
        return BucketOwner(share.customer, "")
    return BucketOwner(share.customer, owner, other=state.identity.name)


@on_message(TokenForward)
def on_token_forward(
    state: NodeState, peer: str, message: TokenForward, now: float
) -> Step[NodeState]:
    """Decide on needs that the part of another owner cannot admit in time.

    They are demand of the region that they come from, and not counted here.
    """
    outbox = Outbox({peer: TokenAnswer()} if message.wants_answer else {})
    customers: dict[str, None] = {}
    for ask in message.asks:
        for need in ask.needs:
            if owns_bucket(state, need.customer, now):
                customers[need.customer] = None
                state = _queue_need(
                    state, ask.peer, need, now, counts=False, is_forwarded=True
                )
            else:
                lost = QueuedNeed(ask.peer, need.req, now + need.wait_s)
                outbox = outbox.deny(DeniedNeed(lost, need.wait_s))
    return _serve(state, customers, outbox, now)


def tick(state: NodeState, now: float) -> Step[NodeState]:
    """Serve the queues of all buckets owned here."""
    customers = [name for name, share in state.shares.items() if share.queue]
    if not customers:
        return Step(state)
    return _serve(state, customers, Outbox(), now)


def _serve(
    state: NodeState, customers: Iterable[str], outbox: Outbox, now: float
) -> Step[NodeState]:
    """Grant free tokens to the queues, and send what the outbox holds then."""
    shares = state.shares
    for customer in customers:
        share = expire(shares[customer], now)
        if share.is_whole_bucket:
            served = _serve_queue(state, share, outbox, now)
        else:
            served = _empty_queue(share, outbox, now)
        outbox = served.outbox
        shares = shares.set(customer, served.share)
    return Step(replace(state, shares=shares), outbox.effects())


def _serve_queue(
    state: NodeState, share: Share, outbox: Outbox, now: float
) -> ServedBucket:
    """Serve the queue of one bucket."""
    share = refill(share, now)
    result = admit_needs(share.queue, share.level)
    for need in result.admitted:
        admission = TokenAdmission(need.req, share.customer, need.missing)
        outbox = outbox.admit(need.peer, admission)
    remaining = deny_late_needs(
        result.queue,
        result.tokens,
        share.rate,
        now,
        free_at=share.lease_until,
        may_be_returned=False,
        is_short=state.identity.low_bandwidth,
    )
    share = replace(share, level=result.tokens, queue=remaining.queue)
    served = ServedBucket(share, outbox)
    for denied in remaining.denied:
        served = _forward_or_deny(served, denied, now)
    return served


def _forward_or_deny(
    served: ServedBucket, denied: DeniedNeed, now: float
) -> ServedBucket:
    """Forward a need to the owner of another part, if it was not yet; else deny it."""
    share, outbox, need = served.share, served.outbox, denied.need
    target = find_forward_target(share, now)
    may_forward = not need.is_forwarded and now < need.deadline
    if not may_forward or target in ("", need.peer):
        return ServedBucket(share, outbox.deny(denied))
    wait_s = need.deadline - now
    forwarded = TokenNeed(
        need.req, share.customer, wait_s, 1.0 - need.missing, need.priority
    )
    outbox = outbox.forward(target, need.peer, forwarded)
    is_recent = now - share.forward_answered_at < FORWARD_ANSWER_PERIOD_S
    if share.forward_sent_at or is_recent:
        return ServedBucket(share, outbox)
    outbox = replace(outbox, awaiting=outbox.awaiting | {target})
    return ServedBucket(replace(share, forward_sent_at=now), outbox)


def find_forward_target(share: Share, now: float) -> str:
    """Return the owner of the largest other part that answers; empty for none."""
    owners = (part.owner for part in share.other_parts)
    return next((owner for owner in owners if not share.is_silent(owner, now)), "")


def _empty_queue(share: Share, outbox: Outbox, now: float) -> ServedBucket:
    """Tell the daemons that wait for a bucket that it is not owned here any more.

    A need that was forwarded here is denied, since its daemon does not ask here.
    """
    for need in share.queue:
        if need.is_forwarded:
            outbox = outbox.deny(DeniedNeed(need, max(need.deadline - now, 0.0)))
    for peer in dict.fromkeys(n.peer for n in share.queue if not n.is_forwarded):
        outbox = outbox.send_elsewhere(peer, BucketOwner(share.customer, ""))
    return ServedBucket(replace(share, queue=()), outbox)
