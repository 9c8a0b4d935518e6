"""Lines of logs as they were written."""

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
        Where it was written.
    time : str
        As written; lines of one format sort by it.
    fields : Mapping
        The rest of the line.
    """

    vm: str
    time: str
    part: str
    message: str
    fields: Mapping[str, Any] = field(default_factory=dict)

    def get(self, name: str, default: Any = "") -> Any:
        """Return a field, or a default."""
        return self.fields.get(name, default)


def parse_log(vm: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the lines of a log that hold a record; others are passed over.

    A line may have a prefix, as collectors of logs add; its last word then
    names the VM.
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
