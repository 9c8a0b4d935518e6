"""The rows of an endpoint's answer, which is kept whole until it is complete."""

from lovagewalk.core import Code, LovageError

# Eight messages of the largest size. The answers of 60 sessions at once, of which most
# are far smaller, fit into the memory that is reserved for answers.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# Memory of a row beside its text.
ROW_OVERHEAD_BYTES = 64


class BoundedRows:
    """Collects the rows of one answer after the other."""

    def __init__(self) -> None:
        self._rows: list[str] = []
        self._held_bytes = 0

    def append(self, row: str) -> None:
        """Add a row.

        Raises
        ------
        LovageError
            ``STATEMENT_LARGE`` if the answer exceeds `MAX_ANSWER_BYTES`.
        """
        self._held_bytes += len(row) + ROW_OVERHEAD_BYTES
        if self._held_bytes > MAX_ANSWER_BYTES:
            raise LovageError(Code.STATEMENT_LARGE, "answer of an endpoint")
        self._rows.append(row)

    def take(self) -> tuple[str, ...]:
        """Return the rows of the answer that is complete, and begin the next one."""
        rows = tuple(self._rows)
        self._rows, self._held_bytes = [], 0
        return rows
