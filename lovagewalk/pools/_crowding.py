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


def pause_of(strikes: int) -> float:
    """Return how long to wait after so many refusals in a row, in seconds."""
    return min(FIRST_PAUSE_S * 2 ** max(strikes - 1, 0), MAX_PAUSE_S)


def note_full(pool: Pool, sent_at: float, now: float) -> Pool:
    """Note that an endpoint refused a statement, since all its slots are taken.

    Answers to statements that left before the last such word tell nothing new.
    """
    if pool.strikes and sent_at < pool.struck_at:
        return pool
    strikes = pool.strikes + 1
    return replace(
        pool,
        strikes=strikes,
        struck_at=now,
        paced_until=now + pause_of(strikes),
    )


def note_served(pool: Pool) -> Pool:
    """Note that an endpoint ran a statement; the next one may leave at once."""
    if not pool.strikes:
        return pool
    return replace(pool, strikes=pool.strikes - 1, paced_until=0.0)


def may_send(pool: Pool | None, now: float) -> bool:
    """Whether something that takes a slot may be sent to an endpoint now."""
    return pool is None or not pool.strikes or now >= pool.paced_until


def pace(pool: Pool, now: float) -> Pool:
    """Note that something is sent; a crowded endpoint gets the next after a pause."""
    if not pool.strikes:
        return pool
    return replace(pool, paced_until=now + pause_of(pool.strikes))
