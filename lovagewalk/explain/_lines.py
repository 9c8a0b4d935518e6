"""Parsing of the log lines of daemons."""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a daemon's log.

    Attributes
    ----------
    vm : str
        The VM that wrote the line.
    time : str
        Timestamp as written; it sorts as text, since all lines share a format.
    part : str
        The component of the daemon that wrote the line.
    fields : Mapping
        The remaining fields of the line.
    """

    vm: str
    time: str
    part: str
    message: str
    fields: Mapping[str, Any] = field(default_factory=dict)

    def get(self, name: str, default: Any = "") -> Any:
        """Return a field, or the default if the line does not have it."""
        return self.fields.get(name, default)


def parse_log(vm: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the lines of a log that hold a log record; other lines are skipped.

    Log collectors may add a prefix to each line; the last word of the prefix is then
    the name of the VM.
    """
    log_lines = []
    for line in lines:
        prefix, brace, body = line.partition("{")
        try:
            fields = json.loads(brace + body)
            prefix_words = prefix.split()
            log_lines.append(
                LogLine(
                    vm=prefix_words[-1] if prefix_words else vm,
                    time=fields.pop("time"),
                    part=fields.pop("part"),
                    message=fields.pop("message"),
                    fields=fields,
                )
            )
        except (ValueError, KeyError, AttributeError):
            continue
    return log_lines
