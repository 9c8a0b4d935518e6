"""A settings file that changes while a daemon runs, with and without SIGHUP."""

import logging
import os
from types import SimpleNamespace

import pytest

from lovagewalk.control import SeedsChanged
from lovagewalk.core import Code, LovageError
from lovagewalk.runtime import SettingsReloader


class SettingsFile:
    """A settings file with the names of control VMs, and the reloader of the file."""

    def __init__(self, path):
        self.path = path
        self.events = []
        self.mtime_s = 1_000
        self.write("c1")
        ports = SimpleNamespace(now=lambda: 5.0, feed=self.events.append)
        self.reloader = SettingsReloader(ports, path, self.load)

    def write(self, text):
        """Write the file, with a modification time 1 s after the previous one."""
        self.mtime_s += 1
        self.path.write_text(text)
        os.utime(self.path, (self.mtime_s, self.mtime_s))

    def load(self):
        names = tuple(self.path.read_text().split())
        if not names:
            raise LovageError(Code.SETTINGS_BAD, "no control VM")
        return names


@pytest.fixture
def file(tmp_path):
    return SettingsFile(tmp_path / "settings")


def test_a_changed_file_is_reloaded_without_a_signal(file):
    file.reloader.check()
    assert not file.events
    file.write("c1 c2")
    file.reloader.check()
    file.reloader.check()
    assert file.events == [SeedsChanged(5.0, ("c1", "c2"))]


def test_a_signal_reloads_the_file_at_once(file):
    file.write("c3")
    file.reloader.reload()
    assert file.events == [SeedsChanged(5.0, ("c3",))]


def test_rejected_settings_are_logged_and_the_previous_stay(file, caplog):
    file.write("")
    with caplog.at_level(logging.ERROR, logger="lovagewalk"):
        file.reloader.check()
    assert "LW2001" in caplog.text and not file.events
    file.write("c4")
    file.reloader.check()
    assert file.events == [SeedsChanged(5.0, ("c4",))]


def test_a_missing_file_is_logged_once(file, caplog):
    file.path.unlink()
    with caplog.at_level(logging.WARNING, logger="lovagewalk"):
        file.reloader.check()
        file.reloader.check()
    assert caplog.text.count("cannot read the settings file's modification time") == 1
