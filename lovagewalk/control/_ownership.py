"""Which daemons hold an undivided bucket, by the leader's ledger."""

from lovagewalk.core import replace

from ._messages import FollowRequest
from ._state import ControlState, Ledger, Ownership

# Sums of floats have rounding errors.
EPSILON = 1e-9
# The key of what daemons may hold that have not reported yet to a new leader.
UNREPORTED_KEY = ""


def holding_key(peer: str, request: FollowRequest) -> str:
    """Return the key of a daemon's run in `Ledger.holdings`."""
    return f"{peer}/{request.boot}"


def find_owners(
    control: ControlState, ledger: Ledger, now: float, *, by_region: bool
) -> tuple[Ownership, ...]:
    """Return the daemons that hold a customer's undivided bucket, largest part first.

    These are one at most, or one in each region. A bucket that a former leader has lent
    stays where it is.
    """
    owners = recorded_owners(control, ledger, now)
    if not owners or by_region:
        regions = {ownership.region for ownership in owners}
        for ownership in _unrecorded_owners(control, ledger, now):
            if ownership.region not in regions:
                regions.add(ownership.region)
                owners += (ownership,)
    if not by_region:
        owners = owners[:1]
    return tuple(o for o in owners if burst_held_by(control, ledger, o.owner, now) > 0)


def recorded_owners(
    control: ControlState, ledger: Ledger, now: float
) -> tuple[Ownership, ...]:
    """Return the owners that were chosen or adopted, largest part first."""
    owners = control.owners.get(ledger.customer, ())
    if len(owners) < 2:
        return owners
    return tuple(
        sorted(owners, key=lambda o: -burst_held_by(control, ledger, o.owner, now))
    )


def _unrecorded_owners(
    control: ControlState, ledger: Ledger, now: float
) -> tuple[Ownership, ...]:
    """Return the daemons to which a former leader has lent a bucket or a part of it.

    The holdings, of which there may be one for each daemon, are searched only if the
    recorded owners do not hold all that is held.
    """
    recorded = control.owners.get(ledger.customer, ())
    known_burst = sum(
        burst_held_by(control, ledger, ownership.owner, now) for ownership in recorded
    )
    if ledger.held_burst - known_burst <= EPSILON:
        return ()
    names = dict.fromkeys(key.partition("/")[0] for key in ledger.holdings)
    return tuple(
        Ownership(name, now, control.followers[name].request.region)
        for name in names
        if burst_held_by(control, ledger, name, now) > 0
    )


def adopt_owners(
    control: ControlState, ledger: Ledger, now: float, *, by_region: bool
) -> ControlState:
    """Record the owners that a former leader has lent a bucket to, if there are any."""
    recorded = control.owners.get(ledger.customer, ())
    if recorded and not by_region:
        return control
    known = {ownership.owner for ownership in recorded}
    adopted = tuple(
        ownership
        for ownership in find_owners(control, ledger, now, by_region=by_region)
        if ownership.owner not in known
    )
    if not adopted:
        return control
    owners = control.owners.set(ledger.customer, recorded + adopted)
    return replace(control, owners=owners)


def is_lent_to(control: ControlState, customer: str, peer: str) -> bool:
    """Whether a customer's bucket, or a part, is lent or offered to a daemon."""
    return any(o.owner == peer for o in control.owners.get(customer, ()))


def burst_held_by(
    control: ControlState, ledger: Ledger, name: str, now: float
) -> float:
    """Return the burst that a daemon holds, if it may own buckets."""
    follower = control.followers.get(name)
    if follower is None or not follower.request.may_own:
        return 0.0
    holding = ledger.holdings.get(holding_key(name, follower.request))
    return holding.burst if holding is not None and now < holding.expires_at else 0.0
