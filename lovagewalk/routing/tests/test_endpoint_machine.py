"""State machine: callers, endpoints and changes of the catalogue in any order.

By hand, `python -m lovagewalk.routing.tests.test_endpoint_machine FIRST COUNT STEPS`
plays random seeds without shrinking; names of steps after the numbers are left out. The
order of sets depends on PYTHONHASHSEED.
"""

import random
import sys
import traceback
from dataclasses import dataclass

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from lovagewalk import catalogue as cat

from .control_model import LENDINGS
from .endpoint_model import (
    CONSISTENCIES,
    CUSTOMERS,
    GROUPS,
    KEYS,
    KINDS,
    SESSION_KINDS,
    World,
)

ROUTES = tuple(CONSISTENCIES)
OUTCOMES = ("ok", "ok", "ok", "busy", "busy", "lost")
ELAPSED_S = (0.001, 0.02, 0.02, 0.1, 0.4)
NAMES = tuple(f"{group}-{n}" for group in GROUPS for n in range(3))
SUSPENSIONS_S = (0.5, 2.0, 4.0)
KIND_CHANGES = (
    cat.Consistency.PRIMARY,
    cat.Consistency.BOUNDED,
    cat.Consistency.OWN_WRITES,
)


def _choose_caller(world, index, route, max_callers=12):
    """Return an idle caller, or None; connect one if there are few."""
    idle = world.idle_callers()
    if len(world.callers) < max_callers or not idle:
        world.connect(KEYS[index % 2], route)
        idle = world.idle_callers()
    return idle[index % len(idle)] if idle else None


def _send(world, index, kind, route, max_callers=12):
    caller = _choose_caller(world, index, route, max_callers)
    if caller is not None:
        world.send(caller, kind)


def _send_session_statement(world, index, kind, route, max_callers=12):
    caller = _choose_caller(world, index, route, max_callers)
    if caller is not None:
        world.send_session_statement(caller, kind, index)


class EndpointMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.world = World()

    @rule(
        index=st.integers(0, 99),
        kind=st.sampled_from(KINDS),
        route=st.sampled_from(ROUTES),
    )
    def send(self, index, kind, route):
        _send(self.world, index, kind, route)

    @rule(
        index=st.integers(0, 99),
        kind=st.sampled_from(SESSION_KINDS),
        route=st.sampled_from(ROUTES),
    )
    def send_session_statement(self, index, kind, route):
        _send_session_statement(self.world, index, kind, route)

    @rule(customer=st.sampled_from(CUSTOMERS), lending=st.sampled_from(LENDINGS))
    def lend(self, customer, lending):
        self.world.control.lend(customer, lending)

    @rule()
    def drain(self):
        self.world.drain()

    @rule()
    def restart(self):
        self.world.restart()

    @rule(
        seconds=st.sampled_from(SUSPENSIONS_S),
        deliveries=st.integers(0, 5),
        ticks_first=st.booleans(),
    )
    def suspend(self, seconds, deliveries, ticks_first):
        self.world.suspend(seconds, deliveries, ticks_first)

    @rule(index=st.integers(0, 99), outcome=st.sampled_from(OUTCOMES))
    def deliver(self, index, outcome):
        self.world.deliver(index, outcome)

    @rule(elapsed_s=st.sampled_from(ELAPSED_S))
    def tick(self, elapsed_s):
        self.world.tick(elapsed_s)

    @rule(elapsed_s=st.sampled_from(ELAPSED_S))
    def pass_time(self, elapsed_s):
        self.world.now += elapsed_s

    @rule(name=st.sampled_from(NAMES), count=st.integers(1, 3))
    def replicate(self, name, count):
        self.world.replicate(name, count)

    @rule(name=st.sampled_from(NAMES), leaving=st.booleans())
    def announce(self, name, leaving):
        self.world.announce(name, leaving)

    @rule(name=st.sampled_from(ROUTES), group=st.sampled_from(GROUPS))
    def move_route(self, name, group):
        self.world.move_route(name, group)

    @rule(name=st.sampled_from(ROUTES), kind=st.sampled_from(KIND_CHANGES))
    def change_kind(self, name, kind):
        self.world.change_kind(name, kind)

    @rule(key=st.sampled_from(KEYS), customer=st.sampled_from((*CUSTOMERS, "")))
    def move_key(self, key, customer):
        self.world.move_key(key, customer)

    @rule(name=st.sampled_from(NAMES), installs=st.booleans())
    def promote(self, name, installs):
        self.world.promote(name)
        if installs:
            self.world.install(self.world.instances[name].group)

    @rule(index=st.integers(0, 99))
    def break_connection(self, index):
        self.world.break_connection(index)

    @rule(name=st.sampled_from(NAMES))
    def stop_or_start(self, name):
        self.world.stop_or_start(name)

    @rule(index=st.integers(0, 99))
    def disconnect(self, index):
        callers = sorted(self.world.callers)
        if callers:
            self.world.disconnect(callers[index % len(callers)])

    def teardown(self):
        self.world.heal()


TestEndpointMachine = EndpointMachine.TestCase
TestEndpointMachine.settings = settings(
    max_examples=60,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)

# Steps of a random play, by weight: most of them serve callers.
STEPS = {
    "send": 30,
    "deliver": 40,
    "tick": 10,
    "pass_time": 5,
    "replicate": 8,
    "announce": 3,
    "move_route": 2,
    "change_kind": 1,
    "move_key": 1,
    "promote": 1,
    "install": 2,
    "break_connection": 2,
    "stop_or_start": 1,
    "disconnect": 1,
    "send_session_statement": 10,
    "lend": 1,
    "drain": 0.2,
    "restart": 0.2,
    "suspend": 1,
}
# A seed plays some kinds of steps more often and others less, which finds faults that
# an even mix of steps rarely reaches.
FACTORS = (0.1, 0.5, 1.0, 1.0, 4.0)
OUTCOME_MIXES = (
    ("ok",),
    OUTCOMES,
    ("ok", "busy", "busy", "busy"),
    ("ok", "ok", "lost"),
)
ROUTE_MIXES = (ROUTES, ("alloc",), ("till",))
MAX_CALLERS = (2, 6, 12, 30)


@dataclass(frozen=True)
class Mix:
    """What a seed plays."""

    outcomes: tuple
    routes: tuple
    max_callers: int
    weights: dict


def _choose_mix(rng, left_out):
    weights = {
        name: weight * (1 if name in ("send", "deliver") else rng.choice(FACTORS))
        for name, weight in STEPS.items()
        if name not in left_out
    }
    outcomes, routes = rng.choice(OUTCOME_MIXES), rng.choice(ROUTE_MIXES)
    return Mix(outcomes, routes, rng.choice(MAX_CALLERS), weights)


def _play_step(world, rng, step, mix):
    """Play one random step of a kind."""
    route = rng.choice(mix.routes)
    match step:
        case "send":
            kind = rng.choice(KINDS)
            _send(world, rng.randrange(99), kind, route, mix.max_callers)
        case "deliver":
            world.deliver(rng.randrange(99), rng.choice(mix.outcomes))
        case "send_session_statement":
            kind, index = rng.choice(SESSION_KINDS), rng.randrange(99)
            _send_session_statement(world, index, kind, route, mix.max_callers)
        case "lend":
            world.control.lend(rng.choice(CUSTOMERS), rng.choice(LENDINGS))
        case "drain":
            world.drain()
        case "restart":
            world.restart()
        case "suspend":
            seconds = rng.choice(SUSPENSIONS_S)
            world.suspend(seconds, rng.randrange(6), rng.random() < 0.5)
        case "tick":
            world.tick(rng.choice(ELAPSED_S))
        case "pass_time":
            world.now += rng.choice(ELAPSED_S)
        case "replicate":
            world.replicate(rng.choice(NAMES), rng.randrange(1, 4))
        case "announce":
            world.announce(rng.choice(NAMES), rng.random() < 0.2)
        case "move_route":
            world.move_route(route, rng.choice(GROUPS))
        case "change_kind":
            world.change_kind(route, rng.choice(KIND_CHANGES))
        case "move_key":
            world.move_key(rng.choice(KEYS), rng.choice((*CUSTOMERS, "")))
        case "promote":
            world.promote(rng.choice(NAMES))
        case "install":
            world.install(rng.choice(GROUPS))
        case "break_connection":
            world.break_connection(rng.randrange(99))
        case "stop_or_start":
            world.stop_or_start(rng.choice(NAMES))
        case "disconnect":
            if world.callers:
                world.disconnect(rng.choice(sorted(world.callers)))


def play_seed(seed, steps, left_out=(), paced=False):
    """Play one seed; return the number of answers, or raise with the step as a note."""
    rng = random.Random(seed)
    world = World(seed, paced)
    mix = _choose_mix(rng, left_out)
    names, weights = list(mix.weights), list(mix.weights.values())
    for number in range(steps):
        try:
            step = rng.choices(names, weights)[0]
            _play_step(world, rng, step, mix)
        except Exception as exc:
            exc.add_note(f"seed {seed}, step {number}")
            raise
    world.heal()
    return len(world.answered)


@pytest.mark.parametrize("paced", [False, True])
def test_some_seeds_of_mixed_steps(paced):
    for seed in range(12):
        assert play_seed(seed, 300, paced=paced) > 0


def _play_by_hand(first, count, steps, left_out):
    failed = 0
    answered = 0
    for seed in range(first, first + count):
        try:
            answered += play_seed(seed, steps, left_out)
        except Exception as exc:
            failed += 1
            place = traceback.extract_tb(exc.__traceback__)[-1].name
            notes = getattr(exc, "__notes__", [f"seed {seed}, at the end"])
            print(f"{notes[0]}: {type(exc).__name__} {exc} in {place}")
    print(f"{count} seeds of {steps} steps, {answered} answers, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    numbers = (int(word) for word in sys.argv[1:4])
    sys.exit(_play_by_hand(*numbers, left_out=sys.argv[4:]))
