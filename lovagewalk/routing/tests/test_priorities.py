"""Urgent routes go first where a customer's tokens or connections are short."""

from dataclasses import replace

from lovagewalk import catalogue as cat
from lovagewalk.core import Code
from lovagewalk.shares import Share

from .provider_site import CUSTOMER, PRIMARY, ROUTES, Site, route

URGENT, LATER = "urgent", "later"
PRIORITIES = (
    route(URGENT, cat.Consistency.PRIMARY, priority=1),
    route(LATER, cat.Consistency.PRIMARY, priority=2),
)


def _site(connections=46, tokens=1e6, rate=1e6, burst=1e6):
    site = Site(connections)
    site.configure(2, routes=ROUTES + PRIORITIES, connections=connections)
    site.change(
        cat.PutCustomer(
            cat.CustomerEntry(CUSTOMER, "op", rate, burst),
            site.state.catalogue.customers[CUSTOMER].revision,
        )
    )
    share = Share(CUSTOMER, rate, burst, tokens, site.now, 1e9)
    site.state = replace(site.state, shares=site.state.shares.set(CUSTOMER, share))
    return site


def _read(site, name):
    return site.read(site.connect(name))


def test_the_next_token_goes_to_the_urgent_request():
    site = _site(tokens=0.0, rate=10.0, burst=3.0)
    less_urgent = [_read(site, LATER) for _ in range(2)]
    urgent = _read(site, URGENT)
    site.sweep(0.11)
    (run,) = site.runs
    assert run.req == urgent and not set(less_urgent) & set(site.answers)


def test_a_full_queue_of_less_urgent_requests_does_not_refuse_an_urgent_one():
    site = _site(tokens=0.0, rate=10.0, burst=3.0)
    less_urgent = [_read(site, LATER) for _ in range(20)]
    refused = [req for req in less_urgent if req in site.answers]
    assert refused and site.refusal_code(refused[0]) is Code.RATE_EXCEEDED
    urgent = _read(site, URGENT)
    assert urgent not in site.answers
    site.sweep(0.11)
    assert [run.req for run in site.runs] == [urgent]


def test_the_next_connection_goes_to_the_urgent_request():
    site = _site(connections=2)
    first = _read(site, LATER)
    (run,) = site.runs
    assert run.req == first
    later, urgent = _read(site, LATER), _read(site, URGENT)
    assert len(site.runs) == 1, "the endpoint accepts one connection of this daemon"
    site.complete(run)
    assert site.get_endpoint(run) == PRIMARY
    assert [run.req for run in site.runs] == [first, urgent]
    site.complete(site.runs[-1])
    assert site.runs[-1].req == later
