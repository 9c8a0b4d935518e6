"""Marks the tests listed in KNOWN-RED.txt as expected failures and prints them."""

import re
from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parents[2] / "KNOWN-RED.txt"
# The name of a test; what was seen may follow.
_ENTRY = re.compile(r"^ +Test: (\S+)(?: - .*)?$", re.MULTILINE)


def _known_failures() -> list[str]:
    return _ENTRY.findall(KNOWN_RED.read_text())


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures, which may also pass."""
    known_failures = _known_failures()
    for item in items:
        if item.nodeid in known_failures:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter) -> None:
    """Print the listed tests, whether or not they failed in this run."""
    for name in _known_failures():
        terminalreporter.write_line(f"known red: {name}")
