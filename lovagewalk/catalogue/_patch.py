"""Changes to a few entries of a map."""

from collections.abc import Iterable, Mapping
from typing import Any

from immutables import Map


def patch(entries: Map, changed: Mapping[str, Any], removed: Iterable[str]) -> Map:
    """Return a map with some entries set and others removed.

    Without changes the same object is returned, since maps are compared by
    identity to skip work for unchanged ones.
    """
    for name in removed:
        if name in entries:
            entries = entries.delete(name)
    for name, item in changed.items():
        entries = entries.set(name, item)
    return entries
