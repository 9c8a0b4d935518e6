"""Pure token bucket arithmetic of a share.

Every operation keeps the sum over the fleet at or below the catalogue's limits: a
daemon may shrink its share at any time, and a share grows only by a grant of rate,
burst and tokens that were freed before.
"""

from dataclasses import dataclass

from immutables import Map

from lovagewalk.core import replace

from ._state import Share

# Tolerance for rounding errors in sums of floats.
TOKEN_EPSILON = 1e-9
# Weight of the latest interval in the moving average, which spans about three reports.
DEMAND_SMOOTHING = 0.3


@dataclass(frozen=True, slots=True)
class TakeResult:
    """A share after an attempt to take a token."""

    share: Share
    admitted: bool


def level_at(share: Share, now: float) -> float:
    """Return the number of tokens of a share at a time, limited to its burst."""
    end = min(now, share.lease_until)
    gained = max(end - share.updated_at, 0.0) * share.rate
    return min(share.burst, share.level + gained)


def refill(share: Share, now: float) -> Share:
    """Add the tokens gained since the last update."""
    return replace(share, level=level_at(share, now), updated_at=now)


def take_token(share: Share, now: float, arrivals: int = 0) -> TakeResult:
    """Take one token if the share holds one and its lease is in force.

    Parameters
    ----------
    arrivals : int
        Arrivals to count at the same time.
    """
    level = level_at(share, now)
    admitted = now < share.lease_until and level >= 1 - TOKEN_EPSILON
    if admitted:
        level = max(level - 1, 0.0)
    updated = replace(
        share, level=level, updated_at=now, arrivals=share.arrivals + arrivals
    )
    return TakeResult(updated, admitted)


def return_tokens(share: Share, tokens: float, now: float) -> Share:
    """Return tokens that were reserved for a request, up to the burst."""
    share = refill(share, now)
    return replace(share, level=min(share.level + tokens, share.burst))


def remove_tokens(share: Share, now: float) -> Share:
    """Remove all tokens, to be reserved as part of the token that a request needs.

    Less than one token admits no request by itself.
    """
    share = expire(share, now)
    return replace(refill(share, now), level=0.0)


def shrink(share: Share, rate: float, burst: float, now: float) -> Share:
    """Lower rate and burst; tokens beyond the new burst are added to `returned`."""
    share = refill(share, now)
    rate = min(rate, share.rate)
    burst = min(burst, share.burst)
    level = min(share.level, burst)
    return replace(
        share,
        rate=rate,
        burst=burst,
        level=level,
        returned=share.returned + share.level - level,
    )


def grow(share: Share, rate: float, burst: float, tokens: float, now: float) -> Share:
    """Add the rate, burst and tokens of a grant."""
    share = refill(share, now)
    burst = share.burst + burst
    return replace(
        share,
        rate=share.rate + rate,
        burst=burst,
        level=min(share.level + tokens, burst),
    )


def expire(share: Share, now: float) -> Share:
    """Empty a share whose lease has expired; its tokens count as spent."""
    if now < share.lease_until:
        return share
    return replace(share, rate=0.0, burst=0.0, level=0.0, updated_at=now, returned=0.0)


def smooth_demand(share: Share, elapsed_s: float) -> Share:
    """Add the arrivals of the last interval to the smoothed demand."""
    latest = share.arrivals / elapsed_s
    demand = share.demand + DEMAND_SMOOTHING * (latest - share.demand)
    return replace(share, demand=demand, arrivals=0)


def forget_requested(shares: Map) -> Map:
    """Return the shares so that tokens are requested anew from the control leader.

    Requests at owners stay as they are.
    """
    for customer, share in shares.items():
        if share.last_asked_req and not share.owner:
            shares = shares.set(customer, replace(share, last_asked_req=0))
    return shares


def keep_queued(share: Share, owner: str) -> Share:
    """Leave the needs that were sent to an owner in its queue."""
    queued = frozenset(req for req in share.waiting if req <= share.last_asked_req)
    return replace(
        share,
        former_owner=owner,
        queued_there=queued | share.queued_there.intersection(share.waiting),
    )


def turn_to_other_owner(share: Share) -> Share:
    """Request all tokens anew from the other owner, or the control leader."""
    return replace(
        share,
        owner=share.other_owner,
        other_owner="",
        last_asked_req=0,
        asked_at=0.0,
    )


def leave_owner(shares: Map, owner: str) -> Map:
    """Return the shares so that another source is asked instead of an owner.

    That is the owner of another part if one is known, and the control leader otherwise.
    Needs that it still queued are requested anew.
    """
    for customer, share in shares.items():
        if share.former_owner and share.former_owner == owner:
            share = replace(
                share, former_owner="", queued_there=frozenset(), last_asked_req=0
            )
            shares = shares.set(customer, share)
        if share.owner and share.owner == owner:
            share = turn_to_other_owner(share)
            shares = shares.set(customer, share)
    return shares
