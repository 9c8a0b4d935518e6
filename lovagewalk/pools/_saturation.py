"""Backoff towards an endpoint that refuses statements while it is saturated.

Many daemons share the few slots of an endpoint, and none of them sees what the
others send. Each daemon sends less to an endpoint after a refusal, until the
endpoint runs statements again. Where the pool has a pace, it decides instead of the
backoff, and the refusals are only counted.
"""

from collections.abc import Callable

from lovagewalk import pace as pacing
from lovagewalk.core import replace
from lovagewalk.pace import Pace

from ._state import Pool

# About half the time that a statement of the users' sites occupies a slot, 8 to 40 ms.
FIRST_BACKOFF_S = 0.015
# With this backoff, 84 daemons together send 350 statements a second to an endpoint of
# three slots, twice what it serves at 18 ms each.
MAX_BACKOFF_S = 0.24
# About four times `MAX_BACKOFF_S`; older refusals say nothing about the present load.
REFUSAL_MAX_AGE_S = 1.0
# Fewer consecutive refusals count as a burst and are not logged.
SATURATION_REFUSALS = 4


def compute_backoff(refusals: int) -> float:
    """Return the backoff after `refusals` consecutive refusals, in seconds."""
    return min(FIRST_BACKOFF_S * 2 ** max(refusals - 1, 0), MAX_BACKOFF_S)


def record_refusal(pool: Pool, sent_at: float, now: float, conn: int = 0) -> Pool:
    """Record that an endpoint refused a statement because all its slots are in use.

    The refusal of a statement that was sent before the last recorded refusal says
    nothing new and is not counted.
    """
    in_use = pool.size - len(pool.idle)
    pool = change_pace(
        pool, lambda pace: pacing.record_busy(pace, conn, in_use, sent_at, now)
    )
    if pool.refusals and sent_at < pool.refused_at:
        return pool
    refusals = 1 + (pool.refusals if has_recent_refusal(pool, now) else 0)
    backoff_s = 0.0 if pool.pace is not None else compute_backoff(refusals)
    return replace(
        pool,
        refusals=refusals,
        refused_at=now,
        backoff_until=now + backoff_s,
        saturated=pool.saturated or refusals >= SATURATION_REFUSALS,
    )


def record_served(
    pool: Pool,
    now: float,
    conn: int = 0,
    latency_s: float = 0.0,
    sent_at: float = 0.0,
) -> Pool:
    """Record that an endpoint ran a statement; the next one may be sent at once.

    Parameters
    ----------
    latency_s : float
        Time from sending to the answer; 0 if it is not to be compared with others.
    """
    pool = change_pace(
        pool, lambda pace: pacing.record_answer(pace, conn, latency_s, sent_at, now)
    )
    if not pool.refusals:
        return pool
    refusals = pool.refusals - 1 if has_recent_refusal(pool, now) else 0
    saturated = pool.saturated and refusals > 0
    return replace(pool, refusals=refusals, backoff_until=0.0, saturated=saturated)


def record_loss(pool: Pool, sent_at: float, now: float) -> Pool:
    """Record that a statement was lost or exceeded its time limit.

    An endpoint that has answered others since the statement was sent is not lost.
    """
    if pool.answered_at > sent_at:
        in_use = pool.size - len(pool.idle)
        return change_pace(
            pool, lambda pace: pacing.record_time_out(pace, in_use, sent_at, now)
        )
    return change_pace(pool, lambda pace: pacing.record_lost(pace, sent_at, now))


def record_read_error(pool: Pool, conn: int, now: float) -> Pool:
    """Record that a read failed at an endpoint that still answers."""
    return change_pace(
        pool,
        lambda pace: pacing.record_error(pacing.record_ended(pace, conn), now),
    )


def record_ended(pool: Pool, conn: int) -> Pool:
    """Record that nothing runs on a connection any more, whatever the result was."""
    return change_pace(pool, lambda pace: pacing.record_ended(pace, conn))


def record_connected(pool: Pool, conn: int, now: float) -> Pool:
    """Record that a connection that was opened at the pace is open."""
    return change_pace(pool, lambda pace: pacing.record_opened(pace, conn, now))


def change_pace(pool: Pool, change: Callable[[Pace], Pace]) -> Pool:
    """Return the pool with its pace changed, if it has one."""
    if pool.pace is None:
        return pool
    pace = change(pool.pace)
    return pool if pace is pool.pace else replace(pool, pace=pace)


def has_recent_refusal(pool: Pool, now: float) -> bool:
    """Whether an endpoint refused a statement within `REFUSAL_MAX_AGE_S`."""
    return pool.refusals > 0 and now - pool.refused_at < REFUSAL_MAX_AGE_S


def may_send(pool: Pool | None, now: float) -> bool:
    """Whether a statement or a connection request may be sent to an endpoint now."""
    if pool is None:
        return True
    if pool.pace is not None:
        sendable = count_sendable(pool, now)
        return sendable is None or sendable > 0
    return now >= pool.backoff_until or not has_recent_refusal(pool, now)


def count_sendable(pool: Pool, now: float) -> int | None:
    """Return how many things the pace lets this daemon send now; None for no limit."""
    if pool.pace is None or not pool.pace.is_limited:
        return None
    in_flight = sum(1 for conn in pool.pace.sent if _is_pending(pool, conn))
    return pacing.count_sendable(pool.pace, in_flight, now)


def _is_pending(pool: Pool, conn: int) -> bool:
    """Whether a connection is being opened or in use."""
    connection = pool.connections.get(conn)
    return conn in pool.opening_for if connection is None else connection.in_use


def estimate_turn(pool: Pool, now: float) -> float:
    """Return how long the pace or the backoff would delay a new request, in seconds."""
    if pool.pace is not None:
        return pacing.estimate_pace_wait(pool.pace, pool.waiting, now)
    if not has_recent_refusal(pool, now):
        return 0.0
    return (pool.waiting + 1) * compute_backoff(pool.refusals)


def estimate_queued_turn(pool: Pool, customer: str, req: int, now: float) -> float:
    """Return how long the pace delays a waiting request at least, in seconds."""
    if pool.pace is None or not pacing.compute_interval(pool.pace):
        return 0.0
    queue = pool.queues.get(customer)
    if queue is None or req not in queue.reqs:
        return 0.0
    return pacing.estimate_pace_wait(pool.pace, queue.reqs.index(req), now)


def record_send(pool: Pool, now: float, conns: tuple[int, ...] = ()) -> Pool:
    """Record a send; after recent refusals, the next one waits for the backoff."""
    if pool.pace is not None:
        return _record_paced_send(pool, conns, now)
    if not has_recent_refusal(pool, now):
        return pool
    return replace(pool, backoff_until=now + compute_backoff(pool.refusals))


def _record_paced_send(pool: Pool, conns: tuple[int, ...], now: float) -> Pool:
    if not pool.pace.is_limited:
        return pool
    pending = tuple(
        conn for conn in pool.pace.sent if conn not in conns and _is_pending(pool, conn)
    )
    return replace(pool, pace=pacing.record_sent(pool.pace, pending + conns, now))
