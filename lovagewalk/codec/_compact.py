"""Compact form of frequent messages: lists of their fields, without names.

On narrow links, the names take more than half of the bytes of reports and of requests
for tokens.
"""

from dataclasses import dataclass, fields, is_dataclass
from functools import cache
from types import UnionType
from typing import Any, get_args, get_origin, get_type_hints

from lovagewalk import buckets
from lovagewalk.control import _messages as control
from lovagewalk.core import Code, LovageError

# Messages that each daemon sends many times a second.
_COMPACT_TYPES = frozenset(
    (
        control.FollowReply,
        control.FollowRequest,
        buckets.TokenAnswer,
        buckets.TokenAsk,
    )
)
# In msgpack, the marker of the list and a small version number come before the name of
# the message, whose marker holds its length. A list of up to 15 fields follows.
NAME_OFFSET = 2
_FIXED_TEXT_LENGTH = 0x1F
_FIXED_LIST_MARKERS = range(0x90, 0xA0)


@dataclass(frozen=True, slots=True)
class Shape:
    """How a value is built from lists.

    Attributes
    ----------
    names : tuple of str
        Names of the fields of an object; empty for a sequence.
    shapes : tuple of Shape or None
        Shapes of these fields, or of each item of a sequence; None for plain values.
    """

    names: tuple[str, ...]
    shapes: tuple["Shape | None", ...]


def has_compact_form(message: Any) -> bool:
    """Whether a message has a compact form; parts of the catalogue have none."""
    if type(message) not in _COMPACT_TYPES:
        return False
    return getattr(message, "delta", None) is None


def is_compact(data: bytes) -> bool:
    """Whether encoded data, which is known to be a message, is in the compact form."""
    name_length = data[NAME_OFFSET] & _FIXED_TEXT_LENGTH
    return data[NAME_OFFSET + 1 + name_length] in _FIXED_LIST_MARKERS


def remove_names(value: Any) -> Any:
    """Return a value with each dictionary replaced by the list of its values."""
    if isinstance(value, dict):
        return [remove_names(item) for item in value.values()]
    if isinstance(value, (list, tuple)):
        return [remove_names(item) for item in value]
    return value


def restore_names(body: list[Any], message_type: type) -> dict[str, Any]:
    """Return the dictionary of a message's fields from its compact form.

    Fields at the end that have their default values may be missing.

    Raises
    ------
    LovageError
        ``FRAME_BAD`` if messages of this type have no compact form, or if an object has
        too many fields.
    """
    if message_type not in _COMPACT_TYPES:
        raise LovageError(Code.FRAME_BAD, "a message without field names")
    return _restore(body, _find_shape(message_type))


def _restore(value: Any, shape: Shape | None) -> Any:
    if shape is None or value is None:
        return value
    if not shape.names:
        return [_restore(item, shape.shapes[0]) for item in value]
    if len(value) > len(shape.names):
        raise LovageError(Code.FRAME_BAD, "too many fields")
    return {
        name: _restore(item, field_shape)
        for name, field_shape, item in zip(shape.names, shape.shapes, value)
    }


@cache
def _find_shape(value_type: Any) -> Shape | None:
    """Return the shape of a type: a data class, a tuple of one, or an optional one."""
    if is_dataclass(value_type):
        hints = get_type_hints(value_type)
        names = tuple(field.name for field in fields(value_type))
        return Shape(names, tuple(_find_shape(hints[name]) for name in names))
    arguments = [argument for argument in get_args(value_type) if argument is not None]
    if get_origin(value_type) is tuple:
        item_shape = _find_shape(arguments[0])
        return Shape((), (item_shape,)) if item_shape is not None else None
    if isinstance(value_type, UnionType):
        shapes = [_find_shape(argument) for argument in arguments]
        return next((shape for shape in shapes if shape is not None), None)
    return None
