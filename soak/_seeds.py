"""Seeds that failed in the past, with the causes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Regression:
    """A run that violated a guarantee until its cause was fixed.

    Attributes
    ----------
    cause : str
        The faults in the software that made the run fail.
    """

    seed: int
    seconds: float
    cause: str


REGRESSIONS = (
    Regression(
        5, 25.0, "a reducer raised an error for a report on an unknown customer"
    ),
    Regression(
        6,
        25.0,
        "a suspended daemon read from a replaced primary for a session of a newer "
        "term; the token bucket of a new leader filled for shares that had not been "
        "reported to it; a lost transaction stayed open on a pooled connection",
    ),
    Regression(
        6,
        12.0,
        "an instance that was demoted during an open transaction could not apply its "
        "log, and was promoted with a position whose rows it lacked",
    ),
    Regression(
        7, 25.0, "a single write ran inside a lost transaction and was acknowledged"
    ),
    Regression(
        20,
        20.0,
        "a daemon that had just started returned an empty catalogue as current",
    ),
    Regression(
        116,
        20.0,
        "two overlapping faults started a process twice on one data folder; fleets "
        "that ran at the same time used the same port",
    ),
    Regression(
        204,
        20.0,
        "a second instance lost its rows before the voters of the group were "
        "restored, since control had no leader in between",
    ),
    Regression(
        206,
        20.0,
        "a second control VM lost its disk before the first one regained its vote",
    ),
    Regression(
        1942,
        15.0,
        "a drain took its whole limit of 10 s, since no control leader took over the "
        "access counts, and the soak waited no longer than that",
    ),
    Regression(
        8, 25.0, "a single write ran inside a lost transaction and was acknowledged"
    ),
)
