"""Pure decisions on the pace at which a daemon sends to an endpoint.

Many daemons share an endpoint's few slots, so one daemon's part of them is often less
than one statement. A limit below one is kept as a send rate: limit / latency.
"""

from lovagewalk.core import draw, replace

from ._state import Pace, PaceCause, PaceState

# The fewest slots that an endpoint of any deployment announces.
DEFAULT_SLOTS = 2
# Latency assumed before the first answer: a typical statement takes 3 to 55 ms.
LATENCY_ESTIMATE_S = 0.02
# Longest interval between probes while statements wait: the shortest latency objective
# of a route, so that a statement is sent before it misses its objective by far.
MAX_INTERVAL_S = 0.5
# Longest time over which first statements are spread: half of the shortest latency
# objective, which is the time that a request may spend in a queue.
MAX_START_S = 0.25
# Intervals vary by this fraction, so that daemons that saw the same event drift apart.
JITTER_FRACTION = 0.5
# Factor by which each answer at about the best latency raises the limit, until the
# endpoint refuses a statement. From the equal part in a fleet of 60 daemons, the limit
# reaches one in three answers, within the shortest latency objective.
RISE_FACTOR = 3.0
# The same above the limit to which the last refusal lowered it: a slower rise refuses
# less of what a saturated endpoint is sent, a faster one leaves it idle for less time.
SLOW_RISE_FACTOR = 1.75
FALL_FACTOR = 0.5
# From this limit on, nothing is limited: no endpoint runs more statements at once than
# 6, and the connections of a daemon are limited to about 3.
STEADY_LIMIT = 4.0
# Statements that a daemon sends while its rate rises from the equal part of an
# endpoint in a fleet of 60 daemons to that of a whole slot, and two more.
START_QUEUE = 5
# Weight of the latest answer in the smoothed latency.
SMOOTHING = 0.25
# Part of the difference by which each answer moves the best latency towards the
# current one; after 50 answers the best latency is mostly forgotten.
BEST_DRIFT = 0.02
# Ratio to the best latency up to which the limit rises: two queued statements before
# each slot.
NEAR_RATIO = 3.0
# Ratio to the best latency from which the limit falls. Statement durations vary by a
# factor of about 3 within one workload.
FAR_RATIO = 4.0
# A latency below this endangers no latency objective and never lowers the limit.
MIN_FAR_LATENCY_S = 0.1
# Failed reads in a row that count as a disturbance of the endpoint.
DISTURBING_ERRORS = 3


def create_pace(share: float, seed: int) -> Pace:
    """Return the pace towards an endpoint without a known disturbance."""
    return Pace(share=share, seed=seed)


def compute_share(slots: int, daemons: int) -> float:
    """Return one daemon's equal part of an endpoint's slots, in statements."""
    return (slots or DEFAULT_SLOTS) / max(daemons, 1)


def change_share(pace: Pace, share: float) -> Pace:
    """Return the pace with another equal part; an unknown endpoint starts with it."""
    if share == pace.share:
        return pace
    pace = replace(pace, share=share)
    if pace.state is not PaceState.UNKNOWN:
        return pace
    return replace(pace, limit=_min_limit(pace))


def restart_pace(
    pace: Pace, cause: PaceCause, now: float, cold_left_s: float = 0.0
) -> Pace:
    """Return the pace towards an endpoint whose capacity is unknown.

    The first statement leaves at a random time within one interval.
    """
    pace = replace(
        pace,
        state=PaceState.UNKNOWN,
        limit=_min_limit(pace),
        threshold=STEADY_LIMIT,
        latency_s=0.0,
        best_s=0.0,
        lowered_at=now,
        cold_until=max(pace.cold_until, now + cold_left_s),
        errors=0,
        cause=cause,
    )
    drawn = draw(pace.seed)
    wait_s = drawn.value * min(compute_interval(pace), MAX_START_S)
    return replace(pace, seed=drawn.seed, next_send_at=now + wait_s)


def compute_interval(pace: Pace) -> float:
    """Return the mean time between two sends, in seconds; 0 from a limit of one on."""
    if not pace.is_limited or pace.limit >= 1.0:
        return 0.0
    latency_s = pace.latency_s or LATENCY_ESTIMATE_S
    return min(latency_s / pace.limit, MAX_INTERVAL_S)


def count_sendable(pace: Pace, in_flight: int, now: float) -> int | None:
    """Return how many statements may be sent now; None for no limit.

    Parameters
    ----------
    in_flight : int
        Statements and openings of connections that have not been answered.
    """
    if not pace.is_limited:
        return None
    if pace.limit >= 1.0:
        return max(int(pace.limit) - in_flight, 0)
    return int(not in_flight and now >= pace.next_send_at)


def record_sent(pace: Pace, in_flight: tuple[int, ...], now: float) -> Pace:
    """Record that something was sent; the next send waits.

    Parameters
    ----------
    in_flight : tuple of int
        The connections on which anything sent has not been answered, the new included.
    """
    if not pace.is_limited:
        return pace
    return _delay_next(replace(pace, sent=in_flight), now)


def record_opened(pace: Pace, conn: int, now: float) -> Pace:
    """Record that a connection is open; its first statement belongs to that send."""
    if conn not in pace.sent:
        return pace
    return replace(_remove_sent(pace, conn), next_send_at=now)


def record_answer(
    pace: Pace, conn: int, latency_s: float, sent_at: float, now: float
) -> Pace:
    """Record that a statement has run, and raise or lower the limit by its latency.

    Parameters
    ----------
    latency_s : float
        Time to the answer; 0 if it is not comparable with that of other statements.
    """
    if not pace.is_limited:
        return replace(pace, errors=0) if pace.errors else pace
    pace = replace(_remove_sent(pace, conn), errors=0)
    if sent_at < pace.lowered_at:
        return pace
    if latency_s > 0.0:
        pace = _smooth(pace, latency_s)
    if pace.latency_s <= pace.best_s * NEAR_RATIO:
        return _raise_limit(pace, now)
    if pace.latency_s > max(pace.best_s * FAR_RATIO, MIN_FAR_LATENCY_S):
        limit = max(pace.limit * FALL_FACTOR, _min_limit(pace))
        return _set_limit(pace, limit, PaceCause.LATENCY, now)
    return _set_limit(pace, pace.limit, PaceCause.LATENCY, pace.lowered_at)


def _smooth(pace: Pace, latency_s: float) -> Pace:
    if not pace.latency_s:
        return replace(pace, latency_s=latency_s, best_s=latency_s)
    smoothed_s = pace.latency_s + SMOOTHING * (latency_s - pace.latency_s)
    drifted_s = pace.best_s + BEST_DRIFT * (smoothed_s - pace.best_s)
    return replace(pace, latency_s=smoothed_s, best_s=min(smoothed_s, drifted_s))


def _raise_limit(pace: Pace, now: float) -> Pace:
    factor = RISE_FACTOR if pace.limit < pace.threshold else SLOW_RISE_FACTOR
    limit = min(pace.limit * factor, STEADY_LIMIT)
    if limit >= STEADY_LIMIT and now >= pace.cold_until:
        return replace(
            pace, state=PaceState.STEADY, limit=0.0, sent=(), cause=PaceCause.ANSWERS
        )
    # The time of the next send was chosen for the lower rate.
    remaining_s = max(pace.next_send_at - now, 0.0) / factor
    pace = replace(pace, next_send_at=now + remaining_s)
    return _set_limit(pace, limit, PaceCause.ANSWERS, pace.lowered_at)


def _set_limit(pace: Pace, limit: float, cause: PaceCause, lowered_at: float) -> Pace:
    state = PaceState.RISING if limit >= 1.0 else PaceState.PROBING
    return replace(pace, state=state, limit=limit, cause=cause, lowered_at=lowered_at)


def record_busy(
    pace: Pace, conn: int, in_flight: int, sent_at: float, now: float
) -> Pace:
    """Record that an endpoint refused a statement since its queue is full."""
    return _lower(_remove_sent(pace, conn), in_flight, PaceCause.BUSY, sent_at, now)


def record_time_out(pace: Pace, in_flight: int, sent_at: float, now: float) -> Pace:
    """Record a lost statement of an endpoint that has answered others meanwhile."""
    return _lower(pace, in_flight, PaceCause.TIME_OUT, sent_at, now)


def record_lost(pace: Pace, sent_at: float, now: float) -> Pace:
    """Record that an endpoint is unreachable, or answers nothing any more.

    All daemons usually see it at the same moment, so the pace starts anew. While
    probes are lost, they go on at the pace that the endpoint could serve.
    """
    if pace.is_limited and sent_at < pace.lowered_at:
        return pace
    return restart_pace(pace, PaceCause.LOST, now)


def record_error(pace: Pace, now: float) -> Pace:
    """Record a read that failed; several in a row show a disturbed endpoint."""
    pace = replace(pace, errors=pace.errors + 1)
    is_lowest = pace.is_limited and pace.limit <= _min_limit(pace)
    if is_lowest or pace.errors < DISTURBING_ERRORS:
        return pace
    errors = pace.errors
    return replace(restart_pace(pace, PaceCause.ERRORS, now), errors=errors)


def record_ended(pace: Pace, conn: int) -> Pace:
    """Record that nothing runs on a connection any more, whatever the result was."""
    return _remove_sent(pace, conn)


def _lower(
    pace: Pace, in_flight: int, cause: PaceCause, sent_at: float, now: float
) -> Pace:
    """Halve the limit, once for all that was sent before it was last lowered."""
    if pace.is_limited and sent_at < pace.lowered_at:
        return pace
    current = pace.limit if pace.is_limited else float(max(in_flight, 1))
    limit = max(current * FALL_FACTOR, _min_limit(pace))
    pace = _set_limit(replace(pace, threshold=limit), limit, cause, now)
    return _delay_next(pace, now)


def _delay_next(pace: Pace, now: float) -> Pace:
    """Let the next send wait for an interval with jitter."""
    drawn = draw(pace.seed)
    jitter = 1.0 + JITTER_FRACTION * (2.0 * drawn.value - 1.0)
    wait_s = compute_interval(pace) * jitter
    return replace(pace, seed=drawn.seed, next_send_at=now + wait_s)


def _min_limit(pace: Pace) -> float:
    """Return the equal part, of which all daemons together fill the slots."""
    return min(pace.share, STEADY_LIMIT)


def _remove_sent(pace: Pace, conn: int) -> Pace:
    if conn not in pace.sent:
        return pace
    return replace(pace, sent=tuple(other for other in pace.sent if other != conn))


def estimate_pace_wait(pace: Pace, waiting: int, now: float) -> float:
    """Return how long a new statement would wait for its turn, in seconds.

    Parameters
    ----------
    waiting : int
        Statements that go before it, each at the present interval. Without a
        refusal so far, the rate rises with each answer, and `START_QUEUE` of them
        are not counted.
    """
    interval_s = compute_interval(pace)
    if not interval_s:
        return 0.0
    turn_s = max(pace.next_send_at - now, 0.0)
    if pace.threshold >= STEADY_LIMIT:
        waiting = max(waiting - START_QUEUE, 0)
    return turn_s + waiting * interval_s
