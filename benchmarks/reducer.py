"""Cost of the reducer alone, without sockets."""

from time import perf_counter

from benchmarks._rows import Row, benchmark
from lovagewalk.routing import StatementKind
from lovagewalk.routing.tests.fake_group import Site, tick

STATEMENTS = 2000
BLOCKS = 5


@benchmark("reducer")
async def measure_reducer() -> list[Row]:
    """Run reads through the reducer alone, and measure their time and events."""
    site = Site()
    caller = site.connect()
    site.send(caller, StatementKind.WRITE)
    site.deliver_all()
    site.replicate("db1")
    tick(site, 0.06)
    site.deliver_all()
    clock = _ReduceClock(site)
    ms_per_statement = min(_run_block(site, caller, clock) for _ in range(BLOCKS))
    events_per_statement = clock.events / STATEMENTS / BLOCKS
    return [
        Row(
            "reducer time a read, best of 5 blocks", ms_per_statement, "ms", 0.15, 0.15
        ),
        Row("events a read", events_per_statement, "", 6, 6),
    ]


def _run_block(site: Site, caller: int, clock: "_ReduceClock") -> float:
    """Run a block of reads; return the reducer's milliseconds per statement."""
    seconds_before = clock.seconds
    for _ in range(STATEMENTS):
        site.send(caller, StatementKind.READ)
        site.deliver_all()
    return (clock.seconds - seconds_before) / STATEMENTS * 1000


class _ReduceClock:
    """Measures the time that a site spends in its reducer, and counts events."""

    def __init__(self, site: Site) -> None:
        self.seconds = 0.0
        self.events = 0
        feed = site.feed

        def timed_feed(event: object) -> None:
            started = perf_counter()
            feed(event)
            self.seconds += perf_counter() - started
            self.events += 1

        site.feed = timed_feed
