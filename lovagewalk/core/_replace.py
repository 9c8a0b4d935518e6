"""A faster `dataclasses.replace` for this project's frozen data classes.

The standard function calls ``__init__`` and reads each field's metadata. On the state
of a daemon it takes twice as long as this one, which copies slot by slot, and each
statement needs about thirty copies.
"""

from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import Any, TypeVar

T = TypeVar("T")

_new = object.__new__


@dataclass(frozen=True, slots=True)
class _Slot:
    """Accessors of one field; `write` bypasses the frozen class's ``__setattr__``."""

    name: str
    read: Callable[[Any], Any]
    write: Callable[[Any, Any], None]


_layouts: dict[type, tuple[tuple[str, Any, Any], ...]] = {}
_field_names: dict[type, frozenset[str]] = {}


def _inspect_fields(record_type: type) -> None:
    slots = [
        _Slot(
            f.name,
            getattr(record_type, f.name).__get__,
            getattr(record_type, f.name).__set__,
        )
        for f in fields(record_type)
    ]
    _layouts[record_type] = tuple((slot.name, slot.read, slot.write) for slot in slots)
    _field_names[record_type] = frozenset(slot.name for slot in slots)


def replace(record: T, **changes: Any) -> T:
    """Return a copy of a frozen data class with slots, with some fields changed.

    ``__post_init__`` is not called.

    Raises
    ------
    TypeError
        If a change names no field of the record.
    """
    record_type = record.__class__
    layout = _layouts.get(record_type)
    if layout is None:
        _inspect_fields(record_type)
        layout = _layouts[record_type]
    if not changes.keys() <= _field_names[record_type]:
        raise TypeError(
            f"{record_type.__name__} lacks some of the fields {sorted(changes)}"
        )
    copy = _new(record_type)
    for name, read, write in layout:
        write(copy, changes[name] if name in changes else read(record))
    return copy
