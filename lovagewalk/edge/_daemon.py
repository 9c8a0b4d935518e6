"""Builds a daemon from its settings and runs it on the running event loop."""

import asyncio
import logging
import secrets
from pathlib import Path

from lovagewalk.clients import ClientsTick, LimitSettings, create_budget
from lovagewalk.control import ConsensusTick, ControlTick, FollowState, RepairTick
from lovagewalk.core import Shell, TimerService
from lovagewalk.daemon import SweepTick
from lovagewalk.groups import PollTick
from lovagewalk.node import DrainLimits, Identity, NodeState
from lovagewalk.runtime import (
    DaemonProcess,
    Network,
    Peers,
    Ports,
    derive_process_limits,
)
from lovagewalk.settings import Address, DaemonSettings, parse_address

from ._callers import MysqlCallerServer
from ._endpoints import EndpointClient
from ._group_client import Credentials
from ._operators import OperatorServer
from ._order_client import OrderClient

# Twice the default time limit of a request.
DRAIN_TIMEOUT_S = 10.0
# Open transactions may continue until 2 s before the end, and the last answers have
# half a second to be sent.
DRAIN_LIMITS = DrainLimits(
    transactions_s=DRAIN_TIMEOUT_S - 2.0, answers_s=DRAIN_TIMEOUT_S - 0.5
)
MIB = 1024 * 1024
MS_PER_S = 1000.0
TICKS = (PollTick, SweepTick, ConsensusTick, ControlTick, RepairTick, ClientsTick)

log = logging.getLogger("lovagewalk.daemon")


class Daemon(DaemonProcess):
    """A daemon with its state, its shell and all adapters.

    Parameters
    ----------
    cfg : DaemonSettings
    timer : TimerService
        Supplies the time and runs the timers.
    network : Network, optional
        Emulates delays and network partitions; emulates none by default.
    """

    def __init__(
        self,
        cfg: DaemonSettings,
        timer: TimerService,
        network: Network | None = None,
    ) -> None:
        super().__init__(Ports(timer), cfg.daemon.name, DRAIN_TIMEOUT_S)
        self.cfg = cfg
        self.callers_port = cfg.listen.callers_port
        self.peers_port = cfg.listen.peers_port
        self.operators_port = cfg.listen.operators_port
        network = network or Network()
        credentials = Credentials(
            cfg.endpoints.user, cfg.endpoints.password, cfg.endpoints.monitor
        )
        fleet_secret = cfg.secrets.fleet.encode()
        self._addresses: dict[str, Address] = {}
        self.apply_control_addresses(cfg)
        self.ports.endpoints = EndpointClient(self.ports, credentials, network)
        self.ports.orders = OrderClient(self.ports, credentials, network)
        self.ports.callers = MysqlCallerServer(self.ports)
        self.ports.peers = Peers(
            self.ports, cfg.daemon.name, fleet_secret, self._addresses.get, network
        )
        self.ports.operators = OperatorServer(
            self.ports, cfg.secrets.operator, cfg.secrets.announce
        )

    def apply_control_addresses(self, cfg: DaemonSettings) -> tuple[str, ...]:
        """Use the control VMs' addresses in `cfg` from now on; return their names."""
        self._addresses.clear()
        for name, address in cfg.control.items():
            self._addresses[name] = Address(*parse_address(address))
        return tuple(self._addresses)

    @property
    def state(self) -> NodeState:
        """The current state of the daemon."""
        return self.ports.state

    async def start(self) -> None:
        """Read the data folder, open the listeners and start the timers.

        Raises
        ------
        LovageError
            ``DISK_TAKEN`` if another process uses the data folder.
        """
        state = self._initial_state()
        self.ports.shell = Shell(state, self.ports, self.ports.timer, self.on_fatal)
        await self._listen()
        for event_type in TICKS:
            self.ports.shell.subscribe(event_type)
        log.info("daemon: %s started", self.cfg.daemon.name)

    async def _listen(self) -> None:
        """Open the listeners; each waits until its address is free."""
        ports, host = self.ports, self.cfg.listen.host
        self.peers_port = await self.listen(
            "peers", ports.peers, Address(host, self.peers_port)
        )
        self.operators_port = await self.listen(
            "operators", ports.operators, Address(host, self.operators_port)
        )
        if "entry" in self.cfg.daemon.roles:
            self.callers_port = await self.listen(
                "callers", ports.callers.listener, Address(host, self.callers_port)
            )

    def _initial_state(self) -> NodeState:
        daemon = self.cfg.daemon
        identity = Identity(
            name=daemon.name,
            zone=daemon.zone,
            region=daemon.region,
            fleet_secret=self.cfg.secrets.fleet.encode(),
            fleet_size=daemon.fleet_size,
            control="control" in daemon.roles,
            drain_limits=DRAIN_LIMITS,
            # All daemons have the addresses of the control VMs alone.
            may_own="control" in daemon.roles,
            zones=frozenset((daemon.zone,)),
        )
        control_names = tuple(self.cfg.control)
        target = daemon.name if identity.control else control_names[0]
        boot = secrets.token_hex(8)
        state = NodeState(
            identity,
            follow=FollowState(control_names, target, boot),
            client_budget=create_budget(derive_process_limits(self._limits())),
        )
        if not identity.control:
            return state
        folder = Path(self.cfg.data.folder)
        return self.load_control_state(state, folder, control_names, control_names)

    def _limits(self) -> LimitSettings:
        cfg = self.cfg.limits
        return LimitSettings(
            memory_bytes=cfg.memory_mb * MIB,
            descriptors=cfg.max_fds,
            client_bytes=cfg.client_memory_mb * MIB,
            callers=cfg.max_clients,
            callers_per_source=cfg.max_clients_per_source,
            startup_timeout_s=cfg.client_startup_ms / MS_PER_S,
            message_timeout_s=cfg.client_message_ms / MS_PER_S,
            unread_timeout_s=cfg.client_unread_ms / MS_PER_S,
        )

    async def stop(self) -> None:
        """Drain the daemon, wait until it has stopped, and close it."""
        self.drain()
        await self.ports.stopped.wait()
        await self.close()

    async def close(self) -> None:
        """Close everything immediately, without a drain, as a crash would."""
        await super().close()
        self.ports.callers.listener.close()
        self.ports.orders.close()
        await self.ports.operators.close()
        await asyncio.sleep(0)
