"""Seeds that once failed, and why."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Regression:
    """A run that broke a promise before its cause was mended.

    Attributes
    ----------
    cause : str
        What was wrong.
    """

    seed: int
    seconds: float
    cause: str


REGRESSIONS = (
    Regression(5, 25.0, "a reducer failed for a report on an unknown customer"),
    Regression(
        6,
        25.0,
        "a suspended daemon read from a replaced primary for a session of a newer "
        "term; a new leader's bucket filled for shares it had not heard of; a lost "
        "transaction stayed open on a pooled connection",
    ),
    Regression(
        6,
        12.0,
        "an instance demoted under an open transaction could not apply its log, and "
        "was promoted with the position",
    ),
    Regression(
        7, 25.0, "a single write ran inside a lost transaction and was acknowledged"
    ),
    Regression(
        20, 20.0, "a daemon that had just started showed an empty catalogue as its own"
    ),
    Regression(
        116,
        20.0,
        "two overlapping faults started a process twice, on one data folder; fleets "
        "beside each other met on one port",
    ),
    Regression(
        204,
        20.0,
        "a second instance lost its rows before the voters were whole again, since no "
        "control VM led in between",
    ),
    Regression(
        206,
        20.0,
        "a second control VM lost its disk before the first one had its vote back",
    ),
    Regression(
        8, 25.0, "a single write ran inside a lost transaction and was acknowledged"
    ),
)
