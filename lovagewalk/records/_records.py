"""Types of log records. No field holds a key, a token or the text of a statement."""

from dataclasses import dataclass

from ._registry import LogRecord, logged_as


@logged_as("decisions", "request answered")
@dataclass(frozen=True, slots=True)
class RequestAnswered(LogRecord):
    """A request was answered; holds the state that the decision was based on.

    Attributes
    ----------
    phase : str
        What the request last waited for.
    min_position : str
        Position that the read log had to hold, as ``TERM.INDEX``; empty for none.
    session_position : str
        Position of the session in the request's group before the answer; empty for
        none.
    term, revision, version : int
        Group term, catalogue revision and configuration version in force.
    fresh_ms : int
        Remaining time for which the catalogue is guaranteed to be the latest, in
        milliseconds.
    outcome : str
        ``ok``, or the label of the refusal code.
    """

    request: str
    customer: str
    route: str
    kind: str
    phase: str
    endpoint: str
    attempts: int
    elapsed_ms: float
    min_position: str
    session_position: str
    term: int
    revision: int
    version: int
    fresh_ms: int
    outcome: str
    detail: str


@logged_as("decisions", "caller closed")
@dataclass(frozen=True, slots=True)
class CallerClosed(LogRecord):
    """A caller was refused, or its connection closed."""

    caller: int
    outcome: str
    revision: int


@logged_as("decisions", "endpoint refused a connection")
@dataclass(frozen=True, slots=True)
class EndpointRefused(LogRecord):
    """A connection to an endpoint could not be opened."""

    endpoint: str
    group: str
    outcome: str
    detail: str


@logged_as("routing", "statement failed at an endpoint")
@dataclass(frozen=True, slots=True)
class EndpointStatementFailed(LogRecord):
    """A statement failed for a reason other than ordinary load."""

    request: str
    endpoint: str
    failure: str
    detail: str
    attempts: int
    term: int
    sent_ms_ago: int


@logged_as("routing", "connection closed in an uncertain state")
@dataclass(frozen=True, slots=True)
class ConnectionUnsettled(LogRecord):
    """A connection was not reused, although its last statement was answered."""

    endpoint: str
    conn: int
    reason: str


@logged_as("routing", "endpoint is full")
@dataclass(frozen=True, slots=True)
class EndpointSaturated(LogRecord):
    """An endpoint is saturated for longer than a burst; this daemon backs off."""

    endpoint: str
    group: str
    strikes: int
    waiting: int


@logged_as("routing", "endpoint has room again")
@dataclass(frozen=True, slots=True)
class EndpointRecovered(LogRecord):
    """An endpoint is no longer saturated: it has run statements again."""

    endpoint: str
    group: str
    waiting: int


@logged_as("routing", "pace of an endpoint changed")
@dataclass(frozen=True, slots=True)
class EndpointPaceChanged(LogRecord):
    """This daemon limits what it sends to an endpoint in another way than before.

    Attributes
    ----------
    state : str
        ``unknown``, ``probing``, ``rising``, or ``steady`` for no limit.
    cause : str
        The last reason for a rise or a fall.
    limit : float
        Statements in flight; below one, the mean number that the send rate results in.
    share : float
        This daemon's equal part of the endpoint's slots.
    """

    endpoint: str
    group: str
    state: str
    cause: str
    limit: float
    share: float
    latency_ms: float
    best_ms: float
    waiting: int


@logged_as("routing", "transaction ended by an evacuation")
@dataclass(frozen=True, slots=True)
class TransactionEvacuated(LogRecord):
    """An open transaction in an evacuated zone was rolled back."""

    caller: int
    endpoint: str
    group: str


@logged_as("http", "request refused")
@dataclass(frozen=True, slots=True)
class HttpRequestRefused(LogRecord):
    """A request of an operator or an endpoint was answered with an error.

    Attributes
    ----------
    request : str
        Method and path.
    """

    request: str
    outcome: str
    detail: str


@logged_as("catalogue", "configuration in force")
@dataclass(frozen=True, slots=True)
class ConfigurationInstalled(LogRecord):
    """Another version of the configuration takes effect on this VM."""

    version: int
    before: int
    revision: int


@logged_as("catalogue", "zone evacuated")
@dataclass(frozen=True, slots=True)
class ZoneEvacuated(LogRecord):
    """The evacuation of a zone takes effect on this VM.

    Attributes
    ----------
    endpoints, primaries : int
        Number of endpoints in the zone, and of those that are primaries.
    since_ms_ago : int
        Longest time since when it may be in force, in milliseconds; -1 if unknown.
    """

    zone: str
    endpoints: int
    primaries: int
    since_ms_ago: int
    revision: int


@logged_as("catalogue", "evacuation withdrawn")
@dataclass(frozen=True, slots=True)
class EvacuationWithdrawn(LogRecord):
    """A zone is in service again on this VM."""

    zone: str
    revision: int


@logged_as("catalogue", "catalogue read")
@dataclass(frozen=True, slots=True)
class CatalogueRead(LogRecord):
    """A request for the latest catalogue was answered.

    Attributes
    ----------
    version, revision : int
        Configuration version and catalogue revision of this VM.
    document_crc : str
        CRC-32 of the configuration as the operator sent it, in hex.
    fresh_ms : int
        Remaining time of the freshness lease, in milliseconds.
    waited_ms : int
        Time for which the request waited for the leader, in milliseconds.
    role : str
        Role in the consensus; ``none`` for a daemon without a log.
    target : str
        The control VM that this daemon reports to.
    outcome : str
        ``ok``, or the label of the refusal code.
    """

    version: int
    revision: int
    document_crc: str
    fresh_ms: int
    waited_ms: int
    role: str
    target: str
    outcome: str
    detail: str


@logged_as("groups", "primary installed")
@dataclass(frozen=True, slots=True)
class PrimaryInstalled(LogRecord):
    """A new term of a group begins, with its primary."""

    group: str
    primary: str
    term: int
    revision: int


@logged_as("groups", "promotion begins")
@dataclass(frozen=True, slots=True)
class PromotionStarted(LogRecord):
    """The replacement of a primary begins, with the reasons for it.

    Attributes
    ----------
    silent_ms : int
        Time since its last answer to the control leader, in milliseconds.
    leaving : bool
        Whether it has announced that it leaves, or was removed.
    evacuated : bool
        Whether its zone is evacuated.
    suspecting : int
        Number of daemons that suspect it to have failed.
    """

    group: str
    primary: str
    term: int
    silent_ms: int
    leaving: bool
    evacuated: bool
    suspecting: int


@logged_as("groups", "promotion ordered")
@dataclass(frozen=True, slots=True)
class PromotionOrdered(LogRecord):
    """The provider was ordered to promote an instance."""

    group: str
    target: str
    fence: int


@logged_as("control", "paused replica ordered to resume")
@dataclass(frozen=True, slots=True)
class ReplicaResumed(LogRecord):
    """A replica was ordered to receive again, since its promotion is over."""

    group: str
    endpoint: str


@logged_as("control", "this VM leads")
@dataclass(frozen=True, slots=True)
class LeadershipGained(LogRecord):
    """This VM was elected control leader."""

    term: int
    last_index: int
    voters: str


@logged_as("control", "this leader knows all committed changes")
@dataclass(frozen=True, slots=True)
class LeaderCaughtUp(LogRecord):
    """The leader has applied an entry of its own term, and so all earlier changes.

    Attributes
    ----------
    elapsed_ms : int
        Time since its election, in milliseconds.
    """

    term: int
    revision: int
    elapsed_ms: int


@logged_as("control", "this VM no longer leads")
@dataclass(frozen=True, slots=True)
class LeadershipLost(LogRecord):
    """This VM is no longer control leader: another one is, or no quorum answers."""

    led_term: int
    term: int
    leader: str


@logged_as("journal", "disk refuses writes")
@dataclass(frozen=True, slots=True)
class JournalLost(LogRecord):
    """The data folder refuses what is needed; this VM takes no part in control.

    Attributes
    ----------
    term, last_index : int
        Term and last log index in memory; the disk may lack them.
    """

    outcome: str
    detail: str
    term: int
    last_index: int


@logged_as("journal", "data folder loaded again")
@dataclass(frozen=True, slots=True)
class JournalRegained(LogRecord):
    """This VM takes part in control again, with what its data folder holds.

    Attributes
    ----------
    disk : str
        Identity of the disk; another one than before if its files were set aside.
    """

    term: int
    last_index: int
    role: str
    disk: str


@logged_as("control", "entry not applied")
@dataclass(frozen=True, slots=True)
class EntryNotApplied(LogRecord):
    """A committed entry raised an exception and was left out, on all control VMs.

    Attributes
    ----------
    request : str
        Type of the command.
    detail : str
        Type of the exception.
    """

    index: int
    request: str
    detail: str


@logged_as("control", "proposal refused")
@dataclass(frozen=True, slots=True)
class ProposalRefused(LogRecord):
    """A proposal with a value that the control log cannot hold was refused.

    Attributes
    ----------
    request : str
        Type of the command.
    proposer : str
        The daemon that forwarded it; empty if it arrived here.
    """

    request: str
    proposer: str
    outcome: str
    detail: str


@logged_as("control", "voters change")
@dataclass(frozen=True, slots=True)
class VotersChanged(LogRecord):
    """A control VM is added to the voters, removed or replaced."""

    before: str
    after: str


@logged_as("follow", "seeds replaced")
@dataclass(frozen=True, slots=True)
class SeedsReplaced(LogRecord):
    """The settings name other control VMs to contact first than before."""

    before: str
    after: str


@logged_as("follow", "lease regained")
@dataclass(frozen=True, slots=True)
class LeaseGained(LogRecord):
    """The catalogue is guaranteed to be the latest again."""

    target: str
    answered_ms_ago: int
    revision: int


@logged_as("follow", "lease lost")
@dataclass(frozen=True, slots=True)
class LeaseLost(LogRecord):
    """The catalogue may be out of date; keyed routes are refused."""

    target: str
    answered_ms_ago: int
    revision: int


@logged_as("control", "bucket offered")
@dataclass(frozen=True, slots=True)
class BucketOffered(LogRecord):
    """The whole bucket of a customer is to be lent to one daemon.

    Attributes
    ----------
    target : str
        The daemon that is to own it.
    before : str
        The daemon that it was lent or offered to before; empty for none.
    candidates : int
        Daemons that the owner was chosen from.
    region : str
        The owner's region; where buckets are lent by region, the region of the part.
    """

    customer: str
    target: str
    before: str
    candidates: int
    region: str


@logged_as("follow", "bucket part changed")
@dataclass(frozen=True, slots=True)
class BucketPartChanged(LogRecord):
    """This daemon owns a part of a bucket, or another part has another owner.

    Attributes
    ----------
    target : str
        The control leader that lends it.
    rate, burst : float
        The part owned here; 0 if it was given up.
    others : str
        Owners of the other parts, each with its region.
    """

    customer: str
    target: str
    rate: float
    burst: float
    others: str


@logged_as("follow", "needs forwarded")
@dataclass(frozen=True, slots=True)
class NeedsForwarded(LogRecord):
    """The part of a bucket owned here has no tokens in time for some needs.

    Attributes
    ----------
    target : str
        The owner of another part, which decides on them.
    needs : int
        How many needs were sent to it at once.
    customers : str
        Their customers.
    """

    target: str
    needs: int
    customers: str


@logged_as("follow", "bucket owner is silent")
@dataclass(frozen=True, slots=True)
class OwnerSilent(LogRecord):
    """An owner has not answered in time; another source is asked instead.

    Attributes
    ----------
    target : str
        The owner.
    source : str
        The owner of another part that is asked instead; empty for the control leader,
        and where the owner of another part has not answered forwarded needs.
    waiting : int
        Requests of the customer that wait here.
    """

    customer: str
    target: str
    source: str
    waiting: int


@logged_as("clients", "connections refused")
@dataclass(frozen=True, slots=True)
class ClientsRefused(LogRecord):
    """New connections of clients were refused, since the last such record.

    Attributes
    ----------
    caller : int
        Number of the first of these connections.
    kind : str
        Kind of client: caller, operator, readiness or peer.
    reason : str
    connections : int
    held_kib : int
        What they held, in KiB.
    """

    caller: int
    kind: str
    reason: str
    connections: int
    held_kib: int


@logged_as("clients", "connections closed")
@dataclass(frozen=True, slots=True)
class ClientsClosed(LogRecord):
    """Connections of clients were closed; the fields are those of `ClientsRefused`."""

    caller: int
    kind: str
    reason: str
    connections: int
    held_kib: int


@logged_as("clients", "connections paused")
@dataclass(frozen=True, slots=True)
class ClientsPaused(LogRecord):
    """Memory pressure began: this daemon does not read from some clients for now.

    Attributes
    ----------
    caller : int
        Number of one of these connections.
    """

    caller: int
    connections: int
    held_kib: int


@logged_as("clients", "connections resumed")
@dataclass(frozen=True, slots=True)
class ClientsResumed(LogRecord):
    """Memory pressure is over.

    Attributes
    ----------
    caller : int
        Number of one of the connections that are read again.
    """

    caller: int
    held_kib: int
