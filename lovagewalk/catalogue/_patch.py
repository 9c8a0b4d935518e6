"""Changes to a few entries of a map."""

from collections.abc import Iterable, Mapping
from typing import Any

from immutables import Map


def patch(held: Map, changed: Mapping[str, Any], gone: Iterable[str]) -> Map:
    """Return a map with some entries set and others removed.

    Without changes the same object is returned; callers compare maps by identity
    to skip work for unchanged ones.
    """
    for name in gone:
        if name in held:
            held = held.delete(name)
    for name, item in changed.items():
        held = held.set(name, item)
    return held
