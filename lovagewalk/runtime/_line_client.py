"""The connection of a client that sends messages as lines, within the client budget."""

import asyncio
import logging

from lovagewalk.clients import STATEMENT_COPIES, ClientKind
from lovagewalk.core import LovageError, Refusal

from ._clients import ClientPort, find_source
from ._lines import LineSplitter
from ._ports import Ports
from ._sockets import set_tcp_options

log = logging.getLogger("lovagewalk.callers")


class LineClient(asyncio.Protocol):
    """One client's connection; it processes one message at a time.

    What the client sends ahead stays as received bytes. Beyond a limit the connection
    is not read, and as long as the client leaves answers unread, no message is
    processed.

    Parameters
    ----------
    max_line_bytes : int
        Length of the longest accepted message.
    tcp_timeout_s : float
        Longest time without an acknowledgement, in seconds.
    """

    def __init__(
        self,
        ports: Ports,
        kind: ClientKind,
        max_line_bytes: int,
        tcp_timeout_s: float,
    ) -> None:
        self._ports = ports
        self._tcp_timeout_s = tcp_timeout_s
        self._splitter = LineSplitter(max_line_bytes)
        self._transport: asyncio.Transport | None = None
        self._client = ClientPort(ports, kind, self)
        self._accepted = False
        self._awaiting_answer = False
        self._statement_bytes = 0
        self._is_paused = False
        self._has_unread_answers = False
        self._is_reading = True

    def handle_line(self, line: str) -> None:
        """Process one message.

        Raises
        ------
        LovageError
            If the connection is to be closed with this error.
        """
        raise NotImplementedError

    def send_refusal(self, refusal: Refusal) -> None:
        """Send an error."""
        raise NotImplementedError

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the connection."""
        self._transport = transport
        set_tcp_options(transport.get_extra_info("socket"), self._tcp_timeout_s)
        self._client.open(find_source(transport))

    def data_received(self, data: bytes) -> None:
        """Process the messages that are complete with these bytes."""
        if self._transport.is_closing():
            return
        self._splitter.append(data)
        self._process_pending()

    def pause_writing(self) -> None:
        """Process no further message until the client has read its answers."""
        self._has_unread_answers = True

    def resume_writing(self) -> None:
        """Process messages again."""
        self._has_unread_answers = False
        self._schedule_pending()
        self._report()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection."""
        self._splitter.clear()
        self._client.close()

    @property
    def _may_process(self) -> bool:
        is_blocked = self._awaiting_answer or self._has_unread_answers
        return not is_blocked and not self._is_paused

    def _process_pending(self) -> None:
        try:
            while self._may_process and not self._transport.is_closing():
                line = self._splitter.next_line()
                if line is None:
                    break
                self.handle_line(line)
        except LovageError as exc:
            log.warning("callers: closing a connection: %s", exc)
            self._splitter.clear()
            self.send_refusal(exc.refusal)
            self._transport.close()
        self._update_reading()
        self._report()

    def _schedule_pending(self) -> None:
        if self._splitter.held_bytes:
            asyncio.get_running_loop().call_soon(self._process_pending)

    def _update_reading(self) -> None:
        """Stop or go on reading, depending on what was sent ahead."""
        held_bytes = self._splitter.held_bytes
        should_read = True
        if held_bytes or self._is_paused:
            limits = self._ports.state.client_budget.limits
            is_ahead = held_bytes >= limits.read_ahead_bytes
            should_read = not self._is_paused and (self._may_process or not is_ahead)
        if should_read is self._is_reading or self._transport.is_closing():
            return
        self._is_reading = should_read
        if should_read:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def _report(self, exact: bool = False) -> None:
        """Report to the client budget what this connection holds."""
        message, ahead = self._splitter.held_bytes, 0
        if self._awaiting_answer or self._has_unread_answers:
            message, ahead = 0, message + self._statement_bytes * STATEMENT_COPIES
        unread = self._transport.get_write_buffer_size()
        self._client.report(message, ahead, unread, exact)

    def pause(self) -> None:
        """Read nothing and process no message, because of memory pressure."""
        self._is_paused = True
        self._update_reading()

    def resume(self) -> None:
        """Read and process messages again."""
        self._is_paused = False
        self._update_reading()
        self._schedule_pending()

    def measure(self) -> None:
        """Report what this connection holds now."""
        self._report(exact=True)

    def shut(self, refusal: Refusal) -> None:
        """Close the connection because of a limit for clients.

        The refusal says that nothing was run, so a client with a statement in progress
        does not get it.
        """
        self._splitter.clear()
        is_running = self._accepted and self._awaiting_answer
        if is_running or self._transport.get_write_buffer_size():
            self._transport.abort()
            return
        self.send_refusal(refusal)
        self._transport.close()
