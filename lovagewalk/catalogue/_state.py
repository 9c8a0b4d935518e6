"""Catalogue entries and the catalogue that contains them.

The catalogue is the replicated state of the control log: every daemon that has
applied the same entries holds the same catalogue.
"""

from dataclasses import dataclass, field
from enum import Enum

from immutables import Map

from lovagewalk.core import Refusal, replace

# Bounds of what an instance reports, far above the values of any deployment: they keep
# a wrong value from disabling the pace of an endpoint for long.
MAX_SLOTS = 10_000
MAX_COLD_S = 600.0


class RouteClass(Enum):
    """Who may use a route."""

    KEYED = "keyed"
    OPEN = "open"


class Consistency(Enum):
    """What reads of a route must include.

    With ``SESSION``, each statement states its own requirement. The other three
    apply to every session of the route.
    """

    SESSION = "session"
    PRIMARY = "primary"
    BOUNDED = "bounded"
    OWN_WRITES = "own writes"


class RateUnit(Enum):
    """Unit of a customer's rate; a transaction is one operation."""

    STATEMENTS = "statements"
    OPERATIONS = "operations"


class Management(Enum):
    """Who promotes the primary of a group.

    Control fences and promotes the instances of ``FENCED`` groups by statements,
    and writes to them are confirmed by a quorum. For ``PROVIDER`` groups an
    external provider promotes the instances.
    """

    FENCED = "fenced"
    PROVIDER = "provider"


@dataclass(frozen=True, slots=True)
class CustomerEntry:
    """A customer and its limits over the whole fleet.

    Attributes
    ----------
    rate : float
        Statements or operations a second, as `unit` says.
    burst : float
        Statements or operations that may arrive at once.
    weight : float
        Share of scarce connections, relative to other customers.
    """

    name: str
    owner: str
    rate: float
    burst: float
    weight: float = 1.0
    unit: RateUnit = RateUnit.STATEMENTS


@dataclass(frozen=True, slots=True)
class RouteEntry:
    """A route, named as callers name their database.

    Attributes
    ----------
    group : str
        The database group behind the route.
    customers : tuple of str
        Customers that may use a keyed route; empty means all of them.
    max_staleness_s : float
        Oldest data that reads may see, in seconds; for routes of bounded
        staleness and of own writes.
    statement_timeout_s : float
        Longest time for one statement, in seconds; 0 for the default.
    objective_s : float
        Target latency of an operation, in seconds; 0 if none is configured.
    priority : int
        0 is the highest.
    prefix : str
        Distinguishes routes with the same name in one configuration.
    """

    name: str
    owner: str
    group: str
    route_class: RouteClass = RouteClass.KEYED
    customers: tuple[str, ...] = ()
    consistency: Consistency = Consistency.SESSION
    max_staleness_s: float = 0.0
    statement_timeout_s: float = 0.0
    objective_s: float = 0.0
    priority: int = 0
    prefix: str = ""


@dataclass(frozen=True, slots=True)
class KeyEntry:
    """A customer's key; the secret itself is never stored.

    Attributes
    ----------
    key_id : str
        Name of the key. If callers present only the key itself, its hex SHA256.
    digest : str
        Hex SHA1 of the SHA1 of the secret, as MySQL native passwords store it;
        empty if the key has no secret.
    """

    key_id: str
    customer: str
    digest: str
    withdrawn: bool = False


def bound_slots(slots: int) -> int:
    """Return the slots that an instance reports; 0 for unknown if out of bounds."""
    return slots if 0 <= slots <= MAX_SLOTS else 0


def bound_cold_time(cold_left_s: float) -> float:
    """Return the remaining cold time that an instance reports, within bounds."""
    return min(max(cold_left_s, 0.0), MAX_COLD_S)


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One announced database instance.

    Attributes
    ----------
    connections : int
        Connections that the whole fleet may hold to it.
    leaving : bool
        Whether it is being drained and gets no new requests.
    sequence : int
        Increases with each announcement of changed content; a repeated or older
        one changes nothing.
    born : int
        Start of the instance in Unix milliseconds, 0 if it does not report it; the
        sequence restarts with each start.
    slots : int
        Statements that it runs concurrently; 0 if unknown.
    cold_left_s : float
        Time for which it is still slow after its start, in seconds, as of this
        announcement. No clock is shared between machines, so each daemon counts it
        down from when it learns of it.
    """

    name: str
    group: str
    host: str
    port: int
    zone: str
    region: str
    connections: int
    leaving: bool = False
    sequence: int = 0
    born: int = 0
    slots: int = 0
    cold_left_s: float = 0.0

    @property
    def announcement_order(self) -> tuple[int, int]:
        """Key that orders announcements: by start, then by sequence."""
        return (self.born, self.sequence)

    @property
    def incarnation(self) -> str:
        """Identity of the data, derived from the start that the instance reports."""
        return str(self.born)

    def has_same_content(self, other: "Endpoint") -> bool:
        """Whether this announcement adds nothing to an earlier one.

        Its sequence may differ, and its remaining cold time may be shorter.
        """
        if self.cold_left_s > other.cold_left_s:
            return False
        current = replace(self, sequence=other.sequence, cold_left_s=other.cold_left_s)
        return current == other


@dataclass(frozen=True, slots=True)
class GroupLimits:
    """Limits of a group from a configuration.

    Attributes
    ----------
    connections : int
        Connections that the whole fleet may hold to each instance.
    sync_replicas : int
        Replicas that have received a commit before it is acknowledged.
    """

    name: str
    connections: int
    sync_replicas: int = 0


@dataclass(frozen=True, slots=True)
class Voter:
    """A member of a group's voting set.

    Attributes
    ----------
    incarnation : str
        Identity of the instance's data; a restart with empty data changes it.
    """

    name: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class TermStart:
    """The log position at which a term began.

    Attributes
    ----------
    prior_term : int
        Term of the last log entry that the promoted instance held. Entries of
        that term up to `position` are part of the history from then on.
    """

    term: int
    position: int
    prior_term: int = 0


@dataclass(frozen=True, slots=True)
class GroupConfig:
    """The installed configuration of a database group.

    Attributes
    ----------
    term : int
        Term in which `primary` and `voters` hold; 0 before the first one.
    allocated_term : int
        Highest term allocated to any promotion attempt.
    fence : int
        Log index of the last allocation. It increases with each attempt, so
        that an external provider can reject orders of older attempts.
    settled_fence : int
        The fence as of the installed term; a later one shows that a promotion
        is under way.
    starts : tuple of TermStart
        Promotion points, oldest first, the last `MAX_TERM_STARTS` of them.
    connections : int
        Connections per instance from the group's configuration; 0 if each instance
        announces its own.
    sync_replicas : int
        Replicas that have received a commit before it is acknowledged.
    """

    name: str
    term: int = 0
    primary: str = ""
    voters: tuple[Voter, ...] = ()
    starts: tuple[TermStart, ...] = ()
    allocated_term: int = 0
    fence: int = 0
    settled_fence: int = 0
    management: Management = Management.FENCED
    connections: int = 0
    sync_replicas: int = 0

    @property
    def write_quorum(self) -> int:
        """Voters that must hold a write before it is acknowledged."""
        return len(self.voters) // 2 + 1

    @property
    def fence_quorum(self) -> int:
        """Voters that must be fenced before a promotion."""
        return len(self.voters) - self.write_quorum + 1


@dataclass(frozen=True, slots=True, order=True)
class ControlVoter:
    """A control VM that votes.

    Attributes
    ----------
    disk : str
        Identity of its data folder; it differs after the VM lost its disk, and the
        VM does not vote until it has been added again.
    """

    name: str
    disk: str


@dataclass(frozen=True, slots=True)
class Versioned:
    """An entry with the revision that wrote it.

    Attributes
    ----------
    entry : CustomerEntry or RouteEntry or KeyEntry
    revision : int
        Log index of the change; a compare-and-set has to state it.
    """

    entry: CustomerEntry | RouteEntry | KeyEntry
    revision: int


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """The result of one proposed change, kept to answer resends.

    Attributes
    ----------
    revision : int
        Revision of the entry after the change, or its current one on conflict.
    refusal : Refusal or None
    """

    revision: int
    refusal: Refusal | None = None


@dataclass(frozen=True, slots=True)
class Catalogue:
    """State that results from the committed entries of the control log.

    Attributes
    ----------
    revision : int
        Index of the last applied log entry.
    members : Map of str to tuple of str
        Names of the endpoints of each group, sorted.
    control_voters : tuple of ControlVoter
        The control VMs as of the last committed change; empty before one.
    access_batches : Map of str to str
        The last audit batch counted, by daemon.
    results : Map of str to ChangeResult
        Results by request id, of the last `MAX_RESULTS` changes.
    result_order : tuple of str
        Request ids of `results`, oldest first.
    version : int
        Version of the last whole configuration; 0 before the first one.
    document : bytes
        That configuration as the operator sent it, returned when it is queried; empty
        at a daemon that does not hold it.
    idle_transaction_s : float
        How long a transaction may stay idle, in seconds; 0 for no limit.
    holders : Map of str to str
        By daemon, the identity of its process that may hold shares.
    divided : frozenset of str
        Customers whose rates are divided into shares that daemons may hold.
    evacuated_zones : frozenset of str
        Zones whose endpoints get no work.
    zone_requests : Map of str to int
        Revision of the last accepted request for the evacuation of a zone, or for its
        withdrawal, by zone; only control VMs hold it.
    """

    revision: int = 0
    customers: Map = field(default_factory=Map)
    routes: Map = field(default_factory=Map)
    keys: Map = field(default_factory=Map)
    endpoints: Map = field(default_factory=Map)
    groups: Map = field(default_factory=Map)
    members: Map = field(default_factory=Map)
    control_voters: tuple[ControlVoter, ...] = ()
    access_batches: Map = field(default_factory=Map)
    results: Map = field(default_factory=Map)
    result_order: tuple[str, ...] = ()
    version: int = 0
    document: bytes = field(default=b"", repr=False)
    idle_transaction_s: float = 0.0
    holders: Map = field(default_factory=Map)
    divided: frozenset[str] = frozenset()
    evacuated_zones: frozenset[str] = frozenset()
    zone_requests: Map = field(default_factory=Map)

    def get_incarnation(self, name: str) -> str:
        """Return the identity of an endpoint's data, empty for an unknown endpoint."""
        endpoint = self.endpoints.get(name)
        return endpoint.incarnation if endpoint else ""

    def is_evacuated(self, name: str) -> bool:
        """Whether an endpoint is in an evacuated zone."""
        endpoint = self.endpoints.get(name)
        return endpoint is not None and endpoint.zone in self.evacuated_zones

    def customer(self, name: str) -> CustomerEntry | None:
        """Return a customer's entry, or None."""
        found = self.customers.get(name)
        return found.entry if found else None

    def route(self, name: str) -> RouteEntry | None:
        """Return a route's entry, or None."""
        found = self.routes.get(name)
        return found.entry if found else None

    def key(self, key_id: str) -> KeyEntry | None:
        """Return a key's entry, or None."""
        found = self.keys.get(key_id)
        return found.entry if found else None

    def group(self, name: str) -> GroupConfig:
        """Return a group's configuration; an empty one if it has none yet."""
        return self.groups.get(name) or GroupConfig(name)

    def group_endpoints(self, group: str) -> tuple[Endpoint, ...]:
        """Return the announced endpoints of a group, by name."""
        return tuple(self.endpoints[name] for name in self.members.get(group, ()))

    def with_endpoint(self, endpoint: Endpoint) -> "Catalogue":
        """Return a catalogue with an endpoint added or changed."""
        remaining = self.without_endpoint(endpoint.name)
        names = remaining.members.get(endpoint.group, ()) + (endpoint.name,)
        return replace(
            remaining,
            endpoints=remaining.endpoints.set(endpoint.name, endpoint),
            members=remaining.members.set(endpoint.group, tuple(sorted(names))),
        )

    def without_endpoint(self, name: str) -> "Catalogue":
        """Return a catalogue without an endpoint."""
        known = self.endpoints.get(name)
        if known is None:
            return self
        names = tuple(n for n in self.members[known.group] if n != name)
        members = self.members.delete(known.group)
        if names:
            members = members.set(known.group, names)
        endpoints = self.endpoints.delete(name)
        return replace(self, endpoints=endpoints, members=members)
