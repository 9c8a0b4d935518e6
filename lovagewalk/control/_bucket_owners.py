"""The leader's choice of the entry daemons that own undivided buckets."""

from dataclasses import dataclass

from lovagewalk.buckets import BucketOffer, choose_owner
from lovagewalk.consensus import SendToPeer
from lovagewalk.core import Effect, replace
from lovagewalk.node import NodeState
from lovagewalk.records import BucketOffered

from ._ownership import UNREPORTED_KEY
from ._regions import find_entry_daemons, find_region
from ._state import ControlState, Ledger, Ownership

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
    owners = control.owners.get(ledger.customer, ())
    if any(now - ownership.offered_at < OFFER_PERIOD_S for ownership in owners):
        return OfferResult(control)
    return _offer(control, ledger, _find_candidates(control, ledger, now), owners, now)


def offer_part(
    control: ControlState, ledger: Ledger, region: str, now: float
) -> OfferResult:
    """Offer the part of an undivided bucket for one region to a daemon there.

    The daemon gets what the owners of other parts give up, with their next reports.
    """
    owners = control.owners.get(ledger.customer, ())
    replaced = tuple(ownership for ownership in owners if ownership.region == region)
    if any(now - ownership.offered_at < OFFER_PERIOD_S for ownership in replaced):
        return OfferResult(control)
    candidates = tuple(
        follower.name
        for follower in find_entry_daemons(control, now)
        if follower.request.region == region and follower.request.low_bandwidth
        if follower.request.may_own and not follower.request.draining
    )
    return _offer(control, ledger, candidates, replaced, now)


def _offer(
    control: ControlState,
    ledger: Ledger,
    candidates: tuple[str, ...],
    replaced: tuple[Ownership, ...],
    now: float,
) -> OfferResult:
    """Offer a bucket, or a part, to one of the candidates.

    Nothing is offered while daemons may hold shares that they have not reported.
    """
    owner = choose_owner(ledger.customer, candidates)
    if not owner or UNREPORTED_KEY in ledger.holdings:
        return OfferResult(control)
    region = find_region(control, owner)
    kept = tuple(
        ownership
        for ownership in control.owners.get(ledger.customer, ())
        if ownership not in replaced
    )
    owners = kept + (Ownership(owner, now, region),)
    control = replace(control, owners=control.owners.set(ledger.customer, owners))
    record = BucketOffered(
        customer=ledger.customer,
        target=owner,
        before=", ".join(ownership.owner for ownership in replaced),
        candidates=len(candidates),
        region=region,
    )
    offer = SendToPeer(owner, BucketOffer(ledger.customer))
    return OfferResult(control, (offer, record))


def _find_candidates(
    control: ControlState, ledger: Ledger, now: float
) -> tuple[str, ...]:
    """Return the daemons that may own a bucket, in the region with the most demand."""
    demands: dict[str, float] = {}
    candidates: dict[str, tuple[str, ...]] = {}
    for follower in find_entry_daemons(control, now):
        request = follower.request
        region = request.region
        demand = ledger.demands.get(follower.name, 0.0)
        demands[region] = demands.get(region, 0.0) + demand
        if request.may_own and not request.draining:
            candidates[region] = candidates.get(region, ()) + (follower.name,)
    busiest = max(candidates, key=lambda region: (demands[region], region), default="")
    return candidates.get(busiest, ())
