"""Random numbers from a seed in the state, which keeps the reducer pure."""

import random
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Draw:
    """A random number and the seed that follows it.

    Attributes
    ----------
    value : float
        In ``[0, 1)``.
    seed : int
    """

    value: float
    seed: int


def draw(seed: int) -> Draw:
    """Return the random number for `seed` and the next seed."""
    generator = random.Random(seed)
    value = generator.random()
    return Draw(value, generator.getrandbits(63))
