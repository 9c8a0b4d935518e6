"""Backoff towards an endpoint that refuses statements while it is saturated.

Many daemons share the few slots of an endpoint, and none of them sees what the
others send. Each daemon sends less to an endpoint after a refusal, until the
endpoint runs statements again.
"""

from lovagewalk.core import replace

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


def record_refusal(pool: Pool, sent_at: float, now: float) -> Pool:
    """Record that an endpoint refused a statement because all its slots are in use.

    The refusal of a statement that was sent before the last recorded refusal says
    nothing new and is not counted.
    """
    if pool.refusals and sent_at < pool.refused_at:
        return pool
    refusals = 1 + (pool.refusals if has_recent_refusal(pool, now) else 0)
    return replace(
        pool,
        refusals=refusals,
        refused_at=now,
        backoff_until=now + compute_backoff(refusals),
        saturated=pool.saturated or refusals >= SATURATION_REFUSALS,
    )


def record_served(pool: Pool, now: float) -> Pool:
    """Record that an endpoint ran a statement; the next one may be sent at once."""
    if not pool.refusals:
        return pool
    refusals = pool.refusals - 1 if has_recent_refusal(pool, now) else 0
    saturated = pool.saturated and refusals > 0
    return replace(pool, refusals=refusals, backoff_until=0.0, saturated=saturated)


def has_recent_refusal(pool: Pool, now: float) -> bool:
    """Whether an endpoint refused a statement within `REFUSAL_MAX_AGE_S`."""
    return pool.refusals > 0 and now - pool.refused_at < REFUSAL_MAX_AGE_S


def may_send(pool: Pool | None, now: float) -> bool:
    """Whether a statement or a connection request may be sent to an endpoint now."""
    return (
        pool is None or now >= pool.backoff_until or not has_recent_refusal(pool, now)
    )


def record_send(pool: Pool, now: float) -> Pool:
    """Record a send; after recent refusals, the next one waits for the backoff."""
    if not has_recent_refusal(pool, now):
        return pool
    return replace(pool, backoff_until=now + compute_backoff(pool.refusals))
