"""Short queues for tokens: needs of a customer above its rate, at mixed priorities."""

from itertools import count

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovagewalk.buckets import (
    QUEUE_WAIT_FRACTION,
    QueuedNeed,
    admit_needs,
    deny_late_needs,
    insert_by_priority,
)
from lovagewalk.core import replace
from lovagewalk.shares import Share, grow, refill

RATE, BURST = 10.0, 4.0
WAIT_S = 0.8
STEP_S = 0.01


class Bucket:
    """One bucket with its queue, and the outcomes of its needs."""

    def __init__(self, is_short):
        self.is_short = is_short
        self.now = 1.0
        share = Share("c", updated_at=self.now, lease_until=1e9)
        self.share = grow(share, RATE, BURST, BURST, self.now)
        self.numbers = count()
        self.arrived_at = {}
        self.admitted = set()
        self.denied_after = {}
        self.retry_times = {}

    def add(self, priority=0, wait_s=WAIT_S):
        req = next(self.numbers)
        self.arrived_at[req] = self.now
        need = QueuedNeed("d", req, self.now + wait_s, priority=priority)
        queue = insert_by_priority(self.share.queue, need)
        self.share = replace(self.share, queue=queue)
        self.serve()
        return req

    def serve(self):
        share = refill(self.share, self.now)
        granted = admit_needs(share.queue, share.level)
        result = deny_late_needs(
            granted.queue,
            granted.tokens,
            RATE,
            self.now,
            free_at=share.lease_until,
            may_be_returned=False,
            is_short=self.is_short,
        )
        self.admitted |= {need.req for need in granted.admitted}
        for denied in result.denied:
            req = denied.need.req
            self.denied_after[req] = self.now - self.arrived_at[req]
            self.retry_times[req] = denied.wait_s
        self.share = replace(share, level=granted.tokens, queue=result.queue)

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self.serve()


def _overload(is_short):
    """Send 2.5 times the rate; the needs of high priority take two fifths of it."""
    bucket = Bucket(is_short)
    for number in range(150):
        bucket.add(priority=0 if number % 6 == 0 else 2)
        bucket.run(0.04)
    return bucket


def test_needs_of_high_priority_displace_no_queued_need_of_a_customer_above_its_rate():
    """Two fifths of such refusals came after half a second in the queue."""
    displaced = {
        is_short: [wait for wait in _overload(is_short).denied_after.values() if wait]
        for is_short in (False, True)
    }
    assert len(displaced[False]) > 10
    assert displaced[True] == []


def test_a_customer_above_its_rate_gets_its_whole_rate_through_a_short_queue():
    bucket = _overload(True)
    elapsed_s = bucket.now - 1.0
    assert RATE * elapsed_s + BURST - 1 <= len(bucket.admitted)
    assert len(bucket.admitted) <= RATE * elapsed_s + BURST + 1e-6


def test_a_need_beyond_the_short_queue_is_denied_at_once_with_a_retry_time():
    bucket = Bucket(True)
    reqs = [bucket.add() for _ in range(20)]
    admissible = round(BURST + RATE * WAIT_S * QUEUE_WAIT_FRACTION)
    denied = reqs[admissible - 1 :]
    assert sorted(bucket.denied_after) == denied
    assert {bucket.denied_after[req] for req in denied} == {0.0}
    first_retry_s = WAIT_S * QUEUE_WAIT_FRACTION
    assert all(
        bucket.retry_times[req] == pytest.approx(first_retry_s) for req in denied
    )


@given(
    st.lists(
        st.tuples(
            st.sampled_from((0.0, 0.01, 0.05, 0.2)),
            st.sampled_from((0.1, 0.2, 0.4, 0.8, 1.0)),
        ),
        max_size=60,
    )
)
def test_a_queued_need_that_none_displaces_is_admitted_before_its_deadline(arrivals):
    """All needs are of one priority, so an accepted need keeps its place."""
    bucket = Bucket(True)
    for pause_s, wait_s in arrivals:
        bucket.add(wait_s=wait_s)
        bucket.run(pause_s)
    bucket.run(1.0)
    assert set(bucket.denied_after.values()) <= {0.0}
    assert len(bucket.admitted) + len(bucket.denied_after) == len(arrivals)
