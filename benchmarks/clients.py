"""Cost of the client budget for an ordinary statement, without sockets."""

from time import perf_counter

from benchmarks._rows import Row, benchmark
from lovagewalk.clients import ClientHeld, ClientKind
from lovagewalk.core import Shell, TimerService, reduce
from lovagewalk.routing import StatementKind
from lovagewalk.routing.tests.fake_group import Site, tick
from lovagewalk.runtime import LineClient, Ports

STATEMENTS = 1000
BLOCKS = 9
# Connections that hold more than the threshold meanwhile, as many as a VM has sessions.
HOLDERS = 60
HELD_BYTES = 40_000
US_PER_S = 1e6


class _Transport:
    """A transport of a client that has read its answers."""

    def get_write_buffer_size(self) -> int:
        """Return the number of unread bytes."""
        return 0


class _Connection(LineClient):
    """A client's connection without a socket."""

    def __init__(self, ports: Ports) -> None:
        super().__init__(ports, ClientKind.CALLER, 1024 * 1024, 3.0)
        self._transport = _Transport()

    def account(self) -> None:
        """Do what the accounting adds to the arrival or the answer of a statement."""
        self._update_reading()
        self._report()


@benchmark("clients")
async def measure_clients() -> list[Row]:
    """Run reads with and without the accounting of their connection, block by block.

    Each statement is accounted twice, on its arrival and with its answer.
    """
    site = Site()
    caller = site.connect()
    site.send(caller, StatementKind.WRITE)
    site.deliver_all()
    site.replicate("db1")
    tick(site, 0.06)
    site.deliver_all()
    for number in range(HOLDERS):
        event = ClientHeld(
            site.now, 10_000_000 + number, ClientKind.CALLER, HELD_BYTES, 0, 0
        )
        site.state = reduce(site.state, event).state
    ports = Ports(TimerService())
    ports.shell = Shell(site.state, ports, ports.timer)
    client = _Connection(ports)
    before, after, reports = [], [], []
    for _ in range(BLOCKS):
        before.append(_run_block(site, caller, None))
        after.append(_run_block(site, caller, client))
        reports.append(_account_block(client))
    base_us = min(before)
    report_us = min(reports)
    return [
        Row("a read without accounting, best of 9 blocks", base_us, "us", 200, 200),
        Row("a read with accounting, best of 9 blocks", min(after), "us", 200, 200),
        Row("accounting alone, a statement", report_us, "us", 3, 3),
        Row("accounting, part of a read", 100 * report_us / base_us, "%", 2, 2),
    ]


def _run_block(site: Site, caller: int, client: _Connection | None) -> float:
    """Run a block of reads; return the microseconds of a statement."""
    started = perf_counter()
    for _ in range(STATEMENTS):
        if client is not None:
            client.account()
        site.send(caller, StatementKind.READ)
        site.deliver_all()
        if client is not None:
            client.account()
    return (perf_counter() - started) / STATEMENTS * US_PER_S


def _account_block(client: _Connection) -> float:
    """Account as often as a block of reads does; return the time of a statement."""
    started = perf_counter()
    for _ in range(STATEMENTS):
        client.account()
        client.account()
    return (perf_counter() - started) / STATEMENTS * US_PER_S
