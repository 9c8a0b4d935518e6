"""Faults as data, and how a seed draws a series of them."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from lovagewalk.core import Effect

DAEMONS = ("vm1", "vm2", "vm3")
INSTANCES = ("db1", "db2", "db3")
# Between two faults on the mean; those that last overlap others.
MEAN_GAP_S = 1.2
# An instance holds its rows in memory, so a second loss before the voters are whole
# again would lose more than the fleet is meant to bear.
INSTANCE_REPAIR_S = 9.0
# The same for a control VM's disk.
DISK_REPAIR_S = 9.0


class LinkMode(Enum):
    """What a faulty link does to what passes it."""

    DELAY = "delay"
    RESET = "reset"
    CUT_ONE_WAY = "cut one way"
    SILENCE = "silence"


@dataclass(frozen=True, slots=True)
class Fault(Effect):
    """Something that goes wrong from outside a process.

    Attributes
    ----------
    target : str
        A process, or a link as ``FROM>TO``.
    for_s : float
        How long it lasts, in seconds.
    """

    target: str
    for_s: float


@dataclass(frozen=True, slots=True)
class Kill(Fault):
    """End a process without notice; start it again later."""


@dataclass(frozen=True, slots=True)
class Stop(Fault):
    """Ask a process to end; start it again later."""


@dataclass(frozen=True, slots=True)
class Pause(Fault):
    """Suspend a process."""


@dataclass(frozen=True, slots=True)
class LoseDisk(Fault):
    """Kill a daemon and empty its data folder."""


@dataclass(frozen=True, slots=True)
class TearLog(Fault):
    """Kill a daemon and leave rubbish behind the last record of its log."""


@dataclass(frozen=True, slots=True)
class HarmLink(Fault):
    """Let a link between two daemons misbehave."""

    mode: LinkMode


@dataclass(frozen=True, slots=True)
class TimedFault:
    """A fault and when it begins, in seconds from the start."""

    at_s: float
    fault: Fault


Drawing = Callable[[random.Random], Fault]
_drawings: list[tuple[float, Drawing]] = []


def drawn(weight: float) -> Callable[[Drawing], Drawing]:
    """Register the decorated function as a way to draw a fault."""

    def register(drawing: Drawing) -> Drawing:
        _drawings.append((weight, drawing))
        return drawing

    return register


@drawn(3.0)
def _kill_daemon(rng: random.Random) -> Fault:
    return Kill(rng.choice(DAEMONS), rng.uniform(0.1, 3.0))


@drawn(2.0)
def _stop_daemon(rng: random.Random) -> Fault:
    return Stop(rng.choice(DAEMONS), rng.uniform(0.1, 2.0))


@drawn(3.0)
def _pause_daemon(rng: random.Random) -> Fault:
    return Pause(rng.choice(DAEMONS), rng.uniform(0.2, 4.5))


@drawn(1.0)
def _lose_disk(rng: random.Random) -> Fault:
    return LoseDisk(rng.choice(DAEMONS), rng.uniform(0.1, 2.0))


@drawn(1.0)
def _tear_log(rng: random.Random) -> Fault:
    return TearLog(rng.choice(DAEMONS), rng.uniform(0.1, 2.0))


@drawn(1.5)
def _kill_instance(rng: random.Random) -> Fault:
    return Kill(rng.choice(INSTANCES), rng.uniform(0.5, 3.0))


@drawn(1.5)
def _pause_instance(rng: random.Random) -> Fault:
    return Pause(rng.choice(INSTANCES), rng.uniform(0.2, 3.0))


@drawn(4.0)
def _harm_link(rng: random.Random) -> Fault:
    source, target = rng.sample(DAEMONS, 2)
    mode = rng.choice(list(LinkMode))
    return HarmLink(f"{source}>{target}", rng.uniform(0.2, 5.0), mode)


def plan_faults(seed: int, seconds: float) -> tuple[TimedFault, ...]:
    """Return the faults of a run; the same seed gives the same ones."""
    rng = random.Random(seed)
    weights = [weight for weight, _ in _drawings]
    found: list[TimedFault] = []
    at_s = rng.expovariate(1 / MEAN_GAP_S)
    while at_s < seconds:
        _, drawing = rng.choices(_drawings, weights)[0]
        fault = drawing(rng)
        if not _asks_too_much(found, fault, at_s):
            found.append(TimedFault(at_s, fault))
        at_s += rng.expovariate(1 / MEAN_GAP_S)
    return tuple(found)


def _asks_too_much(found: list[TimedFault], fault: Fault, at_s: float) -> bool:
    """Whether a fault would lose more data than may be lost at once."""
    for earlier in found:
        since_s = at_s - earlier.at_s - earlier.fault.for_s
        same = earlier.fault.target == fault.target
        if same and since_s < 0 and not isinstance(fault, HarmLink):
            return True
        if _loses_rows(earlier.fault) and _loses_rows(fault):
            if since_s < INSTANCE_REPAIR_S:
                return True
        if isinstance(earlier.fault, LoseDisk) and isinstance(fault, LoseDisk):
            if since_s < DISK_REPAIR_S:
                return True
    return False


def _loses_rows(fault: Fault) -> bool:
    return isinstance(fault, Kill) and fault.target in INSTANCES
