"""Events about database instances."""

from dataclasses import dataclass

from lovagewalk.core import Event, every

from ._state import InstanceStatus

# Eight polls in the silence that suspects a primary.
POLL_PERIOD_S = 0.05


@every(POLL_PERIOD_S)
@dataclass(frozen=True, slots=True)
class PollTick(Event):
    """Time to poll instances and look at overdue ones."""


@dataclass(frozen=True, slots=True)
class InstanceSeen(Event):
    """An instance answered a poll or a wait.

    Attributes
    ----------
    sent_at : float
        When the question was sent, in monotonic seconds.
    awaited : bool
        Whether this answers `AwaitPosition` rather than `PollInstance`.
    """

    endpoint: str
    status: InstanceStatus
    sent_at: float
    awaited: bool


@dataclass(frozen=True, slots=True)
class InstanceFailed(Event):
    """A poll or a wait got no answer.

    Attributes
    ----------
    broken : bool
        Whether the connection broke, rather than the answer being late.
    alive : bool
        Whether the instance answered, though without its status.
    """

    endpoint: str
    awaited: bool
    broken: bool
    alive: bool = False
