"""Splitting of byte streams into lines."""

from lovagewalk.core import Code, LovageError

LINE_END = b"\r\n"


class LineSplitter:
    """Splits a stream of bytes into lines of text.

    Parameters
    ----------
    max_line_bytes : int
        Length of the longest accepted line.
    """

    def __init__(self, max_line_bytes: int) -> None:
        self._max_line_bytes = max_line_bytes
        self._partial_line = b""

    def feed(self, data: bytes) -> list[str]:
        """Add bytes and return the lines that they complete.

        Raises
        ------
        LovageError
            ``STATEMENT_LARGE`` if a line is too long; ``PACKET_BAD`` if it is
            not UTF-8.
        """
        *lines, self._partial_line = (self._partial_line + data).split(LINE_END)
        longest = max(map(len, lines), default=0)
        if max(longest, len(self._partial_line)) > self._max_line_bytes:
            raise LovageError(Code.STATEMENT_LARGE)
        try:
            return [line.decode() for line in lines]
        except UnicodeDecodeError as exc:
            raise LovageError(Code.PACKET_BAD, "not UTF-8") from exc
