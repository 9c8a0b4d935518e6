"""State of the pace at which one daemon sends to one endpoint."""

from dataclasses import dataclass
from enum import Enum


class PaceState(Enum):
    """What the answers of an endpoint show about its capacity."""

    UNKNOWN = "unknown"
    PROBING = "probing"
    RISING = "rising"
    STEADY = "steady"


class PaceCause(Enum):
    """Why a pace rose or fell."""

    NONE = ""
    JOINED = "joined"
    RESTARTED = "restarted"
    RETURNED = "returned"
    PROMOTED = "promoted"
    BUSY = "busy"
    TIME_OUT = "time-out"
    LOST = "lost"
    ERRORS = "errors"
    LATENCY = "latency"
    ANSWERS = "answers"


@dataclass(frozen=True, slots=True)
class Pace:
    """The pace at which this daemon sends to one endpoint.

    Attributes
    ----------
    share : float
        This daemon's equal part of the endpoint's slots, in statements.
    limit : float
        Statements in flight; below one, the mean number that a send rate results in.
    threshold : float
        Up to this limit it rises fast; the limit after the last refusal.
    seed : int
        Seed of the jitter.
    sent : tuple of int
        Connections on which something was sent and not answered; those that are no
        longer in use are ignored.
    next_send_at : float
        With a limit below one, nothing is sent before this time, in monotonic seconds.
    latency_s : float
        Smoothed time from sending to the answer; 0 before the first answer.
    best_s : float
        Lowest recent value of `latency_s`; 0 before the first answer.
    lowered_at : float
        When the limit was last lowered.
    cold_until : float
        The endpoint has announced to be slow until then.
    errors : int
        Failed reads since the last answer.
    cause : PaceCause
        Why the state or the limit last changed.
    """

    state: PaceState = PaceState.STEADY
    share: float = 1.0
    limit: float = 0.0
    threshold: float = 0.0
    seed: int = 0
    sent: tuple[int, ...] = ()
    next_send_at: float = 0.0
    latency_s: float = 0.0
    best_s: float = 0.0
    lowered_at: float = 0.0
    cold_until: float = 0.0
    errors: int = 0
    cause: PaceCause = PaceCause.NONE

    @property
    def is_limited(self) -> bool:
        """Whether the endpoint is not in the steady state."""
        return self.state is not PaceState.STEADY
