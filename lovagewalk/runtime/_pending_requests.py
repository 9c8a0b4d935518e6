"""Requests of operators and endpoints that wait for their result."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from lovagewalk.catalogue import Catalogue, ChangeResult, Command, Proposal
from lovagewalk.control import (
    AnswerReader,
    AnswerRequester,
    CatalogueRequested,
    ChangeRequested,
)
from lovagewalk.core import Code, Event, LovageError, performs

from ._futures import set_result_if_pending

if TYPE_CHECKING:
    from ._ports import Ports


# A reader that is not answered within a second contacts another daemon.
READ_TIMEOUT_S = 0.9


class PendingRequests:
    """Matches results to the requests that wait for them, by ticket number."""

    def __init__(self, ports: "Ports") -> None:
        self._ports = ports
        self._pending: dict[int, asyncio.Future] = {}

    async def submit(
        self, build_event: Callable[[int], Event], timeout_s: float
    ) -> Any:
        """Feed the event of a request, and return the result.

        Parameters
        ----------
        build_event : callable
            Returns the event for a ticket number.
        timeout_s : float
            Longest wait for the result, in seconds.

        Returns
        -------
        ChangeResult or CatalogueReadResult
            The result of the effect that answers this kind of request.

        Raises
        ------
        LovageError
            ``CHANGE_UNKNOWN`` if no result arrived in time.
        """
        ticket = next(self._ports.id_sequence)
        fut = asyncio.get_running_loop().create_future()
        self._pending[ticket] = fut
        try:
            self._ports.feed(build_event(ticket))
            async with asyncio.timeout(timeout_s):
                return await fut
        except TimeoutError as exc:
            raise LovageError(Code.CHANGE_UNKNOWN, "send it again") from exc
        finally:
            del self._pending[ticket]

    async def change(
        self,
        build_event: Callable[[int], Event],
        timeout_s: float,
        outdated: Code | None = None,
    ) -> ChangeResult:
        """Feed the event that requests a change, and return its result.

        Parameters
        ----------
        outdated : Code, optional
            Code of a refusal that means that the change is not needed any more.

        Raises
        ------
        LovageError
            If the change is refused with another code, or not decided in time.
        """
        result = await self.submit(build_event, timeout_s)
        refusal = result.refusal
        if refusal is not None and refusal.code is not outdated:
            raise LovageError(refusal.code, refusal.detail)
        return result

    async def propose(
        self, command: Command, operator: str, timeout_s: float
    ) -> ChangeResult:
        """Propose an operator's command, and return its result.

        Raises
        ------
        LovageError
            If the command is refused, or not decided in time.
        """
        proposal = Proposal("", operator, self._ports.wall_clock(), command)
        return await self.change(
            lambda ticket: ChangeRequested(self._ports.now(), ticket, proposal),
            timeout_s,
        )

    async def read_catalogue(self, with_document: bool = False) -> Catalogue:
        """Return the latest catalogue.

        Parameters
        ----------
        with_document : bool
            Whether the configuration as the operator sent it is needed.

        Raises
        ------
        LovageError
            ``CONFIG_STALE`` if this daemon does not know the latest one, or does not
            hold the document.
        """
        result = await self.submit(
            lambda ticket: CatalogueRequested(self._ports.now(), ticket, with_document),
            READ_TIMEOUT_S,
        )
        if result.refusal is not None:
            raise LovageError(result.refusal.code, result.refusal.detail)
        return result.catalogue

    def answer(self, effect: AnswerRequester | AnswerReader) -> None:
        """Pass a result to the request that waits for it."""
        fut = self._pending.get(effect.ticket)
        if fut is not None:
            set_result_if_pending(fut, effect.result)


def _answer(ports: "Ports", effect: AnswerRequester | AnswerReader) -> None:
    ports.pending_requests.answer(effect)


for _effect_type in (AnswerRequester, AnswerReader):
    performs(_effect_type)(_answer)
