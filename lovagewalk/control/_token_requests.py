"""A daemon's requests for tokens that its own shares do not hold."""

from collections.abc import Iterable

from lovagewalk.buckets import (
    BucketOwner,
    TokenAdmission,
    TokenAnswer,
    TokenAsk,
    TokenDenial,
    TokenNeed,
)
from lovagewalk.consensus import SendToPeer
from lovagewalk.core import Refusal, Step, replace
from lovagewalk.node import NodeState
from lovagewalk.records import OwnerSilent
from lovagewalk.routing import Phase, Request, _admit, _callers
from lovagewalk.routing._answer import answer as answer_caller
from lovagewalk.shares import (
    Share,
    forget_requested,
    keep_queued,
    level_at,
    remove_tokens,
    return_tokens,
    turn_to_other_owner,
)

from ._owned_buckets import find_forward_target, owns_bucket
from ._peer_messages import on_message
from ._state import LEADERLESS_RETRY_S, LEASE_S, FollowState

# An answer that has not come after this time has been lost: a need waits for a second
# at most, and the answer for a round trip.
ANSWER_LOST_S = 5.0
# An owner answers at once. This is many times the round trip between regions.
OWNER_TIMEOUT_S = 0.3


def request_tokens(state: NodeState, now: float) -> Step[NodeState]:
    """Request tokens for the waiting requests that no owner or leader has been sent."""
    step = _leave_silent_owners(state, now)
    state = step.state
    needs_by_target: dict[str, tuple[TokenNeed, ...]] = {}
    for customer in tuple(name for name, s in state.shares.items() if s.waiting):
        share = state.shares[customer]
        target = _find_source(state, share, now)
        waiting = _find_unsent_requests(state, share)
        if not waiting or (target is None and now < state.follow.next_ask_at):
            continue
        share = replace(share, last_asked_req=waiting[-1].req)
        if state.identity.low_bandwidth:
            share = _expect_answers(share, waiting, now)
        if target == share.owner and not share.asked_at:
            share = replace(share, asked_at=now)
        state = replace(state, shares=state.shares.set(customer, share))
        for request in waiting:
            state, need = _build_need(state, request, now)
            if need is not None:
                name = target or state.follow.target
                needs_by_target[name] = needs_by_target.get(name, ()) + (need,)
    region = state.identity.region if state.identity.low_bandwidth else ""
    effects = tuple(
        SendToPeer(name, TokenAsk(needs, region))
        for name, needs in needs_by_target.items()
    )
    return Step(state, step.effects + effects)


def _leave_silent_owners(state: NodeState, now: float) -> Step[NodeState]:
    """Use no owners that have not answered in time.

    The owner of another part is asked instead if it is known, and the control leader
    otherwise. Nothing is forwarded to an owner that does not answer forwarded needs.
    """
    shares = state.shares
    records: tuple[OwnerSilent, ...] = ()
    for customer, share in state.shares.items():
        if share.asked_at and now - share.asked_at >= OWNER_TIMEOUT_S:
            silent, source = share.owner, share.other_owner
            share = _mark_silent(turn_to_other_owner(share), silent, now)
        elif share.forward_sent_at and now - share.forward_sent_at >= OWNER_TIMEOUT_S:
            silent, source = find_forward_target(share, now), ""
            share = _mark_silent(share, silent, now)
            share = replace(share, forward_sent_at=0.0)
        else:
            continue
        records += (OwnerSilent(customer, silent, source, len(share.waiting)),)
        shares = shares.set(customer, share)
    return Step(replace(state, shares=shares), records)


def _mark_silent(share: Share, owner: str, now: float) -> Share:
    """Record that an owner was silent; its lease is over when this record ends."""
    return replace(share, silent_owner=owner, silent_until=now + LEASE_S)


def _expect_answers(share: Share, requests: Iterable[Request], now: float) -> Share:
    """Record that tokens are requested; forget requests whose answers were lost."""
    unanswered = share.unanswered
    for req, asked_at in unanswered.items():
        if now - asked_at >= ANSWER_LOST_S:
            unanswered = unanswered.delete(req)
    for request in requests:
        unanswered = unanswered.set(request.req, now)
    return replace(share, unanswered=unanswered)


def _find_source(state: NodeState, share: Share, now: float) -> str | None:
    """Return the daemon to request tokens from; None for the control leader."""
    if owns_bucket(state, share.customer, now):
        return state.identity.name
    return share.owner or None


def _find_unsent_requests(state: NodeState, share: Share) -> list[Request]:
    """Return a customer's waiting requests that were not sent yet, oldest first."""
    requests = [
        state.requests[req]
        for req in share.waiting
        if req > share.last_asked_req and req in state.requests
        if req not in share.queued_there
    ]
    return sorted(requests, key=lambda request: request.req)


def _build_need(
    state: NodeState, request: Request, now: float
) -> tuple[NodeState, TokenNeed | None]:
    """Set aside what the share holds for a request, and return what it needs.

    None if it may not wait any longer.
    """
    remaining_s = _admit.token_deadline(request) - now
    if remaining_s <= 0:
        return state, None
    remaining_s = min(remaining_s, _admit.max_token_wait_s(request))
    state = _reserve_partial_token(state, request, now)
    need = TokenNeed(
        request.req,
        request.customer,
        remaining_s,
        state.requests[request.req].reserved_fraction,
        request.priority,
    )
    return state, need


def _reserve_partial_token(state: NodeState, request: Request, now: float) -> NodeState:
    """Set aside what a share holds, if less than a token, for a request."""
    share = state.shares[request.customer]
    if share.is_whole_bucket:
        return state
    level = level_at(share, now) if now < share.lease_until else 0.0
    if request.reserved_fraction or not 0 < level < 1:
        return state
    request = replace(request, reserved_fraction=level)
    return replace(
        state,
        shares=state.shares.set(share.customer, remove_tokens(share, now)),
        requests=state.requests.set(request.req, request),
    )


@on_message(TokenAnswer)
def on_token_answer(
    state: NodeState, peer: str, message: TokenAnswer, now: float
) -> Step[NodeState]:
    """Admit or refuse requests as the leader or the owner has decided.

    Another owner that the answer names is asked at once. A sender that names itself and
    has queued nothing does not own the bucket yet; it is asked again at the next tick.
    """
    if not message.is_leader:
        return Step(_schedule_retry(state, peer, message.leader, now))
    state = _record_answer(state, peer, now)
    for bucket_owner in message.owners:
        state = _set_owner(state, peer, bucket_owner, now)
    for bucket_owner in message.next_owners:
        state = _set_next_owner(state, peer, bucket_owner, now)
    step = Step(state)
    for admission in message.admitted:
        step = step.then(_admit_request(step.state, admission, now))
    for denial in message.denied:
        step = step.then(_refuse_request(step.state, denial))
    shares = (step.state.shares.get(owner.customer) for owner in message.owners)
    if any(share is not None and share.owner not in ("", peer) for share in shares):
        step = step.then(request_tokens(step.state, now))
    return step


def _record_answer(state: NodeState, peer: str, now: float) -> NodeState:
    """Record that an owner has answered."""
    shares = state.shares
    for customer, share in shares.items():
        if share.asked_at and share.owner == peer:
            share = replace(share, asked_at=0.0)
            shares = shares.set(customer, share)
        if share.forward_sent_at and peer in (p.owner for p in share.other_parts):
            share = replace(share, forward_sent_at=0.0, forward_answered_at=now)
            shares = shares.set(customer, share)
    return replace(state, shares=shares)


def _set_owner(
    state: NodeState, peer: str, bucket_owner: BucketOwner, now: float
) -> NodeState:
    """Request a customer's tokens from the named owner from now on.

    A daemon that does not own the bucket any more names none; only the one that is
    asked at present is believed. Where the leader names this daemon, whose lease has
    ended, it goes on asking the leader.
    """
    share = state.shares.get(bucket_owner.customer)
    if share is None or owns_bucket(state, share.customer, now):
        return state
    if not bucket_owner.owner and share.owner not in ("", peer):
        return state
    owner, other = bucket_owner.owner, bucket_owner.other
    if other and share.is_silent(owner, now):
        owner, other = other, ""
    if owner == state.identity.name:
        owner = ""
    share = replace(
        share, owner=owner, other_owner=other, last_asked_req=0, asked_at=0.0
    )
    return replace(state, shares=state.shares.set(share.customer, share))


def _set_next_owner(
    state: NodeState, peer: str, bucket_owner: BucketOwner, now: float
) -> NodeState:
    """Request a customer's later tokens from another owner, or the control leader.

    The needs that `peer` has queued stay there.
    """
    share = state.shares.get(bucket_owner.customer)
    if share is None or share.owner != peer or owns_bucket(state, share.customer, now):
        return state
    if share.is_silent(bucket_owner.owner, now):
        return state
    share = replace(
        keep_queued(share, peer),
        owner=bucket_owner.owner,
        other_owner=bucket_owner.other,
    )
    return replace(state, shares=state.shares.set(share.customer, share))


def _schedule_retry(state: NodeState, peer: str, leader: str, now: float) -> NodeState:
    """Request again from the named leader, or else after `LEADERLESS_RETRY_S`."""
    follow: FollowState = state.follow
    state = replace(state, shares=forget_requested(state.shares))
    if follow.target != peer:
        return state
    if leader and leader != peer:
        follow = replace(
            follow, target=leader, known_leader=leader, is_report_urgent=True
        )
    else:
        follow = replace(follow, next_ask_at=now + LEADERLESS_RETRY_S)
    return replace(state, follow=follow)


def _admit_request(
    state: NodeState, admission: TokenAdmission, now: float
) -> Step[NodeState]:
    """Admit a request; if it has ended, return its token."""
    is_expected = _is_answer_expected(state, admission.customer, admission.req)
    state = _record_answered(state, admission.customer, admission.req)
    request = _find_waiting(state, admission.req)
    if request is None or request.customer != admission.customer:
        return Step(_return_token(state, admission, now) if is_expected else state)
    admitted = replace(request, reserved_fraction=0.0)
    return _admit.run_admitted(
        _callers.remove_from_queue(state, admitted), admitted, now
    )


def _is_answer_expected(state: NodeState, customer: str, req: int) -> bool:
    """Whether an answer for a request is expected, and not a copy of an earlier one.

    The token of a copy was never taken from a bucket, so it must not be returned. A
    second owner's token for a need that was sent twice is lost, which is safe.
    """
    if not state.identity.low_bandwidth:
        return True
    share = state.shares.get(customer)
    return share is not None and req in share.unanswered


def _record_answered(state: NodeState, customer: str, req: int) -> NodeState:
    share = state.shares.get(customer)
    if share is None or req not in share.unanswered:
        return state
    share = replace(share, unanswered=share.unanswered.delete(req))
    return replace(state, shares=state.shares.set(customer, share))


def _return_token(state: NodeState, admission: TokenAdmission, now: float) -> NodeState:
    """Put a token back that admits no request, or report it as returned."""
    share = state.shares.get(admission.customer)
    if share is None:
        return state
    if owns_bucket(state, share.customer, now):
        share = return_tokens(share, admission.tokens, now)
    else:
        share = replace(share, returned=share.returned + admission.tokens)
    return replace(state, shares=state.shares.set(share.customer, share))


def _refuse_request(state: NodeState, denial: TokenDenial) -> Step[NodeState]:
    request = _find_waiting(state, denial.req)
    if request is None:
        return Step(state)
    state = _record_answered(state, request.customer, denial.req)
    refusal: Refusal = replace(
        _admit.rate_refusal(state, request), retry_after_s=denial.retry_after_s
    )
    return answer_caller(_callers.remove_from_queue(state, request), request, refusal)


def _find_waiting(state: NodeState, req: int) -> Request | None:
    request = state.requests.get(req)
    if request is None or request.phase is not Phase.TOKENS:
        return None
    return request
