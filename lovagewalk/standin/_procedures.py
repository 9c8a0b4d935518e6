"""Stored procedures: the orders of the group protocol, and fault injection."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

from lovagewalk.core import Handlers
from lovagewalk.edge._mysql_server import Reply, SqlError, build_columns
from lovagewalk.groups import InstanceStatus, Role

from . import _state as types
from ._constants import (
    FETCH_TIMEOUT_S,
    GROUP_USER,
    LOG_COLUMNS,
    READ_ONLY_ERRNO,
    STATUS_COLUMNS,
)
from ._state import StandinState

_procedures: Handlers[str, Callable[..., Any]] = Handlers()
procedure = _procedures.on


def build_status_reply(status: InstanceStatus) -> Reply:
    """Return a reply with the status row of an instance."""
    row = (
        status.incarnation,
        status.role.value,
        status.term,
        status.index,
        status.last_term,
        int(status.linked),
    )
    return Reply(build_columns(STATUS_COLUMNS, [row]), (row,))


async def _reply_with_status(standin: Any, build_event: Callable[[int], Any]) -> Reply:
    result = await standin.request(build_event)
    if not result.accepted:
        raise SqlError(READ_ONLY_ERRNO, "a later term is in force")
    return build_status_reply(result.status)


@procedure("group_wait")
async def _group_wait(
    standin: Any, session: Any, term: int, index: int, wait_ms: int
) -> Reply:
    return await _reply_with_status(
        standin,
        lambda ticket: types.StatusRequested(
            standin.now(), ticket, term, index, wait_ms / 1000
        ),
    )


@procedure("group_fence")
async def _group_fence(standin: Any, session: Any, term: int) -> Reply:
    return await _reply_with_status(
        standin, lambda ticket: types.FenceRequested(standin.now(), ticket, term)
    )


@procedure("group_promote")
async def _group_promote(standin: Any, session: Any, term: int) -> Reply:
    return await _reply_with_status(
        standin, lambda ticket: types.PromotionRequested(standin.now(), ticket, term)
    )


@procedure("group_follow")
async def _group_follow(
    standin: Any, session: Any, host: str, port: int, term: int
) -> Reply:
    return await _reply_with_status(
        standin,
        lambda ticket: types.FollowRequested(standin.now(), ticket, term, host, port),
    )


@procedure("group_log")
async def _group_log(
    standin: Any,
    session: Any,
    index: int,
    last_term: int,
    term: int,
    wait_ms: int,
) -> Reply:
    if standin.is_isolated or session.username != GROUP_USER:
        await asyncio.sleep(FETCH_TIMEOUT_S)
        raise SqlError(READ_ONLY_ERRNO, "cut off")
    await standin.request(
        lambda ticket: types.StatusRequested(
            standin.now(), ticket, term, index + 1, wait_ms / 1000
        )
    )
    state = standin.state
    may_serve = state.role in (Role.PRIMARY, Role.FENCED) and state.served_term == term
    if not may_serve:
        raise SqlError(READ_ONLY_ERRNO, "not the primary of this term")
    matched = _has_entry(state, index, last_term)
    base_index = index if matched else 0
    entries = [
        (entry.index, entry.term, entry.statements)
        for entry in (state.log[i] for i in range(base_index + 1, state.index + 1))
    ]
    row = (term, int(matched), json.dumps(entries))
    return Reply(build_columns(LOG_COLUMNS, [row]), (row,))


def _has_entry(state: StandinState, index: int, last_term: int) -> bool:
    if index == 0:
        return True
    entry = state.log.get(index)
    return entry is not None and entry.term == last_term


@procedure("standin_lag")
async def _standin_lag(standin: Any, session: Any, lag_ms: int) -> Reply:
    standin.set_lag(lag_ms / 1000)
    return Reply()


@procedure("standin_cut")
async def _standin_cut(standin: Any, session: Any, isolated: int) -> Reply:
    standin.set_isolated(bool(isolated))
    return Reply()


@procedure("standin_stall")
async def _standin_stall(standin: Any, session: Any, duration_ms: int) -> Reply:
    standin.not_stalled.clear()
    asyncio.get_running_loop().call_later(duration_ms / 1000, standin.not_stalled.set)
    return Reply()


def find_procedure(name: str) -> Callable[..., Any] | None:
    """Return the procedure with this name, or None."""
    return _procedures.get(name)
