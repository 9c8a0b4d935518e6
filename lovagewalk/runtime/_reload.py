"""Reloading of the settings while a daemon runs."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from lovagewalk.control import SeedsChanged
from lovagewalk.core import Event, LovageError, every

from ._ports import Ports

# Each check is one stat call. A daemon that cannot reach control finds new seeds
# within this time.
CHECK_PERIOD_S = 1.0

log = logging.getLogger("lovagewalk.daemon")


@every(CHECK_PERIOD_S)
@dataclass(frozen=True, slots=True)
class SettingsTick(Event):
    """It is time to check whether the settings file has changed."""


class SettingsReloader:
    """Reloads the settings that can change without a restart.

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
        # Not 0, so that a file that is missing at the start is logged.
        self._loaded_mtime_ns = -1
        self._loaded_mtime_ns = self._read_mtime_ns()

    def start(self) -> None:
        """Check the file periodically."""
        self._ports.timer.subscribe(SettingsTick).subscribe(
            on_next=lambda event: self.check()
        )

    def _read_mtime_ns(self) -> int:
        """Return the file's modification time in nanoseconds; 0 if unknown."""
        try:
            return self._path.stat().st_mtime_ns
        except OSError as exc:
            if self._loaded_mtime_ns:
                log.warning(
                    "cannot read the settings file's modification time: %s", exc
                )
            return 0

    def check(self) -> None:
        """Reload the file if it has changed since it was last read."""
        mtime_ns = self._read_mtime_ns()
        if mtime_ns == self._loaded_mtime_ns:
            return
        self._loaded_mtime_ns = mtime_ns
        if mtime_ns:
            self.reload()

    def reload(self) -> None:
        """Reload the file now; settings that are not accepted have no effect."""
        try:
            control_names = self._load()
        except LovageError as exc:
            log.error("settings not reloaded; the previous ones stay: %s", exc)
            return
        log.info("settings reloaded")
        self._ports.feed(SeedsChanged(self._ports.now(), control_names))
