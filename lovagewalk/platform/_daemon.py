"""Builds a daemon from the platform's settings and runs it."""

import logging
import secrets
from pathlib import Path

from lovagewalk.clients import ClientKind, ClientsTick, create_budget
from lovagewalk.control import ConsensusTick, ControlTick, FollowState, RepairTick
from lovagewalk.core import Event, Shell, TimerService
from lovagewalk.daemon import SweepTick
from lovagewalk.node import Identity, NodeState, is_narrow_link
from lovagewalk.routing import plan_drain
from lovagewalk.runtime import (
    CallerServer,
    DaemonProcess,
    MetricsPage,
    Peers,
    Ports,
    SettingsReloader,
    derive_process_limits,
    load_when_accepted,
    on_reload_signal,
    on_stop_signals,
)
from lovagewalk.settings import Address

from ._callers import CallerSession
from ._endpoints import EndpointClient
from ._http_handlers import HttpHandlers
from ._provider import ProviderClient
from ._settings import (
    METRICS_PORT,
    PlatformSettings,
    load_platform_settings,
    read_environment,
)

# The load balancer removes a daemon after two failed checks, a second apart.
OUT_OF_ROTATION_S = 2.2
# Reserved for the exit of the process on a busy VM.
STOP_MARGIN_S = 0.8
COMMON_TICKS: tuple[type[Event], ...] = (ControlTick, ClientsTick)
ENTRY_TICKS = (*COMMON_TICKS, SweepTick)
CONTROL_TICKS = (*COMMON_TICKS, ConsensusTick, RepairTick)

log = logging.getLogger("lovagewalk.daemon")


class PlatformDaemon(DaemonProcess):
    """One daemon on the platform."""

    def __init__(self, cfg: PlatformSettings, timer: TimerService) -> None:
        self.cfg = cfg
        self.is_control = cfg.operators is not None
        name = f"{cfg.host}:{cfg.peers_port}"
        drain_timeout_s = max(cfg.grace_s - STOP_MARGIN_S, 0.0)
        super().__init__(Ports(timer), name, drain_timeout_s)
        self.ports.endpoints = EndpointClient(self.ports)
        self.ports.callers = CallerServer(self.ports, lambda: CallerSession(self.ports))
        self.ports.operators = HttpHandlers(self.ports, cfg)
        self.ports.provider = ProviderClient(self.ports, cfg.provider)
        secret = cfg.secret.encode()
        self.ports.peers = Peers(
            self.ports,
            name,
            secret,
            Address.try_parse,
            compact=is_narrow_link(cfg.limits.link_mbps),
        )

    async def start(self) -> None:
        """Load the data folder, open the listeners and start the timers.

        Raises
        ------
        LovageError
            ``DISK_TAKEN`` if another process uses the data folder.
        """
        cfg, ports = self.cfg, self.ports
        ports.shell = Shell(self._initial_state(), ports, ports.timer, self.on_fatal)
        metrics = MetricsPage(ports)
        # The daemon serves without its metrics as well.
        ports.spawn(self.serve(Address(cfg.host, METRICS_PORT), metrics.handle))
        await self.listen("peers", ports.peers, Address(cfg.host, cfg.peers_port))
        await self.serve(
            cfg.operators, ports.operators.handle_control, ClientKind.OPERATOR
        )
        await self.listen("callers", ports.callers, cfg.callers)
        await self.serve(cfg.health, ports.operators.handle_health)
        for event_type in CONTROL_TICKS if self.is_control else ENTRY_TICKS:
            ports.shell.subscribe(event_type)
        log.info("daemon started", extra={"daemon": cfg.name, "zone": cfg.zone})

    def _initial_state(self) -> NodeState:
        cfg = self.cfg
        identity = Identity(
            name=self.name,
            zone=cfg.zone,
            region=cfg.region,
            fleet_secret=cfg.secret.encode(),
            control=self.is_control,
            entry=cfg.callers is not None,
            drain_limits=plan_drain(cfg.grace_s, OUT_OF_ROTATION_S),
            may_own=True,
            paces_endpoints=cfg.paces_endpoints,
            zones=frozenset((cfg.zone, *cfg.regions)),
            low_bandwidth=is_narrow_link(cfg.limits.link_mbps),
        )
        seeds = cfg.control_names
        target = self.name if self.is_control else seeds[0]
        state = NodeState(
            identity,
            follow=FollowState(seeds, target, secrets.token_hex(8)),
            client_budget=create_budget(derive_process_limits(cfg.limits)),
        )
        if not self.is_control:
            return state
        bootstrap_members = seeds if cfg.bootstrap else ()
        return self.load_control_state(
            state, Path(cfg.data_folder), seeds, bootstrap_members
        )

    async def close(self) -> None:
        """Stop the timers, and close listeners, connections and files."""
        self.ports.timer.close()
        self.ports.callers.stop()
        await super().close()


async def run_daemon() -> None:
    """Run one daemon until it is asked to stop.

    Raises
    ------
    LovageError
        ``SETTINGS_BAD`` if the environment lacks a variable.
    """
    path, _ = read_environment()
    timer = TimerService()
    cfg = await load_when_accepted(timer, load_platform_settings)
    daemon = PlatformDaemon(cfg, timer)
    on_stop_signals(daemon.drain)
    reloader = SettingsReloader(
        daemon.ports, path, lambda: load_platform_settings().control_names
    )
    on_reload_signal(reloader.reload)
    await daemon.start()
    reloader.start()
    await daemon.run()
