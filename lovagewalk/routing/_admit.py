"""Admits statements: checks key, lease, session token and rate, then runs them."""

from collections.abc import Callable

from lovagewalk.catalogue import RateUnit, RouteClass
from lovagewalk.core import Code, Handlers, LovageError, Refusal, Step, replace
from lovagewalk.groups import Position
from lovagewalk.node import NodeState
from lovagewalk.sessions import (
    Session,
    TransactionState,
    read_token,
    sign_token,
)
from lovagewalk.shares import Share, take_token

from . import _dispatch, _place
from ._answer import answer, later_position, store_position
from ._draining import refuses_statements
from ._effects import CheckReportDue
from ._evacuation import cannot_be_served
from ._recovery import abort_and_answer, refuse_evacuated
from ._state import Phase, Request
from ._types import BEGIN_KINDS, StatementKind

# Rates are tokens per second, so a customer within its rate has one after this time.
MAX_TOKEN_WAIT_S = 1.0
# Retry delay of a stale catalogue: about the duration of a control leader election.
STALE_RETRY_S = 1.0
# Fraction of a route's latency objective that a request may wait for a token; the rest
# is left for the statement itself.
TOKEN_WAIT_FRACTION = 0.4
# Limit of the wait for a leader's answer on a token: a control leader election takes
# 0.8 s, after which the daemons send their first reports to the new leader.
LEADER_ANSWER_WAIT_S = 1.2
# After this time without an answer of control, requests for tokens are not sent in
# vain: an election takes 0.8 s, and daemons report to the new leader within 0.5 s.
CONTROL_SILENT_S = 1.5
# Retry delay while control is silent: about the duration of an election. It grows by up
# to `RETRY_SPREAD`, so that refused callers do not return at the same moment.
CONTROL_RETRY_S = 1.0
RETRY_SPREAD = 0.5
RETRY_STEPS = 16
# Reserved from the statement's time limit for its run, which takes 0.3 s at most.
RUN_MARGIN_S = 0.25
# Upper limit of the waiting requests counted in the retry delay sent to a caller.
MAX_RETRY_TOKENS = 10

KindHandler = Callable[[NodeState, Request, float], Step[NodeState]]
_kind_handlers: Handlers[StatementKind, KindHandler] = Handlers()
handles = _kind_handlers.on


def admit(state: NodeState, request: Request, now: float) -> Step[NodeState]:
    """Admit a session's request and run it, or refuse it."""
    session = state.sessions[request.caller]
    refusal = _admission_refusal(state, session, request, now)
    if refusal is None:
        state = _apply_session_token(state, session, request)
        return _kind_handlers[request.kind](state, request, now)
    if (
        session.conn
        and request.has_explicit_consistency
        and refusal.code is not Code.STATEMENT_BAD
    ):
        detail = f"{refusal.code.label} {refusal.code.text}"
        return abort_and_answer(state, request, now, detail)
    return answer(state, request, refusal)


def _admission_refusal(
    state: NodeState, session: Session, request: Request, now: float
) -> Refusal | None:
    if request.kind is StatementKind.ROLLBACK:
        return _transaction_refusal(session, request)
    if request.kind is StatementKind.COMMIT and not session.conn:
        return _transaction_refusal(session, request)
    refusal = authorise(state, session, now)
    if refusal is not None:
        return refusal
    if refuses_statements(state, session, now):
        return Refusal(Code.DRAINING)
    refusal = _transaction_refusal(session, request)
    if refusal is not None:
        return refusal
    if request.kind is StatementKind.DEFINITION and not _is_outside_transaction(
        session
    ):
        return Refusal(Code.STATEMENT_BAD, "a definition ends the transaction")
    if request.marks.once and not _may_run_once(session, request):
        return Refusal(Code.STATEMENT_BAD, "once goes with a single write")
    return _session_token_refusal(state, session, request)


def authorise(state: NodeState, session: Session, now: float) -> Refusal | None:
    """Return why a session may not run statements now, or None.

    An open route needs neither a key nor a current catalogue. Without a current
    catalogue no key or route is reported as unknown, since a newer catalogue may
    contain it.
    """
    refusal = access_refusal(state, session)
    if refusal is None and session.key is None:
        return None
    if now >= state.fresh_until:
        return stale_refusal()
    return refusal


def stale_refusal() -> Refusal:
    """Return the refusal of a daemon whose catalogue may be out of date."""
    return Refusal(Code.CONFIG_STALE, retry_after_s=STALE_RETRY_S)


def access_refusal(state: NodeState, session: Session) -> Refusal | None:
    """Return why the catalogue does not admit a session, or None.

    A session belongs to the key as it was shown. If the key has moved to another
    customer or has another secret since, its caller has to show it again.
    """
    route = state.catalogue.route(session.route)
    if route is None:
        return Refusal(Code.ROUTE_UNKNOWN)
    key = session.key
    if key is None:
        is_open = route.route_class is RouteClass.OPEN
        return None if is_open else Refusal(Code.KEY_WITHDRAWN)
    if key.withdrawn or state.catalogue.key(key.key_id) != key:
        return Refusal(Code.KEY_WITHDRAWN)
    if route.customers and key.customer not in route.customers:
        return Refusal(Code.ROUTE_FORBIDDEN)
    return None


def _transaction_refusal(session: Session, request: Request) -> Refusal | None:
    if session.transaction is not TransactionState.LOST:
        return None
    if request.kind in (StatementKind.ROLLBACK, StatementKind.BEGIN):
        return None
    return Refusal(Code.TRANSACTION_LOST, "end the transaction first")


def _may_run_once(session: Session, request: Request) -> bool:
    return request.kind is StatementKind.WRITE and _is_outside_transaction(session)


def _is_outside_transaction(session: Session) -> bool:
    return session.autocommit and session.transaction is TransactionState.NONE


def _session_token_refusal(
    state: NodeState, session: Session, request: Request
) -> Refusal | None:
    if not request.marks.token:
        return None
    try:
        _read_session_token(state, session, request)
    except LovageError as exc:
        return exc.refusal
    return None


def _read_session_token(
    state: NodeState, session: Session, request: Request
) -> Position:
    return read_token(
        state.identity.fleet_secret,
        session.customer,
        session.group,
        request.marks.token,
    )


def _apply_session_token(
    state: NodeState, session: Session, request: Request
) -> NodeState:
    if not request.marks.token:
        return state
    position = _read_session_token(state, session, request)
    observed = session.positions.get(session.group)
    if observed is not None and later_position(observed.position, position) != position:
        return state
    session = store_position(session, session.group, position, position.term)
    return replace(state, sessions=state.sessions.set(session.caller, session))


@handles(StatementKind.READ, StatementKind.WRITE, StatementKind.DEFINITION)
def _charge_and_run(state: NodeState, request: Request, now: float) -> Step[NodeState]:
    if cannot_be_served(state, request, now):
        return refuse_evacuated(state, request)
    if not request.customer or not _counts_against_rate(state, request):
        return run_admitted(state, request, now)
    share = state.shares.get(request.customer) or Share(request.customer)
    if share.waiting or share.queue:
        share = replace(share, arrivals=share.arrivals + 1)
        return _wait_for_tokens(state, share, request)
    taken = take_token(share, now, arrivals=1)
    if not taken.admitted:
        return _wait_for_tokens(state, taken.share, request)
    state = replace(state, shares=state.shares.set(request.customer, taken.share))
    return run_admitted(state, request, now)


def _counts_against_rate(state: NodeState, request: Request) -> bool:
    """Whether a statement counts towards its customer's rate."""
    entry = state.catalogue.customer(request.customer)
    if entry is None or entry.unit is RateUnit.STATEMENTS:
        return request.kind not in BEGIN_KINDS
    return not state.sessions[request.caller].in_transaction


def run_admitted(state: NodeState, request: Request, now: float) -> Step[NodeState]:
    """Run a request that has passed its customer's rate limit."""
    if request.kind in BEGIN_KINDS:
        return _begin_transaction(state, request)
    return _place.place(state, request, now)


def max_token_wait_s(request: Request) -> float:
    """Return how long a request may queue for a token at the leader, in seconds."""
    if request.route is None or not request.route.objective_s:
        return MAX_TOKEN_WAIT_S
    return min(MAX_TOKEN_WAIT_S, request.route.objective_s * TOKEN_WAIT_FRACTION)


def token_deadline(request: Request) -> float:
    """Return when a request stops waiting for the control leader's answer on a token.

    The leader answers at once whether or when it grants a token. A missing answer
    means that control is electing a leader, to which the request is sent again.
    """
    latest_start = request.deadline - RUN_MARGIN_S
    return min(request.arrived_at + LEADER_ANSWER_WAIT_S, latest_start)


def _wait_for_tokens(
    state: NodeState, share: Share, request: Request
) -> Step[NodeState]:
    if lacks_token_source(state, share, request.arrived_at):
        state = replace(state, shares=state.shares.set(request.customer, share))
        return answer(state, request, silent_control_refusal(request))
    ahead = _place.count_ahead(state, share.waiting, request)
    if ahead >= max_waiting(state, share):
        state = replace(state, shares=state.shares.set(request.customer, share))
        return answer(state, request, rate_refusal(state, request))
    request = replace(request, phase=Phase.TOKENS)
    waiting = share.waiting[:ahead] + (request.req,) + share.waiting[ahead:]
    share = replace(share, waiting=waiting)
    state = replace(state, shares=state.shares.set(request.customer, share))
    return Step(_place.store_request(state, request), (CheckReportDue(),))


def lacks_token_source(state: NodeState, share: Share, now: float) -> bool:
    """Whether neither an owner nor control can grant a token of a customer.

    A token that is asked for would come after the request's time limit, which is known
    in advance. Only VMs with narrow links refuse for it.
    """
    if not state.identity.low_bandwidth or share.owner or share.burst:
        return False
    return now - state.follow.answered_at >= CONTROL_SILENT_S


def silent_control_refusal(request: Request) -> Refusal:
    """Return the refusal of a request whose customer's rate is not known here."""
    spread = RETRY_SPREAD * (request.req % RETRY_STEPS) / RETRY_STEPS
    return Refusal(Code.RATE_UNKNOWN, retry_after_s=CONTROL_RETRY_S * (1 + spread))


def rate_refusal(state: NodeState, request: Request) -> Refusal:
    """Return the refusal of a request beyond its customer's rate.

    The retry delay follows from the share's rate: one token every 1 / rate seconds.
    """
    share = state.shares.get(request.customer) or Share(request.customer)
    entry = state.catalogue.customer(request.customer)
    customer_rate = entry.rate if entry else 0.0
    detail = f"share {share.rate:.1f} of {customer_rate:.1f} a second"
    retry_after_s = MAX_TOKEN_WAIT_S
    if share.rate > 0:
        retry_after_s = min(len(share.waiting) + 1, MAX_RETRY_TOKENS) / share.rate
    return Refusal(Code.RATE_EXCEEDED, detail, retry_after_s=retry_after_s)


def max_waiting(state: NodeState, share: Share) -> float:
    """Return how many requests of a customer may wait here ahead of a new one.

    A customer within its rate never has more requests waiting than its burst, or
    than the tokens its share gains while a request may wait. Further requests are
    refused at once.
    """
    entry = state.catalogue.customer(share.customer)
    burst = entry.burst if entry else 0.0
    return max(burst, share.rate * MAX_TOKEN_WAIT_S)


@handles(StatementKind.BEGIN, StatementKind.BEGIN_READ)
def _begin(state: NodeState, request: Request, now: float) -> Step[NodeState]:
    session = state.sessions[request.caller]
    if session.transaction is TransactionState.PINNED:
        refusal = Refusal(Code.STATEMENT_BAD, "a transaction is open already")
        return answer(state, request, refusal)
    return _charge_and_run(state, request, now)


def _begin_transaction(state: NodeState, request: Request) -> Step[NodeState]:
    session = replace(
        state.sessions[request.caller],
        transaction=TransactionState.BEGUN,
        read_only=request.kind is StatementKind.BEGIN_READ,
        has_written=False,
    )
    state = replace(state, sessions=state.sessions.set(session.caller, session))
    return answer(state, request)


@handles(StatementKind.COMMIT, StatementKind.ROLLBACK)
def _end_transaction(state: NodeState, request: Request, now: float) -> Step[NodeState]:
    session = state.sessions[request.caller]
    if session.conn:
        return _dispatch.run_on_connection(state, request, session.conn, now)
    session = replace(session, transaction=TransactionState.NONE)
    state = replace(state, sessions=state.sessions.set(session.caller, session))
    return answer(state, request)


@handles(StatementKind.AUTOCOMMIT_ON, StatementKind.AUTOCOMMIT_OFF)
def _set_autocommit(state: NodeState, request: Request, now: float) -> Step[NodeState]:
    session = state.sessions[request.caller]
    enable = request.kind is StatementKind.AUTOCOMMIT_ON
    if enable and session.transaction is not TransactionState.NONE:
        refusal = Refusal(Code.STATEMENT_BAD, "end the transaction first")
        return answer(state, request, refusal)
    session = replace(session, autocommit=enable)
    state = replace(state, sessions=state.sessions.set(session.caller, session))
    return answer(state, request)


@handles(StatementKind.TOKEN)
def _answer_session_token(
    state: NodeState, request: Request, now: float
) -> Step[NodeState]:
    session = state.sessions[request.caller]
    if session.position is None:
        return answer(state, request, value="")
    token = sign_token(
        state.identity.fleet_secret, session.customer, session.group, session.position
    )
    return answer(state, request, value=token)


@handles(StatementKind.LAST_INSERT_ID)
def _answer_insert_id(
    state: NodeState, request: Request, now: float
) -> Step[NodeState]:
    session = state.sessions[request.caller]
    return answer(state, request, value=session.last_insert_id)


@handles(StatementKind.NO_OP)
def _answer_no_op(state: NodeState, request: Request, now: float) -> Step[NodeState]:
    return answer(state, request)
