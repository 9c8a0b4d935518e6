"""Parses marks, the options that a caller attaches to a statement.

Marks are query attributes whose names begin with ``lw_``, or a leading comment such
as ``/* lw token=... max_age=0.5 request=42 once */``. The comment is removed from
the text before the statement is sent to an endpoint.
"""

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass

from lovagewalk.core import Code, LovageError
from lovagewalk.routing import Marks

_MARK_COMMENT = re.compile(r"\s*/\*\s*lw\b(.*?)\*/\s*", re.DOTALL)
_MARK_COMMENT_START = re.compile(r"/\*\s*lw\b", re.IGNORECASE)
_ATTRIBUTE_PREFIX = "lw_"
_MARK_NAMES = frozenset(("token", "max_age", "request", "once", "idempotent"))
MAX_REQUEST_ID_LENGTH = 64


@dataclass(frozen=True, slots=True)
class MarkedStatement:
    """A statement's text without marks, and its marks."""

    text: str
    marks: Marks


def split_marks(text: str, attributes: Mapping[str, str]) -> MarkedStatement:
    """Separate the marks from the statement text.

    Raises
    ------
    LovageError
        ``STATEMENT_BAD`` for an unknown or malformed mark.
    """
    values = {
        name.removeprefix(_ATTRIBUTE_PREFIX): str(value)
        for name, value in attributes.items()
        if name.startswith(_ATTRIBUTE_PREFIX)
    }
    match = _MARK_COMMENT.match(text)
    if match:
        text = text[match.end() :]
        for mark in match.group(1).split():
            name, _, value = mark.partition("=")
            values[name] = value
    if _MARK_COMMENT_START.search(text):
        raise LovageError(Code.STATEMENT_BAD, "mark is not at the start")
    return MarkedStatement(text, _build_marks(values))


def _build_marks(values: Mapping[str, str]) -> Marks:
    unknown = sorted(set(values) - _MARK_NAMES)
    if unknown:
        raise LovageError(Code.STATEMENT_BAD, "unknown mark")
    request_id = values.get("request", "")
    if len(request_id) > MAX_REQUEST_ID_LENGTH:
        raise LovageError(Code.STATEMENT_BAD, "request id too long")
    once = "once" in values
    if once and not request_id:
        raise LovageError(Code.STATEMENT_BAD, "mark once needs a request id")
    return Marks(
        token=values.get("token", ""),
        max_age_s=_parse_max_age(values.get("max_age")),
        request_id=request_id,
        once=once,
        idempotent="idempotent" in values,
    )


def _parse_max_age(value: str | None) -> float | None:
    if value is None:
        return None
    try:
        age = float(value)
    except ValueError as exc:
        raise LovageError(Code.STATEMENT_BAD, "max_age is not a number") from exc
    if age < 0 or not math.isfinite(age):
        raise LovageError(Code.STATEMENT_BAD, "max_age is out of range")
    return age
