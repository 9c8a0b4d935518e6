"""Structured logs on standard output, which are bounded and never block.

A line that exceeds the budget or the buffer is dropped. The next line that is written
holds the number of lines dropped before it.
"""

import json
import logging
import os
import sys
from collections.abc import Callable

from lovagewalk.core import boot_clock

# Enough to log every refusal if one in ten of an entry daemon's requests is refused.
LINES_PER_S = 40.0
# Lines of five seconds, for a moment when all callers reconnect at once.
BURST_LINES = 200.0
# Room for about a thousand lines.
MAX_BUFFERED_BYTES = 256 * 1024
_STANDARD_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


class JsonFormatter(logging.Formatter):
    """Formats a record as one line of JSON, with its extra fields."""

    def format(self, record: logging.LogRecord) -> str:
        """Return a record's line."""
        fields = {
            "time": self.formatTime(record),
            "level": record.levelname,
            "part": record.name.removeprefix("lovagewalk."),
            "message": record.getMessage(),
        }
        for name, value in vars(record).items():
            if name not in _STANDARD_FIELDS:
                fields[name] = value
        if record.exc_info:
            fields["error"] = self.formatException(record.exc_info)
        return json.dumps(fields, default=str)


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without waiting for its reader.

    Parameters
    ----------
    descriptor : int
        File descriptor, which is made non-blocking.
    lines_per_s, burst : float
        Rate at which the budget of lines is refilled, and its upper limit.
    clock : callable
        Returns the time in seconds, from which the refill is computed.

    Attributes
    ----------
    dropped : int
        Number of lines dropped since the last line that was written.
    dropped_total : int
        Number of lines dropped since the handler was created.
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_s: float = LINES_PER_S,
        burst: float = BURST_LINES,
        clock: Callable[[], float] = boot_clock,
    ) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._burst = burst
        self._budget = burst
        self._clock = clock
        self._refilled_at = clock()
        self._buffer = b""
        self.dropped = 0
        self.dropped_total = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or drop it."""
        if not self._charge_budget(record):
            self._drop()
            return
        if self.dropped:
            record.dropped_before = self.dropped
        line = (self.format(record) + "\n").encode()
        self.flush()
        if len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self._drop()
            return
        self.dropped = 0
        self._buffer += line
        self.flush()

    def _drop(self) -> None:
        self.dropped += 1
        self.dropped_total += 1

    def _charge_budget(self, record: logging.LogRecord) -> bool:
        """Charge a line to the budget; errors are written even if it is used up."""
        now = self._clock()
        refill = (now - self._refilled_at) * self._lines_per_s
        self._refilled_at = now
        self._budget = min(self._burst, self._budget + refill)
        if self._budget < 1 and record.levelno < logging.ERROR:
            return False
        self._budget = max(self._budget - 1, 0.0)
        return True

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end, so the error cannot be logged.
                self._buffer = b""
                return
            self._buffer = self._buffer[written:]


def set_up_structured_logs(level: str) -> BoundedHandler:
    """Send this project's logs to standard output as JSON lines."""
    handler = BoundedHandler(sys.stdout.fileno())
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger("lovagewalk")
    root.setLevel(level)
    root.handlers = [handler]
    root.propagate = False
    return handler


def count_dropped_lines() -> int:
    """Return how many log lines this process has dropped since its start."""
    handlers = logging.getLogger("lovagewalk").handlers
    bounded_handlers = (item for item in handlers if isinstance(item, BoundedHandler))
    return sum(handler.dropped_total for handler in bounded_handlers)
