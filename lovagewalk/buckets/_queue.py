"""The queue of needs that wait for the tokens of one bucket."""

from dataclasses import dataclass

from lovagewalk.core import replace

# The retry time that a caller is given is bounded, since at a rate of zero no token is
# ever free.
MAX_RETRY_AFTER_S = 5.0
# In a short queue, a need is queued only if its token is expected within this fraction
# of its remaining time. The rest is left for needs of higher priority that come later.
QUEUE_WAIT_FRACTION = 0.5
# Sums of floats have rounding errors.
EPSILON = 1e-9


@dataclass(frozen=True, slots=True)
class QueuedNeed:
    """A daemon's request for a token, in a queue.

    Attributes
    ----------
    deadline : float
        Its deadline, in monotonic seconds.
    missing : float
        Fraction of a token that it still needs.
    priority : int
        Priority of its route; 0 is served first.
    is_accepted : bool
        Whether a short queue has accepted it.
    is_forwarded : bool
        Whether the owner of another part has forwarded it.
    """

    peer: str
    req: int
    deadline: float
    missing: float = 1.0
    priority: int = 0
    is_accepted: bool = False
    is_forwarded: bool = False


@dataclass(frozen=True, slots=True)
class DeniedNeed:
    """A need that will get no token in time.

    Attributes
    ----------
    wait_s : float
        Time until a token would be free, in seconds.
    """

    need: QueuedNeed
    wait_s: float


@dataclass(frozen=True, slots=True)
class AdmittedNeeds:
    """Result of granting free tokens to the head of a queue."""

    queue: tuple[QueuedNeed, ...]
    admitted: tuple[QueuedNeed, ...]
    tokens: float


@dataclass(frozen=True, slots=True)
class DeniedNeeds:
    """Result of denying the needs of a queue whose tokens would come too late."""

    queue: tuple[QueuedNeed, ...]
    denied: tuple[DeniedNeed, ...]


def insert_by_priority(
    queue: tuple[QueuedNeed, ...], need: QueuedNeed
) -> tuple[QueuedNeed, ...]:
    """Insert a need behind those of the same or a higher priority.

    Needs may wait for different times. In order of arrival, the queue of a customer
    above its rate would grow to the longest of these times, and every need with a
    shorter time would be denied. A need that is sent again keeps its place.
    """
    if any((other.peer, other.req) == (need.peer, need.req) for other in queue):
        return queue
    position = sum(other.priority <= need.priority for other in queue)
    return queue[:position] + (need,) + queue[position:]


def admit_needs(queue: tuple[QueuedNeed, ...], tokens: float) -> AdmittedNeeds:
    """Grant free tokens to the needs at the head of a queue, in order."""
    count = 0
    while count < len(queue) and queue[count].missing <= tokens + EPSILON:
        tokens = max(tokens - queue[count].missing, 0.0)
        count += 1
    return AdmittedNeeds(queue[count:], queue[:count], tokens)


def deny_late_needs(
    queue: tuple[QueuedNeed, ...],
    tokens: float,
    rate: float,
    now: float,
    *,
    free_at: float,
    may_be_returned: bool,
    is_short: bool = False,
) -> DeniedNeeds:
    """Deny the needs whose tokens would come after their deadlines.

    A short queue also denies a new need whose token would come after
    `QUEUE_WAIT_FRACTION` of its remaining time. A need that was accepted once is
    displaced only by needs of higher priority, and then has all of its time.

    Parameters
    ----------
    tokens, rate : float
        Free tokens, and tokens gained per second.
    free_at : float
        When the bucket is free again if its rate is zero now, in monotonic seconds.
    may_be_returned : bool
        Whether daemons may return tokens at any moment, so that a need is denied only
        at its deadline.
    is_short : bool
        Whether the queue is short. While its rate is zero, a queue is not: then the
        tokens do not come one by one.
    """
    is_short = is_short and rate > 0 and not may_be_returned
    remaining: tuple[QueuedNeed, ...] = ()
    denied: tuple[DeniedNeed, ...] = ()
    missing = -tokens
    for need in queue:
        missing += need.missing
        wait_s = missing / rate if rate > 0 else free_at - now
        wait_s = min(max(wait_s, 0.0), MAX_RETRY_AFTER_S)
        latest_grant_at = now if may_be_returned else now + wait_s
        time_limit = need.deadline
        if is_short and not need.is_accepted:
            time_limit = now + QUEUE_WAIT_FRACTION * (need.deadline - now)
        if latest_grant_at < time_limit:
            if is_short and not need.is_accepted:
                need = replace(need, is_accepted=True)
            remaining += (need,)
        else:
            denied += (DeniedNeed(need, wait_s),)
            missing -= need.missing
    return DeniedNeeds(remaining, denied)
