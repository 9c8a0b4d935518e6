"""A key that moves while a statement of its session is at any stage of its way.

Guards against a statement that runs for a customer after the catalogue in force at the
daemon has given the key to another one, and against one that is sent after the lease of
the catalogue. `KeySite` checks both for each statement that is sent.
"""

import pytest

from lovagewalk import catalogue as cat
from lovagewalk.buckets import TokenAdmission, TokenAnswer
from lovagewalk.control import FollowState, PeerMessage
from lovagewalk.core import Code, replace
from lovagewalk.groups import Position
from lovagewalk.pools import ConnectionOpened
from lovagewalk.routing import CallerDisconnected, Failure, Phase, StatementKind
from lovagewalk.shares import Share

from .key_site import DELIVERIES, OTHER, KeySite
from .provider_site import CUSTOMER, KEY, NEAR, PRIMARY

LEASE_END = 100.5


@pytest.fixture(params=DELIVERIES)
def site(request):
    return KeySite(request.param)


def _move(site):
    site.assign({KEY: OTHER})


def _expire_lease(site):
    site.state = replace(site.state, fresh_until=LEASE_END)
    site.now = LEASE_END


def _take_tokens(site, customer=CUSTOMER):
    shares = site.state.shares.set(customer, Share(customer))
    site.state = replace(site.state, shares=shares)


def _give_tokens(site, customer=CUSTOMER):
    share = site.state.shares[customer]
    share = replace(share, rate=1e6, burst=1e6, level=1e6, lease_until=1e9)
    site.state = replace(site.state, shares=site.state.shares.set(customer, share))


def _await_token(site):
    _take_tokens(site)
    return site.write(site.connect("till"))


def _await_connection(site):
    site.unresponsive.add(PRIMARY)
    return site.write(site.connect("till"))


def _await_primary(site):
    req = site.write(site.connect("till"))
    site.fail(site.pop_run(), Failure.READ_ONLY)
    return req


def _await_position(site):
    """Leave a read in backoff that no endpoint in reach can serve yet."""
    caller = site.connect("alloc")
    site.write(caller)
    site.complete(site.pop_run(), Position(1, 20))
    req = site.read(caller)
    while site.runs:
        site.fail(site.pop_run(), Failure.BEHIND)
    return req


def _back_off_in_transaction(site):
    caller = site.begin("till")
    site.complete(site.pop_run(), open_transaction=True)
    req = site.write(caller)
    site.fail(site.pop_run(), Failure.BUSY, open_transaction=True)
    return req


WAITS = {
    _await_token: Phase.TOKENS,
    _await_connection: Phase.CONNECTION,
    _await_primary: Phase.PRIMARY,
    _await_position: Phase.BACKOFF,
    _back_off_in_transaction: Phase.BACKOFF,
}


def _let_all_run(site):
    """Provide whatever a waiting statement of the former customer may wait for."""
    _give_tokens(site)
    for effect in site.opened:
        if effect.endpoint in site.unresponsive and effect.conn in (
            site.state.conn_endpoints
        ):
            site.feed(ConnectionOpened(site.now, effect.conn, effect.endpoint, "77"))
    site.unresponsive.clear()
    site.install(2, NEAR)
    for _ in range(20):
        site.sweep()


@pytest.mark.parametrize("wait", WAITS, ids=lambda wait: wait.__name__.strip("_"))
def test_a_waiting_statement_does_not_run_once_its_key_has_moved(site, wait):
    req = wait(site)
    assert site.state.requests[req].phase is WAITS[wait] and not site.runs
    _move(site)
    assert site.refusal_code(req) in (Code.KEY_WITHDRAWN, Code.TRANSACTION_LOST)
    _let_all_run(site)
    assert not site.runs


@pytest.mark.parametrize("wait", WAITS, ids=lambda wait: wait.__name__.strip("_"))
def test_a_waiting_statement_does_not_run_once_the_lease_is_over(site, wait):
    wait(site)
    _expire_lease(site)
    _let_all_run(site)
    assert not site.runs


@pytest.mark.parametrize("wait", WAITS, ids=lambda wait: wait.__name__.strip("_"))
def test_one_snapshot_that_moves_the_key_and_lets_a_statement_run(wait):
    """The daemon missed several changes, which it installs at once.

    The new primary and the new endpoints are installed before sessions are checked.
    """
    site = KeySite("snapshot")
    wait(site)
    _give_tokens(site)
    commands = (
        cat.InstallTerm("ledger", 2, NEAR, (), cat.TermStart(2, 0)),
        cat.AnnounceEndpoint(
            replace(site.state.catalogue.endpoints[PRIMARY], sequence=9, born=78)
        ),
    )
    site.held = []
    _move(site)
    for command in commands:
        site.change(command)
    site.release_held()
    for _ in range(20):
        site.sweep()
    assert not site.runs


def test_a_token_that_arrives_after_the_move_runs_nothing(site):
    """Its owner is another daemon, which admits the statement meanwhile."""
    site.state = replace(site.state, follow=FollowState(("c1",), "c1", "1"))
    req = _await_token(site)
    _move(site)
    admission = TokenAdmission(req, CUSTOMER, 1.0)
    answer = TokenAnswer(admitted=(admission,))
    site.feed(PeerMessage(site.now, "owner", answer))
    assert not site.runs
    assert site.state.shares[CUSTOMER].returned == 1.0


def test_a_token_of_the_former_run_of_a_daemon_admits_no_other_customer(site):
    """A restarted daemon counts its requests from 1 again.

    The answer to a request of the run before the move then names a request of the
    customer that holds the key now.
    """
    site.state = replace(site.state, follow=FollowState(("c1",), "c1", "1"))
    _move(site)
    _take_tokens(site, OTHER)
    req = site.write(site.connect("till"))
    answer = TokenAnswer(admitted=(TokenAdmission(req, CUSTOMER, 1.0),))
    site.feed(PeerMessage(site.now, "owner", answer))
    assert not site.runs and site.state.requests[req].phase is Phase.TOKENS


def test_a_transaction_that_has_only_begun_runs_nothing_after_the_move(site):
    caller = site.connect("till")
    site.send(caller, StatementKind.BEGIN)
    _move(site)
    assert site.closed[caller].code is Code.KEY_WITHDRAWN
    for kind in (StatementKind.WRITE, StatementKind.COMMIT):
        site.send(caller, kind)
    assert not site.runs


def _begin_pinned(site):
    caller = site.begin("till")
    site.complete(site.pop_run(), open_transaction=True)
    return caller, site.state.sessions[caller].conn


def test_a_pinned_transaction_is_rolled_back_by_the_move(site):
    caller, conn = _begin_pinned(site)
    _move(site)
    assert caller in site.closed and conn not in site.state.conn_endpoints
    for kind in (StatementKind.WRITE, StatementKind.COMMIT, StatementKind.ROLLBACK):
        site.send(caller, kind)
    assert not site.runs


def test_no_session_opens_once_the_lease_is_over(site):
    _expire_lease(site)
    for route_name in ("till", "open"):
        caller = site.connect(route_name)
        assert site.closed[caller].code is Code.CONFIG_STALE


def test_a_caller_that_reconnects_while_the_change_is_distributed(site):
    """Its customer is the one of the catalogue in force here, before and after."""
    first = site.connect("till")
    assert site.state.sessions[first].customer == CUSTOMER
    _move(site)
    assert site.closed[first].code is Code.KEY_WITHDRAWN
    second = site.connect("till")
    site.write(second)
    assert site.state.sessions[second].customer == OTHER and len(site.runs) == 1


def test_a_key_that_returns_within_one_snapshot_leaves_the_session():
    site = KeySite("snapshot")
    caller = site.connect("till")
    site.held = []
    _move(site)
    site.assign({KEY: CUSTOMER})
    site.release_held()
    site.write(caller)
    assert len(site.runs) == 1


@pytest.mark.parametrize("kind", [StatementKind.COMMIT, StatementKind.ROLLBACK])
def test_a_transaction_whose_statement_ran_during_the_move_does_not_go_on(site, kind):
    """Its statement ends as it would have; what follows is not sent."""
    caller, conn = _begin_pinned(site)
    site.write(caller)
    run = site.pop_run()
    _move(site)
    site.complete(run, open_transaction=True)
    assert caller in site.closed
    site.send(caller, kind)
    assert not site.runs
    site.feed(CallerDisconnected(site.now, caller))
    assert conn not in site.state.conn_endpoints


@pytest.mark.parametrize("kind", [StatementKind.COMMIT, StatementKind.ROLLBACK])
def test_a_transaction_ends_unsent_once_the_lease_is_over(site, kind):
    """ROLLBACK was sent to the endpoint, however long ago control was reached.

    The transaction is rolled back all the same, since its connection is closed.
    """
    caller, conn = _begin_pinned(site)
    _expire_lease(site)
    req = site.send(caller, kind)
    assert not site.runs and conn not in site.state.conn_endpoints
    refusal = site.answers[req].refusal
    if kind is StatementKind.ROLLBACK:
        assert refusal is None and not site.answers[req].in_transaction
    else:
        assert refusal.code is Code.TRANSACTION_LOST


def test_a_transaction_in_backoff_is_rolled_back_by_the_move(site):
    req = _back_off_in_transaction(site)
    conn = site.state.requests[req].conn
    _move(site)
    assert conn not in site.state.conn_endpoints
    assert not site.answers[req].in_transaction
