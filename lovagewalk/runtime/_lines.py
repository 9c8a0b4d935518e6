"""Splitting of byte streams into lines."""

from lovagewalk.core import Code, LovageError

LINE_END = b"\r\n"


class LineSplitter:
    """Splits a stream of bytes into lines of text.

    Each received byte is copied and searched a constant number of times, however small
    the pieces are in which a line arrives.

    Parameters
    ----------
    max_line_bytes : int
        Length of the longest accepted line.
    """

    def __init__(self, max_line_bytes: int) -> None:
        self._max_line_bytes = max_line_bytes
        self._buffer = bytearray()
        # Start of the next line, and the position before which no line ends.
        self._start = 0
        self._searched = 0

    @property
    def held_bytes(self) -> int:
        """Number of received bytes that no line has been read from yet."""
        return len(self._buffer) - self._start

    def append(self, data: bytes) -> None:
        """Add received bytes, from which `next_line` reads."""
        if self._start:
            # What is left is less than one read from the socket and one line.
            del self._buffer[: self._start]
            self._searched -= self._start
            self._start = 0
        self._buffer += data

    def next_line(self) -> str | None:
        """Return the next complete line, or None if there is none.

        Raises
        ------
        LovageError
            ``STATEMENT_LARGE`` if the line is too long; ``PACKET_BAD`` if it is
            not UTF-8.
        """
        end = self._buffer.find(LINE_END, self._searched)
        length = (len(self._buffer) if end < 0 else end) - self._start
        if length > self._max_line_bytes:
            raise LovageError(Code.STATEMENT_LARGE)
        if end < 0:
            # The last byte may be the first one of a line end.
            self._searched = max(len(self._buffer) - 1, self._start)
            return None
        line = self._buffer[self._start : end]
        self._start = self._searched = end + len(LINE_END)
        if self._start == len(self._buffer):
            self.clear()
        try:
            return line.decode()
        except UnicodeDecodeError as exc:
            raise LovageError(Code.PACKET_BAD, "not UTF-8") from exc

    def feed(self, data: bytes) -> list[str]:
        """Add bytes and return all lines that they complete.

        Raises
        ------
        LovageError
            As `next_line` does.
        """
        self.append(data)
        lines = []
        while (line := self.next_line()) is not None:
            lines.append(line)
        return lines

    def clear(self) -> None:
        """Discard all received bytes and release their memory."""
        self._buffer = bytearray()
        self._start = self._searched = 0
