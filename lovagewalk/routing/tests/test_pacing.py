"""A daemon's pace towards endpoints that join, fail, return or are promoted."""

import pytest
from immutables import Map

from lovagewalk.catalogue import Catalogue, SetZoneEvacuation
from lovagewalk.core import Code, replace
from lovagewalk.daemon import install_catalogue
from lovagewalk.daemon._changes import resize_pools
from lovagewalk.groups import Position
from lovagewalk.node import Identity
from lovagewalk.pace import PaceCause, PaceState
from lovagewalk.pools import ConnectionOpened, OpenFailure
from lovagewalk.records import EndpointPaceChanged
from lovagewalk.routing import Failure

from .provider_site import NEAR, PRIMARY, ROUTES, Site

FLEET = 60


@pytest.fixture
def site():
    return _paced_site()


def _paced_site(name="edge"):
    site = Site(paced=True, name=name)
    site.state = resize_pools(replace(site.state, entry_daemons=FLEET))
    for endpoint in tuple(site.state.catalogue.endpoints):
        announce(site, endpoint, 2)
    # The endpoints joined one by one; the tests begin without a limit.
    for endpoint, pool in site.state.pools.items():
        steady = replace(pool, pace=replace(pool.pace, state=PaceState.STEADY))
        site.state = replace(site.state, pools=site.state.pools.set(endpoint, steady))
    site.records = []
    apply_step = site.apply_step

    def record_changes(step):
        site.records += [e for e in step.effects if isinstance(e, EndpointPaceChanged)]
        apply_step(step)

    site.apply_step = record_changes
    return site


def announce(site, name, sequence, slots=4, **changes):
    """Repeat an endpoint's announcement with changes."""
    known = site.state.catalogue.endpoints[name]
    site.announce(name, known.zone, known.region, sequence, slots=slots, **changes)


def _pace(site, endpoint):
    return site.state.pools[endpoint].pace


def _run_until_sent(site, limit_s=1.0):
    """Let time pass until a statement is sent, and return the time that it took."""
    start = site.now
    while not site.runs and site.now - start < limit_s:
        site.sweep()
    return site.now - start


def test_without_the_setting_there_is_no_pace():
    site = Site()
    site.write(site.connect("till"))
    site.complete(site.pop_run(), Position(1, 11))
    announce(site, NEAR, 2, born=78)
    site.install(2, NEAR)
    assert all(pool.pace is None for pool in site.state.pools.values())
    assert not Identity("edge", "a", "west", b"").paces_endpoints


def test_the_endpoints_of_a_first_catalogue_are_not_limited(site):
    """A daemon that restarts knows of no disturbance."""
    fresh = Site(paced=True)
    fresh.state = replace(fresh.state, catalogue=Catalogue(), pools=Map())
    step = install_catalogue(fresh.state, site.state.catalogue, fresh.now)
    fresh.apply_step(step)
    assert not fresh.state.pools
    fresh.write(fresh.connect("till"))
    assert len(fresh.runs) == 1 and _pace(fresh, PRIMARY).state is PaceState.STEADY


def test_a_daemon_without_callers_keeps_no_pace(site):
    """A control VM would show and log a pace at which nothing is ever sent."""
    identity = replace(site.state.identity, entry=False)
    site.state = replace(site.state, identity=identity, pools=Map())
    announce(site, PRIMARY, 3, born=78)
    assert not site.state.pools and not site.records


def test_a_restarted_endpoint_gets_one_probe_at_a_time(site):
    announce(site, PRIMARY, 3, born=78)
    assert _pace(site, PRIMARY).state is PaceState.UNKNOWN
    assert site.records[-1].cause == "restarted"
    for _ in range(3):
        site.write(site.connect("till"))
    _run_until_sent(site)
    assert len(site.runs) == 1
    site.sweep(0.4)
    assert len(site.runs) == 1, "the probe has not been answered"
    site.complete(site.pop_run(), Position(1, 11))
    assert _pace(site, PRIMARY).limit > 4 / FLEET
    for _ in range(2):
        _run_until_sent(site)
        site.complete(site.pop_run(), Position(1, 12))
    assert not site.runs and len(site.answers) == 3


def test_a_return_to_the_steady_state_is_logged(site):
    announce(site, PRIMARY, 3, born=78)
    for _ in range(8):
        site.write(site.connect("till"))
        _run_until_sent(site)
        site.now += 0.01
        site.complete(site.pop_run(), Position(1, 11))
    states = [record.state for record in site.records if record.endpoint == PRIMARY]
    assert states == ["unknown", "probing", "rising", "steady"]
    assert site.records[-1].cause == "answers"


def test_a_joined_endpoint_that_is_cold_is_not_steady_before_its_time(site):
    site.announce("i-new", sequence=1, slots=4, cold_left_s=5.0)
    pace = _pace(site, "i-new")
    assert (pace.state, pace.cause) == (PaceState.UNKNOWN, PaceCause.JOINED)
    assert pace.cold_until == site.now + 5.0


def test_a_busy_answer_halves_the_pace_and_the_statement_is_sent_again(site):
    req = site.write(site.connect("till"))
    site.fail(site.pop_run(), Failure.BUSY)
    assert _pace(site, PRIMARY).limit == 0.5
    assert site.records[-1].state == "probing" and site.records[-1].cause == "busy"
    _run_until_sent(site)
    run = site.pop_run()
    assert run.req == req
    site.complete(run, Position(1, 11))
    assert site.answers[req].refusal is None


def test_reads_prefer_an_endpoint_that_may_be_sent_to(site):
    site.read(site.connect("board"))
    run = site.pop_run()
    assert site.get_endpoint(run) == NEAR
    site.fail(run, Failure.BUSY)
    assert site.get_endpoint(site.pop_run()) == PRIMARY


def test_a_probe_that_opens_a_connection_sends_its_statement_at_once(site):
    """Otherwise each probe of a dedicated pool would take two intervals."""
    announce(site, PRIMARY, 3, born=78)
    site.unresponsive.add(PRIMARY)
    site.write(site.connect("till"))
    while not site.opened or site.opened[-1].endpoint != PRIMARY:
        site.sweep()
    opened = site.opened[-1]
    site.sweep(0.012)
    site.feed(ConnectionOpened(site.now, opened.conn, PRIMARY, "78"))
    assert len(site.runs) == 1


def test_an_endpoint_whose_zone_is_not_evacuated_any_more_is_probed(site):
    """Guards against a flood at endpoints that got no work for a time."""
    zone = site.state.catalogue.endpoints[NEAR].zone
    for evacuated in (True, False):
        revision = site.state.catalogue.revision
        site.change(SetZoneEvacuation(zone, evacuated, in_settings=True, seen=revision))
    assert _pace(site, NEAR).state is PaceState.UNKNOWN
    assert _pace(site, NEAR).cause is PaceCause.RETURNED


def test_a_transaction_that_has_begun_is_not_delayed(site):
    """It holds locks that others wait for."""
    caller = site.begin("till")
    site.complete(site.pop_run(), Position(1, 11), open_transaction=True)
    site.write(site.connect("till"))
    site.fail(site.pop_run(), Failure.BUSY)
    assert _pace(site, PRIMARY).limit == 1.0
    site.runs.clear()
    site.write(caller)
    assert len(site.runs) == 1


def test_an_idle_transaction_does_not_block_the_probes(site):
    """Its connection is in use while its caller thinks, and holds no slot."""
    announce(site, PRIMARY, 3, born=78)
    site.begin("till")
    _run_until_sent(site)
    site.complete(site.pop_run(), Position(1, 11), open_transaction=True)
    site.write(site.connect("till"))
    assert _run_until_sent(site) < 0.5


def test_a_health_check_with_wrong_results_does_not_raise_the_pace(site):
    """Polls and heartbeats of an endpoint that refuses statements look healthy."""
    site.write(site.connect("till"))
    site.fail(site.pop_run(), Failure.BUSY)
    before = _pace(site, PRIMARY)
    for sequence in range(3, 8):
        site.record_proof(Position(1, 10 + sequence))
        announce(site, PRIMARY, sequence)
    assert _pace(site, PRIMARY) == before


def test_an_unreachable_endpoint_is_probed_after_its_return(site):
    """All daemons connected at once when it came back."""
    site.refusal_reasons[NEAR] = OpenFailure.UNREACHABLE
    site.read(site.connect("board"))
    pace = _pace(site, NEAR)
    assert (pace.state, pace.cause) == (PaceState.UNKNOWN, PaceCause.LOST)
    assert pace.limit == pytest.approx(4 / FLEET)


def test_a_lost_statement_of_an_endpoint_that_answers_others_only_halves(site):
    """One slow statement is no loss of the endpoint."""
    slow, quick = site.connect("board"), site.connect("board")
    site.read(slow)
    site.now += 0.1
    site.read(quick)
    lost, answered = site.runs
    site.runs.clear()
    site.now += 0.1
    site.complete(answered, Position(1, 10))
    site.lose_answer(lost)
    pace = _pace(site, NEAR)
    assert (pace.state, pace.cause) == (PaceState.PROBING, PaceCause.TIME_OUT)
    assert pace.limit == 0.5


def test_a_new_primary_gets_waiting_writes_in_order_of_priority(site):
    """After a promotion all waiting writes were sent to it at once."""
    urgent = replace(ROUTES[0], name="urgent", priority=0)
    site.configure(2, (replace(ROUTES[0], priority=2), urgent) + ROUTES[1:])
    announce(site, PRIMARY, 3, leaving=True)
    site.now += 6.0
    site.sweep()
    requests = [site.write(site.connect("till")) for _ in range(2)]
    requests.insert(0, site.write(site.connect("urgent")))
    assert not site.runs
    site.install(2, NEAR)
    assert _pace(site, NEAR).cause is PaceCause.PROMOTED
    sent = []
    for _ in requests:
        _run_until_sent(site)
        assert len(site.runs) == 1
        run = site.pop_run()
        sent.append(run.req)
        site.complete(run, Position(2, 11))
    assert sent == requests


def test_daemons_spread_their_first_probes():
    """They all learn of a restart at the same moment."""
    delays = []
    for number in range(FLEET):
        site = _paced_site(f"10.0.0.{number}:7000")
        announce(site, PRIMARY, 3, born=78)
        delays.append(_pace(site, PRIMARY).next_send_at - site.now)
    assert min(delays) < 0.05 and max(delays) > 0.2
    assert len({round(delay, 2) for delay in delays}) >= 15


def test_the_number_of_daemons_and_slots_determines_the_equal_part(site):
    assert _pace(site, PRIMARY).share == pytest.approx(4 / FLEET)
    site.state = resize_pools(replace(site.state, entry_daemons=8))
    assert _pace(site, PRIMARY).share == pytest.approx(0.5)
    announce(site, PRIMARY, 3, slots=6)
    assert _pace(site, PRIMARY).share == pytest.approx(0.75)


def test_a_queued_statement_that_would_miss_its_deadline_is_refused_immediately(site):
    """It was refused only at its deadline, long after this was certain."""
    for _ in range(4):
        site.write(site.connect("till"))
    for run in site.runs[::-1]:
        site.fail(run, Failure.BUSY)
    pool = site.state.pools[PRIMARY]
    (queue,) = pool.queues.values()
    assert len(queue.reqs) == 3 and not site.answers
    slow = replace(pool.pace, limit=0.01, threshold=0.01, latency_s=0.5)
    pool = replace(pool, pace=replace(slow, next_send_at=site.now + 0.4))
    site.state = replace(site.state, pools=site.state.pools.set(PRIMARY, pool))
    site.sweep()
    assert tuple(site.answers) == queue.reqs[2:], "half a second each, of a second"
    refusal = site.answers[queue.reqs[2]].refusal
    assert refusal.code is Code.OVERLOADED and refusal.retry_after_s > 1.0


def test_an_unknown_endpoint_starts_with_the_part_of_the_reported_daemons(site):
    """Before the first report a daemon takes itself for the only one."""
    site.state = resize_pools(replace(site.state, entry_daemons=0))
    announce(site, PRIMARY, 3, born=78)
    assert _pace(site, PRIMARY).limit == 4
    site.state = resize_pools(replace(site.state, entry_daemons=FLEET))
    assert _pace(site, PRIMARY).limit == pytest.approx(4 / FLEET)
