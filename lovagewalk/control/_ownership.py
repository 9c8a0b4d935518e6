"""Which daemon holds an undivided bucket, by the leader's ledger."""

from lovagewalk.core import replace

from ._messages import FollowRequest
from ._state import ControlState, Ledger, Ownership

# The key of what daemons may hold that have not reported yet to a new leader.
UNREPORTED_KEY = ""


def holding_key(peer: str, request: FollowRequest) -> str:
    """Return the key of a daemon's run in `Ledger.holdings`."""
    return f"{peer}/{request.boot}"


def find_owner(control: ControlState, ledger: Ledger, now: float) -> str:
    """Return the daemon that holds a customer's undivided bucket; empty if none does.

    A bucket that a former leader has lent stays where it is.
    """
    ownership = control.owners.get(ledger.customer)
    if ownership is not None:
        return ownership.owner if _holds(control, ledger, ownership.owner, now) else ""
    for key in ledger.holdings:
        name = key.partition("/")[0]
        if key != UNREPORTED_KEY and _holds(control, ledger, name, now):
            return name
    return ""


def adopt_owner(control: ControlState, ledger: Ledger, now: float) -> ControlState:
    """Record the owner that a former leader has lent a bucket to, if there is one."""
    if ledger.customer in control.owners:
        return control
    owner = find_owner(control, ledger, now)
    if not owner:
        return control
    ownership = Ownership(owner, now)
    return replace(control, owners=control.owners.set(ledger.customer, ownership))


def _holds(control: ControlState, ledger: Ledger, name: str, now: float) -> bool:
    follower = control.followers.get(name)
    if follower is None or not follower.request.may_own:
        return False
    holding = ledger.holdings.get(holding_key(name, follower.request))
    return holding is not None and holding.burst > 0 and now < holding.expires_at
