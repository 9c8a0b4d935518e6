"""Tells daemons which daemons own undivided buckets before they ask for a token.

A daemon that learned an owner only from its first request could admit nothing for that
customer once control was lost, although the owner's lease goes on. Buckets without an
owner are offered before they are asked for, so that they outlast a loss of control too.
"""

from collections.abc import Iterator

from lovagewalk.buckets import BucketOwner, PartOwner
from lovagewalk.catalogue import CustomerEntry
from lovagewalk.consensus import holds_leader_lease
from lovagewalk.core import Effect, Step, replace
from lovagewalk.node import NodeState
from lovagewalk.shares import Share

from . import _ledger
from ._bucket_owners import offer_part
from ._messages import FollowReply, FollowRequest
from ._owned_buckets import owns_bucket
from ._ownership import adopt_owners, find_owners
from ._regions import EntryFleet, describe_entry_fleet, is_lent_by_region
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
        if len(effects) >= MAX_OFFERS:
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
    """Record a customer's owners; offer its bucket in each region if it has none."""
    if not is_lent_by_region(entry, fleet):
        return control, ()
    ledger = control.ledgers.get(entry.name)
    if ledger is None:
        ledger = _ledger.get_ledger(state, control, entry.name, now)
        control = replace(control, ledgers=control.ledgers.set(entry.name, ledger))
    control = adopt_owners(control, ledger, now, by_region=True)
    owners = tuple(
        PartOwner(ownership.owner, ownership.region)
        for ownership in find_owners(control, ledger, now, by_region=True)
    )
    control = _record_owners(control, entry.name, owners)
    effects: tuple[Effect, ...] = ()
    if owners:
        return control, effects
    for region in sorted(fleet.regions):
        offered = offer_part(control, ledger, region, now)
        control = offered.control
        effects += offered.effects
    return control, effects


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
    """Store the owners that the leader names, for requests that come later."""
    shares = state.shares
    for named in reply.owners:
        share = shares.get(named.customer) or Share(
            named.customer, updated_at=now, on_demand=True
        )
        if share.waiting or owns_bucket(state, named.customer, now):
            continue
        owner, other = named.owner, named.other
        if owner == state.identity.name or share.is_silent(owner, now):
            owner, other = other, ""
        share = replace(share, owner=owner, other_owner=other)
        shares = shares.set(named.customer, share)
    follow = replace(state.follow, owners_revision=reply.owners_revision)
    return replace(state, shares=shares, follow=follow)
