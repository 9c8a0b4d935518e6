"""Builds a daemon from the platform's settings and runs it."""

import asyncio
import logging
import secrets
import signal
from pathlib import Path

from lovagewalk.audit import AuditTrail
from lovagewalk.control import (
    ConsensusTick,
    ControlState,
    ControlTick,
    DrainRequested,
    FollowState,
    RepairTick,
)
from lovagewalk.core import Event, LovageError, Shell, TimerService, replace
from lovagewalk.daemon import SweepTick, install_catalogue
from lovagewalk.journal import Journal
from lovagewalk.node import Identity, NodeState
from lovagewalk.runtime import Decisions, PeerAddress, Peers, Ports, _storage
from lovagewalk.settings import parse_address

from ._callers import CallerFront
from ._endpoints import EndpointClient
from ._http import HttpServer
from ._operators import Operators
from ._provider import Provider
from ._settings import PlatformSettings

# The balancer takes a daemon out after two misses, a second apart.
OUT_OF_ROTATION_S = 2.2
# Left of the time to stop, for the last answers to be sent.
STOP_MARGIN_S = 0.6
ENTRY_TICKS: tuple[type[Event], ...] = (SweepTick, ControlTick)
CONTROL_TICKS: tuple[type[Event], ...] = (ConsensusTick, RepairTick, ControlTick)

log = logging.getLogger("lovagewalk.daemon")
_PERFORMERS = (_storage,)


def resolve_peer(name: str) -> PeerAddress | None:
    """Return the address of a control VM, which is its name."""
    try:
        return PeerAddress(*parse_address(name))
    except ValueError:
        return None


class PlatformDaemon:
    """One daemon on the platform."""

    def __init__(self, cfg: PlatformSettings, timer: TimerService) -> None:
        self.cfg = cfg
        self.fault: LovageError | None = None
        self.is_control = cfg.operators is not None
        self.name = f"{cfg.host}:{cfg.peers_port}" if self.is_control else cfg.name
        self.ports = Ports(timer)
        self.ports.decisions = Decisions(self.ports)
        self.ports.endpoints = EndpointClient(self.ports)
        self.ports.callers = CallerFront(self.ports)
        self.ports.operators = Operators(self.ports, cfg)
        self.ports.provider = Provider(self.ports, cfg.provider)
        self.ports.peers = Peers(
            self.ports, self.name, cfg.secret.encode(), resolve_peer
        )
        self._servers: list[HttpServer] = []

    async def start(self) -> None:
        """Read the data folder, listen, and start the timers.

        Raises
        ------
        LovageError
            If the data folder is damaged.
        """
        cfg, ports = self.cfg, self.ports
        ports.shell = Shell(self._first_state(), ports, ports.timer, self._on_fatal)
        await ports.peers.listen(cfg.host, cfg.peers_port)
        await self._serve(
            PeerAddress(cfg.host, cfg.metrics_port), ports.operators.handle_metrics
        )
        if cfg.operators is not None:
            await self._serve(cfg.operators, ports.operators.handle_control)
        if cfg.health is not None:
            await self._serve(cfg.health, ports.operators.handle_health)
        if cfg.callers is not None:
            await ports.callers.listen(cfg.callers.host, cfg.callers.port)
        ticks = CONTROL_TICKS if self.is_control else ENTRY_TICKS
        for event_type in ticks:
            ports.shell.tick(event_type)
        log.info("daemon started", extra={"daemon": cfg.name, "zone": cfg.zone})

    async def _serve(self, address: PeerAddress, handler: object) -> None:
        server = HttpServer(handler)
        await server.listen(address.host, address.port)
        self._servers.append(server)

    def _first_state(self) -> NodeState:
        cfg = self.cfg
        me = Identity(
            name=self.name,
            zone=cfg.zone,
            region=cfg.region,
            fleet_secret=cfg.secret.encode(),
            control=self.is_control,
            entry=cfg.callers is not None,
            drain_s=OUT_OF_ROTATION_S,
        )
        seeds = tuple(f"{host}:{cfg.peers_port}" for host in cfg.seeds)
        target = self.name if self.is_control else seeds[0]
        state = NodeState(me, follow=FollowState(seeds, target, secrets.token_hex(8)))
        if not self.is_control:
            return state
        folder = Path(cfg.data_folder)
        self.ports.journal = Journal(folder)
        stored = self.ports.journal.load()
        self.ports.audit = AuditTrail(folder)
        peers = tuple(name for name in seeds if name != self.name)
        founders = seeds if cfg.may_found else ()
        raft = stored.build_raft(me.name, peers, secrets.randbits(62), founders)
        state = replace(state, consensus=raft, control=ControlState())
        now = self.ports.timer.now()
        return install_catalogue(state, stored.catalogue, now).state

    def _on_fatal(self, exc: LovageError) -> None:
        self.fault = exc
        self.ports.operators.stopped.set()

    async def run(self) -> None:
        """Run until the daemon has drained or cannot go on.

        Raises
        ------
        LovageError
            The fault that ended it.
        """
        await self.ports.operators.stopped.wait()
        self.close()
        log.info("daemon stopped", extra={"daemon": self.cfg.name})
        if self.fault is not None:
            raise self.fault

    def drain(self) -> None:
        """Begin a graceful stop; `run` ends when nothing is left to finish."""
        log.info("daemon drains", extra={"daemon": self.cfg.name})
        self.ports.feed(DrainRequested(self.ports.now()))
        limit_s = max(self.cfg.grace_s - STOP_MARGIN_S, 0.0)
        self.ports.timer.after(limit_s, self.ports.operators.stopped.set)

    def reload(self) -> None:
        """Note that the settings file has changed.

        Seeds are looked up at a start only; control VMs that came later are
        known from the catalogue.
        """
        log.info("settings changed; they are read at the next start")

    def close(self) -> None:
        """Close everything at once."""
        self.ports.close()
        self.ports.shell.close()
        self.ports.timer.close()
        self.ports.callers.close()
        self.ports.endpoints.close_all()
        self.ports.peers.close()
        for server in self._servers:
            server.close()
        if self.ports.journal is not None:
            self.ports.journal.close()
        if self.ports.audit is not None:
            self.ports.audit.close()


async def run_daemon(cfg: PlatformSettings) -> None:
    """Run one daemon until it is asked to stop."""
    daemon = PlatformDaemon(cfg, TimerService())
    on_signals(daemon)
    await daemon.start()
    await daemon.run()


def on_signals(daemon: PlatformDaemon) -> None:
    """React to the platform's signals."""

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.drain)
    loop.add_signal_handler(signal.SIGHUP, daemon.reload)
