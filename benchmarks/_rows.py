"""Rows of the benchmark table, and the registry of benchmarks."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum


class Better(Enum):
    """The side of its bound on which a figure has to lie."""

    LOWER = "at most"
    HIGHER = "at least"


@dataclass(frozen=True, slots=True)
class Row:
    """One measured figure.

    Attributes
    ----------
    target : float
        Value that the requirements state.
    bound : float
        Limit beyond which the benchmark fails; derived from the target, never from
        a measured figure.
    """

    name: str
    figure: float
    unit: str
    target: float
    bound: float
    better: Better = Better.LOWER

    @property
    def is_within_bound(self) -> bool:
        """Whether the figure is within its bound."""
        if self.better is Better.LOWER:
            return self.figure <= self.bound
        return self.figure >= self.bound

    def to_line(self) -> str:
        """Return the row as one line of the table."""
        verdict = "held" if self.is_within_bound else "BROKEN"
        return (
            f"{self.name:52} {self.figure:10.4g} {self.unit:6} "
            f"{self.better.value:8} {self.target:8.4g} {self.bound:8.4g}  {verdict}"
        )


Benchmark = Callable[[], Awaitable[list[Row]]]
BENCHMARKS: dict[str, Benchmark] = {}


def benchmark(name: str) -> Callable[[Benchmark], Benchmark]:
    """Register the decorated coroutine function as a benchmark."""

    def register(function: Benchmark) -> Benchmark:
        BENCHMARKS[name] = function
        return function

    return register
