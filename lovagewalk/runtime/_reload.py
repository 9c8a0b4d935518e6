"""Settings that change while a daemon runs."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from lovagewalk.control import SeedsChanged
from lovagewalk.core import Event, LovageError, every

from ._ports import Ports

# A look at one file; a daemon that has lost control looks for new seeds this soon.
SETTINGS_PERIOD_S = 1.0

log = logging.getLogger("lovagewalk.daemon")


@every(SETTINGS_PERIOD_S)
@dataclass(frozen=True, slots=True)
class SettingsTick(Event):
    """Time to see whether the settings file is another one."""


class SettingsWatch:
    """Takes over what can change in a settings file without a start.

    Parameters
    ----------
    load : callable
        Reads the file and returns the control VMs that it names; raises
        ``LovageError`` for settings that are not accepted.
    """

    def __init__(
        self, ports: Ports, path: Path, load: Callable[[], tuple[str, ...]]
    ) -> None:
        self._ports = ports
        self._path = path
        self._load = load
        self._read_at = -1
        self._read_at = self._changed_at()

    def start(self) -> None:
        """Look at the file from time to time."""
        self._ports.timer.subscribe(SettingsTick).subscribe(
            on_next=lambda event: self.check()
        )

    def _changed_at(self) -> int:
        """Return when the file was last written, in nanoseconds; 0 if unknown."""
        try:
            return self._path.stat().st_mtime_ns
        except OSError as exc:
            if self._read_at:
                log.warning("cannot look at the settings file: %s", exc)
            return 0

    def check(self) -> None:
        """Read the file again if it has been written since."""
        changed_at = self._changed_at()
        if changed_at == self._read_at:
            return
        self._read_at = changed_at
        if changed_at:
            self.reload()

    def reload(self) -> None:
        """Read the file now; what is not accepted changes nothing."""
        try:
            controls = self._load()
        except LovageError as exc:
            log.error("settings are not taken over: %s", exc)
            return
        log.info("settings read again")
        self._ports.feed(SeedsChanged(self._ports.now(), controls))
