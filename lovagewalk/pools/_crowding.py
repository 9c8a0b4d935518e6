"""How hard a daemon presses on an endpoint that says that it is full.

Many daemons share its few slots, and none of them sees what the others send. An
endpoint that refuses a statement is sent less by each, until it serves again.
"""

from lovagewalk.core import replace

from ._state import Pool

# A statement of the users' sites holds a slot for 8 to 40 ms; a full endpoint is asked
# again after about half of that.
FIRST_PAUSE_S = 0.015
# At it, 84 daemons send an endpoint of three slots 350 statements a second, twice
# what it serves at 18 ms each.
MAX_PAUSE_S = 0.24
# Four of the longest pauses: what was refused longer ago tells nothing about now.
STRIKES_FOR_S = 1.0
# Refusals in a row that are more than a burst, and worth a line in the log.
CROWDED_STRIKES = 4


def pause_of(strikes: int) -> float:
    """Return how long to wait after so many refusals in a row, in seconds."""
    return min(FIRST_PAUSE_S * 2 ** max(strikes - 1, 0), MAX_PAUSE_S)


def note_full(pool: Pool, sent_at: float, now: float) -> Pool:
    """Note that an endpoint refused a statement, since all its slots are taken.

    Answers to statements that left before the last such word tell nothing new.
    """
    if pool.strikes and sent_at < pool.struck_at:
        return pool
    strikes = 1 + (pool.strikes if is_full(pool, now) else 0)
    return replace(
        pool,
        strikes=strikes,
        struck_at=now,
        paced_until=now + pause_of(strikes),
        crowded=pool.crowded or strikes >= CROWDED_STRIKES,
    )


def note_served(pool: Pool, now: float) -> Pool:
    """Note that an endpoint ran a statement; the next one may leave at once."""
    if not pool.strikes:
        return pool
    strikes = pool.strikes - 1 if is_full(pool, now) else 0
    crowded = pool.crowded and strikes > 0
    return replace(pool, strikes=strikes, paced_until=0.0, crowded=crowded)


def is_full(pool: Pool, now: float) -> bool:
    """Whether an endpoint has said lately that all its slots are taken."""
    return pool.strikes > 0 and now - pool.struck_at < STRIKES_FOR_S


def may_send(pool: Pool | None, now: float) -> bool:
    """Whether something that takes a slot may be sent to an endpoint now."""
    return pool is None or now >= pool.paced_until or not is_full(pool, now)


def pace(pool: Pool, now: float) -> Pool:
    """Note that something is sent; a crowded endpoint gets the next after a pause."""
    if not is_full(pool, now):
        return pool
    return replace(pool, paced_until=now + pause_of(pool.strikes))
