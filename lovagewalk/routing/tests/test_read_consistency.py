"""Reads of routes with an explicit consistency, in a provider-managed group."""

from lovagewalk.groups import Position
from lovagewalk.routing import StatementKind

from .provider_site import NEAR, PRIMARY, STALENESS_S, Site


def test_a_bounded_read_uses_the_near_replica_and_the_oldest_valid_proof():
    site = Site()
    site.now += 1.0
    site.record_proof(Position(1, 20))
    caller = site.connect("board")
    site.read(caller)
    run = site.pop_run()
    assert site.get_endpoint(run) == NEAR
    assert run.min_position == Position(1, 10) and not run.require_proof
    site.complete(run, Position(1, 15))
    site.now += 1.0
    site.read(caller)
    assert site.pop_run().min_position == Position(1, 20), "the first proof is too old"


def test_without_a_valid_proof_the_primary_has_to_prove_its_role():
    site = Site()
    site.now += STALENESS_S + 0.1
    req = site.read(site.connect("board"))
    run = site.pop_run()
    assert (
        site.get_endpoint(run) == PRIMARY
        and run.require_proof
        and run.min_position is None
    )
    site.complete(run, Position(1, 30))
    assert site.answers[req].refusal is None
    site.read(site.connect("board"))
    assert site.pop_run().min_position == Position(
        1, 30
    ), "the answer itself is a proof"


def test_a_read_on_a_primary_route_requires_proof_of_the_role():
    site = Site()
    site.read(site.connect("till"))
    run = site.pop_run()
    assert site.get_endpoint(run) == PRIMARY and run.require_proof


def test_a_sessions_read_waits_for_its_own_write():
    site = Site()
    caller = site.connect("alloc")
    site.write(caller)
    run = site.pop_run()
    assert site.get_endpoint(run) == PRIMARY and not run.begin
    site.complete(run, Position(1, 44))
    site.read(caller)
    run = site.pop_run()
    assert site.get_endpoint(run) == NEAR and run.min_position == Position(1, 44)
    site.read(site.connect("alloc"))
    assert site.pop_run().min_position == Position(
        1, 10
    ), "another session need not wait"


def test_a_write_of_an_older_term_is_read_at_the_primary():
    """If the promotion rolled the write back, no log ever holds its position."""
    site = Site()
    caller = site.connect("alloc")
    site.write(caller)
    site.complete(site.pop_run(), Position(1, 44))
    site.install(2, NEAR)
    site.record_proof(Position(1, 40))
    site.read(caller)
    run = site.pop_run()
    assert (
        site.get_endpoint(run) == NEAR
        and run.require_proof
        and run.min_position is None
    )
    site.complete(run, Position(2, 50))
    site.read(caller)
    assert site.pop_run().min_position == Position(2, 50)


def test_a_change_of_term_drops_proofs_of_the_old_one():
    site = Site()
    site.install(2, NEAR)
    site.read(site.connect("board"))
    assert site.pop_run().require_proof


def test_a_read_only_transaction_stays_on_its_replica():
    site = Site()
    caller = site.connect("board")
    site.send(caller, StatementKind.BEGIN_READ)
    assert not site.runs, "a transaction takes no connection before its first statement"
    site.read(caller)
    first = site.pop_run()
    assert first.begin and first.read_only and first.min_position == Position(1, 10)
    site.complete(first, Position(1, 12), open_transaction=True)
    site.read(caller)
    second = site.pop_run()
    assert second.conn == first.conn and not second.begin
    assert second.min_position is None


def test_a_plain_transaction_runs_at_the_primary():
    site = Site()
    caller = site.connect("alloc")
    site.send(caller, StatementKind.BEGIN)
    site.read(caller)
    run = site.pop_run()
    assert site.get_endpoint(run) == PRIMARY and run.begin and not run.read_only


def test_a_read_only_transaction_of_a_primary_route_is_opened_read_write():
    """An instance that is no longer primary refuses only a read-write transaction."""
    site = Site()
    caller = site.connect("till")
    site.send(caller, StatementKind.BEGIN_READ)
    site.read(caller)
    assert not site.pop_run().read_only
