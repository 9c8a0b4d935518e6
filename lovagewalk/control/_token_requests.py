"""A daemon's requests to the leader for tokens that its own shares do not hold."""

from lovagewalk.consensus import SendToPeer
from lovagewalk.core import Refusal, Step, replace
from lovagewalk.node import NodeState
from lovagewalk.routing import Phase, Request, _admit, _callers
from lovagewalk.routing._answer import answer as answer_caller
from lovagewalk.shares import level_at, remove_tokens

from ._messages import TokenAdmission, TokenAnswer, TokenAsk, TokenDenial, TokenNeed
from ._peer_messages import on_message
from ._state import LEADERLESS_RETRY_S, FollowState


def request_tokens(state: NodeState, now: float) -> Step[NodeState]:
    """Request tokens for the waiting requests that the leader has not been sent yet."""
    follow: FollowState = state.follow
    waiting = _find_unsent_requests(state, follow.last_asked_req)
    if not waiting or now < follow.next_ask_at:
        return Step(state)
    follow = replace(follow, last_asked_req=waiting[-1].req)
    state = replace(state, follow=follow)
    needs: tuple[TokenNeed, ...] = ()
    for request in waiting:
        remaining_s = _admit.token_deadline(request) - now
        if remaining_s <= 0:
            continue
        remaining_s = min(remaining_s, _admit.max_token_wait_s(request))
        state = _reserve_partial_token(state, request, now)
        reserved_fraction = state.requests[request.req].reserved_fraction
        needs += (
            TokenNeed(
                request.req,
                request.customer,
                remaining_s,
                reserved_fraction,
                request.priority,
            ),
        )
    if not needs:
        return Step(state)
    return Step(state, (SendToPeer(follow.target, TokenAsk(needs)),))


def _find_unsent_requests(state: NodeState, last_sent_req: int) -> list[Request]:
    """Return the waiting requests numbered above `last_sent_req`, oldest first."""
    requests = [
        state.requests[req]
        for share in state.shares.values()
        for req in share.waiting
        if req > last_sent_req and req in state.requests
    ]
    return sorted(requests, key=lambda request: request.req)


def _reserve_partial_token(state: NodeState, request: Request, now: float) -> NodeState:
    """Set aside what a share holds, if less than a token, for a request."""
    share = state.shares[request.customer]
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
    """Admit or refuse requests as the leader has decided."""
    if not message.is_leader:
        return Step(_schedule_retry(state, peer, message.leader, now))
    step = Step(state)
    for admission in message.admitted:
        step = step.then(_admit_request(step.state, admission, now))
    for denial in message.denied:
        step = step.then(_refuse_request(step.state, denial))
    return step


def _schedule_retry(state: NodeState, peer: str, leader: str, now: float) -> NodeState:
    """Request again from the named leader, or else after `LEADERLESS_RETRY_S`."""
    follow: FollowState = state.follow
    if follow.target != peer:
        return replace(state, follow=replace(follow, last_asked_req=0))
    if leader and leader != peer:
        follow = replace(
            follow,
            target=leader,
            known_leader=leader,
            last_asked_req=0,
            is_report_urgent=True,
        )
    else:
        follow = replace(follow, last_asked_req=0, next_ask_at=now + LEADERLESS_RETRY_S)
    return replace(state, follow=follow)


def _admit_request(
    state: NodeState, admission: TokenAdmission, now: float
) -> Step[NodeState]:
    """Admit a request; if it has ended, return its token."""
    request = _find_waiting(state, admission.req)
    if request is None:
        share = state.shares.get(admission.customer)
        if share is None:
            return Step(state)
        share = replace(share, returned=share.returned + admission.tokens)
        return Step(replace(state, shares=state.shares.set(share.customer, share)))
    admitted = replace(request, reserved_fraction=0.0)
    return _admit.run_admitted(
        _callers.remove_from_queue(state, admitted), admitted, now
    )


def _refuse_request(state: NodeState, denial: TokenDenial) -> Step[NodeState]:
    request = _find_waiting(state, denial.req)
    if request is None:
        return Step(state)
    refusal: Refusal = replace(
        _admit.rate_refusal(state, request), retry_after_s=denial.retry_after_s
    )
    return answer_caller(_callers.remove_from_queue(state, request), request, refusal)


def _find_waiting(state: NodeState, req: int) -> Request | None:
    request = state.requests.get(req)
    if request is None or request.phase is not Phase.TOKENS:
        return None
    return request
