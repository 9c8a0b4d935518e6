"""Configurations that replace routes, customers, keys and groups as a whole."""

from collections.abc import Callable, Iterable
from typing import Any

from immutables import Map

from lovagewalk.core import Code, Refusal, replace

from ._apply import AppliedChange, applies
from ._commands import ReplaceConfiguration
from ._patch import patch
from ._state import Catalogue, ChangeResult, GroupConfig, Management, Versioned

Check = Callable[[ReplaceConfiguration], str]
_checks: list[Check] = []


def checks(check: Check) -> Check:
    """Register the decorated function as a check of configurations.

    A check returns a description of the problem, or an empty string.
    """
    _checks.append(check)
    return check


def check_configuration(command: ReplaceConfiguration) -> Refusal | None:
    """Return the reason why a configuration is invalid, or None.

    Versions are compared later: an invalid configuration is refused whatever its
    version.
    """
    for check in _checks:
        problem = check(command)
        if problem:
            return Refusal(Code.CHANGE_BAD, problem)
    return None


def _has_duplicates(values: Iterable[Any]) -> bool:
    collected = list(values)
    return len(set(collected)) < len(collected)


@checks
def _check_version(command: ReplaceConfiguration) -> str:
    return "" if command.version >= 1 else "version must be at least 1"


@checks
def _check_groups(command: ReplaceConfiguration) -> str:
    if _has_duplicates(group.name for group in command.groups):
        return "two services have one name"
    names = {group.name for group in command.groups}
    for route in command.routes:
        if route.group not in names:
            return f"route {route.name} names an unknown service"
    return ""


@checks
def _check_routes(command: ReplaceConfiguration) -> str:
    if _has_duplicates((route.name, route.prefix) for route in command.routes):
        return "two routes share host and prefix"
    for route in command.routes:
        if route.statement_timeout_s <= 0:
            return f"route {route.name} has no timeout"
    return ""


@checks
def _check_customers(command: ReplaceConfiguration) -> str:
    if _has_duplicates(customer.name for customer in command.customers):
        return "two customers have one name"
    for customer in command.customers:
        if customer.rate <= 0 or customer.burst < 0:
            return f"customer {customer.name} has no rate"
    return ""


@checks
def _check_keys(command: ReplaceConfiguration) -> str:
    return "two customers share a key" if _has_duplicates(_key_ids(command)) else ""


def _key_ids(command: ReplaceConfiguration) -> list[str]:
    """Return the key id of each distinct pair of key id and customer."""
    return [key_id for key_id, _ in {(k.key_id, k.customer) for k in command.keys}]


@applies(ReplaceConfiguration)
def _replace_configuration(
    catalogue: Catalogue, index: int, command: ReplaceConfiguration
) -> AppliedChange:
    refusal = check_configuration(command)
    if refusal is not None:
        return AppliedChange(catalogue, ChangeResult(catalogue.version, refusal))
    if command.version <= catalogue.version:
        return AppliedChange(catalogue, ChangeResult(catalogue.version))
    routes = {route.name: route for route in reversed(command.routes)}
    customers = {customer.name: customer for customer in command.customers}
    keys = {key.key_id: key for key in command.keys}
    changed = replace(
        catalogue,
        version=command.version,
        document=command.document,
        idle_transaction_s=command.idle_transaction_s,
        routes=_merge_entries(catalogue.routes, routes, index),
        customers=_merge_entries(catalogue.customers, customers, index),
        keys=_merge_entries(catalogue.keys, keys, index),
        groups=_merge_groups(catalogue, command),
    )
    return AppliedChange(changed, ChangeResult(command.version))


def _merge_entries(previous: Map, entries: dict[str, Any], index: int) -> Map:
    """Return the entries as a map that keeps the unchanged items of `previous`."""
    removed = tuple(name for name in previous if name not in entries)
    changed = {}
    for name, entry in entries.items():
        found = previous.get(name)
        if found is None or found.entry != entry:
            changed[name] = Versioned(entry, index)
    return patch(previous, changed, removed)


def _merge_groups(catalogue: Catalogue, command: ReplaceConfiguration) -> Map:
    """Return the groups with their new limits; no group is removed.

    A group keeps its primary and term also while no route leads to it.
    """
    groups = catalogue.groups
    for limits in command.groups:
        previous = groups.get(limits.name) or GroupConfig(limits.name)
        changed = replace(
            previous,
            management=Management.PROVIDER,
            connections=limits.connections,
            sync_replicas=limits.sync_replicas,
        )
        if changed != previous:
            groups = groups.set(limits.name, changed)
    return groups
