"""Whether a primary is lost, by the word of the daemons that watch it."""

from dataclasses import dataclass

from lovagewalk.catalogue import GroupConfig

from ._messages import SuspectReport
from ._state import FOLLOWER_LOST_S, ControlState


@dataclass(frozen=True, slots=True)
class Suspicions:
    """What the daemons that report hold of the primaries.

    Attributes
    ----------
    observers : int
        Daemons that have reported lately.
    counts : dict of SuspectReport to int
        Daemons that hold this primary, in this term, for failed.
    """

    observers: int
    counts: dict[SuspectReport, int]

    def count(self, config: GroupConfig) -> int:
        """Return how many observers hold a group's primary for failed."""
        return self.counts.get(SuspectReport(config.name, config.term), 0)

    def is_lost(self, config: GroupConfig) -> bool:
        """Whether most observers hold a group's primary for failed.

        One cut-off observer therefore neither promotes nor blocks.
        """
        return self.count(config) > self.observers / 2


def collect_suspicions(control: ControlState, now: float) -> Suspicions:
    """Count suspicions over the daemons that have reported lately."""
    observers = 0
    counts: dict[SuspectReport, int] = {}
    for follower in control.followers.values():
        if now - follower.seen_at >= FOLLOWER_LOST_S:
            continue
        observers += follower.request.observes
        for suspect in follower.request.suspects:
            counts[suspect] = counts.get(suspect, 0) + 1
    return Suspicions(observers, counts)
