"""Events about database instances."""

from dataclasses import dataclass

from lovagewalk.core import Event, every

from ._state import InstanceStatus

# Eight polls fit into `SUSPECT_AFTER_S`, after which a primary that does not answer is
# suspect.
POLL_PERIOD_S = 0.05


@every(POLL_PERIOD_S)
@dataclass(frozen=True, slots=True)
class PollTick(Event):
    """Periodic event that polls the instances of fenced groups."""


@dataclass(frozen=True, slots=True)
class InstanceSeen(Event):
    """An instance answered a poll or a wait.

    Attributes
    ----------
    sent_at : float
        When the poll or the wait was sent, in monotonic seconds.
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
        Whether the connection broke; otherwise the answer was late.
    alive : bool
        Whether the instance answered, but without its status.
    """

    endpoint: str
    awaited: bool
    broken: bool
    alive: bool = False
