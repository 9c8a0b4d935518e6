"""Settings of daemons and stand-ins, as frozen data classes."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class DaemonSection:
    """``[daemon]``: identity and roles of this VM.

    Attributes
    ----------
    name, zone, region : str
    roles : tuple of str
        ``entry``, ``control`` or both.
    fleet_size : int
        Number of entry daemons in the fleet, which share the connections of each
        endpoint.
    """

    name: str
    zone: str
    region: str
    roles: tuple[str, ...] = ("entry",)
    fleet_size: int = 1


@dataclass(frozen=True, slots=True)
class ListenSection:
    """``[listen]``: IP address and ports on which this VM listens."""

    host: str
    callers_port: int
    peers_port: int
    operators_port: int


@dataclass(frozen=True, slots=True)
class SecretsSection:
    """``[secrets]``: secrets that the fleet shares, which are never logged.

    Attributes
    ----------
    fleet : str
        Authenticates daemons to each other and signs session tokens.
    operator : str
        Bearer token of operators.
    announce : str
        Signs announcements of endpoints.
    """

    fleet: str = field(repr=False)
    operator: str = field(repr=False)
    announce: str = field(repr=False)


@dataclass(frozen=True, slots=True)
class EndpointsSection:
    """``[endpoints]``: credentials with which daemons log in to endpoints.

    Attributes
    ----------
    monitor : str
        User for the statements of the group protocol; see docs/GROUP-PROTOCOL.md.
    """

    user: str
    password: str = field(repr=False)
    monitor: str = "group"


@dataclass(frozen=True, slots=True)
class DataSection:
    """``[data]``: data folder of a control VM; empty for other VMs."""

    folder: str = ""


@dataclass(frozen=True, slots=True)
class LogSection:
    """``[log]``: log level and format (``text`` or ``json``)."""

    level: str = "INFO"
    form: str = "text"


@dataclass(frozen=True, slots=True)
class LimitsSection:
    """``[limits]``: limits of the VM and for clients; 0 for derived ones.

    Attributes
    ----------
    memory_mb, max_fds : int
        Memory and descriptors of the VM.
    client_memory_mb : int
        Memory that clients may hold.
    max_clients, max_clients_per_source : int
        Connections of callers, in total and from one address.
    client_startup_ms, client_message_ms, client_unread_ms : int
        Time until a caller has logged in, for a message that has begun, and for answers
        of which nothing is read.
    """

    memory_mb: int = 0
    max_fds: int = 0
    client_memory_mb: int = 0
    max_clients: int = 0
    max_clients_per_source: int = 0
    client_startup_ms: int = 0
    client_message_ms: int = 0
    client_unread_ms: int = 0


@dataclass(frozen=True, slots=True)
class DaemonSettings:
    """Settings of one daemon.

    Attributes
    ----------
    control : dict of str to str
        ``[control]``: peer address, ``IP:PORT``, of each control VM by name.
    """

    daemon: DaemonSection
    listen: ListenSection
    secrets: SecretsSection
    endpoints: EndpointsSection
    control: dict[str, str]
    data: DataSection = DataSection()
    log: LogSection = LogSection()
    limits: LimitsSection = LimitsSection()


@dataclass(frozen=True, slots=True)
class InstanceSection:
    """``[instance]``: one stand-in instance.

    Attributes
    ----------
    connections, slots : int
        Maximum numbers of client connections and of concurrent statements.
    service_ms, connect_ms, lag_ms : float
        Emulated durations in milliseconds: of a statement, of opening a
        connection, and of the replication lag.
    """

    name: str
    group: str
    zone: str
    region: str
    host: str
    port: int
    user: str
    password: str = field(repr=False)
    connections: int = 20
    slots: int = 3
    service_ms: float = 0.0
    connect_ms: float = 10.0
    lag_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class AnnounceSection:
    """``[announce]``: daemons to which the instance announces itself.

    Attributes
    ----------
    daemons : tuple of str
        Addresses of the daemons' HTTP servers for operators, ``IP:PORT``.
    """

    daemons: tuple[str, ...]
    secret: str = field(repr=False)


@dataclass(frozen=True, slots=True)
class StandinFileSettings:
    """Settings of a stand-in process."""

    instance: InstanceSection
    announce: AnnounceSection
    log: LogSection = LogSection()
