"""Requests of operators and endpoints that wait for the decisions' answer."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from lovagewalk.catalogue import ChangeResult
from lovagewalk.control import AnswerRequester
from lovagewalk.core import Code, Event, LovageError, performs

from ._futures import settle

if TYPE_CHECKING:
    from ._ports import Ports


class Tickets:
    """Matches answers to the events that asked for them."""

    def __init__(self, ports: "Ports") -> None:
        self._ports = ports
        self._waiting: dict[int, asyncio.Future] = {}

    async def ask(self, build: Callable[[int], Event], limit_s: float) -> ChangeResult:
        """Feed an event with a ticket and return its result.

        Raises
        ------
        LovageError
            ``CHANGE_UNKNOWN`` if no answer came in time.
        """
        ticket = next(self._ports.numbers)
        fut = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = fut
        try:
            self._ports.feed(build(ticket))
            async with asyncio.timeout(limit_s):
                return await fut
        except TimeoutError as exc:
            raise LovageError(Code.CHANGE_UNKNOWN, "send it again") from exc
        finally:
            del self._waiting[ticket]

    def answer(self, effect: AnswerRequester) -> None:
        """Answer a waiting request."""
        fut = self._waiting.get(effect.ticket)
        if fut is not None:
            settle(fut, effect.result)


@performs(AnswerRequester)
def _answer_requester(ports: "Ports", effect: AnswerRequester) -> None:
    ports.tickets.answer(effect)
