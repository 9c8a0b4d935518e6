"""Splitting of byte streams into lines."""

from lovagewalk.core import Code, LovageError

LINE_END = b"\r\n"


class LineSplitter:
    """Splits a stream of bytes into lines of text.

    Parameters
    ----------
    limit : int
        Longest line, in bytes.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._rest = b""

    def feed(self, data: bytes) -> list[str]:
        """Add bytes and return the lines that they complete.

        Raises
        ------
        LovageError
            ``STATEMENT_LARGE`` if a line is too long; ``PACKET_BAD`` if it is
            not UTF-8.
        """
        *lines, self._rest = (self._rest + data).split(LINE_END)
        longest = max(map(len, lines), default=0)
        if max(longest, len(self._rest)) > self._limit:
            raise LovageError(Code.STATEMENT_LARGE)
        try:
            return [line.decode() for line in lines]
        except UnicodeDecodeError as exc:
            raise LovageError(Code.PACKET_BAD, "not UTF-8") from exc
