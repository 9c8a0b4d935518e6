"""Own writes of a session whose route moves between groups."""

from dataclasses import replace

from lovagewalk import catalogue as cat
from lovagewalk.groups import Position, record_primary_proof
from lovagewalk.routing import StatementKind

from .provider_site import CUSTOMER, KEY, NEAR, PRIMARY, Site, route

OTHER_GROUP, OTHER_PRIMARY, OTHER_REPLICA = "stock", "i-stock", "i-stock-replica"


class MovingSite(Site):
    """A site with a second group, to which the route can move."""

    def __init__(self):
        super().__init__()
        self.version = 1
        self.move(OTHER_GROUP)
        for name in (OTHER_PRIMARY, OTHER_REPLICA):
            endpoint = cat.Endpoint(
                name,
                OTHER_GROUP,
                "host",
                2000 + sum(name.encode()),
                "zone-a",
                "west",
                0,
                False,
                1,
                77,
            )
            self.change(cat.AnnounceEndpoint(endpoint))
        start = cat.TermStart(1, 0)
        self.change(cat.InstallTerm(OTHER_GROUP, 1, OTHER_PRIMARY, (), start))
        self.state = record_primary_proof(
            self.state, OTHER_GROUP, 1, self.now, Position(1, 3)
        )
        self.move("ledger")

    def move(self, group, consistency=cat.Consistency.OWN_WRITES):
        """Let the route lead to a group from the next operation on."""
        self.version += 1
        entry = replace(route("alloc", consistency), group=group)
        self.change(
            cat.ReplaceConfiguration(
                self.version,
                (entry,),
                (cat.CustomerEntry(CUSTOMER, "op", 1e6, 1e6),),
                (cat.KeyEntry(KEY, CUSTOMER, ""),),
                (cat.GroupLimits("ledger", 46), cat.GroupLimits(OTHER_GROUP, 46)),
                idle_transaction_s=3.0,
            )
        )


def _write(site, caller, position):
    site.write(caller)
    site.complete(site.pop_run(), position)


def _read_elsewhere(site, caller):
    site.move(OTHER_GROUP)
    site.read(caller)
    run = site.pop_run()
    assert site.get_endpoint(run) in (OTHER_PRIMARY, OTHER_REPLICA)
    site.complete(run, Position(1, 3))


def test_a_session_reads_its_own_write_after_its_route_was_away():
    """Guards against a read on a replica that lacks the session's own write.

    The position was dropped when the route moved to another group, and the way back
    found none.
    """
    site = MovingSite()
    caller = site.connect("alloc")
    _write(site, caller, Position(1, 44))
    _read_elsewhere(site, caller)
    site.move("ledger")
    site.read(caller)
    run = site.pop_run()
    assert site.get_endpoint(run) == NEAR and run.min_position == Position(1, 44)


def test_a_write_that_was_rolled_back_meanwhile_is_read_at_the_primary():
    """Guards against a wait for a position that no log holds any more."""
    site = MovingSite()
    caller = site.connect("alloc")
    _write(site, caller, Position(1, 44))
    _read_elsewhere(site, caller)
    site.install(2, NEAR)
    site.record_proof(Position(1, 40))
    site.move("ledger")
    site.read(caller)
    run = site.pop_run()
    assert site.get_endpoint(run) == NEAR and run.require_proof


def test_a_replicas_older_position_does_not_replace_that_of_an_own_write():
    """Guards against a position that falls back while the route asks for less.

    A read after a transaction that wrote counted as a write, and stored the position of
    the replica that served it.
    """
    site = MovingSite()
    caller = site.connect("alloc")
    site.send(caller, StatementKind.BEGIN)
    site.write(caller)
    site.complete(site.pop_run(), Position(1, 40), open_transaction=True)
    site.send(caller, StatementKind.COMMIT)
    site.complete(site.pop_run(), Position(1, 44))
    site.move("ledger", cat.Consistency.BOUNDED)
    site.read(caller)
    run = site.pop_run()
    assert site.get_endpoint(run) == NEAR
    site.complete(run, Position(1, 12))
    site.move("ledger")
    site.read(caller)
    assert site.pop_run().min_position == Position(1, 44)


def test_a_write_without_a_position_is_read_at_the_primary():
    """Guards against a read on a replica when the endpoint stated no position."""
    site = MovingSite()
    caller = site.connect("alloc")
    _write(site, caller, None)
    site.read(caller)
    run = site.pop_run()
    assert site.get_endpoint(run) == PRIMARY and run.require_proof
    site.complete(run, Position(1, 44))
    site.read(caller)
    assert site.pop_run().min_position == Position(1, 44)
