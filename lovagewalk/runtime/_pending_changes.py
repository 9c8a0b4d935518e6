"""Changes requested by operators and endpoints that wait for their result."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from lovagewalk.catalogue import ChangeResult
from lovagewalk.control import AnswerRequester
from lovagewalk.core import Code, Event, LovageError, performs

from ._futures import set_result_if_pending

if TYPE_CHECKING:
    from ._ports import Ports


class PendingChanges:
    """Matches results to the requests for changes, by ticket number."""

    def __init__(self, ports: "Ports") -> None:
        self._ports = ports
        self._pending: dict[int, asyncio.Future] = {}

    async def submit(
        self, build_event: Callable[[int], Event], timeout_s: float
    ) -> ChangeResult:
        """Feed the event that requests a change, and return the result.

        Parameters
        ----------
        build_event : callable
            Returns the event for a ticket number.
        timeout_s : float
            Longest wait for the result, in seconds.

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

    def answer(self, effect: AnswerRequester) -> None:
        """Pass a result to the request that waits for it."""
        fut = self._pending.get(effect.ticket)
        if fut is not None:
            set_result_if_pending(fut, effect.result)


@performs(AnswerRequester)
def _answer_requester(ports: "Ports", effect: AnswerRequester) -> None:
    ports.pending_changes.answer(effect)
