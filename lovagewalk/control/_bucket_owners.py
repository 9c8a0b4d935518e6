"""The leader's choice of the entry daemons that own undivided buckets."""

from dataclasses import dataclass

from lovagewalk.buckets import BucketOffer, choose_owner
from lovagewalk.consensus import SendToPeer
from lovagewalk.core import Effect, replace
from lovagewalk.node import NodeState
from lovagewalk.records import BucketOffered

from ._ownership import UNREPORTED_KEY
from ._state import (
    FOLLOWER_LOST_S,
    ControlState,
    Ledger,
    Ownership,
)

# An offer is answered by a report, and the report by a log entry and a grant.
OFFER_PERIOD_S = 1.0


@dataclass(frozen=True, slots=True)
class OfferResult:
    """The control state after a bucket was offered, and the offer."""

    control: ControlState
    effects: tuple[Effect, ...] = ()


def offer_bucket(
    state: NodeState, control: ControlState, ledger: Ledger, now: float
) -> OfferResult:
    """Offer an undivided bucket to a daemon in the region with the most demand.

    A bucket of which something is lent to another daemon waits for the end of that
    lease at its new owner, who then gets it with the next report.
    """
    ownership = control.owners.get(ledger.customer)
    if ownership is not None and now - ownership.offered_at < OFFER_PERIOD_S:
        return OfferResult(control)
    if UNREPORTED_KEY in ledger.holdings:
        return OfferResult(control)
    candidates = _find_candidates(control, ledger, now)
    owner = choose_owner(ledger.customer, candidates)
    if not owner:
        return OfferResult(control)
    owners = control.owners.set(ledger.customer, Ownership(owner, now))
    record = BucketOffered(
        customer=ledger.customer,
        target=owner,
        before=ownership.owner if ownership else "",
        candidates=len(candidates),
    )
    offer = SendToPeer(owner, BucketOffer(ledger.customer))
    return OfferResult(replace(control, owners=owners), (offer, record))


def _find_candidates(
    control: ControlState, ledger: Ledger, now: float
) -> tuple[str, ...]:
    """Return the daemons that may own a bucket, in the region with the most demand."""
    demands: dict[str, float] = {}
    candidates: dict[str, tuple[str, ...]] = {}
    for follower in control.followers.values():
        request = follower.request
        if not request.entry or now - follower.seen_at >= FOLLOWER_LOST_S:
            continue
        region = request.region
        demand = ledger.demands.get(follower.name, 0.0)
        demands[region] = demands.get(region, 0.0) + demand
        if request.may_own and not request.draining:
            candidates[region] = candidates.get(region, ()) + (follower.name,)
    busiest = max(candidates, key=lambda region: (demands[region], region), default="")
    return candidates.get(busiest, ())
