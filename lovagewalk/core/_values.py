"""Checks of single values from outside, which every log, disk and peer can hold."""

import math
from typing import Any

# msgpack and the log of consensus hold signed integers of 64 bits.
MIN_INT = -(2**63)
MAX_INT = 2**63 - 1
MAX_PORT = 65535
# Numbers of at most this many digits fit into 64 bits.
MAX_DIGITS = 18


def find_value_problem(value: Any) -> str:
    """Return why a number or text cannot be stored; empty if it can."""
    if isinstance(value, int):
        return "" if MIN_INT <= value <= MAX_INT else "does not fit into 64 bits"
    if isinstance(value, float):
        return "" if math.isfinite(value) else "is not a finite number"
    if isinstance(value, str) and not value.isprintable():
        return "contains characters that cannot be printed"
    return ""


def parse_count(text: str) -> int:
    """Return the number that is written in decimal digits.

    Raises
    ------
    ValueError
        If the text holds anything else, or too many digits for 64 bits.
    """
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS):
        raise ValueError("not a number of at most 18 digits")
    return int(text)
