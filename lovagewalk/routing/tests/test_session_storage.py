"""What the sessions of callers store, and what pool connections keep of it."""

from lovagewalk.clients import MAX_STORED_BYTES
from lovagewalk.core import Code, reduce
from lovagewalk.groups import Position
from lovagewalk.routing import CallerDisconnected, CallerReset
from lovagewalk.sessions import PreparedShape

from .provider_site import Site

LARGE = "x" * 900_000
LARGEST = "x" * (1024 * 1024 - 100)


def _stored(site, caller):
    return site.state.sessions[caller].stored_bytes


def test_a_session_stores_a_limited_amount():
    """Guards against a caller that fills the memory with variables or statements."""
    site = Site()
    caller = site.connect("till")
    for number in range(2):
        site.set_variable(caller, f"v{number}", LARGE)
    before = _stored(site, caller)
    assert 2 * len(LARGE) <= before <= MAX_STORED_BYTES
    refused = site.set_variable(caller, "v2", LARGE)
    assert site.refusal_code(refused) is Code.STATEMENT_LARGE
    refused = site.prepare(caller, "s", PreparedShape(True, LARGE))
    assert site.refusal_code(refused) is Code.STATEMENT_LARGE
    assert _stored(site, caller) == before


def test_the_largest_message_is_stored():
    """Guards against a limit below a single legal message."""
    site = Site()
    caller = site.connect("till")
    request = site.set_variable(caller, "v", LARGEST)
    assert site.answers[request].refusal is None


def test_a_value_that_is_replaced_is_not_counted():
    """Guards against a caller that is refused after many ordinary changes."""
    site = Site()
    caller = site.connect("till")
    for _ in range(10):
        request = site.set_variable(caller, "v", LARGE)
        assert site.answers[request].refusal is None
        request = site.prepare(caller, "s", PreparedShape(True, LARGE))
        assert site.answers[request].refusal is None
    assert _stored(site, caller) == 2 * len(LARGE) + len("vs")


def test_stored_bytes_are_in_the_client_budget():
    """Guards against many sessions that together store more than the VM has."""
    site = Site()
    callers = [site.connect("till") for _ in range(2)]
    for caller in callers:
        site.set_variable(caller, "v", LARGE)
    assert site.state.client_budget.held_bytes == 2 * (len(LARGE) + 1)
    site.state = reduce(site.state, CallerReset(site.now, callers[0])).state
    assert site.state.client_budget.held_bytes == len(LARGE) + 1
    assert _stored(site, callers[0]) == 0


def test_ordinary_settings_are_not_in_the_client_budget():
    """Guards against an entry for each of many sessions with small settings."""
    site = Site()
    caller = site.connect("till")
    for number in range(10):
        site.set_variable(caller, f"v{number}", "value")
    assert len(site.state.client_budget.holdings) == 0
    site.state = reduce(site.state, CallerDisconnected(site.now, caller)).state


def test_a_pool_connection_keeps_no_text_of_prepared_statements():
    """Guards against connections that keep the statements of all past sessions."""
    site = Site(connections=1)
    caller = site.connect("till")
    for number in range(5):
        site.prepare(caller, "s", PreparedShape(True, f"{number}{LARGE}"))
        site.execute(caller, "s")
        site.accept_setup()
        site.complete(site.pop_run(), Position(1, 11 + number))
    (pool,) = [pool for pool in site.state.pools.values() if pool.connections]
    (connection,) = pool.connections.values()
    assert sorted(connection.prepared.values()) == [len(LARGE) + 1] * 5
