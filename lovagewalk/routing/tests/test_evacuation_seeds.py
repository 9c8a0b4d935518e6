"""Seeds: evacuations among callers, endpoints and changes of the catalogue.

By hand, `python -m lovagewalk.routing.tests.test_evacuation_seeds FIRST COUNT STEPS`.
"""

import random
import sys

from lovagewalk import catalogue as cat
from lovagewalk.core import Code, replace
from lovagewalk.pools import OpenConnection
from lovagewalk.routing import (
    BeginTransaction,
    Phase,
    SetUpConnection,
    StatementKind,
)
from lovagewalk.routing._evacuation import EVACUATION_WORK_S

from .endpoint_model import World
from .test_endpoint_machine import _choose_mix, _play_step

ZONES = ("zone-0", "zone-1", "zone-2")
EPSILON = 1e-6
# Part of the steps that concern evacuations.
EVACUATION_FRACTION = 0.1


class EvacuatedWorld(World):
    """Each group has an instance in each zone; requests are checked when sent."""

    def __init__(self, seed):
        self.evacuated_at = {}
        super().__init__(seed)

    def get_zone(self, name):
        return f"zone-{name[-1]}"

    def evacuate(self, zone, evacuated):
        """Let the daemon learn of a request; the catalogue was confirmed until now."""
        if evacuated:
            self.evacuated_at.setdefault(zone, self.now)
        else:
            self.evacuated_at.pop(zone, None)
        self.state = replace(self.state, confirmed_at=self.now)
        self.change(cat.SetZoneEvacuation(zone, evacuated, True, self.revision))

    def apply(self, step):
        super().apply(step)
        for effect in step.effects:
            if isinstance(effect, OpenConnection):
                self._check_endpoint(effect.endpoint, False)

    def _check_sent(self, run):
        super()._check_sent(run)
        session = self.state.sessions[self.sent[run.req].caller]
        if isinstance(run, SetUpConnection):
            begins = any(isinstance(step, BeginTransaction) for step in run.steps)
        else:
            begins = run.begin
        is_pinned = session.conn == run.conn and not begins
        self._check_endpoint(self.conns[run.conn].instance.name, is_pinned)

    def _check_endpoint(self, name, is_pinned):
        evacuated_at = self.evacuated_at.get(self.get_zone(name))
        if evacuated_at is None:
            return
        elapsed_s = self.now - evacuated_at
        assert (
            elapsed_s < EVACUATION_WORK_S + EPSILON
        ), "sent to the zone after its time"
        group = self.state.catalogue.group(self.instances[name].group)
        assert is_pinned or name == group.primary, "new work for a replica in the zone"

    def heal(self):
        """Check that nothing waits for the zones, then return them to service."""
        self.tick(EVACUATION_WORK_S + 1.0)
        for request in self.state.requests.values():
            group = self.state.catalogue.group(request.group)
            if request.phase in (Phase.PRIMARY, Phase.CONNECTION) and group.primary:
                zone = self.get_zone(group.primary)
                assert not request.at_primary or zone not in self.evacuated_at
        for zone in ZONES:
            self.evacuate(zone, False)
        for name in self.instances:
            self.announce(name)
        super().heal()
        self._check_service()

    def _check_service(self):
        caller = self.connect(next(iter(self.holders), ""), "till")
        if caller not in self.state.sessions:
            return
        self.send(caller, StatementKind.WRITE)
        for _ in range(20):
            self.deliver(0, "ok")
            self.tick(0.02)
        refusal = self.answered[self.numbers]
        assert refusal is None or refusal.code is not Code.NO_ENDPOINT


def _play_evacuation(world, rng):
    """Evacuate a zone or all of them, withdraw an evacuation, or let time pass.

    A daemon that was suspended handles other events before its next sweep.
    """
    step = rng.choice(("one", "one", "all", "withdraw", "time", "late", "late"))
    elapsed_s = rng.choice((1.0, EVACUATION_WORK_S - 0.05, EVACUATION_WORK_S + 0.1))
    if step == "time":
        world.tick(elapsed_s)
        return
    if step == "late":
        world.now += elapsed_s
        return
    for zone in ZONES if step == "all" else (rng.choice(ZONES),):
        world.evacuate(zone, step != "withdraw")


def play_seed(seed, steps):
    """Play one seed; return the number of answers, or raise with the step as a note."""
    rng = random.Random(seed)
    world = EvacuatedWorld(seed)
    mix = _choose_mix(rng, ())
    names, weights = list(mix.weights), list(mix.weights.values())
    for number in range(steps):
        try:
            if rng.random() < EVACUATION_FRACTION:
                _play_evacuation(world, rng)
            else:
                step = rng.choices(names, weights)[0]
                _play_step(world, rng, step, mix)
        except Exception as exc:
            exc.add_note(f"seed {seed}, step {number}")
            raise
    world.heal()
    return len(world.answered)


def test_some_seeds_with_evacuations():
    for seed in range(30):
        assert play_seed(seed, 300) > 0


if __name__ == "__main__":
    first_seed, seed_count, step_count = (int(word) for word in sys.argv[1:4])
    for played in range(first_seed, first_seed + seed_count):
        play_seed(played, step_count)
