"""Runs a daemon or a stand-in instance as a separate process."""

import asyncio
import time
from pathlib import Path

from lovagewalk.core import Code, LovageError, TimerService
from lovagewalk.edge import Daemon, on_stop_signals
from lovagewalk.runtime import SettingsReloader, on_reload_signal
from lovagewalk.settings import DaemonSettings, StandinFileSettings, load_settings
from lovagewalk.standin import (
    Announcement,
    Standin,
    StandinSettings,
    announce_once,
    announce_periodically,
    next_sequence,
)

MS_PER_S = 1000.0
# An instance stays up for this time after it has announced its departure, so that
# daemons stop using it first. A process that has nothing to finish ends within 1 s.
LEAVE_GRACE_S = 3.0


async def run_daemon(cfg: DaemonSettings, path: Path) -> None:
    """Run a daemon until a stop signal arrives, then drain it.

    Parameters
    ----------
    path : Path
        The settings file. Changes to its list of control VMs are applied while
        the daemon runs.
    """
    daemon = Daemon(cfg, TimerService())
    on_stop_signals(daemon.drain)
    await daemon.start()

    def reload_control_addresses() -> tuple[str, ...]:
        new_cfg = load_settings(path)
        if not isinstance(new_cfg, DaemonSettings):
            raise LovageError(Code.SETTINGS_BAD, "not the settings of a daemon")
        return daemon.apply_control_addresses(new_cfg)

    reloader = SettingsReloader(daemon.ports, path, reload_control_addresses)
    reloader.start()
    on_reload_signal(reloader.reload)
    await daemon.run()


async def run_standin(cfg: StandinFileSettings) -> None:
    """Run a stand-in instance; it announces its departure before it stops.

    Raises
    ------
    LovageError
        ``DISK_FAILED`` if the rows of the instance no longer match its log.
    """
    timer = TimerService()
    section = cfg.instance
    settings = StandinSettings(
        name=section.name,
        host=section.host,
        port=section.port,
        user=section.user,
        password=section.password,
        connections=section.connections,
        slots=section.slots,
        service_s=section.service_ms / MS_PER_S,
        connect_s=section.connect_ms / MS_PER_S,
        lag_s=section.lag_ms / MS_PER_S,
    )
    stopped = asyncio.get_running_loop().create_future()

    def stop(failure: LovageError | None = None) -> None:
        if not stopped.done():
            stopped.set_result(failure)

    instance = Standin(settings, timer, stop)
    await instance.start()
    announce_task = asyncio.create_task(
        announce_periodically(
            cfg.announce.daemons,
            cfg.announce.secret,
            build_announcement(cfg, instance.port, leaving=False),
            timer,
        )
    )
    on_stop_signals(stop)
    failure = await stopped
    announce_task.cancel()
    departure = build_announcement(cfg, instance.port, leaving=True)
    for daemon in cfg.announce.daemons:
        if await announce_once(daemon, cfg.announce.secret, departure):
            await timer.sleep(LEAVE_GRACE_S)
            break
    await instance.close()
    if failure is not None:
        raise failure


def build_announcement(
    cfg: StandinFileSettings, port: int, leaving: bool
) -> Announcement:
    """Return the announcement of an instance with the next sequence number."""
    section = cfg.instance
    return Announcement(
        name=section.name,
        group=section.group,
        host=section.host,
        port=port,
        zone=section.zone,
        region=section.region,
        connections=section.connections,
        leaving=leaving,
        sequence=next_sequence(time.time()),
    )
