"""Pure rules of a pool: which request gets a connection, and when more are opened.

The queue is start-time fair queueing over connection seconds: a customer that
used connections longer, relative to its weight, is served after the others.
"""

from collections.abc import Callable
from dataclasses import dataclass

from lovagewalk.core import replace

from ._saturation import (
    count_sendable,
    estimate_turn,
    has_recent_refusal,
    may_send,
    record_send,
)
from ._state import CustomerQueue, Pool, PoolConnection

# Cost assumed for a statement that is still running: a quick read at a stand-in.
SERVICE_ESTIMATE_S = 0.002
# While others wait, one customer holds at most half of the connections.
MAX_CUSTOMER_FRACTION = 0.5
# Maximum number of waiting requests: 27 s of work at three concurrent statements of
# 40 ms, which is beyond any deadline.
MAX_WAITING = 2000
# Backoff after a failed attempt to open a connection: the time of two status polls.
OPEN_RETRY_S = 0.1
# Idle connections kept open, so that a single statement need not wait for one.
SPARE_CONNECTIONS = 1
# Backoff after an endpoint reported too many connections: two round trips to the remote
# region, during which other daemons may close connections.
TOO_MANY_RETRY_S = 0.03
# Time for which a lowered limit applies: twice the time after which other daemons close
# unused connections (`SURPLUS_IDLE_S`).
LOWERED_LIMIT_S = 1.0
# Weight of the latest read in the moving average, which spans about four reads.
LATENCY_SMOOTHING = 0.25
# Ratio to the best latency above which an endpoint is slow. A slowed instance takes at
# least four times as long as usual. Statements of the users' sites take 6 to 40 ms on
# average and up to 300 ms.
SLOW_FACTOR = 3.0
# An endpoint with a latency below this endangers no route's latency objective.
MIN_SLOW_LATENCY_S = 0.1
# How long a measured latency counts. A slow endpoint is tried again after this time,
# which may cost one slow read each time.
LATENCY_MAX_AGE_S = 2.0
# Latency assumed at an endpoint without a recent measurement: a typical statement of
# the users' sites.
READ_ESTIMATE_S = 0.03
# The end of a read's own transaction needs no slot of the endpoint, so its answer comes
# within a round trip.
SETTLE_LIMIT_S = 0.6
# Idle time after which a connection beyond the fair limit is closed. The next statement
# of an active session usually arrives within it.
SURPLUS_IDLE_S = 0.5
# The same where an endpoint has fewer connections than there are daemons: a few round
# trips, within which the next statement of an operation arrives.
SCARCE_IDLE_S = 0.1


@dataclass(frozen=True, slots=True)
class Assignment:
    """A pool after an attempt to assign an idle connection.

    Attributes
    ----------
    req : int
        The request taken off the queue; 0 if none was.
    conn : int
        The connection assigned; 0 if none was.
    """

    pool: Pool
    req: int = 0
    conn: int = 0


def enqueue(pool: Pool, customer: str, req: int, ahead: int | None = None) -> Pool:
    """Add a request to its customer's queue.

    Parameters
    ----------
    ahead : int, optional
        Number of the customer's waiting requests to keep ahead of it; all by default.
    """
    queue = pool.queues.get(customer) or CustomerQueue(customer)
    if not queue.reqs and not queue.in_use_count:
        start = max(queue.virtual_time, pool.virtual_time)
        queue = replace(queue, virtual_time=start)
    index = len(queue.reqs) if ahead is None else ahead
    reqs = queue.reqs[:index] + (req,) + queue.reqs[index:]
    queues = pool.queues.set(customer, replace(queue, reqs=reqs))
    return replace(pool, queues=queues, waiting=pool.waiting + 1)


def remove_waiting(pool: Pool, customer: str, req: int) -> Pool:
    """Remove a waiting request from the queue without serving it."""
    queue = pool.queues.get(customer)
    if queue is None or req not in queue.reqs:
        return pool
    reqs = tuple(other for other in queue.reqs if other != req)
    queues = pool.queues.set(customer, replace(queue, reqs=reqs))
    return replace(pool, queues=queues, waiting=pool.waiting - 1)


def assign_idle(pool: Pool, customer: str, now: float) -> Assignment:
    """Assign an idle connection to a new request if no other request is ahead of it."""
    conn = _find_idle(pool, customer)
    queue = pool.queues.get(customer) or CustomerQueue(customer)
    ahead = len(queue.reqs) if pool.dedicated else pool.waiting
    if not conn or ahead or not may_send(pool, now):
        return Assignment(pool)
    start = max(queue.virtual_time, pool.virtual_time)
    return _assign(pool, replace(queue, virtual_time=start), conn, 0, now)


def _find_idle(pool: Pool, customer: str) -> int:
    """Return the most recently used idle connection for a customer, or 0."""
    for conn in reversed(pool.idle):
        if not pool.dedicated or pool.connections[conn].owner == customer:
            return conn
    return 0


def _assign(
    pool: Pool, queue: CustomerQueue, conn: int, dequeued: int, now: float
) -> Assignment:
    """Assign an idle connection to a queue's customer.

    Parameters
    ----------
    dequeued : int
        Number of waiting requests to take off the queue, 0 or 1.
    """
    idle = pool.connections[conn]
    connection = replace(idle, customer=queue.customer, assigned_at=now, in_use=True)
    req = queue.reqs[0] if dequeued else 0
    queue = replace(
        queue, reqs=queue.reqs[dequeued:], in_use_count=queue.in_use_count + 1
    )
    updated = replace(
        pool,
        idle=tuple(other for other in pool.idle if other != conn),
        connections=pool.connections.set(conn, connection),
        queues=pool.queues.set(queue.customer, queue),
        waiting=pool.waiting - dequeued,
        virtual_time=max(pool.virtual_time, queue.virtual_time),
    )
    return Assignment(record_send(updated, now, (conn,)), req, conn)


def assign_next(
    pool: Pool, get_weight: Callable[[str], float], now: float
) -> Assignment:
    """Assign an idle connection to the waiting customer with the least virtual time.

    Parameters
    ----------
    get_weight : callable
        Returns a customer's weight.
    """
    if not pool.idle or not pool.waiting or not may_send(pool, now):
        return Assignment(pool)
    queue = _next_queue(pool, get_weight)
    if queue is None:
        return Assignment(pool)
    return _assign(pool, queue, _find_idle(pool, queue.customer), 1, now)


def _next_queue(pool: Pool, get_weight: Callable[[str], float]) -> CustomerQueue | None:
    waiting = [
        queue
        for queue in pool.queues.values()
        if queue.reqs and _find_idle(pool, queue.customer)
    ]
    if len(waiting) > 1:
        cap = max(1, int(pool.limit * MAX_CUSTOMER_FRACTION))
        waiting = [queue for queue in waiting if queue.in_use_count < cap] or waiting

    def rank(queue: CustomerQueue) -> tuple[float, str]:
        weight = get_weight(queue.customer)
        pending = queue.in_use_count * SERVICE_ESTIMATE_S / weight
        return (queue.virtual_time + pending, queue.customer)

    return min(waiting, key=rank, default=None)


def await_settled(pool: Pool, conn: int, now: float) -> Pool:
    """Keep a connection in use until its endpoint has answered all that was sent."""
    if conn not in pool.connections:
        return pool
    return replace(pool, settling=pool.settling.set(conn, now))


def find_unsettled(pool: Pool, now: float) -> tuple[int, ...]:
    """Return the connections whose endpoint has owed an answer for too long."""
    return tuple(
        conn for conn, since in pool.settling.items() if now - since >= SETTLE_LIMIT_S
    )


def _end_settling(pool: Pool, conn: int) -> Pool:
    if conn not in pool.settling:
        return pool
    return replace(pool, settling=pool.settling.delete(conn))


def release(pool: Pool, conn: int, weight: float, now: float) -> Pool:
    """Return a connection to the pool and charge its customer for the time of use."""
    connection = pool.connections.get(conn)
    if connection is None or not connection.in_use:
        return pool
    pool = _end_settling(_charge(pool, connection, weight, now), conn)
    idle = replace(connection, customer="", in_use=False)
    return replace(
        pool,
        idle=pool.idle + (conn,),
        connections=pool.connections.set(conn, idle),
    )


def discard(pool: Pool, conn: int, weight: float, now: float) -> Pool:
    """Remove a connection that is closed or in an uncertain state."""
    connection = pool.connections.get(conn)
    if connection is None:
        return pool
    if connection.in_use:
        pool = _charge(pool, connection, weight, now)
    pool = _end_settling(pool, conn)
    return replace(
        pool,
        idle=tuple(other for other in pool.idle if other != conn),
        connections=pool.connections.delete(conn),
    )


def _charge(pool: Pool, connection: PoolConnection, weight: float, now: float) -> Pool:
    queue = pool.queues.get(connection.customer) or CustomerQueue(connection.customer)
    used = max(now - connection.assigned_at, 0.0) / weight
    queue = replace(
        queue,
        virtual_time=queue.virtual_time + used,
        in_use_count=max(queue.in_use_count - 1, 0),
    )
    if queue.reqs or queue.in_use_count or queue.virtual_time > pool.virtual_time:
        queues = pool.queues.set(connection.customer, queue)
    else:
        queues = pool.queues.delete(connection.customer)
    return replace(pool, queues=queues)


def add_connection(pool: Pool, conn: int, incarnation: str) -> Pool:
    """Add a connection that has just been opened."""
    owner = pool.opening_for.get(conn, "")
    connection = PoolConnection(conn, pool.endpoint, incarnation, owner=owner)
    pool = _end_opening(pool, conn)
    return replace(
        pool,
        idle=pool.idle + (conn,),
        connections=pool.connections.set(conn, connection),
    )


def _end_opening(pool: Pool, conn: int) -> Pool:
    opening_for = pool.opening_for
    if conn in opening_for:
        opening_for = opening_for.delete(conn)
    return replace(pool, opening=max(pool.opening - 1, 0), opening_for=opening_for)


def record_open_failure(pool: Pool, conn: int, now: float) -> Pool:
    """Record a failed opening; the next attempt waits `OPEN_RETRY_S`."""
    return replace(_end_opening(pool, conn), retry_at=now + OPEN_RETRY_S)


def count_to_open(pool: Pool, now: float) -> int:
    """Return how many connections to open now, spare ones included."""
    if now < pool.retry_at:
        return 0
    wanted = pool.waiting + SPARE_CONNECTIONS - len(pool.idle) - pool.opening
    return max(0, min(wanted, pool.limit - pool.size))


def record_read_latency(pool: Pool, elapsed_s: float, now: float) -> Pool:
    """Add the duration of a read to the endpoint's smoothed latency.

    A value older than `LATENCY_MAX_AGE_S` is replaced.
    """
    latency_s = elapsed_s
    if now - pool.latency_measured_at < LATENCY_MAX_AGE_S:
        latency_s = pool.latency_s + LATENCY_SMOOTHING * (elapsed_s - pool.latency_s)
    return replace(pool, latency_s=latency_s, latency_measured_at=now)


def is_slow(pool: Pool | None, best_s: float, now: float) -> bool:
    """Whether an endpoint is far slower than the best other one of its group.

    A latency older than `LATENCY_MAX_AGE_S` does not count, so that the endpoint is
    tried again.
    """
    if pool is None or now - pool.latency_measured_at >= LATENCY_MAX_AGE_S:
        return False
    return pool.latency_s > max(best_s * SLOW_FACTOR, MIN_SLOW_LATENCY_S)


def estimate_wait(pool: Pool | None, now: float) -> float:
    """Return how long a new request would wait for a connection, in seconds."""
    if pool is None:
        return 0.0
    backoff_s = estimate_turn(pool, now)
    if pool.busy < pool.limit:
        return backoff_s
    service_s = READ_ESTIMATE_S
    if pool.latency_s and now - pool.latency_measured_at < LATENCY_MAX_AGE_S:
        service_s = pool.latency_s
    return max((pool.busy - pool.limit + 1) / pool.limit * service_s, backoff_s)


def lower_limit(pool: Pool, now: float) -> Pool:
    """Lower the limit after an endpoint reported too many connections.

    For `LOWERED_LIMIT_S` the pool holds no more connections than now; a customer that
    needs one gets it in exchange for an idle one.
    """
    return replace(
        pool,
        limit=max(1, min(pool.limit, pool.size)),
        limit_lowered_until=now + LOWERED_LIMIT_S,
        retry_at=now + TOO_MANY_RETRY_S,
    )


def find_surplus(pool: Pool, now: float) -> tuple[int, ...]:
    """Return idle connections beyond the fair limit that were not used recently.

    If the endpoint recently refused statements or connections, those used recently are
    returned too, since a saturated endpoint needs the room at once.
    """
    count = len(pool.connections) - pool.fair_limit
    if not pool.dedicated or count <= 0:
        return ()
    idle_s = SURPLUS_IDLE_S if pool.fair_limit else SCARCE_IDLE_S
    if has_recent_refusal(pool, now) or now < pool.limit_lowered_until:
        idle_s = 0.0
    unused = [
        conn for conn in pool.idle if now - pool.connections[conn].assigned_at >= idle_s
    ]
    return tuple(unused[:count])


@dataclass(frozen=True, slots=True)
class Openings:
    """Connections that a dedicated pool opens and closes.

    Attributes
    ----------
    customers : tuple of str
        Customer of each connection to open.
    evicted : tuple of int
        Idle connections of other customers to close first.
    """

    customers: tuple[str, ...] = ()
    evicted: tuple[int, ...] = ()


def plan_openings(pool: Pool, now: float) -> Openings:
    """Decide which connections a dedicated pool opens, and which it closes for them.

    Opening a connection occupies a slot of the endpoint, as a statement does.
    """
    if now < pool.retry_at or not pool.waiting or not may_send(pool, now):
        return Openings()
    customers = _wanted_customers(pool)[: count_sendable(pool, now)]
    limit = pool.limit
    if has_recent_refusal(pool, now):
        limit = min(limit, max(pool.fair_limit, 1))
        customers = customers[:1]
    room = max(limit - pool.size, 0)
    idle = [
        conn for conn in pool.idle if not _has_waiting(pool, pool.connections[conn])
    ]
    evicted = tuple(idle[: max(len(customers) - room, 0)])
    return Openings(customers[: room + len(evicted)], evicted)


def _has_waiting(pool: Pool, connection: PoolConnection) -> bool:
    queue = pool.queues.get(connection.owner)
    return queue is not None and bool(queue.reqs)


def _wanted_customers(pool: Pool) -> tuple[str, ...]:
    """Return the customer of each waiting request that no opening connection covers."""
    customers: tuple[str, ...] = ()
    opening = list(pool.opening_for.values())
    waiting = [queue for queue in pool.queues.values() if queue.reqs]
    for queue in sorted(waiting, key=lambda q: (q.virtual_time, q.customer)):
        uncovered = len(queue.reqs) - opening.count(queue.customer)
        customers += (queue.customer,) * max(uncovered, 0)
    return customers
