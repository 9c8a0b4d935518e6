"""Backoff towards an endpoint that refuses statements while it is saturated.

Many daemons share the few slots of an endpoint, and none of them sees what the
others send. Each daemon sends less to an endpoint after a refusal, until the
endpoint runs statements again.
"""

from lovagewalk.core import replace

from ._state import Pool

# About half the time that a statement of the users' sites occupies a slot, 8 to 40 ms.
FIRST_PAUSE_S = 0.015
# With this pause, 84 daemons together send 350 statements a second to an endpoint of
# three slots, twice what it serves at 18 ms each.
MAX_BACKOFF_S = 0.24
# About four of the longest pauses; older refusals say nothing about the present load.
REFUSAL_MAX_AGE_S = 1.0
# Fewer consecutive refusals count as a burst and are not logged.
SATURATED_STRIKES = 4


def pause_of(strikes: int) -> float:
    """Return the pause after `strikes` consecutive refusals, in seconds."""
    return min(FIRST_PAUSE_S * 2 ** max(strikes - 1, 0), MAX_BACKOFF_S)


def note_full(pool: Pool, sent_at: float, now: float) -> Pool:
    """Record that an endpoint refused a statement because all its slots are in use.

    Refusals of statements that were sent before the last recorded refusal are not
    counted again.
    """
    if pool.strikes and sent_at < pool.refused_at:
        return pool
    strikes = 1 + (pool.strikes if has_recent_refusal(pool, now) else 0)
    return replace(
        pool,
        strikes=strikes,
        refused_at=now,
        paced_until=now + pause_of(strikes),
        crowded=pool.crowded or strikes >= SATURATED_STRIKES,
    )


def note_served(pool: Pool, now: float) -> Pool:
    """Record that an endpoint ran a statement; the next one may be sent at once."""
    if not pool.strikes:
        return pool
    strikes = pool.strikes - 1 if has_recent_refusal(pool, now) else 0
    crowded = pool.crowded and strikes > 0
    return replace(pool, strikes=strikes, paced_until=0.0, crowded=crowded)


def has_recent_refusal(pool: Pool, now: float) -> bool:
    """Whether an endpoint refused a statement within `REFUSAL_MAX_AGE_S`."""
    return pool.strikes > 0 and now - pool.refused_at < REFUSAL_MAX_AGE_S


def may_send(pool: Pool | None, now: float) -> bool:
    """Whether a statement or a connection request may be sent to an endpoint now."""
    return pool is None or now >= pool.paced_until or not has_recent_refusal(pool, now)


def pace(pool: Pool, now: float) -> Pool:
    """Record a send; an endpoint with recent refusals gets the next after a pause."""
    if not has_recent_refusal(pool, now):
        return pool
    return replace(pool, paced_until=now + pause_of(pool.strikes))
