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
    records = []
    for line in lines:
        prefix, brace, rest = line.partition("{")
        try:
            raw = json.loads(brace + rest)
            names = prefix.split()
            records.append(
                LogLine(
                    vm=names[-1] if names else vm,
                    time=raw.pop("time"),
                    part=raw.pop("part"),
                    message=raw.pop("message"),
                    fields=raw,
                )
            )
        except (ValueError, KeyError, AttributeError):
            continue
    return records
