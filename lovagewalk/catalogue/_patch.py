"""Maps of entries with a few of them changed."""

from collections.abc import Iterable, Mapping
from typing import Any

from immutables import Map


def patch(held: Map, changed: Mapping[str, Any], gone: Iterable[str]) -> Map:
    """Return a map with some entries set and others dropped.

    Without any it is returned as it is, so that nothing is enforced anew.
    """
    for name in gone:
        if name in held:
            held = held.delete(name)
    for name, item in changed.items():
        held = held.set(name, item)
    return held
