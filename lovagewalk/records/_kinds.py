"""The registry of log records: their part and their sentence."""

from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import Any

from lovagewalk.core import Effect, Handlers


@dataclass(frozen=True, slots=True)
class LogRecord(Effect):
    """A line of the log; its fields are what decided, with their ages."""


@dataclass(frozen=True, slots=True)
class RecordKind:
    """How records of a type are logged.

    Attributes
    ----------
    part : str
        The part of the daemon that decided or came to believe something.
    sentence : str
        The same in every line of the kind, so that it can be searched for.
    names : tuple of str
        Names of the fields.
    """

    part: str
    sentence: str
    names: tuple[str, ...]


_kinds: Handlers[type, RecordKind] = Handlers()


def recorded(part: str, sentence: str) -> Callable[[type], type]:
    """Register the decorated type of records."""

    def register(record_type: type) -> type:
        names = tuple(field.name for field in fields(record_type))
        _kinds.on(record_type)(RecordKind(part, sentence, names))
        return record_type

    return register


def record_types() -> tuple[type, ...]:
    """Return every type of records."""
    return tuple(_kinds)


def kind_of(record: LogRecord) -> RecordKind:
    """Return how a record is logged."""
    return _kinds[type(record)]


def sentence_of(record_type: type) -> str:
    """Return the sentence by which lines of a type of records are found."""
    return _kinds[record_type].sentence


def fields_of(record: LogRecord) -> dict[str, Any]:
    """Return a record's fields by name."""
    return {name: getattr(record, name) for name in kind_of(record).names}
