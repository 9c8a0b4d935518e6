"""One soak run: a fleet, its callers, the faults of a seed, and the verdict."""

import asyncio
import signal
import tempfile
from dataclasses import dataclass
from pathlib import Path

from lovagewalk.cli.tests.process_fleet import is_serving
from lovagewalk.core import Shell, TimerService, perform, replace
from lovagewalk.demo import run
from lovagewalk.operators import OperatorError

from . import _fleet
from ._callers import (
    LIMITED,
    REQUEST_ERRORS,
    TABLE,
    WITHDRAWN,
    WRITER,
    HoldingSession,
    LimitedSession,
    MovingSession,
    Operator,
    Session,
    WithdrawnSession,
)
from ._faults import FIRST_TRAFFIC_SEED, plan_faults
from ._promises import (
    CheckerState,
    NotRecovered,
    ProcessEnded,
    ReducersFailed,
    RowsRead,
    WriteOutcome,
)

WRITERS = 6
LIMITED_CALLERS = 3
WITHDRAWN_CALLERS = 2
# The same for seeds with the last two kinds. A write that waits for the lock of a
# stand-in's database occupies one of its three slots; with 13 writers the one that
# holds the lock waited for a slot most of the time, and few rows were written.
WRITERS_BESIDE_OTHERS = 3
MOVING_CALLERS = 2
HOLDING_CALLERS = 2
LIMITED_RATE, LIMITED_BURST = 15.0, 12.0
# Time after the last fault for a lease of shares to expire, an election and a
# failover, twice each.
RECOVERY_LIMIT_S = 20.0
# Fraction of the run after which the key is withdrawn, so that it is used before
# and faults continue afterwards.
WITHDRAW_AT_FRACTION = 0.4
# Pause between attempts to read everything back; short compared with the recovery
# limit.
READ_BACK_RETRY_S = 0.2


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of a run.

    Attributes
    ----------
    violations : tuple of str
        One sentence for each violation of a guarantee.
    rows_by_outcome : dict of str to int
        Number of rows by the outcome that their callers received.
    served : int
        Requests of the rate-limited customer that were served.
    """

    seed: int
    faults: tuple
    violations: tuple[str, ...]
    rows_by_outcome: dict[str, int]
    served: int


async def soak(seed: int, seconds: float, folder: Path | None = None) -> Verdict:
    """Run a fleet under the faults of a seed and check what its callers observed.

    SIGTERM also ends the processes of the fleet.
    """
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    if folder is None:
        with tempfile.TemporaryDirectory() as folder_path:
            return await soak(seed, seconds, Path(folder_path))
    timer = TimerService()
    state = CheckerState(LIMITED_RATE, LIMITED_BURST)
    shell: Shell[CheckerState] = Shell(state, None, timer)
    faults = plan_faults(seed, seconds)
    async with _fleet.SoakFleet(folder) as fleet:
        operator = Operator(fleet, seed, shell.feed, timer.now)
        await _set_up(fleet, operator)
        writers = await _run_workload(
            fleet, operator, seed, seconds, faults, shell, timer
        )
        await _check_recovery(fleet, operator, writers, shell, timer)
    timer.close()
    return _build_verdict(seed, faults, shell.state)


async def _set_up(fleet, operator) -> None:
    await fleet.wait_for_status("vm1", lambda status: bool(status["groups"]))
    await fleet.set_up_catalogue([WRITER, WITHDRAWN], 5000.0, 1000.0)
    await fleet.add_moving_route()
    await fleet.add_customers([LIMITED], LIMITED_RATE, LIMITED_BURST)
    for name in fleet.ports:
        await fleet.wait_for_status(name, is_serving)
    await operator.write_next_number()
    conn = await fleet.connect("vm1", WRITER, "secret")
    await run(conn, f"CREATE TABLE {TABLE} (id INT, s INT)")
    conn.close()


async def _run_workload(fleet, operator, seed, seconds, faults, shell, timer):
    """Run the callers and inject the faults; return the numbers of those that write."""
    started = timer.now()
    shell.state = replace(shell.state, started_at=started)
    end_at = started + seconds
    has_traffic = seed >= FIRST_TRAFFIC_SEED
    session_types = (
        (Session, WRITER, WRITERS_BESIDE_OTHERS if has_traffic else WRITERS),
        (LimitedSession, LIMITED, LIMITED_CALLERS),
        (WithdrawnSession, WITHDRAWN, WITHDRAWN_CALLERS),
        (MovingSession, WRITER, MOVING_CALLERS if has_traffic else 0),
        (HoldingSession, WRITER, HOLDING_CALLERS if has_traffic else 0),
    )
    sessions = []
    for session_type, key, count in session_types:
        for _ in range(count):
            number = len(sessions) + 1
            sessions.append(
                session_type(fleet, number, key, seed, shell.feed, timer.now)
            )
    withdraw_at = started + seconds * WITHDRAW_AT_FRACTION
    tasks = [asyncio.create_task(session.run(end_at)) for session in sessions]
    tasks.append(asyncio.create_task(operator.run(end_at, withdraw_at)))
    for timed_fault in faults:
        await timer.sleep(max(started + timed_fault.at_s - timer.now(), 0.0))
        perform(fleet, timed_fault.fault)
    await asyncio.gather(*tasks)
    return tuple(session.number for session in sessions if session.writes)


async def _check_recovery(fleet, operator, writers, shell, timer) -> None:
    """Wait until all faults have ended, then read everything back."""
    await fleet.wait_for_faults()
    for name, status in fleet.find_ended().items():
        shell.feed(ProcessEnded(timer.now(), name, status))
    try:
        async with asyncio.timeout(RECOVERY_LIMIT_S):
            while not await _try_read_back(fleet, operator, writers, shell, timer):
                await timer.sleep(READ_BACK_RETRY_S)
    except TimeoutError:
        shell.feed(NotRecovered(timer.now(), RECOVERY_LIMIT_S))
    for name, events in fleet.find_failed_reducers().items():
        shell.feed(ReducersFailed(timer.now(), name, tuple(events)))


async def _try_read_back(fleet, operator, writers, shell, timer) -> bool:
    try:
        await _read_all(fleet, writers, shell, timer)
        await operator.read_back()
    except TimeoutError:
        raise
    except (*REQUEST_ERRORS, OperatorError):
        return False
    return True


async def _read_all(fleet, writers, shell, timer) -> None:
    conn = await fleet.connect("vm2", WRITER, "secret")
    for number in writers:
        rows = await run(conn, f"SELECT id FROM {TABLE} WHERE s = {number}")
        seen = tuple(row[0] for row in rows)
        shell.feed(RowsRead(timer.now(), number, seen, final=True))
    conn.close()


def _build_verdict(seed: int, faults, state: CheckerState) -> Verdict:
    rows_by_outcome = {outcome.value: 0 for outcome in WriteOutcome}
    for outcome in state.outcomes.values():
        rows_by_outcome[outcome.value] += 1
    return Verdict(seed, faults, state.violations, rows_by_outcome, len(state.served))
