"""A whole fleet in one process on one loop, for demos, tests and benchmarks."""

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
    announce_always,
)

HOST = "127.0.0.1"
# Nothing listens there; whoever binds a port of it has chosen the port of `HOST`.
CLAIM_HOST = "127.0.0.2"
# Ten fleets of a soak; far fewer than the descriptors that a process may have.
MAX_CLAIMS = 256
READY_LIMIT_S = 20.0
RETRY_S = 0.1
# Linux gives outgoing connections ports from 32768 on.
FIRST_PORT, PORT_COUNT = 20_000, 12_000
# Prime, so that processes that start one after the other lie far apart.
PORT_STRIDE = 499
_ports = itertools.count()
_claims: deque[socket.socket] = deque()

log = logging.getLogger("lovagewalk.demo")


@dataclass(frozen=True, slots=True)
class Place:
    """An availability zone and its region."""

    zone: str
    region: str


@dataclass(frozen=True, slots=True)
class Profile:
    """A deployment of the users, as the brief gives its sizes.

    Attributes
    ----------
    zone_s, region_s : float
        One-way latency between zones and between regions, in seconds.
    connections : int
        Connections that each instance accepts.
    """

    name: str
    group: str
    route: str
    places: tuple[Place, ...]
    zone_s: float
    region_s: float
    connections: int
    customers: tuple[str, ...]


CAMPANERIA = Profile(
    name="campaneria",
    group="registro-campanas",
    route="registro",
    places=(
        Place("celaya", "bajio"),
        Place("queretaro", "bajio"),
        Place("guadalajara", "occidente"),
    ),
    zone_s=0.0015,
    region_s=0.020,
    connections=20,
    customers=tuple(f"taller-{number}" for number in range(1, 9)),
)
KANIMICHI = Profile(
    name="kanimichi",
    group="kiosk-ledger",
    route="ledger",
    places=(
        Place("sapporo-a", "doo-west"),
        Place("otaru-b", "doo-west"),
        Place("kushiro-a", "doo-east"),
    ),
    zone_s=0.001,
    region_s=0.020,
    connections=45,
    customers=tuple(f"kiosk-{number}" for number in range(1, 9)),
)
PROFILES = {profile.name: profile for profile in (CAMPANERIA, KANIMICHI)}


@dataclass(frozen=True, slots=True)
class CustomerKey:
    """A demo customer and its key."""

    name: str
    key_id: str
    secret: str = field(repr=False)


class PlacedNetwork(Network):
    """Delays between places, and cuts that tests make."""

    def __init__(self, profile: Profile, place: Place) -> None:
        self._profile = profile
        self._place = place
        self.places: dict[str, Place] = {}
        self.cut: set[str] = set()
        self.emulated = True

    def delay_s(self, name: str) -> float:
        """Return the one-way delay to a daemon or endpoint."""
        place = self.places.get(name)
        if place is None or not self.emulated or place == self._place:
            return 0.0
        if place.region == self._place.region:
            return self._profile.zone_s
        return self._profile.region_s

    def is_unreachable(self, name: str) -> bool:
        """Whether the path to a daemon or endpoint is cut."""
        return name in self.cut


def free_port() -> int:
    """Return a port of the loopback address that nothing listens on.

    It lies below the ports that the system gives to outgoing connections, so that
    none of these takes it before it is used; each process starts elsewhere. It is
    claimed on another loopback address, so that a second process leaves it alone
    also while its owner restarts what listens there.
    """
    while True:
        port = FIRST_PORT + (os.getpid() * PORT_STRIDE + next(_ports)) % PORT_COUNT
        claim = socket.socket()
        try:
            claim.bind((CLAIM_HOST, port))
            with socket.socket() as probe:
                probe.bind((HOST, port))
        except OSError as exc:
            claim.close()
            log.debug("demo: port %d is taken: %s", port, exc)
            continue
        _claims.append(claim)
        if len(_claims) > MAX_CLAIMS:
            _claims.popleft().close()
        return port


class Fleet:
    """Entry and control daemons before one stand-in group.

    Parameters
    ----------
    daemons : int
        Daemons, of which the first three are control VMs too.
    latencies : bool
        Whether the profile's latencies are emulated.
    folder : Path, optional
        Data folder; a temporary one by default, deleted at the end.
    """

    def __init__(
        self,
        profile: Profile = CAMPANERIA,
        daemons: int = 3,
        latencies: bool = False,
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
        self.customers: list[CustomerKey] = []
        self._folder = folder
        self._temporary: Path | None = None
        self._latencies = latencies
        self._count = daemons
        self._service_s = service_s
        self.operator_token = secrets.token_hex(16)
        self.announce_secret = secrets.token_hex(16)
        self.fleet_secret = secrets.token_hex(16)
        self.settings: dict[str, DaemonSettings] = {}
        self.networks: dict[str, PlacedNetwork] = {}
        self.daemons: dict[str, Daemon] = {}
        self.instances: list[Standin] = []
        self.places: dict[str, Place] = {}

    async def __aenter__(self) -> "Fleet":
        self._prepare()
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
        if self._temporary is not None:
            shutil.rmtree(self._temporary, ignore_errors=True)

    def _prepare(self) -> None:
        folder = self._folder
        if folder is None:
            folder = self._temporary = Path(tempfile.mkdtemp(prefix="lovagewalk-"))
        names = [f"vm{number + 1}" for number in range(self._count)]
        controls = {name: f"{HOST}:{free_port()}" for name in names[:3]}
        for number, name in enumerate(names):
            place = self.profile.places[number % len(self.profile.places)]
            self.places[name] = place
            network = PlacedNetwork(self.profile, place)
            network.emulated = self._latencies
            network.places = self.places
            self.networks[name] = network
            self.settings[name] = self._settings(name, place, controls, folder)

    def _settings(
        self, name: str, place: Place, controls: dict[str, str], folder: Path
    ) -> DaemonSettings:
        is_control = name in controls
        peers_port = int(controls[name].rpartition(":")[2]) if is_control else 0
        return DaemonSettings(
            daemon=DaemonSection(
                name,
                place.zone,
                place.region,
                ("entry", "control") if is_control else ("entry",),
                self._count,
            ),
            listen=ListenSection(HOST, free_port(), peers_port, free_port()),
            secrets=SecretsSection(
                self.fleet_secret, self.operator_token, self.announce_secret
            ),
            endpoints=EndpointsSection("lovagewalk", "endpoint-secret"),
            control=controls,
            data=DataSection(str(folder / name) if is_control else ""),
        )

    async def start_daemon(self, name: str) -> Daemon:
        """Start a daemon, or start it again."""
        daemon = Daemon(self.settings[name], self.timer, self.networks[name])
        await daemon.start()
        self.daemons[name] = daemon
        return daemon

    async def kill_daemon(self, name: str) -> None:
        """Close a daemon at once; nothing is handed back."""
        await self.daemons.pop(name).close()

    async def _start_instance(self, number: int) -> None:
        place = self.profile.places[number % len(self.profile.places)]
        name = f"db{number + 1}"
        self.places[name] = place
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
            place.zone,
            place.region,
            self.profile.connections,
        )
        addresses = tuple(
            f"{HOST}:{cfg.listen.operators_port}" for cfg in self.settings.values()
        )
        self.tasks.append(
            asyncio.create_task(
                announce_always(
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
        """Give a customer another key."""
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
        self.customers.append(key)
        return key

    def operator(self, name: str = "") -> OperatorClient:
        """Return an operator's client of a daemon, of any one by default."""
        name = name or next(iter(self.daemons))
        port = self.daemons[name].operators_port
        return OperatorClient(f"{HOST}:{port}", self.operator_token)

    async def change(self, command: dict, name: str = "") -> dict:
        """Propose a change, again and again until a leader decides it."""
        request_id = secrets.token_hex(8)
        deadline = self.timer.now() + READY_LIMIT_S
        while True:
            try:
                async with self.operator(name) as client:
                    return await client.change(command, request_id=request_id)
            except OperatorError as exc:
                undecided = exc.code in ("LW2103", "LW2104")
                if not undecided or self.timer.now() > deadline:
                    raise
            await self.timer.sleep(RETRY_S)

    def is_ready(self) -> bool:
        """Whether every daemon may be sent callers and the group has a primary."""
        return all(
            daemon.state.catalogue.group(self.profile.group).primary
            and daemon.state.catalogue.route(self.profile.route)
            and is_ready(daemon.state, self.timer.now())
            and holds_shares(daemon.state)
            for daemon in self.daemons.values()
        )

    async def until(self, condition, limit_s: float = READY_LIMIT_S) -> float:
        """Wait until a condition holds and return how long it took.

        Raises
        ------
        TimeoutError
        """
        started = self.timer.now()
        while not condition():
            if self.timer.now() - started > limit_s:
                raise TimeoutError(f"{condition} did not hold in {limit_s} s")
            await self.timer.sleep(0.005)
        return self.timer.now() - started

    def leader(self) -> Daemon | None:
        """Return the daemon that leads control, if there is one."""
        leaders = [
            daemon
            for daemon in self.daemons.values()
            if daemon.state.consensus and daemon.state.consensus.is_leader
        ]
        return max(leaders, key=lambda d: d.state.consensus.term, default=None)

    def primary(self) -> Standin:
        """Return the instance that the newest catalogue names as primary."""
        newest = max(
            (daemon.state.catalogue for daemon in self.daemons.values()),
            key=lambda catalogue: catalogue.revision,
        )
        name = newest.group(self.profile.group).primary
        return next(i for i in self.instances if i.cfg.name == name)

    async def connect(self, daemon: str, key: CustomerKey | None = None):
        """Connect as a customer to one daemon."""
        key = key or self.customers[0]
        return await asyncmy.connect(
            host=HOST,
            port=self.daemons[daemon].callers_port,
            user=key.key_id,
            password=key.secret,
            db=self.profile.route,
            autocommit=True,
        )


async def run(conn, text: str):
    """Run a statement; return its rows, or its affected rows."""
    async with conn.cursor() as cursor:
        count = await cursor.execute(text)
        if cursor.description is None:
            return count
        return [tuple(row) for row in await cursor.fetchall()]
