"""Fault types, and the generation of a fault schedule from a seed."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from lovagewalk.core import Effect

DAEMONS = ("vm1", "vm2", "vm3")
INSTANCES = ("db1", "db2", "db3")
# Mean time between the starts of two faults; a fault that lasts overlaps others.
MEAN_GAP_S = 1.2
# Minimum time between the end of a fault that loses an instance's rows and the next
# one. Instances hold their rows in memory, and a second loss before the voters of the
# group are restored exceeds what the fleet is designed to tolerate.
INSTANCE_REPAIR_S = 9.0
# Minimum time between the end of a fault that loses the disk of a control VM and the
# next one.
DISK_REPAIR_S = 9.0


class LinkMode(Enum):
    """How a faulty link treats the data that passes through it."""

    DELAY = "delay"
    RESET = "reset"
    CUT_ONE_WAY = "cut one way"
    SILENCE = "silence"


@dataclass(frozen=True, slots=True)
class Fault(Effect):
    """A fault that is injected from outside a process.

    Attributes
    ----------
    target : str
        Name of a process, or a link as ``FROM>TO``.
    for_s : float
        Duration in seconds.
    """

    target: str
    for_s: float


@dataclass(frozen=True, slots=True)
class Kill(Fault):
    """Kill a process, and restart it later."""


@dataclass(frozen=True, slots=True)
class Stop(Fault):
    """Stop a process gracefully, and restart it later."""


@dataclass(frozen=True, slots=True)
class Pause(Fault):
    """Suspend a process, and resume it later."""


@dataclass(frozen=True, slots=True)
class LoseDisk(Fault):
    """Kill a daemon, delete its data folder, and restart it later."""


@dataclass(frozen=True, slots=True)
class TearLog(Fault):
    """Kill a daemon, append an incomplete record to its journal, and restart it."""


@dataclass(frozen=True, slots=True)
class FillDisk(Fault):
    """Let a daemon's files grow by a few bytes only, so that a write is cut short.

    Attributes
    ----------
    room_bytes : int
        How much its journal may still grow.
    """

    room_bytes: int


@dataclass(frozen=True, slots=True)
class LosePower(Fault):
    """Kill all daemons at once, and tear what they had not synced.

    Attributes
    ----------
    tear_seed : int
        Seed of the tears.
    """

    tear_seed: int


@dataclass(frozen=True, slots=True)
class HarmLink(Fault):
    """Disturb a link between two daemons."""

    mode: LinkMode


@dataclass(frozen=True, slots=True)
class MoveRoute(Fault):
    """Move a route to a group that has no endpoints, and back later."""


@dataclass(frozen=True, slots=True)
class Crowd(Fault):
    """Let many clients misbehave at the callers' port of a daemon.

    Attributes
    ----------
    behaviour : str
        What all of them do, by its name in `soak/_crowd.py`.
    size : int
        Number of connections that are open at a time.
    """

    behaviour: str
    size: int


@dataclass(frozen=True, slots=True)
class TimedFault:
    """A fault and its start, in seconds from the start of the run."""

    at_s: float
    fault: Fault


# Target of a fault that acts on all daemons.
ALL_DAEMONS = "all"
# Seeds below have the schedules under which some of them failed, without faults of
# disks that refuse or tear writes.
FIRST_DISK_SEED = 2000
# Seeds below have no routes that move, no crowds and no callers that hold transactions
# open.
FIRST_TRAFFIC_SEED = 4000
MOVING_ROUTE = "moving"
BEHAVIOURS = ("garbage", "half a message", "silent", "slow", "vanishing", "oversized")
MAX_CROWD = 60

FaultGenerator = Callable[[random.Random], Fault]
_generators: list[tuple[float, int, FaultGenerator]] = []


def fault_generator(
    weight: float, first_seed: int = 0
) -> Callable[[FaultGenerator], FaultGenerator]:
    """Register the decorated function as a generator of faults.

    Parameters
    ----------
    weight : float
        Relative frequency of these faults.
    first_seed : int
        Only seeds from this one on have these faults.
    """

    def register(generate: FaultGenerator) -> FaultGenerator:
        _generators.append((weight, first_seed, generate))
        return generate

    return register


@fault_generator(3.0)
def _kill_daemon(rng: random.Random) -> Fault:
    return Kill(rng.choice(DAEMONS), rng.uniform(0.1, 3.0))


@fault_generator(2.0)
def _stop_daemon(rng: random.Random) -> Fault:
    return Stop(rng.choice(DAEMONS), rng.uniform(0.1, 2.0))


@fault_generator(3.0)
def _pause_daemon(rng: random.Random) -> Fault:
    return Pause(rng.choice(DAEMONS), rng.uniform(0.2, 4.5))


@fault_generator(1.0)
def _lose_disk(rng: random.Random) -> Fault:
    return LoseDisk(rng.choice(DAEMONS), rng.uniform(0.1, 2.0))


@fault_generator(1.0)
def _tear_log(rng: random.Random) -> Fault:
    return TearLog(rng.choice(DAEMONS), rng.uniform(0.1, 2.0))


@fault_generator(1.5)
def _kill_instance(rng: random.Random) -> Fault:
    return Kill(rng.choice(INSTANCES), rng.uniform(0.5, 3.0))


@fault_generator(1.5)
def _pause_instance(rng: random.Random) -> Fault:
    return Pause(rng.choice(INSTANCES), rng.uniform(0.2, 3.0))


@fault_generator(4.0, first_seed=FIRST_DISK_SEED)
def _fill_disk(rng: random.Random) -> Fault:
    return FillDisk(rng.choice(DAEMONS), rng.uniform(0.2, 4.0), rng.randrange(200))


@fault_generator(2.0, first_seed=FIRST_DISK_SEED)
def _lose_power(rng: random.Random) -> Fault:
    return LosePower(ALL_DAEMONS, rng.uniform(0.1, 1.0), rng.randrange(2**32))


@fault_generator(4.0)
def _harm_link(rng: random.Random) -> Fault:
    source, target = rng.sample(DAEMONS, 2)
    mode = rng.choice(list(LinkMode))
    return HarmLink(f"{source}>{target}", rng.uniform(0.2, 5.0), mode)


@fault_generator(4.0, first_seed=FIRST_TRAFFIC_SEED)
def _stop_daemon_often(rng: random.Random) -> Fault:
    return _stop_daemon(rng)


@fault_generator(4.0, first_seed=FIRST_TRAFFIC_SEED)
def _move_route(rng: random.Random) -> Fault:
    return MoveRoute(MOVING_ROUTE, rng.uniform(0.1, 3.0))


@fault_generator(4.0, first_seed=FIRST_TRAFFIC_SEED)
def _gather_crowd(rng: random.Random) -> Fault:
    target = f"callers of {rng.choice(DAEMONS)}"
    behaviour = rng.choice(BEHAVIOURS)
    return Crowd(target, rng.uniform(0.5, 4.0), behaviour, rng.randint(10, MAX_CROWD))


def plan_faults(seed: int, seconds: float) -> tuple[TimedFault, ...]:
    """Return the faults of a run, which depend on the arguments alone."""
    rng = random.Random(seed)
    generators = [item for item in _generators if item[1] <= seed]
    # Seeds keep their schedules if generators of later seeds are added.
    generators.sort(key=lambda item: item[1])
    weights = [weight for weight, _, _ in generators]
    planned: list[TimedFault] = []
    at_s = rng.expovariate(1 / MEAN_GAP_S)
    while at_s < seconds:
        _, _, generate = rng.choices(generators, weights)[0]
        fault = generate(rng)
        if not _exceeds_tolerance(planned, fault, at_s):
            planned.append(TimedFault(at_s, fault))
        at_s += rng.expovariate(1 / MEAN_GAP_S)
    return tuple(planned)


def _exceeds_tolerance(planned: list[TimedFault], fault: Fault, at_s: float) -> bool:
    """Whether a fault would lose more data than the fleet is designed to tolerate.

    Two faults that act on one process at the same time are excluded too.
    """
    for earlier in planned:
        since_end_s = at_s - earlier.at_s - earlier.fault.for_s
        same_target = _have_same_target(earlier.fault, fault)
        if same_target and since_end_s < 0 and not isinstance(fault, HarmLink):
            return True
        if _loses_rows(earlier.fault) and _loses_rows(fault):
            if since_end_s < INSTANCE_REPAIR_S:
                return True
        if isinstance(earlier.fault, LoseDisk) and isinstance(fault, LoseDisk):
            if since_end_s < DISK_REPAIR_S:
                return True
    return False


def _have_same_target(first: Fault, second: Fault) -> bool:
    if ALL_DAEMONS in (first.target, second.target):
        return first.target not in INSTANCES and second.target not in INSTANCES
    return first.target == second.target


def _loses_rows(fault: Fault) -> bool:
    return isinstance(fault, Kill) and fault.target in INSTANCES
