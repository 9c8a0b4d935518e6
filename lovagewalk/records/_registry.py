"""Registry of log record types, each with its part and its message."""

from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import Any

from lovagewalk.core import Effect, Handlers


@dataclass(frozen=True, slots=True)
class LogRecord(Effect):
    """A structured log line: the inputs of a decision or a change, with their ages."""


@dataclass(frozen=True, slots=True)
class RecordFormat:
    """How records of one type are logged.

    Attributes
    ----------
    part : str
        The component of the daemon that logs the record.
    message : str
        The message, identical in all lines of the type so that it can be searched.
    field_names : tuple of str
        Names of the fields, in order.
    """

    part: str
    message: str
    field_names: tuple[str, ...]


_formats: Handlers[type, RecordFormat] = Handlers()


def logged_as(part: str, message: str) -> Callable[[type], type]:
    """Register the decorated class as a record type, with its part and message."""

    def register(record_type: type) -> type:
        field_names = tuple(field.name for field in fields(record_type))
        _formats.on(record_type)(RecordFormat(part, message, field_names))
        return record_type

    return register


def record_types() -> tuple[type, ...]:
    """Return all registered record types."""
    return tuple(_formats)


def get_record_format(record: LogRecord) -> RecordFormat:
    """Return the format registered for the type of a record."""
    return _formats[type(record)]


def get_record_message(record_type: type) -> str:
    """Return the message that all lines of a record type share."""
    return _formats[record_type].message


def get_record_fields(record: LogRecord) -> dict[str, Any]:
    """Return the fields of a record by name."""
    return {
        name: getattr(record, name) for name in get_record_format(record).field_names
    }
