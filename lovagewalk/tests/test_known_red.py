"""Every entry of KNOWN-RED.txt names an existing test."""

from .conftest import KNOWN_RED, _known_failures


def test_each_entry_names_a_test():
    root = KNOWN_RED.parent
    for nodeid in _known_failures():
        path, _, name = nodeid.partition("::")
        name = name.partition("[")[0]
        assert f"def {name}(" in (root / path).read_text()
