"""Applies committed commands to the catalogue.

Handlers are pure functions of the catalogue and the command, so every daemon
reaches the same state from the same log.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lovagewalk.core import Code, Handlers, Refusal, replace

from . import _commands as commands
from ._state import (
    Catalogue,
    ChangeResult,
    Endpoint,
    GroupConfig,
    KeyEntry,
    Management,
    Versioned,
)

# Results kept to answer repeated proposals; the planned rate of changes produces this
# many in a day and a half.
MAX_RESULTS = 4096
# Term starts kept for each group; the plan assumes three changes a day over all groups.
MAX_TERM_STARTS = 64


@dataclass(frozen=True, slots=True)
class AppliedChange:
    """The catalogue after a command, and the result of the command."""

    catalogue: Catalogue
    result: ChangeResult


Handler = Callable[[Catalogue, int, Any], AppliedChange]
_handlers: Handlers[type, Handler] = Handlers()
applies = _handlers.on


def apply_proposal(
    catalogue: Catalogue, index: int, proposal: commands.Proposal
) -> AppliedChange:
    """Apply the log entry at `index`.

    A proposal whose request id has a result already changes nothing and gets that
    result.
    """
    catalogue = replace(catalogue, revision=index)
    stored = catalogue.results.get(proposal.request_id)
    if stored is not None:
        return AppliedChange(catalogue, stored)
    handler = _handlers[type(proposal.command)]
    applied = handler(catalogue, index, proposal.command)
    if not proposal.request_id:
        return applied
    return AppliedChange(
        _store_result(applied.catalogue, proposal.request_id, applied.result),
        applied.result,
    )


def _store_result(
    catalogue: Catalogue, request_id: str, result: ChangeResult
) -> Catalogue:
    results = catalogue.results.set(request_id, result)
    order = catalogue.result_order + (request_id,)
    if len(order) > MAX_RESULTS:
        results = results.delete(order[0])
        order = order[1:]
    return replace(catalogue, results=results, result_order=order)


def _refuse(
    catalogue: Catalogue, revision: int, code: Code, detail: str
) -> AppliedChange:
    return AppliedChange(catalogue, ChangeResult(revision, Refusal(code, detail)))


def _refuse_conflict(
    catalogue: Catalogue, found: Versioned | None, expected: int
) -> AppliedChange:
    current = found.revision if found else 0
    detail = f"expected revision {expected}, entry has {current}"
    return _refuse(catalogue, current, Code.CHANGE_CONFLICT, detail)


def _has_revision(found: Versioned | None, expected: int) -> bool:
    return (found.revision if found else 0) == expected


@applies(commands.NoChange)
def _no_change(
    catalogue: Catalogue, index: int, command: commands.NoChange
) -> AppliedChange:
    return AppliedChange(catalogue, ChangeResult(index))


@applies(commands.PutCustomer)
def _put_customer(
    catalogue: Catalogue, index: int, command: commands.PutCustomer
) -> AppliedChange:
    entry = command.entry
    found = catalogue.customers.get(entry.name)
    if not _has_revision(found, command.expected):
        return _refuse_conflict(catalogue, found, command.expected)
    if entry.rate <= 0 or entry.burst < 1 or entry.weight <= 0:
        return _refuse(
            catalogue, index, Code.CHANGE_BAD, "rate, burst, weight must be positive"
        )
    customers = catalogue.customers.set(entry.name, Versioned(entry, index))
    return AppliedChange(replace(catalogue, customers=customers), ChangeResult(index))


@applies(commands.PutRoute)
def _put_route(
    catalogue: Catalogue, index: int, command: commands.PutRoute
) -> AppliedChange:
    entry = command.entry
    found = catalogue.routes.get(entry.name)
    if not _has_revision(found, command.expected):
        return _refuse_conflict(catalogue, found, command.expected)
    if not entry.group:
        return _refuse(catalogue, index, Code.CHANGE_BAD, "route names no group")
    routes = catalogue.routes.set(entry.name, Versioned(entry, index))
    return AppliedChange(replace(catalogue, routes=routes), ChangeResult(index))


@applies(commands.IssueKey)
def _issue_key(
    catalogue: Catalogue, index: int, command: commands.IssueKey
) -> AppliedChange:
    found = catalogue.keys.get(command.key_id)
    if found is not None:
        return _refuse_conflict(catalogue, found, 0)
    if command.customer not in catalogue.customers:
        return _refuse(catalogue, 0, Code.CHANGE_BAD, "unknown customer")
    entry = KeyEntry(command.key_id, command.customer, command.digest)
    keys = catalogue.keys.set(command.key_id, Versioned(entry, index))
    return AppliedChange(replace(catalogue, keys=keys), ChangeResult(index))


@applies(commands.WithdrawKey)
def _withdraw_key(
    catalogue: Catalogue, index: int, command: commands.WithdrawKey
) -> AppliedChange:
    found = catalogue.keys.get(command.key_id)
    if found is None:
        return _refuse(catalogue, 0, Code.CHANGE_BAD, "unknown key")
    if found.entry.withdrawn:
        return AppliedChange(catalogue, ChangeResult(found.revision))
    entry = replace(found.entry, withdrawn=True)
    keys = catalogue.keys.set(command.key_id, Versioned(entry, index))
    return AppliedChange(replace(catalogue, keys=keys), ChangeResult(index))


@applies(commands.AnnounceEndpoint)
def _announce_endpoint(
    catalogue: Catalogue, index: int, command: commands.AnnounceEndpoint
) -> AppliedChange:
    endpoint = command.endpoint
    known = catalogue.endpoints.get(endpoint.name)
    if known is not None and endpoint.announcement_order <= known.announcement_order:
        return _refuse(catalogue, index, Code.CHANGE_CONFLICT, "announced before")
    if not endpoint.group or endpoint.connections < 0:
        return _refuse(catalogue, index, Code.CHANGE_BAD, "group or connections")
    for other in find_endpoints_at_address(catalogue, endpoint):
        if other.born >= endpoint.born:
            return _refuse(catalogue, index, Code.CHANGE_CONFLICT, "address in use")
        catalogue = catalogue.without_endpoint(other.name)
    groups = catalogue.groups
    if endpoint.group not in groups:
        groups = groups.set(endpoint.group, GroupConfig(endpoint.group))
    changed = replace(catalogue.with_endpoint(endpoint), groups=groups)
    return AppliedChange(changed, ChangeResult(index))


def find_endpoints_at_address(
    catalogue: Catalogue, endpoint: Endpoint
) -> tuple[Endpoint, ...]:
    """Return the other endpoints that were announced at an endpoint's address.

    Instances that report no start time may share an address, for example behind a
    port forwarder. An instance that reports one replaces the older ones there.
    """
    if not endpoint.born:
        return ()
    return tuple(
        other
        for other in catalogue.endpoints.values()
        if (other.host, other.port) == (endpoint.host, endpoint.port)
        and other.name != endpoint.name
    )


@applies(commands.ForgetEndpoint)
def _forget_endpoint(
    catalogue: Catalogue, index: int, command: commands.ForgetEndpoint
) -> AppliedChange:
    if command.name not in catalogue.endpoints:
        return _refuse(catalogue, 0, Code.CHANGE_BAD, "unknown endpoint")
    return AppliedChange(catalogue.without_endpoint(command.name), ChangeResult(index))


@applies(commands.AllocateTerm)
def _allocate_term(
    catalogue: Catalogue, index: int, command: commands.AllocateTerm
) -> AppliedChange:
    group = catalogue.group(command.group)
    if command.term <= group.allocated_term:
        return _refuse(catalogue, index, Code.CHANGE_CONFLICT, "term already given")
    groups = catalogue.groups.set(
        command.group, replace(group, allocated_term=command.term, fence=index)
    )
    return AppliedChange(replace(catalogue, groups=groups), ChangeResult(index))


@applies(commands.AllocateFence)
def _allocate_fence(
    catalogue: Catalogue, index: int, command: commands.AllocateFence
) -> AppliedChange:
    group = replace(catalogue.group(command.group), fence=index)
    groups = catalogue.groups.set(command.group, group)
    return AppliedChange(replace(catalogue, groups=groups), ChangeResult(index))


@applies(commands.InstallTerm)
def _install_term(
    catalogue: Catalogue, index: int, command: commands.InstallTerm
) -> AppliedChange:
    group = catalogue.group(command.group)
    is_provider_managed = group.management is Management.PROVIDER
    is_current = is_provider_managed or command.term == group.allocated_term
    if not is_current or command.term <= group.term:
        return _refuse(catalogue, index, Code.CHANGE_CONFLICT, "term superseded")
    starts = (group.starts + (command.start,))[-MAX_TERM_STARTS:]
    installed = replace(
        group,
        term=command.term,
        primary=command.primary,
        voters=command.voters,
        starts=starts,
        settled_fence=group.fence,
    )
    groups = catalogue.groups.set(command.group, installed)
    return AppliedChange(replace(catalogue, groups=groups), ChangeResult(index))


@applies(commands.NoteHolder)
def _note_holder(
    catalogue: Catalogue, index: int, command: commands.NoteHolder
) -> AppliedChange:
    holders = catalogue.holders
    if command.boot:
        holders = holders.set(command.daemon, command.boot)
    elif command.daemon in holders:
        holders = holders.delete(command.daemon)
    return AppliedChange(replace(catalogue, holders=holders), ChangeResult(index))


@applies(commands.NoteDivided)
def _note_divided(
    catalogue: Catalogue, index: int, command: commands.NoteDivided
) -> AppliedChange:
    divided = catalogue.divided | frozenset(command.customers)
    return AppliedChange(replace(catalogue, divided=divided), ChangeResult(index))


@applies(commands.RecordAccess)
def _record_access(
    catalogue: Catalogue, index: int, command: commands.RecordAccess
) -> AppliedChange:
    if catalogue.access_batches.get(command.daemon) == command.batch:
        return _refuse(catalogue, index, Code.CHANGE_CONFLICT, "batch already counted")
    batches = catalogue.access_batches.set(command.daemon, command.batch)
    return AppliedChange(
        replace(catalogue, access_batches=batches), ChangeResult(index)
    )


@applies(commands.SetZoneEvacuation)
def _set_zone_evacuation(
    catalogue: Catalogue, index: int, command: commands.SetZoneEvacuation
) -> AppliedChange:
    """Evacuate a known zone, or withdraw that.

    A copy of a request that was delayed on a link may follow a later, opposite one. It
    is recognised by the revision that its VM had seen, and changes nothing. It is not
    refused for good, since the VM of a new request may also have been behind.
    """
    zone = command.zone
    if not _is_known_zone(catalogue, command):
        detail = "unknown zone: no settings and no endpoint name it"
        return _refuse(catalogue, index, Code.CHANGE_BAD, detail)
    requested_at = catalogue.zone_requests.get(zone, 0)
    if requested_at > command.seen:
        if (zone in catalogue.evacuated_zones) == command.evacuated:
            return AppliedChange(catalogue, ChangeResult(requested_at))
        detail = "the zone was changed meanwhile; send it again"
        return _refuse(catalogue, requested_at, Code.CONFIG_STALE, detail)
    change = frozenset((zone,))
    zones = catalogue.evacuated_zones
    changed = replace(
        catalogue,
        evacuated_zones=zones | change if command.evacuated else zones - change,
        zone_requests=catalogue.zone_requests.set(zone, index),
    )
    return AppliedChange(changed, ChangeResult(index))


def _is_known_zone(catalogue: Catalogue, command: commands.SetZoneEvacuation) -> bool:
    zone = command.zone
    if command.in_settings or zone in catalogue.zone_requests:
        return True
    return any(endpoint.zone == zone for endpoint in catalogue.endpoints.values())


@applies(commands.ChangeControlVoters)
def _change_control_voters(
    catalogue: Catalogue, index: int, command: commands.ChangeControlVoters
) -> AppliedChange:
    changed = replace(catalogue, control_voters=command.voters)
    return AppliedChange(changed, ChangeResult(index))
