"""Fewer connections at an endpoint than daemons in front of it.

Each daemon that keeps an idle connection keeps another one from opening any.
"""

from dataclasses import replace

from lovagewalk.daemon._changes import resize_pools
from lovagewalk.groups import Position

from .provider_site import PRIMARY, Site
from .test_saturated_primary import Fleet

DAEMONS = 63
CONNECTIONS = 34
# With a new connection for each read, this takes two thirds of the primary's slots.
READS_PER_S = 65


def test_daemons_that_keep_no_idle_connection_serve_each_others_callers():
    fleet = Fleet(DAEMONS, CONNECTIONS, READS_PER_S, route="till")
    fleet.run(3.0)
    served, refused = fleet.outcomes()
    assert refused <= 0.01 * served
    assert served >= 0.95 * READS_PER_S * 3.0


def test_idle_connections_are_closed_if_there_is_none_for_each_daemon():
    fleet = Fleet(DAEMONS, CONNECTIONS, READS_PER_S, route="till")
    fleet.run(1.0)
    fleet.reads_per_s = 0
    fleet.run(1.0)
    assert not fleet.endpoints[PRIMARY].connections


def test_an_open_transaction_leaves_room_for_a_daemons_other_callers():
    """Its connection is pinned while the caller thinks; a pool of one had no other."""
    site = Site(connections=CONNECTIONS)
    site.state = resize_pools(replace(site.state, entry_daemons=DAEMONS))
    site.begin("till")
    site.complete(site.pop_run(), Position(1, 11), open_transaction=True)
    other = site.read(site.connect("till"))
    site.sweep()
    assert [run.req for run in site.runs] == [other]


def test_connections_for_all_daemons_are_kept_open():
    fleet = Fleet(daemon_count=20, max_connections=200, reads_per_s=40, route="till")
    fleet.run(1.0)
    fleet.reads_per_s = 0
    fleet.run(1.0)
    assert fleet.endpoints[PRIMARY].connections
