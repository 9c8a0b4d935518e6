"""Validity of commands: the one place that says what the control log may hold.

A command is checked where it arrives, and again by the leader before it enters the
log. An entry that no disk or peer can hold would stop all entries after it.
"""

import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass, fields, is_dataclass
from functools import cache
from typing import Any

from lovagewalk.core import MAX_PORT, Code, Handlers, Refusal, find_value_problem

from ._commands import (
    Command,
    ForgetEndpoint,
    IssueKey,
    Proposal,
    ReplaceConfiguration,
    SetZoneEvacuation,
    WithdrawKey,
)
from ._configuration import check_configuration
from ._state import CustomerEntry, Endpoint, GroupLimits, KeyEntry, RouteEntry

MAX_NAME_LENGTH = 256
_HOST = re.compile(r"[0-9A-Za-z.:_-]{1,253}")

Check = Callable[[Any], Iterator[str]]
_checks: Handlers[type, Check] = Handlers()
checks_fields = _checks.on


@dataclass(frozen=True, slots=True)
class Problem:
    """Why a value is not valid, and the path of its field."""

    path: str
    reason: str


def check_proposal(proposal: Proposal) -> Refusal | None:
    """Return the reason why a proposal must not enter the log, or None."""
    problem = next(find_problems(proposal, "proposal"), None)
    if problem is not None:
        return Refusal(Code.CHANGE_BAD, f"{problem.path}: {problem.reason}")
    command = proposal.command
    if isinstance(command, ReplaceConfiguration):
        return check_configuration(command)
    return None


def check_command(command: Command) -> Refusal | None:
    """Return the reason why a command is not valid, or None."""
    return check_proposal(Proposal("", "", 0.0, command))


def find_problems(value: Any, path: str) -> Iterator[Problem]:
    """Yield the problems of a value and of everything that it contains.

    The reasons hold no values, which may be secrets.
    """
    reason = find_value_problem(value)
    if reason:
        yield Problem(path, reason)
    elif isinstance(value, tuple):
        for index, item in enumerate(value):
            yield from find_problems(item, f"{path}.{index}")
    elif is_dataclass(value):
        yield from _find_field_problems(value, path)


def _find_field_problems(value: Any, path: str) -> Iterator[Problem]:
    for name in _field_names(type(value)):
        yield from find_problems(getattr(value, name), f"{path}.{name}")
    check = _checks.get(type(value))
    if check is not None:
        for reason in check(value):
            yield Problem(path, reason)


@cache
def _field_names(value_type: type) -> tuple[str, ...]:
    return tuple(field.name for field in fields(value_type))


def _is_name(text: str) -> bool:
    """Whether a text is one word, since names are fields of lines to instances."""
    return text.split() == [text] and len(text) <= MAX_NAME_LENGTH


@checks_fields(Endpoint)
def _check_endpoint(endpoint: Endpoint) -> Iterator[str]:
    if not _is_name(endpoint.name):
        yield "name is not a single word"
    if not _is_name(endpoint.group):
        yield "group is not a single word"
    if not _HOST.fullmatch(endpoint.host):
        yield "host is not an address"
    if not 0 < endpoint.port <= MAX_PORT:
        yield "port is out of range"
    if len(endpoint.zone) > MAX_NAME_LENGTH or len(endpoint.region) > MAX_NAME_LENGTH:
        yield "zone or region is too long"
    if min(endpoint.connections, endpoint.sequence, endpoint.born) < 0:
        yield "a count is negative"


@checks_fields(ForgetEndpoint)
def _check_forgotten_endpoint(command: ForgetEndpoint) -> Iterator[str]:
    if not _is_name(command.name):
        yield "name is not a single word"


@checks_fields(SetZoneEvacuation)
def _check_evacuation(command: SetZoneEvacuation) -> Iterator[str]:
    if not 0 < len(command.zone) <= MAX_NAME_LENGTH:
        yield "zone is empty or too long"
    if command.seen < 0:
        yield "a revision is negative"


@checks_fields(CustomerEntry)
def _check_customer(entry: CustomerEntry) -> Iterator[str]:
    if not _is_name(entry.name):
        yield "name is not a single word"
    if entry.rate <= 0 or entry.burst < 0 or entry.weight <= 0:
        yield "rate, burst, weight must be positive"


@checks_fields(RouteEntry)
def _check_route(entry: RouteEntry) -> Iterator[str]:
    if not _is_name(entry.name) or not _is_name(entry.group):
        yield "name or group is not a single word"
    if len(entry.prefix) > MAX_NAME_LENGTH:
        yield "prefix is too long"
    times = (entry.max_staleness_s, entry.statement_timeout_s, entry.objective_s)
    if min(times) < 0:
        yield "a time is negative"


@checks_fields(GroupLimits)
def _check_group_limits(limits: GroupLimits) -> Iterator[str]:
    if not _is_name(limits.name):
        yield "name is not a single word"
    if limits.connections < 0 or limits.sync_replicas < 0:
        yield "a limit is negative"


@checks_fields(ReplaceConfiguration)
def _check_idle_time(command: ReplaceConfiguration) -> Iterator[str]:
    if command.idle_transaction_s < 0:
        yield "idle time is negative"


@checks_fields(KeyEntry, IssueKey, WithdrawKey)
def _check_key(entry: KeyEntry | IssueKey | WithdrawKey) -> Iterator[str]:
    if not _is_name(entry.key_id):
        yield "key id is not a single word"
