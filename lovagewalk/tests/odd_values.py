"""Generators of values that another writer may send in place of a valid one."""

import math
from dataclasses import fields, is_dataclass

from hypothesis import strategies as st

from lovagewalk.codec import decode, encode
from lovagewalk.consensus import LogEntry, PersistEntries

odd_numbers = st.one_of(
    st.integers(),
    st.sampled_from([2**63, 2**64, 2**70, -(2**63) - 1, 10**400, -1, 0, 99999]),
    st.floats(allow_nan=True, allow_infinity=True),
)
odd_texts = st.one_of(
    st.text(st.characters(), max_size=8),
    st.sampled_from(["", " ", "\ud800", "a\udfffb", "a b", "a\r\nb", "\0", "x" * 5000]),
    st.sampled_from(["10.0.0.1:99999", "10.0.0.1:0", "10.0.0.1:-1", "nowhere:1"]),
)
odd_values = st.recursive(
    st.one_of(st.none(), st.booleans(), odd_numbers, odd_texts),
    lambda children: st.lists(children, max_size=3)
    | st.dictionaries(st.text(max_size=4), children, max_size=3),
    max_leaves=5,
)


def field_paths(value, path=()):
    """Return the paths of all values in a JSON document."""
    paths = [path] if path else []
    items = value.items() if isinstance(value, dict) else ()
    if isinstance(value, list):
        items = enumerate(value)
    for key, item in items:
        paths += field_paths(item, path + (key,))
    return paths


def with_value(document, path, value):
    """Return a document with the value at a path replaced."""
    if not path:
        return value
    copy = dict(document) if isinstance(document, dict) else list(document)
    copy[path[0]] = with_value(copy[path[0]], path[1:], value)
    return copy


def check_storable(proposal):
    """Check that a proposal can be written to disk, sent, and read back unchanged."""
    record = PersistEntries((LogEntry(1, 1, proposal),))
    assert decode(encode(record)) == record
    check_finite(proposal.command)


def check_finite(value):
    """Check that no number in a dataclass is infinite or not a number."""
    if isinstance(value, float):
        assert math.isfinite(value)
    elif isinstance(value, tuple):
        for item in value:
            check_finite(item)
    elif is_dataclass(value):
        for field in fields(value):
            check_finite(getattr(value, field.name))
