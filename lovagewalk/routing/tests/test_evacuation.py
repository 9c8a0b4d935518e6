"""Work of an entry daemon while a zone is evacuated."""

import pytest

from lovagewalk.catalogue import Consistency, RouteClass, SetZoneEvacuation
from lovagewalk.core import Code, replace
from lovagewalk.groups import Position
from lovagewalk.records import TransactionEvacuated
from lovagewalk.routing import Failure, StatementKind
from lovagewalk.routing._evacuation import EVACUATION_WORK_S

from .provider_site import FAR, NEAR, PRIMARY, ROUTES, Site, route

PRIMARY_ZONE, NEAR_ZONE, FAR_ZONE = "zone-b", "zone-a", "zone-c"
ALL_ZONES = (PRIMARY_ZONE, NEAR_ZONE, FAR_ZONE)
REGION_ZONES = (PRIMARY_ZONE, NEAR_ZONE)


class EvacuatedSite(Site):
    """A daemon whose catalogue has just been confirmed."""

    def __init__(self, **fields):
        self.records = []
        super().__init__(**fields)
        self.confirm()

    def confirm(self):
        self.state = replace(self.state, confirmed_at=self.now)

    def evacuate(self, *zones, evacuated=True):
        for zone in zones:
            self.change(SetZoneEvacuation(zone, evacuated, True, self.revision))

    def apply_step(self, step):
        self.records += [e for e in step.effects if isinstance(e, TransactionEvacuated)]
        super().apply_step(step)

    def assert_refused(self, req):
        refusal = self.answers[req].refusal
        assert refusal.code is Code.NO_ENDPOINT
        assert 1.0 <= refusal.retry_after_s <= 2.0

    def connections(self, endpoint):
        pool = self.state.pools.get(endpoint)
        return len(pool.connections) if pool else 0


@pytest.fixture
def site():
    return EvacuatedSite()


@pytest.mark.parametrize("route", ["board", "alloc"])
def test_a_read_leaves_the_zone_at_once(site, route):
    site.evacuate(NEAR_ZONE)
    site.read(site.connect(route))
    assert site.get_endpoint(site.pop_run()) == PRIMARY
    site.evacuate(PRIMARY_ZONE)
    site.read(site.connect(route))
    assert site.get_endpoint(site.pop_run()) == FAR


def test_a_read_only_transaction_leaves_the_zone_at_once(site):
    site.evacuate(NEAR_ZONE)
    caller = site.connect("board")
    site.send(caller, StatementKind.BEGIN_READ)
    site.read(caller)
    assert site.get_endpoint(site.pop_run()) == PRIMARY


def test_a_read_that_waits_for_a_connection_to_the_zone_moves(site):
    """Guards against queues that are served after the evacuation is known."""
    site.unresponsive.add(NEAR)
    req = site.read(site.connect("board"))
    assert not site.runs
    site.evacuate(NEAR_ZONE)
    assert site.pop_run().req == req
    opening = next(effect for effect in site.opened if effect.endpoint == NEAR)
    site.unresponsive.clear()
    site.open(opening)
    site.sweep()
    assert not site.runs and not site.connections(NEAR)


def test_a_primary_gets_what_only_it_can_run_for_a_limited_time(site):
    site.evacuate(PRIMARY_ZONE)
    site.now += EVACUATION_WORK_S - 0.1
    site.write(site.connect("till"))
    assert site.get_endpoint(site.pop_run()) == PRIMARY
    site.begin("till")
    assert site.get_endpoint(site.pop_run()) == PRIMARY
    site.now += 0.2
    site.assert_refused(site.write(site.connect("till")))
    site.assert_refused(site.read(site.connect("till")))
    site.assert_refused(site.send(site.connect("till"), StatementKind.BEGIN))
    assert not site.runs


def test_a_successor_gets_the_work_at_once(site):
    site.evacuate(PRIMARY_ZONE)
    site.install(2, FAR)
    site.write(site.connect("till"))
    assert site.get_endpoint(site.pop_run()) == FAR


def test_a_primary_without_a_possible_successor_gets_no_new_work(site):
    """Guards against four seconds of writes to a zone that nobody takes over from."""
    site.evacuate(FAR_ZONE, NEAR_ZONE)
    site.evacuate(PRIMARY_ZONE)
    site.assert_refused(site.write(site.connect("till")))
    assert not site.runs


def test_the_time_counts_from_the_last_confirmed_catalogue(site):
    """Guards against a daemon that learns late and sends work after the bound."""
    site.now += EVACUATION_WORK_S + 0.1
    site.evacuate(PRIMARY_ZONE)
    site.assert_refused(site.write(site.connect("till")))


def test_a_daemon_that_has_just_started_sends_nothing_to_the_zone(site):
    site.state = replace(site.state, confirmed_at=-float("inf"))
    site.evacuate(PRIMARY_ZONE)
    site.assert_refused(site.write(site.connect("till")))
    assert not site.runs


@pytest.mark.parametrize("zones", [REGION_ZONES, ALL_ZONES])
@pytest.mark.parametrize("route", ["till", "board", "alloc"])
def test_evacuation_of_a_region_and_of_everything(site, zones, route):
    """Requests are refused at once, or served in the other region."""
    site.evacuate(*zones)
    site.now += EVACUATION_WORK_S + 0.1
    site.sweep()
    site.record_proof(Position(1, 10))
    write, read = site.write(site.connect(route)), site.read(site.connect(route))
    site.assert_refused(write)
    if route != "till" and zones == REGION_ZONES:
        assert site.get_endpoint(site.pop_run()) == FAR
    else:
        site.assert_refused(read)
    assert not site.runs


def test_waiting_requests_are_refused_when_the_time_is_over(site):
    """Guards against requests that wait until their own deadline."""
    site.evacuate(PRIMARY_ZONE)
    site.now += EVACUATION_WORK_S - 0.2
    site.unresponsive.add(PRIMARY)
    queued = site.write(site.connect("till"))
    site.sweep(0.25)
    site.assert_refused(queued)


def test_a_write_in_backoff_is_refused_when_the_time_is_over(site):
    site.evacuate(PRIMARY_ZONE)
    site.now += EVACUATION_WORK_S - 0.05
    req = site.write(site.connect("till"))
    site.fail(site.pop_run(), Failure.READ_ONLY)
    site.sweep(0.1)
    site.assert_refused(req)
    assert not site.runs


def test_a_running_statement_is_answered_after_the_time(site):
    """Guards against a write that ran and is reported as lost."""
    site.evacuate(PRIMARY_ZONE)
    site.now += EVACUATION_WORK_S - 0.2
    req = site.write(site.connect("till"))
    run = site.pop_run()
    site.sweep(0.4)
    assert req not in site.answers
    site.complete(run, Position(1, 12))
    assert site.answers[req].refusal is None
    site.sweep()
    assert not site.connections(PRIMARY)


def test_an_idle_transaction_is_rolled_back_and_its_caller_told(site):
    caller = site.begin("till")
    run = site.pop_run()
    site.complete(run, open_transaction=True)
    site.evacuate(PRIMARY_ZONE)
    site.sweep(EVACUATION_WORK_S - 0.1)
    assert site.connections(PRIMARY) == 1
    site.sweep(0.2)
    assert site.connections(PRIMARY) == 0
    assert [record.caller for record in site.records] == [caller]
    req = site.write(caller)
    assert site.refusal_code(req) is Code.TRANSACTION_LOST
    assert not site.runs


@pytest.mark.parametrize(
    "kind", [StatementKind.WRITE, StatementKind.COMMIT, StatementKind.ROLLBACK]
)
def test_a_late_daemon_sends_no_statement_of_a_transaction(site, kind):
    """Guards against a statement that comes before the sweep of a suspended daemon."""
    caller = site.begin("till")
    site.complete(site.pop_run(), open_transaction=True)
    site.evacuate(PRIMARY_ZONE)
    site.now += EVACUATION_WORK_S + 1.0
    req = site.send(caller, kind)
    assert not site.runs and not site.connections(PRIMARY)
    refusal = site.answers[req].refusal
    if kind is StatementKind.ROLLBACK:
        assert refusal is None
    else:
        assert refusal.code is Code.TRANSACTION_LOST


def test_a_transaction_with_a_running_statement_ends_after_its_answer(site):
    site.evacuate(PRIMARY_ZONE)
    site.now += EVACUATION_WORK_S - 0.2
    caller = site.begin("till")
    run = site.pop_run()
    site.sweep(0.4)
    assert run.req not in site.answers
    site.complete(run, open_transaction=True)
    assert site.answers[run.req].refusal is None
    site.sweep()
    assert not site.connections(PRIMARY)
    assert site.refusal_code(site.write(caller)) is Code.TRANSACTION_LOST


def test_a_commit_that_was_sent_is_answered_with_its_result(site):
    caller = site.begin("till")
    site.complete(site.pop_run(), open_transaction=True)
    site.evacuate(PRIMARY_ZONE)
    site.now += EVACUATION_WORK_S - 0.2
    req = site.send(caller, StatementKind.COMMIT)
    site.sweep(0.4)
    site.complete(site.pop_run(), Position(1, 12))
    assert site.answers[req].refusal is None


def test_idle_connections_to_the_zone_are_closed(site):
    site.read(site.connect("board"))
    site.complete(site.pop_run(), Position(1, 12))
    assert site.connections(NEAR) == 1
    site.evacuate(NEAR_ZONE)
    site.sweep()
    assert site.connections(NEAR) == 0


def test_service_returns_after_a_withdrawal(site):
    site.evacuate(*ALL_ZONES)
    site.sweep(EVACUATION_WORK_S + 0.1)
    site.assert_refused(site.write(site.connect("till")))
    site.evacuate(*ALL_ZONES, evacuated=False)
    site.write(site.connect("till"))
    assert site.get_endpoint(site.pop_run()) == PRIMARY
    site.record_proof(Position(1, 10))
    site.read(site.connect("board"))
    assert site.get_endpoint(site.pop_run()) == NEAR


def test_a_second_evacuation_has_its_own_time(site):
    """Guards against a primary that gets no work because of an old evacuation."""
    site.evacuate(PRIMARY_ZONE)
    site.sweep(EVACUATION_WORK_S + 0.1)
    site.evacuate(PRIMARY_ZONE, evacuated=False)
    site.confirm()
    site.evacuate(PRIMARY_ZONE)
    site.write(site.connect("till"))
    assert site.get_endpoint(site.pop_run()) == PRIMARY


def test_an_endpoint_announced_in_the_zone_gets_no_work(site):
    site.evacuate(NEAR_ZONE)
    site.announce("i-new", NEAR_ZONE)
    site.read(site.connect("board"))
    assert site.get_endpoint(site.pop_run()) == PRIMARY


def test_callers_are_asked_to_retry_at_different_times(site):
    site.evacuate(*ALL_ZONES)
    reqs = [site.write(site.connect("till")) for _ in range(20)]
    times = {site.answers[req].refusal.retry_after_s for req in reqs}
    assert len(times) == len(reqs)


def test_a_late_daemon_opens_no_connection_to_the_zone():
    """Guards against a connection for what waits in the queue of a suspended daemon."""
    site = EvacuatedSite(connections=2)
    free = route("free", Consistency.PRIMARY, route_class=RouteClass.OPEN)
    site.configure(2, (*ROUTES, free), connections=2)
    site.unresponsive.add(PRIMARY)
    site.write(site.connect("till"))
    queued = site.write(site.connect("free", key=""))
    site.evacuate(PRIMARY_ZONE)
    site.now += EVACUATION_WORK_S + 0.1
    site.unresponsive.clear()
    (opening,) = site.opened
    site.open(opening)
    assert [effect.conn for effect in site.opened] == [opening.conn] * 2
    site.sweep()
    site.assert_refused(queued)
    assert not site.runs
