"""Differences between catalogues, sent to daemons that have no log of their own.

A new configuration repeats all entries, though most are unchanged. Daemons receive
only those that differ. Parts that only control VMs read are left out: the document,
the results of changes, and the holders of shares.
"""

from dataclasses import dataclass

from immutables import Map

from lovagewalk.core import replace

from ._patch import patch
from ._state import (
    Catalogue,
    ControlVoter,
    Endpoint,
    GroupConfig,
    Versioned,
)


@dataclass(frozen=True, slots=True)
class CatalogueDelta:
    """The difference between two revisions of a catalogue.

    Attributes
    ----------
    base : int
        Revision that the delta applies to; 0 if it contains a whole catalogue.
    revision : int
        Revision after the delta.
    customers, routes, keys, endpoints, groups : tuple
        Entries that are new or have changed.
    gone_customers, gone_routes, gone_keys, gone_endpoints : tuple of str
        Names of removed entries.
    evacuated_zones : tuple of str
        All evacuated zones, sorted.
    """

    base: int
    revision: int
    version: int
    idle_transaction_s: float
    control_voters: tuple[ControlVoter, ...]
    customers: tuple[Versioned, ...] = ()
    routes: tuple[Versioned, ...] = ()
    keys: tuple[Versioned, ...] = ()
    endpoints: tuple[Endpoint, ...] = ()
    groups: tuple[GroupConfig, ...] = ()
    gone_customers: tuple[str, ...] = ()
    gone_routes: tuple[str, ...] = ()
    gone_keys: tuple[str, ...] = ()
    gone_endpoints: tuple[str, ...] = ()
    evacuated_zones: tuple[str, ...] = ()


def diff_catalogues(old: Catalogue, new: Catalogue) -> CatalogueDelta:
    """Return the delta from one catalogue to a later one.

    Parameters
    ----------
    old : Catalogue
        An empty catalogue gives a delta that contains the whole of `new`.
    """
    return CatalogueDelta(
        base=old.revision,
        revision=new.revision,
        version=new.version,
        idle_transaction_s=new.idle_transaction_s,
        control_voters=new.control_voters,
        customers=_changed_entries(old.customers, new.customers),
        routes=_changed_entries(old.routes, new.routes),
        keys=_changed_entries(old.keys, new.keys),
        endpoints=_changed_entries(old.endpoints, new.endpoints),
        groups=_changed_entries(old.groups, new.groups),
        gone_customers=_removed_names(old.customers, new.customers),
        gone_routes=_removed_names(old.routes, new.routes),
        gone_keys=_removed_names(old.keys, new.keys),
        gone_endpoints=_removed_names(old.endpoints, new.endpoints),
        evacuated_zones=tuple(sorted(new.evacuated_zones)),
    )


def is_equal_for_followers(old: Catalogue, new: Catalogue) -> bool:
    """Whether two catalogues differ at most in parts that only control VMs read."""
    same_maps = (
        old.customers is new.customers
        and old.routes is new.routes
        and old.keys is new.keys
        and old.endpoints is new.endpoints
        and old.groups is new.groups
    )
    return same_maps and (
        old.version == new.version
        and old.idle_transaction_s == new.idle_transaction_s
        and old.control_voters == new.control_voters
        and old.evacuated_zones == new.evacuated_zones
    )


def apply_delta(catalogue: Catalogue, delta: CatalogueDelta) -> Catalogue:
    """Return a catalogue with a delta applied.

    A delta that is based on another revision, or is not newer, changes nothing. The
    document of another version is dropped, since the delta does not hold the new one.
    """
    if delta.revision <= catalogue.revision:
        return catalogue
    if delta.base == 0:
        catalogue = Catalogue()
    elif delta.base != catalogue.revision:
        return catalogue
    catalogue = replace(
        catalogue,
        revision=delta.revision,
        version=delta.version,
        document=catalogue.document if catalogue.version == delta.version else b"",
        idle_transaction_s=delta.idle_transaction_s,
        control_voters=delta.control_voters,
        customers=patch(
            catalogue.customers,
            {item.entry.name: item for item in delta.customers},
            delta.gone_customers,
        ),
        routes=patch(
            catalogue.routes,
            {item.entry.name: item for item in delta.routes},
            delta.gone_routes,
        ),
        keys=patch(
            catalogue.keys,
            {item.entry.key_id: item for item in delta.keys},
            delta.gone_keys,
        ),
        evacuated_zones=frozenset(delta.evacuated_zones),
        groups=patch(catalogue.groups, {item.name: item for item in delta.groups}, ()),
    )
    for name in delta.gone_endpoints:
        catalogue = catalogue.without_endpoint(name)
    for endpoint in delta.endpoints:
        catalogue = catalogue.with_endpoint(endpoint)
    return catalogue


def _changed_entries(old: Map, new: Map) -> tuple:
    """Return the entries of `new` that are not the identical object in `old`."""
    if old is new:
        return ()
    return tuple(item for name, item in new.items() if old.get(name) is not item)


def _removed_names(old: Map, new: Map) -> tuple[str, ...]:
    if old is new:
        return ()
    return tuple(name for name in old if name not in new)
