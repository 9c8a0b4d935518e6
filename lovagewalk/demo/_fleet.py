"""A fleet in one process on one event loop, for demos, tests and benchmarks."""

import asyncio
import itertools
import logging
import os
import secrets
import shutil
import socket
import tempfile
from collections import deque
from dataclasses import dataclass, field
from pathlib import Path

import asyncmy
from mysql_mimic.auth import NativePasswordAuthPlugin

from lovagewalk.control import holds_shares, is_ready
from lovagewalk.core import TimerService
from lovagewalk.edge import Daemon, Network
from lovagewalk.operators import OperatorClient, OperatorError
from lovagewalk.settings import (
    DaemonSection,
    DaemonSettings,
    DataSection,
    EndpointsSection,
    ListenSection,
    SecretsSection,
)
from lovagewalk.standin import (
    Announcement,
    Standin,
    StandinSettings,
    announce_periodically,
)

HOST = "127.0.0.1"
# A process binds a port of this address to claim the same port of `HOST`. Nothing
# listens on this address.
CLAIM_HOST = "127.0.0.2"
# The limit suffices for ten fleets of a soak run and is far below the number of file
# descriptors that a process may have.
MAX_CLAIMS = 256
READY_TIMEOUT_S = 20.0
RETRY_DELAY_S = 0.1
# The range ends below 32768, where Linux starts to assign ports to outgoing
# connections.
FIRST_PORT, PORT_COUNT = 20_000, 12_000
# The stride is prime, so that processes with successive ids start far apart.
PORT_STRIDE = 499
_port_offsets = itertools.count()
_claims: deque[socket.socket] = deque()

log = logging.getLogger("lovagewalk.demo")


@dataclass(frozen=True, slots=True)
class Location:
    """An availability zone and its region."""

    zone: str
    region: str


@dataclass(frozen=True, slots=True)
class Profile:
    """The deployment of one of the users, with the sizes that the user states.

    Attributes
    ----------
    zone_latency_s, region_latency_s : float
        One-way latency between zones and between regions, in seconds.
    connections : int
        Connections that each instance accepts.
    """

    name: str
    group: str
    route: str
    locations: tuple[Location, ...]
    zone_latency_s: float
    region_latency_s: float
    connections: int
    customers: tuple[str, ...]


CAMPANERIA = Profile(
    name="campaneria",
    group="registro-campanas",
    route="registro",
    locations=(
        Location("celaya", "bajio"),
        Location("queretaro", "bajio"),
        Location("guadalajara", "occidente"),
    ),
    zone_latency_s=0.0015,
    region_latency_s=0.020,
    connections=20,
    customers=tuple(f"taller-{number}" for number in range(1, 9)),
)
KANIMICHI = Profile(
    name="kanimichi",
    group="kiosk-ledger",
    route="ledger",
    locations=(
        Location("sapporo-a", "doo-west"),
        Location("otaru-b", "doo-west"),
        Location("kushiro-a", "doo-east"),
    ),
    zone_latency_s=0.001,
    region_latency_s=0.020,
    connections=45,
    customers=tuple(f"kiosk-{number}" for number in range(1, 9)),
)
PROFILES = {profile.name: profile for profile in (CAMPANERIA, KANIMICHI)}


@dataclass(frozen=True, slots=True)
class CustomerKey:
    """A key with which callers of a customer connect."""

    customer: str
    key_id: str
    secret: str = field(repr=False)


class EmulatedNetwork(Network):
    """A network with emulated latency, and with partitions that tests set."""

    def __init__(self, profile: Profile, location: Location) -> None:
        self._profile = profile
        self._location = location
        self.locations: dict[str, Location] = {}
        self.unreachable: set[str] = set()
        self.emulates_latency = True

    def delay_s(self, name: str) -> float:
        """Return the one-way delay to a daemon or endpoint, in seconds."""
        location = self.locations.get(name)
        if location is None or not self.emulates_latency or location == self._location:
            return 0.0
        if location.region == self._location.region:
            return self._profile.zone_latency_s
        return self._profile.region_latency_s

    def is_unreachable(self, name: str) -> bool:
        """Return whether messages to and from a daemon or endpoint are lost."""
        return name in self.unreachable


def free_port() -> int:
    """Return a port of the loopback address that nothing listens on.

    The port is below those that the system assigns to outgoing connections, so that
    none of them takes it before it is used. Each process starts at another port. The
    port is also bound on a second loopback address, so that other processes do not
    choose it while its owner restarts the listener.
    """
    while True:
        port = (
            FIRST_PORT + (os.getpid() * PORT_STRIDE + next(_port_offsets)) % PORT_COUNT
        )
        claim = socket.socket()
        try:
            claim.bind((CLAIM_HOST, port))
            with socket.socket() as probe:
                probe.bind((HOST, port))
        except OSError as exc:
            claim.close()
            log.debug("demo: port %d is in use: %s", port, exc)
            continue
        _claims.append(claim)
        if len(_claims) > MAX_CLAIMS:
            _claims.popleft().close()
        return port


class Fleet:
    """Entry and control daemons in front of one group of stand-in instances.

    Parameters
    ----------
    daemon_count : int
        Number of daemons; the first three have the control role too.
    emulate_latency : bool
        Whether the profile's latencies are emulated.
    folder : Path, optional
        Data folder; by default a temporary one, which is deleted at the end.
    rate, burst : float
        Rate limit of each customer, in requests a second, and its burst.
    service_s : float
        Emulated time in which an instance runs a statement, in seconds.

    Attributes
    ----------
    customer_keys : list of CustomerKey
        Keys in the order of their issue; the first ones belong to different customers.
    """

    def __init__(
        self,
        profile: Profile = CAMPANERIA,
        daemon_count: int = 3,
        emulate_latency: bool = False,
        folder: Path | None = None,
        rate: float = 2000.0,
        burst: float = 500.0,
        service_s: float = 0.0,
    ) -> None:
        self.profile = profile
        self.timer = TimerService()
        self.rate = rate
        self.burst = burst
        self.tasks: list[asyncio.Task] = []
        self.customer_keys: list[CustomerKey] = []
        self._folder = folder
        self._temporary_folder: Path | None = None
        self._emulate_latency = emulate_latency
        self._daemon_count = daemon_count
        self._service_s = service_s
        self.operator_token = secrets.token_hex(16)
        self.announce_secret = secrets.token_hex(16)
        self.fleet_secret = secrets.token_hex(16)
        self.settings: dict[str, DaemonSettings] = {}
        self.networks: dict[str, EmulatedNetwork] = {}
        self.daemons: dict[str, Daemon] = {}
        self.instances: list[Standin] = []
        self.locations: dict[str, Location] = {}

    async def __aenter__(self) -> "Fleet":
        self._prepare_daemons()
        for name in self.settings:
            await self.start_daemon(name)
        for number in range(3):
            await self._start_instance(number)
        await self._fill_catalogue()
        await self.until(self.is_ready)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in self.tasks:
            task.cancel()
        for daemon in list(self.daemons.values()):
            await daemon.close()
        for instance in self.instances:
            await instance.close()
        self.timer.close()
        if self._temporary_folder is not None:
            shutil.rmtree(self._temporary_folder, ignore_errors=True)

    def _prepare_daemons(self) -> None:
        folder = self._folder
        if folder is None:
            folder = self._temporary_folder = Path(
                tempfile.mkdtemp(prefix="lovagewalk-")
            )
        names = [f"vm{number + 1}" for number in range(self._daemon_count)]
        control_addresses = {name: f"{HOST}:{free_port()}" for name in names[:3]}
        for number, name in enumerate(names):
            location = self.profile.locations[number % len(self.profile.locations)]
            self.locations[name] = location
            network = EmulatedNetwork(self.profile, location)
            network.emulates_latency = self._emulate_latency
            network.locations = self.locations
            self.networks[name] = network
            self.settings[name] = self._build_settings(
                name, location, control_addresses, folder
            )

    def _build_settings(
        self,
        name: str,
        location: Location,
        control_addresses: dict[str, str],
        folder: Path,
    ) -> DaemonSettings:
        has_control_role = name in control_addresses
        peers_port = (
            int(control_addresses[name].rpartition(":")[2]) if has_control_role else 0
        )
        return DaemonSettings(
            daemon=DaemonSection(
                name,
                location.zone,
                location.region,
                ("entry", "control") if has_control_role else ("entry",),
                self._daemon_count,
            ),
            listen=ListenSection(HOST, free_port(), peers_port, free_port()),
            secrets=SecretsSection(
                self.fleet_secret, self.operator_token, self.announce_secret
            ),
            endpoints=EndpointsSection("lovagewalk", "endpoint-secret"),
            control=control_addresses,
            data=DataSection(str(folder / name) if has_control_role else ""),
        )

    async def start_daemon(self, name: str) -> Daemon:
        """Start or restart a daemon."""
        daemon = Daemon(self.settings[name], self.timer, self.networks[name])
        await daemon.start()
        self.daemons[name] = daemon
        return daemon

    async def kill_daemon(self, name: str) -> None:
        """Close a daemon at once; it does not return its holdings."""
        await self.daemons.pop(name).close()

    async def _start_instance(self, number: int) -> None:
        location = self.profile.locations[number % len(self.profile.locations)]
        name = f"db{number + 1}"
        self.locations[name] = location
        settings = StandinSettings(
            name, connections=self.profile.connections, service_s=self._service_s
        )
        instance = Standin(settings, self.timer)
        await instance.start()
        self.instances.append(instance)
        announcement = Announcement(
            name,
            self.profile.group,
            HOST,
            instance.port,
            location.zone,
            location.region,
            self.profile.connections,
        )
        addresses = tuple(
            f"{HOST}:{cfg.listen.operators_port}" for cfg in self.settings.values()
        )
        self.tasks.append(
            asyncio.create_task(
                announce_periodically(
                    addresses, self.announce_secret, announcement, self.timer
                )
            )
        )

    async def _fill_catalogue(self) -> None:
        for name in self.profile.customers:
            entry = {
                "name": name,
                "owner": self.profile.name,
                "rate": self.rate,
                "burst": self.burst,
                "weight": 1.0,
            }
            await self.change({"_type": "PutCustomer", "entry": entry, "expected": 0})
            await self.issue_key(name)
        route = {
            "name": self.profile.route,
            "owner": self.profile.name,
            "group": self.profile.group,
            "route_class": "KEYED",
            "customers": [],
        }
        await self.change({"_type": "PutRoute", "entry": route, "expected": 0})

    async def issue_key(self, customer: str) -> CustomerKey:
        """Issue another key to a customer."""
        secret = secrets.token_urlsafe(16)
        key = CustomerKey(customer, f"{customer}-{secrets.token_hex(4)}", secret)
        digest = NativePasswordAuthPlugin.create_auth_string(secret)
        await self.change(
            {
                "_type": "IssueKey",
                "key_id": key.key_id,
                "customer": customer,
                "digest": digest,
            }
        )
        self.customer_keys.append(key)
        return key

    def operator(self, name: str = "") -> OperatorClient:
        """Return an operator client of a daemon, by default of the first one."""
        name = name or next(iter(self.daemons))
        port = self.daemons[name].operators_port
        return OperatorClient(f"{HOST}:{port}", self.operator_token)

    async def change(self, command: dict, name: str = "") -> dict:
        """Propose a change and retry it until a leader decides it."""
        request_id = secrets.token_hex(8)
        deadline = self.timer.now() + READY_TIMEOUT_S
        while True:
            try:
                async with self.operator(name) as client:
                    return await client.change(command, request_id=request_id)
            except OperatorError as exc:
                is_undecided = exc.code in ("LW2103", "LW2104")
                if not is_undecided or self.timer.now() > deadline:
                    raise
            await self.timer.sleep(RETRY_DELAY_S)

    def is_ready(self) -> bool:
        """Return whether all daemons are ready and the group has a primary."""
        return all(
            daemon.state.catalogue.group(self.profile.group).primary
            and daemon.state.catalogue.route(self.profile.route)
            and is_ready(daemon.state, self.timer.now())
            and holds_shares(daemon.state)
            for daemon in self.daemons.values()
        )

    async def until(self, condition, timeout_s: float = READY_TIMEOUT_S) -> float:
        """Wait until a condition is met and return the elapsed seconds.

        Raises
        ------
        TimeoutError
            If the condition is not met within `timeout_s` seconds.
        """
        started_at = self.timer.now()
        while not condition():
            if self.timer.now() - started_at > timeout_s:
                raise TimeoutError(f"{condition} was not met within {timeout_s} s")
            await self.timer.sleep(0.005)
        return self.timer.now() - started_at

    def leader(self) -> Daemon | None:
        """Return the daemon that is control leader in the highest term, if any."""
        leaders = [
            daemon
            for daemon in self.daemons.values()
            if daemon.state.consensus and daemon.state.consensus.is_leader
        ]
        return max(leaders, key=lambda d: d.state.consensus.term, default=None)

    def primary(self) -> Standin:
        """Return the instance that is primary in the newest catalogue."""
        newest_catalogue = max(
            (daemon.state.catalogue for daemon in self.daemons.values()),
            key=lambda catalogue: catalogue.revision,
        )
        name = newest_catalogue.group(self.profile.group).primary
        return next(i for i in self.instances if i.cfg.name == name)

    async def connect(self, daemon: str, key: CustomerKey | None = None):
        """Connect to one daemon with a customer's key, by default the first one."""
        key = key or self.customer_keys[0]
        return await asyncmy.connect(
            host=HOST,
            port=self.daemons[daemon].callers_port,
            user=key.key_id,
            password=key.secret,
            db=self.profile.route,
            autocommit=True,
        )


async def run(conn, text: str):
    """Run a statement; return its rows or the number of affected rows."""
    async with conn.cursor() as cursor:
        count = await cursor.execute(text)
        if cursor.description is None:
            return count
        return [tuple(row) for row in await cursor.fetchall()]
