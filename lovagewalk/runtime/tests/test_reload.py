"""A settings file that changes while a daemon runs, with and without SIGHUP."""

import logging
import os
from types import SimpleNamespace

import pytest

from lovagewalk.control import SeedsChanged
from lovagewalk.core import Code, LovageError
from lovagewalk.runtime import SettingsWatch


class File:
    """A settings file that holds the names of control VMs, and its watch."""

    def __init__(self, path):
        self.path = path
        self.events = []
        self.moment = 1_000
        self.write("c1")
        ports = SimpleNamespace(now=lambda: 5.0, feed=self.events.append)
        self.watch = SettingsWatch(ports, path, self.load)

    def write(self, text):
        """Write the file, with a time of change one second after the last one."""
        self.moment += 1
        self.path.write_text(text)
        os.utime(self.path, (self.moment, self.moment))

    def load(self):
        names = tuple(self.path.read_text().split())
        if not names:
            raise LovageError(Code.SETTINGS_BAD, "no control VM")
        return names


@pytest.fixture
def file(tmp_path):
    return File(tmp_path / "settings")


def test_a_changed_file_is_read_without_a_signal(file):
    file.watch.check()
    assert not file.events
    file.write("c1 c2")
    file.watch.check()
    file.watch.check()
    assert file.events == [SeedsChanged(5.0, ("c1", "c2"))]


def test_a_signal_reads_it_at_once(file):
    file.write("c3")
    file.watch.reload()
    assert file.events == [SeedsChanged(5.0, ("c3",))]


def test_bad_settings_are_told_and_the_old_ones_stay(file, caplog):
    file.write("")
    with caplog.at_level(logging.ERROR, logger="lovagewalk"):
        file.watch.check()
    assert "LW2001" in caplog.text and not file.events
    file.write("c4")
    file.watch.check()
    assert file.events == [SeedsChanged(5.0, ("c4",))]


def test_a_file_that_is_gone_is_told_once(file, caplog):
    file.path.unlink()
    with caplog.at_level(logging.WARNING, logger="lovagewalk"):
        file.watch.check()
        file.watch.check()
    assert caplog.text.count("cannot read the time of the settings file") == 1
