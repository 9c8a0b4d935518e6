"""Model of one endpoint and many daemons, each with a pool."""

import heapq
import random
from itertools import count

from lovagewalk.core import replace
from lovagewalk.pace import compute_share, create_pace
from lovagewalk.pools import (
    Pool,
    add_connection,
    assign_next,
    change_pace,
    enqueue,
    estimate_wait,
    record_loss,
    record_read_error,
    record_refusal,
    record_served,
    release,
)

SWEEP_S = 0.02
ONE_WAY_DELAY_S = 0.001
OBJECTIVE_S = 0.5
CONNECTIONS = 3


class FleetModel:
    """Daemons in front of one endpoint; `service_s` may be changed while it runs."""

    def __init__(
        self, paced=True, daemons=60, slots=4, queue=32, service_s=0.014, seed=1
    ):
        self.random = random.Random(seed)
        self.now, self.numbers, self.due = 10.0, count(1), []
        self.slots, self.queue_limit, self.service_s = slots, queue, service_s
        self.running, self.queue, self.down, self.fails = 0, [], False, False
        self.arrived_at = {}
        self.latencies_s, self.served_at = [], []
        self.sent = self.busy = self.refused = self.errors = 0
        share = compute_share(slots, daemons)
        self.pools = [
            Pool("db", CONNECTIONS, pace=create_pace(share, number) if paced else None)
            for number in range(daemons)
        ]
        for number, pool in enumerate(self.pools):
            for conn in range(1, CONNECTIONS + 1):
                pool = add_connection(replace(pool, opening=1), conn, "x")
            self.pools[number] = pool
            self.at(self.random.random() * SWEEP_S, self.sweep, number)

    def at(self, delay_s, call, *args):
        item = (self.now + delay_s, next(self.numbers), call, args)
        heapq.heappush(self.due, item)

    def run(self, seconds):
        end = self.now + seconds
        while self.due and self.due[0][0] <= end:
            self.now, _, call, args = heapq.heappop(self.due)
            call(*args)
        self.now = end

    def change_paces(self, change):
        self.pools = [change_pace(pool, change) for pool in self.pools]

    def load(self, per_s, seconds, daemons=None):
        """Let statements arrive at random times and daemons."""
        at = 0.0
        while (at := at + self.random.expovariate(per_s)) < seconds:
            number = self.random.randrange(daemons or len(self.pools))
            self.at(at, self.arrive, number, True)

    def arrive(self, number, may_refuse=False):
        pool = self.pools[number]
        wait_s = estimate_wait(pool, self.now)
        if may_refuse and wait_s > OBJECTIVE_S / 2:
            self.refused += 1
            return
        req = next(self.numbers)
        self.arrived_at[req] = self.now
        self.pools[number] = enqueue(pool, "", req)
        self.dispatch(number)

    def sweep(self, number):
        self.dispatch(number)
        self.at(SWEEP_S, self.sweep, number)

    def dispatch(self, number):
        while True:
            assigned = assign_next(self.pools[number], lambda name: 1.0, self.now)
            if not assigned.req:
                return
            self.pools[number] = assigned.pool
            self.sent += 1
            statement = (number, assigned.conn, assigned.req, self.now)
            self.at(ONE_WAY_DELAY_S, self.receive, statement)

    def receive(self, statement):
        if self.down:
            self.at(0.6, self.lose, statement)
        elif self.fails:
            self.at(ONE_WAY_DELAY_S, self.fail, statement)
        elif self.running < self.slots:
            self.start(statement)
        elif len(self.queue) < self.queue_limit:
            self.queue.append(statement)
        else:
            self.at(ONE_WAY_DELAY_S, self.refuse, statement)

    def start(self, statement):
        self.running += 1
        service_s = self.service_s * self.random.uniform(0.5, 1.5)
        self.at(service_s, self.end, statement)

    def end(self, statement):
        self.running -= 1
        if self.queue:
            self.start(self.queue.pop(0))
        self.at(ONE_WAY_DELAY_S, self.complete, statement)

    def complete(self, statement):
        number, conn, req, sent_at = statement
        pool = replace(self.pools[number], answered_at=self.now)
        pool = record_served(pool, self.now, conn, self.now - sent_at, sent_at)
        self.latencies_s.append(self.now - self.arrived_at.pop(req))
        self.served_at.append(self.now)
        self.free(number, pool, conn)

    def refuse(self, statement):
        number, conn, req, sent_at = statement
        self.busy += 1
        pool = replace(self.pools[number], answered_at=self.now)
        pool = record_refusal(pool, sent_at, self.now, conn)
        self.free(number, enqueue(pool, "", req, 0), conn)

    def fail(self, statement):
        number, conn, req, _ = statement
        self.errors += 1
        pool = record_read_error(self.pools[number], conn, self.now)
        self.free(number, enqueue(pool, "", req, 0), conn)

    def lose(self, statement):
        number, conn, req, sent_at = statement
        pool = record_loss(self.pools[number], sent_at, self.now)
        self.free(number, enqueue(pool, "", req, 0), conn)

    def free(self, number, pool, conn):
        self.pools[number] = release(pool, conn, 1.0, self.now)
        self.dispatch(number)

    def in_time(self):
        return sum(latency_s <= OBJECTIVE_S for latency_s in self.latencies_s)

    def states(self):
        return [pool.pace.state for pool in self.pools]
