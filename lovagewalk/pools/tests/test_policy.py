"""The fair queue of a pool."""

from collections import Counter

from lovagewalk.core import replace
from lovagewalk.pools import (
    Pool,
    add_connection,
    assign_idle,
    assign_next,
    count_to_open,
    discard,
    enqueue,
    plan_openings,
    release,
    remove_waiting,
)

SERVICE_S = 0.01


def _pool(limit=1):
    pool = Pool("db1", limit)
    for conn in range(1, limit + 1):
        pool = add_connection(pool, conn, "x")
    return pool


def _serve(pool, rounds, weights=None, service_times=None):
    """Serve queues that never become empty; return how often each was served."""
    weights, service_times = weights or {}, service_times or {}
    served, now, req = Counter(), 0.0, 1000
    for _ in range(rounds):
        assigned = assign_next(pool, lambda name: weights.get(name, 1.0), now)
        connection = assigned.pool.connections[assigned.conn]
        served[connection.customer] += 1
        now += service_times.get(connection.customer, SERVICE_S)
        weight = weights.get(connection.customer, 1.0)
        pool = release(assigned.pool, assigned.conn, weight, now)
        req += 1
        pool = enqueue(pool, connection.customer, req)
    return served


def test_customers_are_served_equally_whatever_their_queue_lengths():
    pool = _pool()
    for req in range(50):
        pool = enqueue(pool, "large", req + 1)
    pool = enqueue(pool, "small", 51)
    served = _serve(pool, 100)
    assert abs(served["large"] - served["small"]) <= 1


def test_connections_are_shared_by_weight():
    pool = enqueue(enqueue(_pool(), "one", 1), "three", 2)
    served = _serve(pool, 200, weights={"three": 3.0})
    assert 2.8 <= served["three"] / served["one"] <= 3.2


def test_customers_are_charged_for_the_time_of_their_statements():
    pool = enqueue(enqueue(_pool(), "slow", 1), "quick", 2)
    served = _serve(pool, 200, service_times={"slow": 0.05})
    assert 4.5 <= served["quick"] / served["slow"] <= 5.5


def test_one_customer_holds_at_most_half_while_others_wait():
    pool = _pool(limit=4)
    for req in range(1, 9):
        pool = enqueue(pool, "large", req)
    pool = enqueue(pool, "small", 9)
    customers = []
    for _ in range(3):
        assigned = assign_next(pool, lambda name: 1.0, 0.0)
        pool = assigned.pool
        customers.append(pool.connections[assigned.conn].customer)
    assert customers.count("large") == 2 and customers.count("small") == 1


def test_a_new_customer_gets_no_credit_for_the_past():
    pool = enqueue(enqueue(_pool(), "old", 1), "older", 2)
    _serve(pool, 50)
    assigned = assign_idle(_pool(), "new", 5.0)
    assert assigned.conn == 1
    assert assign_idle(assigned.pool, "new", 5.0).conn == 0


def test_removed_requests_and_discarded_connections_leave_no_state():
    pool = enqueue(enqueue(_pool(), "a", 1), "a", 2)
    pool = remove_waiting(pool, "a", 1)
    assigned = assign_next(pool, lambda name: 1.0, 0.0)
    assert assigned.req == 2
    pool = discard(assigned.pool, assigned.conn, 1.0, 1.0)
    assert (pool.size, pool.waiting, pool.idle) == (0, 0, ())


def test_spare_connections_are_opened_within_the_limit():
    pool = Pool("db1", 3)
    assert count_to_open(pool, 0.0) == 1
    for req in range(5):
        pool = enqueue(pool, "a", req + 1)
    assert count_to_open(pool, 0.0) == 3


def test_a_connection_of_a_caller_without_a_customer_is_released():
    assigned = assign_idle(_pool(), "", 1.0)
    pool = release(assigned.pool, assigned.conn, 1.0, 2.0)
    assert pool.idle == (assigned.conn,)
    assert release(pool, assigned.conn, 1.0, 3.0).idle == (assigned.conn,)


def _dedicated_pool(limit, owners):
    pool = Pool("db1", limit, dedicated=True)
    for conn, owner in enumerate(owners, 1):
        opening = pool.opening_for.set(conn, owner)
        pool = replace(pool, opening=1, opening_for=opening)
        pool = add_connection(pool, conn, "x")
    return pool


def test_a_dedicated_connection_serves_its_customer_only():
    pool = _dedicated_pool(2, ("a", "b"))
    assert assign_idle(pool, "c", 0.0).conn == 0
    pool = enqueue(enqueue(pool, "c", 1), "b", 2)
    assigned = assign_next(pool, lambda name: 1.0, 0.0)
    assert (assigned.req, assigned.conn) == (2, 2)


def test_a_full_dedicated_pool_evicts_an_idle_connection():
    pool = enqueue(_dedicated_pool(2, ("a", "b")), "c", 1)
    openings = plan_openings(pool, 0.0)
    assert openings.customers == ("c",) and openings.evicted == (1,)


def test_a_dedicated_pool_opens_one_connection_for_one_request():
    pool = enqueue(_dedicated_pool(3, ()), "a", 1)
    assert plan_openings(pool, 0.0).customers == ("a",)
    pool = replace(pool, opening=1, opening_for=pool.opening_for.set(1, "a"))
    assert plan_openings(pool, 0.0).customers == ()
