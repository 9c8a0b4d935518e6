"""Detection of lost primaries from the reports of the daemons that use them."""

from dataclasses import dataclass

from lovagewalk.catalogue import GroupConfig

from ._messages import SuspectReport
from ._state import FOLLOWER_LOST_S, ControlState


@dataclass(frozen=True, slots=True)
class Suspicions:
    """Suspected primaries in the latest reports of the daemons.

    Attributes
    ----------
    observers : int
        Daemons that use primaries and have reported within `FOLLOWER_LOST_S`.
    counts : dict of SuspectReport to int
        Number of daemons that suspect the primary of this group and term.
    """

    observers: int
    counts: dict[SuspectReport, int]

    def count(self, config: GroupConfig) -> int:
        """Return how many observers suspect a group's primary."""
        return self.counts.get(SuspectReport(config.name, config.term), 0)

    def is_lost(self, config: GroupConfig) -> bool:
        """Whether most observers suspect a group's primary.

        A single isolated observer can therefore neither cause nor block a promotion.
        """
        return self.count(config) > self.observers / 2


def collect_suspicions(control: ControlState, now: float) -> Suspicions:
    """Count suspicions over the daemons that have reported recently."""
    observers = 0
    counts: dict[SuspectReport, int] = {}
    for follower in control.followers.values():
        if now - follower.seen_at >= FOLLOWER_LOST_S:
            continue
        observers += follower.request.observes
        for suspect in follower.request.suspects:
            counts[suspect] = counts.get(suspect, 0) + 1
    return Suspicions(observers, counts)
