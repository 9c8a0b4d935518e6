"""Tells daemons which daemons own undivided buckets before they ask for a token.

A daemon that learned an owner only from its first request could admit nothing for that
customer once control was lost, although the owner's lease goes on. Buckets without an
owner are offered before they are asked for, so that they outlast a loss of control too.
"""

from collections.abc import Iterator

from lovagewalk.buckets import BucketOwner, PartOwner
from lovagewalk.catalogue import CustomerEntry
from lovagewalk.consensus import SendToPeer, holds_leader_lease
from lovagewalk.core import Effect, Step, replace
from lovagewalk.node import NodeState
from lovagewalk.shares import Share

from . import _ledger
from ._bucket_owners import offer_part
from ._messages import FollowReply, FollowRequest
from ._owned_buckets import owns_bucket
from ._ownership import UNREPORTED_KEY, adopt_owners, find_owners
from ._regions import (
    EntryFleet,
    describe_entry_fleet,
    has_reported,
    is_lent_by_region,
)
from ._state import ControlState, OwnerList

# Owners of more customers are not named: a list of these takes 4 KB.
MAX_NAMED_CUSTOMERS = 256
UPDATE_PERIOD_S = 0.25
# Each offer is followed by a report and a grant.
MAX_OFFERS = 16
# Each leader counts its changes from zero, so revisions contain its term.
REVISIONS_PER_TERM = 1_000_000


def tick(state: NodeState, now: float) -> Step[NodeState]:
    """Record changes of owners, and offer the buckets that have none."""
    control: ControlState = state.control
    if now - control.owner_list.listed_at < UPDATE_PERIOD_S:
        return Step(state)
    control = replace(control, owner_list=replace(control.owner_list, listed_at=now))
    fleet = describe_entry_fleet(control, now)
    may_lend = holds_leader_lease(state.consensus, now) and _ledger.may_grant(
        state, now
    )
    if not may_lend or not fleet.has_narrow_links:
        return Step(replace(state, control=control))
    effects: tuple[Effect, ...] = ()
    for entry in _find_undivided(state, control, now):
        control, offers = _update_customer(state, control, entry, fleet, now)
        effects += offers
        if sum(isinstance(effect, SendToPeer) for effect in effects) >= MAX_OFFERS:
            break
    return Step(replace(state, control=control), effects)


def _find_undivided(
    state: NodeState, control: ControlState, now: float
) -> Iterator[CustomerEntry]:
    """Return the customers whose buckets are lent to owners by region."""
    customers = state.catalogue.customers
    if len(customers) > MAX_NAMED_CUSTOMERS:
        return
    entry_daemons = _ledger.count_entry_daemons(state, control, now)
    for name in sorted(customers):
        entry = state.catalogue.customer(name)
        if _ledger.is_on_demand(entry, entry_daemons):
            yield entry


def _update_customer(
    state: NodeState,
    control: ControlState,
    entry: CustomerEntry,
    fleet: EntryFleet,
    now: float,
) -> tuple[ControlState, tuple[Effect, ...]]:
    """Record a customer's owners, and offer what has none.

    That is the whole bucket, in each region, or the part of a region whose owner was
    lost. A part that its owner gave up for lack of demand is offered at the next need.
    """
    if not is_lent_by_region(entry, fleet):
        return control, ()
    ledger = control.ledgers.get(entry.name)
    if ledger is None:
        ledger = _ledger.get_ledger(state, control, entry.name, now)
    # Otherwise only reports and needs refresh it, and lost holdings would stay.
    ledger = _ledger.refresh_ledger(state, control, ledger, entry, now)
    control = replace(control, ledgers=control.ledgers.set(entry.name, ledger))
    control = adopt_owners(control, ledger, now, by_region=True)
    owners = tuple(
        PartOwner(ownership.owner, ownership.region)
        for ownership in find_owners(control, ledger, now, by_region=True)
    )
    control = _record_owners(control, entry.name, owners)
    effects: tuple[Effect, ...] = ()
    if UNREPORTED_KEY in ledger.holdings:
        return control, effects
    regions = fleet.regions
    if owners:
        lost = _find_lost_regions(control, entry.name, now)
        regions = (regions & lost).difference(part.region for part in owners)
    for region in sorted(regions):
        offered = offer_part(control, ledger, region, now)
        control = offered.control
        effects += offered.effects
    return control, effects


def _find_lost_regions(
    control: ControlState, customer: str, now: float
) -> frozenset[str]:
    """Return the regions whose recorded owners do not report any more."""
    return frozenset(
        ownership.region
        for ownership in control.owners.get(customer, ())
        if not has_reported(control, ownership.owner, now)
    )


def _record_owners(
    control: ControlState, customer: str, owners: tuple[PartOwner, ...]
) -> ControlState:
    """Record the owners to be named; the order of equal lists does not matter."""
    listed = control.owner_list
    owners = tuple(sorted(owners, key=lambda part: part.owner))
    if owners == listed.owners.get(customer, ()):
        return control
    revision = listed.revision + 1
    listed = replace(
        listed,
        revision=revision,
        owners=listed.owners.set(customer, owners),
        revisions=listed.revisions.set(customer, revision),
    )
    return replace(control, owner_list=listed)


def name_owners(state: NodeState, request: FollowRequest) -> tuple[BucketOwner, ...]:
    """Return the owners that have changed since those that a daemon knows."""
    listed: OwnerList = state.control.owner_list
    term, known = divmod(request.owners_revision, REVISIONS_PER_TERM)
    if term != state.consensus.term:
        known = 0
    if known >= listed.revision:
        return ()
    return tuple(
        _name_owner(customer, listed.owners[customer], request.region)
        for customer, revision in listed.revisions.items()
        if revision > known
    )


def _name_owner(
    customer: str, owners: tuple[PartOwner, ...], region: str
) -> BucketOwner:
    nearest_first = sorted(owners, key=lambda part: part.region != region)
    names = [part.owner for part in nearest_first[:2]]
    return BucketOwner(customer, *(names or [""]))


def current_revision(state: NodeState) -> int:
    """Return the revision of the owners that this leader names."""
    revision = state.control.owner_list.revision
    return state.consensus.term * REVISIONS_PER_TERM + revision if revision else 0


def learn_owners(state: NodeState, reply: FollowReply, now: float) -> NodeState:
    """Store the owners that the leader names, for requests that come later.

    Where requests wait, their answers name the owner; the leader names it again later.
    """
    shares = state.shares
    is_complete = True
    for named in reply.owners:
        share = shares.get(named.customer) or Share(
            named.customer, updated_at=now, on_demand=True
        )
        if owns_bucket(state, named.customer, now):
            continue
        if share.waiting:
            is_complete = False
            continue
        owner, other = named.owner, named.other
        if owner == state.identity.name or share.is_silent(owner, now):
            owner, other = other, ""
        if owner != share.owner:
            share = replace(share, owner=owner, asked_at=0.0)
        shares = shares.set(named.customer, replace(share, other_owner=other))
    state = replace(state, shares=shares)
    if not is_complete:
        return state
    follow = replace(state.follow, owners_revision=reply.owners_revision)
    return replace(state, follow=follow)
