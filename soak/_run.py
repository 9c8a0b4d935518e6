"""One soak run: starts a fleet and callers, injects the faults of a seed, checks."""

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
    FAILURES,
    LIMITED,
    TABLE,
    WITHDRAWN,
    WRITER,
    LimitedSession,
    Operator,
    Session,
    WithdrawnSession,
)
from ._faults import plan_faults
from ._promises import NotRecovered, Promises, RowsSeen, Told

WRITERS = 6
LIMITED_CALLERS = 3
WITHDRAWN_CALLERS = 2
LIMITED_RATE, LIMITED_BURST = 15.0, 12.0
# Time after the last fault for a lease of shares to expire, an election and a
# failover, twice each.
RECOVERY_LIMIT_S = 20.0
# Fraction of the run after which the key is withdrawn, so that it is used before
# and faults continue afterwards.
WITHDRAW_PART = 0.4
# Pause between attempts to read everything back; short compared with the recovery
# limit.
READ_BACK_PAUSE_S = 0.2


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of a run.

    Attributes
    ----------
    broken : tuple of str
        One sentence for each violation of a guarantee.
    told : dict of str to int
        Number of rows by the outcome that their callers received.
    served : int
        Requests of the rate-limited customer that were served.
    """

    seed: int
    faults: tuple
    broken: tuple[str, ...]
    told: dict[str, int]
    served: int


async def soak(seed: int, seconds: float, folder: Path | None = None) -> Verdict:
    """Run a fleet under the faults of a seed and check what its callers observed.

    SIGTERM also ends the processes of the fleet.
    """
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    if folder is None:
        with tempfile.TemporaryDirectory() as name:
            return await soak(seed, seconds, Path(name))
    timer = TimerService()
    state = Promises(LIMITED_RATE, LIMITED_BURST)
    shell: Shell[Promises] = Shell(state, None, timer)
    faults = plan_faults(seed, seconds)
    async with _fleet.SoakFleet(folder) as fleet:
        operator = Operator(fleet, seed, shell.feed, timer.now)
        await _set_up(fleet, operator)
        await _live(fleet, operator, seed, seconds, faults, shell, timer)
        await _heal(fleet, operator, shell, timer)
    timer.close()
    return _judge(seed, faults, shell.state)


async def _set_up(fleet, operator) -> None:
    await fleet.wait_for_status("vm1", lambda status: bool(status["groups"]))
    await fleet.set_up_catalogue([WRITER, WITHDRAWN], 5000.0, 1000.0)
    await fleet.add_customers([LIMITED], LIMITED_RATE, LIMITED_BURST)
    for name in fleet.ports:
        await fleet.wait_for_status(name, is_serving)
    await operator.count_up()
    conn = await fleet.connect("vm1", WRITER, "secret")
    await run(conn, f"CREATE TABLE {TABLE} (id INT, s INT)")
    conn.close()


async def _live(fleet, operator, seed, seconds, faults, shell, timer) -> None:
    """Run the callers and inject the faults concurrently."""
    started = timer.now()
    shell.state = replace(shell.state, started_at=started)
    until = started + seconds
    kinds = (
        (Session, WRITER, WRITERS),
        (LimitedSession, LIMITED, LIMITED_CALLERS),
        (WithdrawnSession, WITHDRAWN, WITHDRAWN_CALLERS),
    )
    sessions = []
    for kind, key, count in kinds:
        for _ in range(count):
            number = len(sessions) + 1
            sessions.append(kind(fleet, number, key, seed, shell.feed, timer.now))
    withdraw_at = started + seconds * WITHDRAW_PART
    tasks = [asyncio.create_task(session.live(until)) for session in sessions]
    tasks.append(asyncio.create_task(operator.live(until, withdraw_at)))
    for item in faults:
        await timer.sleep(max(started + item.at_s - timer.now(), 0.0))
        perform(fleet, item.fault)
    await asyncio.gather(*tasks)


async def _heal(fleet, operator, shell, timer) -> None:
    """Wait until all faults have ended, then read everything back."""
    await fleet.heal()
    try:
        async with asyncio.timeout(RECOVERY_LIMIT_S):
            while not await _is_read_back(fleet, operator, shell, timer):
                await timer.sleep(READ_BACK_PAUSE_S)
    except TimeoutError:
        shell.feed(NotRecovered(timer.now(), RECOVERY_LIMIT_S))


async def _is_read_back(fleet, operator, shell, timer) -> bool:
    try:
        await _read_all(fleet, shell, timer)
        await operator.read_back()
    except TimeoutError:
        raise
    except (*FAILURES, OperatorError):
        return False
    return True


async def _read_all(fleet, shell, timer) -> None:
    conn = await fleet.connect("vm2", WRITER, "secret")
    for number in range(1, WRITERS + 1):
        rows = await run(conn, f"SELECT id FROM {TABLE} WHERE s = {number}")
        seen = tuple(row[0] for row in rows)
        shell.feed(RowsSeen(timer.now(), number, seen, final=True))
    conn.close()


def _judge(seed: int, faults, state: Promises) -> Verdict:
    told = {kind.value: 0 for kind in Told}
    for kind in state.told.values():
        told[kind.value] += 1
    return Verdict(seed, faults, state.broken, told, len(state.served))
