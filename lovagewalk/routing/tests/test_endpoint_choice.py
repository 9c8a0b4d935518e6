"""Choice of endpoints under load and faults."""

from lovagewalk.core import Code, replace
from lovagewalk.groups import Position
from lovagewalk.pools import OpenFailure
from lovagewalk.routing import Failure

from .provider_site import FAR, NEAR, PRIMARY, Site


def test_a_leaving_endpoint_gets_no_new_work():
    site = Site()
    site.read(site.connect("board"))
    running = site.pop_run()
    assert site.get_endpoint(running) == NEAR
    site.announce(NEAR, sequence=2, leaving=True)
    site.read(site.connect("board"))
    assert site.get_endpoint(site.pop_run()) == PRIMARY
    site.complete(running, Position(1, 12))
    site.read(site.connect("board"))
    assert site.get_endpoint(site.pop_run()) == PRIMARY


def test_a_connection_to_an_earlier_incarnation_is_not_used():
    site = Site()
    site.read(site.connect("board"))
    run = site.pop_run()
    endpoint = site.state.catalogue.endpoints[NEAR]
    endpoints = site.state.catalogue.endpoints.set(NEAR, replace(endpoint, born=78))
    catalogue = replace(site.state.catalogue, endpoints=endpoints)
    site.state = replace(site.state, catalogue=catalogue)
    site.complete(run, Position(1, 12))
    site.read(site.connect("board"))
    assert site.pop_run().conn != run.conn


def test_reads_leave_an_unreachable_endpoint_at_once():
    site = Site()
    site.refusal_reasons[NEAR] = OpenFailure.UNREACHABLE
    site.read(site.connect("board"))
    assert site.get_endpoint(site.pop_run()) == PRIMARY
    site.read(site.connect("board"))
    assert (
        site.get_endpoint(site.pop_run()) == PRIMARY
    ), "the endpoint is ejected for a while"


def test_an_endpoint_at_its_connection_limit_is_avoided_for_one_request():
    site = Site()
    site.refusal_reasons[NEAR] = OpenFailure.TOO_MANY
    site.read(site.connect("board"))
    assert site.get_endpoint(site.pop_run()) == PRIMARY
    site.refusal_reasons.clear()
    site.sweep(0.1)
    site.read(site.connect("board"))
    assert site.get_endpoint(site.pop_run()) == NEAR


def test_a_read_moves_away_from_an_endpoint_that_does_not_answer():
    site = Site()
    req = site.read(site.connect("board"))
    unanswered = site.pop_run()
    assert site.get_endpoint(unanswered) == NEAR
    site.sweep(0.7)
    run = site.pop_run()
    assert site.get_endpoint(run) == PRIMARY and run.req == req


def test_a_read_does_not_queue_for_one_endpoint_while_others_are_free():
    """After a power loss of VMs their connections fill an instance for seconds."""
    site = Site()
    site.unresponsive.add(NEAR)
    req = site.read(site.connect("board"))
    assert not site.runs and site.state.requests[req].endpoint == NEAR
    for _ in range(10):
        site.sweep()
    run = site.pop_run()
    assert site.get_endpoint(run) == PRIMARY and run.req == req


def test_a_write_keeps_waiting_for_a_connection_to_the_primary():
    site = Site()
    site.unresponsive.add(PRIMARY)
    req = site.write(site.connect("till"))
    for _ in range(10):
        site.sweep()
    assert not site.runs and site.state.requests[req].endpoint == PRIMARY


def _serve_reads(site, count, seconds_by_endpoint):
    """Serve reads one after the other; return the number that each endpoint ran."""
    counts = {}
    caller = site.connect("board")
    for _ in range(count):
        site.record_proof(Position(1, 10))
        site.read(caller)
        run = site.pop_run()
        name = site.get_endpoint(run)
        counts[name] = counts.get(name, 0) + 1
        site.now += seconds_by_endpoint.get(name, 0.03)
        site.complete(run, Position(1, 12))
        site.now += 0.05
    return counts


def test_a_slow_endpoint_is_avoided_and_probed_again_later():
    """One instance slows down to a fifth of its speed, the others do not."""
    site = Site()
    _serve_reads(site, 5, {})
    slow = _serve_reads(site, 30, {NEAR: 0.25})
    assert slow[NEAR] <= 6 and slow[PRIMARY] >= 24
    site.now += 3.0
    again = _serve_reads(site, 20, {})
    assert again[NEAR] >= 15


def test_varying_statement_times_do_not_mark_an_endpoint_slow():
    site = Site()
    counts = {}
    for seconds in (0.008, 0.06, 0.02, 0.09, 0.03) * 4:
        for name, count in _serve_reads(site, 1, {NEAR: seconds}).items():
            counts[name] = counts.get(name, 0) + count
    assert counts == {NEAR: 20}


def test_an_endpoint_that_fails_reads_is_ejected_for_a_while():
    """The endpoint passes its health checks but fails part of its requests."""
    site = Site()
    site.read(site.connect("board"))
    site.fail(site.pop_run(), Failure.ERROR)
    site.complete(site.pop_run(), Position(1, 12))
    site.read(site.connect("board"))
    assert site.get_endpoint(site.pop_run()) == PRIMARY


def _isolate_from_primary(site, seconds):
    """Let a daemon fail to connect to the primary for some seconds."""
    site.refusal_reasons[PRIMARY] = OpenFailure.UNREACHABLE
    reqs = []
    for _ in range(int(seconds / 0.1)):
        reqs.append(site.write(site.connect("till")))
        site.sweep(0.1)
    return reqs


def test_a_daemon_isolated_from_a_primary_refuses_at_once():
    """A retry of the caller may reach a daemon that is not isolated."""
    site = Site()
    _isolate_from_primary(site, 1.0)
    req = site.write(site.connect("till"))
    assert site.refusal_code(req) is Code.NO_ENDPOINT
    assert site.answers[req].refusal.retry_after_s > 0
    read = site.read(site.connect("board"))
    assert read not in site.answers, "replicas still serve reads"


def test_an_isolated_daemon_resumes_once_the_primary_is_reachable():
    site = Site()
    _isolate_from_primary(site, 1.0)
    site.refusal_reasons.clear()
    site.sweep(0.6)
    req = site.write(site.connect("till"))
    assert site.get_endpoint(site.pop_run()) == PRIMARY and req not in site.answers


def test_callers_wait_while_a_primary_is_being_replaced():
    site = Site()
    site.refusal_reasons[PRIMARY] = OpenFailure.UNREACHABLE
    early = site.write(site.connect("till"))
    site.sweep(0.3)
    site.begin_promotion()
    site.sweep(0.3)
    late = site.write(site.connect("till"))
    site.sweep(0.2)
    assert early not in site.answers and late not in site.answers
    site.install(2, NEAR)
    assert {run.req for run in site.runs} == {early, late}


def _send_burst(site, count, route_name="board"):
    """Connect many callers at once, while no statement completes."""
    send = site.read if route_name == "board" else site.write
    return [send(site.connect(route_name)) for _ in range(count)]


def test_a_burst_spills_over_to_the_other_region_once_the_near_one_is_saturated():
    """A burst of callers in one region exceeds the connections there."""
    site = Site(connections=3)
    _send_burst(site, 3)
    assert {site.get_endpoint(run) for run in site.runs} == {NEAR, PRIMARY}
    _send_burst(site, 27)
    assert FAR in {site.get_endpoint(run) for run in site.runs}


def test_a_burst_beyond_all_endpoints_is_refused_at_once_with_a_retry_delay():
    """Queueing until the deadline would keep callers from daemons that could serve."""
    site = Site(connections=3)
    reqs = _send_burst(site, 120)
    refused = [req for req in reqs if req in site.answers]
    assert {site.refusal_code(req) for req in refused} == {Code.OVERLOADED}
    assert refused and len(refused) < len(reqs)
    for req in refused:
        assert site.answers[req].refusal.retry_after_s > 0
    assert reqs[0] not in refused and reqs[-1] in refused


def test_writes_queue_no_longer_than_the_primary_can_serve_in_time():
    site = Site(connections=3)
    reqs = _send_burst(site, 120, "till")
    refused = [req for req in reqs if req in site.answers]
    assert {site.refusal_code(req) for req in refused} == {Code.OVERLOADED}
    assert 0 < len(refused) < len(reqs) - 5


def test_a_small_burst_is_queued():
    site = Site(connections=3)
    reqs = _send_burst(site, 6, "till")
    assert not any(req in site.answers for req in reqs)
