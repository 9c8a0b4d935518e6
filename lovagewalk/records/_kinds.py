"""The registry of log record types, each with its part and its sentence."""

from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import Any

from lovagewalk.core import Effect, Handlers


@dataclass(frozen=True, slots=True)
class LogRecord(Effect):
    """A structured log line: the inputs of a decision or a change, with their ages."""


@dataclass(frozen=True, slots=True)
class RecordKind:
    """How records of one type are logged.

    Attributes
    ----------
    part : str
        The component of the daemon that logs the record.
    sentence : str
        The message, identical in all lines of the type so that it can be searched.
    names : tuple of str
        Field names.
    """

    part: str
    sentence: str
    names: tuple[str, ...]


_kinds: Handlers[type, RecordKind] = Handlers()


def recorded(part: str, sentence: str) -> Callable[[type], type]:
    """Register the decorated record type."""

    def register(record_type: type) -> type:
        names = tuple(field.name for field in fields(record_type))
        _kinds.on(record_type)(RecordKind(part, sentence, names))
        return record_type

    return register


def record_types() -> tuple[type, ...]:
    """Return all registered record types."""
    return tuple(_kinds)


def kind_of(record: LogRecord) -> RecordKind:
    """Return the registered kind of a record."""
    return _kinds[type(record)]


def sentence_of(record_type: type) -> str:
    """Return the sentence that all lines of a record type share."""
    return _kinds[record_type].sentence


def fields_of(record: LogRecord) -> dict[str, Any]:
    """Return a record's fields by name."""
    return {name: getattr(record, name) for name in kind_of(record).names}
