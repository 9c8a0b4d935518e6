"""A leaving primary while the platform does not answer the call for a successor."""

from lovagewalk.routing import Phase, StatementKind
from lovagewalk.routing._leaving import LEAVING_LIMIT_S

from .provider_site import NEAR, PRIMARY, Site


def _leave(site):
    site.announce(PRIMARY, "zone-b", sequence=2, leaving=True)


def test_a_leaving_primary_gets_no_new_work_after_its_time():
    """Guards against single writes that go to a primary that should have ended.

    It stayed the group's primary as long as no other one was installed.
    """
    site = Site()
    _leave(site)
    site.now += LEAVING_LIMIT_S - 0.1
    site.write(site.connect("till"))
    assert site.get_endpoint(site.pop_run()) == PRIMARY
    site.now += 0.2
    req = site.write(site.connect("till"))
    reader = site.read(site.connect("till"))
    assert not site.runs
    assert site.state.requests[req].phase is Phase.PRIMARY
    site.install(2, NEAR)
    assert {run.req for run in site.runs} == {req, reader}
    assert {site.get_endpoint(run) for run in site.runs} == {NEAR}


def test_an_open_transaction_continues_at_a_leaving_primary():
    site = Site()
    caller = site.begin("till")
    site.complete(site.pop_run(), open_transaction=True)
    _leave(site)
    site.now += LEAVING_LIMIT_S + 0.1
    site.send(caller, StatementKind.COMMIT)
    assert site.get_endpoint(site.pop_run()) == PRIMARY


def test_a_write_that_waited_for_a_connection_does_not_go_to_a_primary_that_left():
    site = Site()
    _leave(site)
    site.unresponsive.add(PRIMARY)
    req = site.write(site.connect("till"))
    opening = site.opened[-1]
    site.now += LEAVING_LIMIT_S + 0.1
    site.unresponsive.clear()
    site.open(opening)
    assert not [run for run in site.runs if run.req == req]


def test_an_instance_that_returns_is_no_longer_leaving():
    site = Site()
    _leave(site)
    site.now += LEAVING_LIMIT_S + 0.1
    site.announce(PRIMARY, "zone-b", sequence=3)
    site.write(site.connect("till"))
    assert site.get_endpoint(site.pop_run()) == PRIMARY
