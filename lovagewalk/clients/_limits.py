"""Limits for clients, derived from the memory and the descriptors of the VM."""

from dataclasses import dataclass

MIB = 1024 * 1024
# The smallest VM of a deployment; assumed where the settings and the process's own
# limits state no memory or no descriptors.
UNKNOWN_MEMORY_BYTES = 160 * MIB
UNKNOWN_DESCRIPTORS = 4000
# Memory of a daemon under ordinary load (67 MB), and of the answers that are ready.
RESERVED_BYTES = 72 * MIB
# Part of the remaining memory that clients may hold. The accounted bytes exist up to
# twice, as received and as decoded.
CLIENT_FRACTION = 0.5
# A VM with little memory still serves a few messages of the largest size.
MIN_CLIENT_BYTES = 8 * MIB
# Parts of the clients' memory at which pressure begins, and at which it is high.
PAUSE_FRACTION = 0.5
REFUSE_FRACTION = 0.75
# Paused connections are read again below this part of the pause limit, so that a
# connection does not alternate between the two with each message.
RESUME_FRACTION = 0.75
# Parts of the descriptors for each kind of client. The rest is left for endpoints,
# links to daemons and files. With 4,000 descriptors, callers have room for all 2,020
# sessions of a fleet, which meet at one VM if the others are lost.
CALLER_FRACTION = 0.65
OPERATOR_FRACTION = 0.10
READINESS_FRACTION = 0.05
PEER_FRACTION = 0.10
# All callers may come from one address, that of the load balancer.
SOURCE_FRACTION = 0.85
# A caller sends STARTUP right after it has connected and leaves after 2 s.
STARTUP_TIMEOUT_S = 10.0
# Beyond the longest deadline of a caller, 20 s.
MESSAGE_TIMEOUT_S = 30.0
UNREAD_TIMEOUT_S = 30.0
# Messages that a client may send ahead of its answers before it is not read any more.
READ_AHEAD_BYTES = 64 * 1024
# A connection reports what it holds beyond this, and each time it has grown by it.
HOLDING_STEP_BYTES = 32 * 1024
# Copies of a statement that is processed: as decoded, and encoded for the endpoint.
STATEMENT_COPIES = 3
# A session stores one message of the largest size, and many ordinary ones.
MAX_STORED_BYTES = 2 * MIB
# Under pressure, a connection without progress for this time may be closed. A caller's
# failed VM is detected after 3 s, and several round trips between regions take 0.2 s.
STALL_S = 2.0
# Where a listener is full, a connection without a request for this time makes room for
# a new one. A request follows within a round trip between regions (0.04 s), and a
# handshake of daemons takes three; the rest is for a busy loop.
SILENT_S = 0.5
PEER_SILENT_S = 1.0


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits for the clients of one process.

    Attributes
    ----------
    pause_bytes, refuse_bytes, close_bytes : int
        Bytes that clients hold at which connections are paused, at which new ones are
        refused and those without progress are closed, and at which others are closed.
    callers, operators, readiness, peers : int
        Connections by kind of client; `peers` counts those without a proof.
    callers_per_source : int
        Connections of callers from one address.
    startup_timeout_s, message_timeout_s, unread_timeout_s : float
        Until a session is requested, until a message that has begun is complete, and
        without a byte read of an answer.
    read_ahead_bytes : int
        Bytes that a connection may send ahead before it is not read.
    """

    pause_bytes: int
    refuse_bytes: int
    close_bytes: int
    callers: int
    callers_per_source: int
    operators: int
    readiness: int
    peers: int
    startup_timeout_s: float = STARTUP_TIMEOUT_S
    message_timeout_s: float = MESSAGE_TIMEOUT_S
    unread_timeout_s: float = UNREAD_TIMEOUT_S
    read_ahead_bytes: int = READ_AHEAD_BYTES


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Limits that the settings of a deployment state; 0 where they state none."""

    memory_bytes: int = 0
    descriptors: int = 0
    link_mbps: float = 0.0
    client_bytes: int = 0
    callers: int = 0
    callers_per_source: int = 0
    operators: int = 0
    readiness: int = 0
    peers: int = 0
    startup_timeout_s: float = 0.0
    message_timeout_s: float = 0.0
    unread_timeout_s: float = 0.0
    read_ahead_bytes: int = 0


def derive_limits(
    settings: LimitSettings, process_bytes: int = 0, process_descriptors: int = 0
) -> ClientLimits:
    """Return the limits for the clients of a process.

    Parameters
    ----------
    process_bytes, process_descriptors : int
        The process's own limits, for what the settings leave out; 0 if unknown.
    """
    memory_bytes = settings.memory_bytes or process_bytes or UNKNOWN_MEMORY_BYTES
    descriptors = settings.descriptors or process_descriptors or UNKNOWN_DESCRIPTORS
    available = int((memory_bytes - RESERVED_BYTES) * CLIENT_FRACTION)
    client_bytes = settings.client_bytes or max(available, MIN_CLIENT_BYTES)
    callers = settings.callers or _part(descriptors, CALLER_FRACTION)
    return ClientLimits(
        pause_bytes=int(client_bytes * PAUSE_FRACTION),
        refuse_bytes=int(client_bytes * REFUSE_FRACTION),
        close_bytes=client_bytes,
        callers=callers,
        callers_per_source=settings.callers_per_source
        or _part(callers, SOURCE_FRACTION),
        operators=settings.operators or _part(descriptors, OPERATOR_FRACTION),
        readiness=settings.readiness or _part(descriptors, READINESS_FRACTION),
        peers=settings.peers or _part(descriptors, PEER_FRACTION),
        startup_timeout_s=settings.startup_timeout_s or STARTUP_TIMEOUT_S,
        message_timeout_s=settings.message_timeout_s or MESSAGE_TIMEOUT_S,
        unread_timeout_s=settings.unread_timeout_s or UNREAD_TIMEOUT_S,
        read_ahead_bytes=settings.read_ahead_bytes or READ_AHEAD_BYTES,
    )


def _part(total: int, fraction: float) -> int:
    return max(int(total * fraction), 1)


DEFAULT_LIMITS = derive_limits(LimitSettings())
