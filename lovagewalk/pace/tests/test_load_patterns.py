"""Pace of a fleet towards one endpoint, by load pattern, and without the pace.

The endpoint has 4 slots, a queue of 32 and statements of 14 ms; 60 daemons send.
"""

import pytest

from lovagewalk.core import replace
from lovagewalk.pace import PaceCause, PaceState, restart_pace

from .fleet_model import OBJECTIVE_S, FleetModel

DAEMONS = 60
# What the endpoint can run: 4 / 14 ms.
CAPACITY_PER_S = 285
LONGEST_OBJECTIVE_S = 2.0


def _restart(model, cause=PaceCause.RESTARTED):
    model.change_paces(lambda pace: restart_pace(pace, cause, model.now))


def _wait_at(model, daemons, statements):
    for number in range(daemons):
        for _ in range(statements):
            model.arrive(number)


def _play(pattern):
    """Play a pattern without and with the pace."""
    models = FleetModel(paced=False), FleetModel(paced=True)
    for model in models:
        pattern(model)
    return models


@pytest.mark.parametrize("per_s", [60, 140, 240])
def test_undisturbed_load_is_not_delayed(per_s):
    """Ordinary traffic must not be slower than without the pace."""

    def pattern(model):
        model.load(per_s, 5.0)
        model.run(6.0)

    without, paced = _play(pattern)
    assert paced.latencies_s == without.latencies_s
    assert not paced.busy and set(paced.states()) == {PaceState.STEADY}


@pytest.mark.parametrize("statements", [1, 2])
def test_cold_start_with_statements_waiting_at_each_daemon(statements):
    """All daemons send at once to an endpoint that comes back; many are refused."""

    def pattern(model):
        _restart(model)
        _wait_at(model, DAEMONS, statements)
        model.run(2.0)

    without, paced = _play(pattern)
    assert without.busy >= DAEMONS // 2, "the model shows the fault"
    assert not paced.busy
    assert paced.in_time() == DAEMONS * statements


def test_cold_start_with_statements_waiting_at_few_daemons():
    """A pace for 60 daemons leaves the endpoint idle if only 10 have work."""

    def pattern(model):
        _restart(model)
        _wait_at(model, 10, 6)
        model.run(2.0)

    _, paced = _play(pattern)
    assert paced.in_time() == 60 and max(paced.latencies_s) < OBJECTIVE_S


def test_slow_recovery():
    """An endpoint is four times slower for 2 s after its start, under load."""

    def pattern(model):
        _restart(model)
        model.service_s *= 4
        model.load(150, 6.0)
        model.run(2.0)
        model.service_s /= 4
        model.run(5.0)

    without, paced = _play(pattern)
    assert paced.busy <= without.busy / 4
    assert paced.in_time() >= 0.95 * without.in_time()
    served_cold = sum(at < 12.0 for at in paced.served_at)
    assert served_cold >= 0.9 * 2.0 * CAPACITY_PER_S / 4, "cold, it is not left idle"


def test_an_endpoint_that_fails_fast():
    """Fast errors look like a low latency and would attract all the load."""

    def pattern(model):
        model.fails = True
        _wait_at(model, DAEMONS, 2)
        model.run(3.0)

    without, paced = _play(pattern)
    assert paced.errors <= without.errors / 10
    assert PaceState.RISING not in paced.states()
    paced.fails = False
    paced.run(1.0)
    assert len(paced.latencies_s) == DAEMONS * 2, "it recovers within a second"


def test_an_endpoint_that_answers_nothing_for_two_seconds():
    """All daemons lose it at the same moment, and find it again at the same moment."""

    def pattern(model):
        model.down = True
        model.load(200, 6.0)
        model.run(2.0)
        model.down = False
        model.run(5.0)

    without, paced = _play(pattern)
    assert paced.busy <= without.busy / 3
    assert paced.in_time() >= 0.95 * without.in_time()


def test_a_single_surviving_endpoint_under_twice_its_capacity():
    """There is no alternative: what it can run is sent, and what is late is refused."""

    def pattern(model):
        model.load(2 * CAPACITY_PER_S, 8.0)
        model.run(9.0)

    without, paced = _play(pattern)
    assert paced.busy <= 0.65 * without.busy
    assert len(paced.latencies_s) >= 0.97 * CAPACITY_PER_S * 8.0
    assert paced.in_time() >= 0.97 * without.in_time()


def test_a_burst_at_an_endpoint_with_spare_capacity():
    """After a burst of half a second the pace must not keep the endpoint idle."""

    def pattern(model):
        model.load(100, 8.0)
        model.run(1.0)
        model.load(800, 0.5)
        model.run(8.0)

    without, paced = _play(pattern)
    assert paced.busy <= 0.6 * without.busy
    assert paced.in_time() >= 0.97 * without.in_time()
    assert paced.states().count(PaceState.STEADY) >= 0.9 * DAEMONS


def test_a_new_primary_while_writes_wait_at_all_daemons():
    """Three writes wait at each daemon while the primary is replaced."""

    def pattern(model):
        _restart(model, PaceCause.PROMOTED)
        _wait_at(model, DAEMONS, 3)
        model.run(2.0)

    without, paced = _play(pattern)
    assert paced.busy <= without.busy / 10
    ideal_s = DAEMONS * 3 / CAPACITY_PER_S
    times = sorted(at - 10.0 for at in paced.served_at)
    assert times[len(times) * 9 // 10] <= 1.25 * ideal_s
    assert times[-1] <= LONGEST_OBJECTIVE_S


def test_few_statements_per_second_at_each_daemon():
    """One statement a second and daemon gives the pace few answers to rise by."""
    model = FleetModel()
    _restart(model)
    model.load(60, 12.0)
    model.run(13.0)
    assert not model.busy and not model.refused
    assert max(model.latencies_s) <= OBJECTIVE_S / 2 + 0.1
    assert model.states().count(PaceState.STEADY) >= 0.95 * DAEMONS


def test_two_endpoints_that_recover_at_the_same_time():
    """The daemons' first probes of both are spread, and not in step with each other."""
    first = FleetModel(seed=1)
    second = FleetModel(seed=2)
    second.pools = [
        replace(pool, pace=replace(pool.pace, seed=1000 + pool.pace.seed))
        for pool in second.pools
    ]
    times = []
    for model in (first, second):
        _restart(model, PaceCause.LOST)
        _wait_at(model, DAEMONS, 1)
        times.append([pool.pace.next_send_at - model.now for pool in model.pools])
        model.run(2.0)
        assert not model.busy and model.in_time() == DAEMONS
    for delays in times:
        in_window = [sum(a <= b < a + 0.02 for b in delays) for a in delays]
        assert max(in_window) <= 12, "at most a fifth of the fleet within a sweep"
    close = sum(abs(a - b) < 0.01 for a, b in zip(*times, strict=True))
    assert close <= DAEMONS / 5
