"""Walks over requests that send, move or answer others of them."""

from dataclasses import replace

from lovagewalk.routing import Failure

from .provider_site import PRIMARY, ROUTES, Site


def _queue_writes(site):
    """Let less and more urgent writes queue at a saturated primary, in this order."""
    patient = replace(ROUTES[0], objective_s=5.0, statement_timeout_s=5.0)
    routes = (replace(patient, priority=2), replace(patient, name="urgent"))
    site.configure(2, routes, connections=6)
    reqs = [site.write(site.connect("till")) for _ in range(8)]
    reqs += [site.write(site.connect("urgent")) for _ in range(4)]
    while site.runs:
        site.fail(site.runs.pop(0), Failure.BUSY)
    return reqs


def test_a_write_that_is_sent_while_others_are_moved_is_sent_once():
    """Guards against a single write that takes effect twice.

    An instance changed while writes waited for a saturated primary. The walk over the
    waiting requests held their records from before it, and placing the first one sent
    another, which the walk then queued again.
    """
    site = Site(connections=6)
    reqs = _queue_writes(site)
    for step in range(10):
        site.now = site.state.pools[PRIMARY].backoff_until + 0.001
        site.announce("i-near", sequence=10 + step)
        sent = [run.req for run in site.runs]
        assert len(sent) == len(set(sent)), "sent twice"
        assert not set(sent) & set(site.answers), "sent and answered"
    assert set(site.state.requests) | set(site.answers) >= set(reqs)
