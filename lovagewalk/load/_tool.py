"""The load command: builds and runs a plan, prints a table and writes JSON."""

import asyncio
import json
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from lovagewalk.core import TimerService

from ._faults import FAULTS, FleetAddress, TimedFault
from ._run import CustomerReport, LoadRun
from ._state import CustomerPlan, LoadPlan

LARGE_CUSTOMER_COUNT = 2
LARGE_RATE_FACTOR = 3.0


@dataclass(frozen=True, slots=True)
class LoadOptions:
    """Options of the command line; field names are keys of the JSON output.

    Attributes
    ----------
    rate : float
        Requests a second of a small customer; a large one sends three times as many.
    flood : float
        Factor by which the rate of the last customer is multiplied.
    """

    seconds: float = 10.0
    rate: float = 20.0
    write_share: float = 0.2
    flood: float = 1.0
    seed: int = 1
    faults: tuple[TimedFault, ...] = ()
    output: str = ""


def build_plan(
    fleet: FleetAddress, keys: list[dict[str, str]], options: LoadOptions
) -> LoadPlan:
    """Return a plan in which the first `LARGE_CUSTOMER_COUNT` customers are large."""
    customers = []
    for number, key in enumerate(keys):
        rate = options.rate * (
            LARGE_RATE_FACTOR if number < LARGE_CUSTOMER_COUNT else 1.0
        )
        if number == len(keys) - 1:
            rate *= options.flood
        customers.append(CustomerPlan(key["name"], key["key_id"], key["secret"], rate))
    return LoadPlan(
        entry_addresses=fleet.caller_addresses,
        route=fleet.route,
        customers=tuple(customers),
        write_share=options.write_share,
        seconds=options.seconds,
        seed=options.seed,
    )


async def run_load(
    fleet: FleetAddress, keys: list[dict[str, str]], options: LoadOptions
) -> list[CustomerReport]:
    """Run a load plan with its faults and return the reports."""
    plan = build_plan(fleet, keys, options)
    timer = TimerService()
    first_id = int(timer.now() * 1000) % 1_000_000_000
    run = LoadRun(plan, timer, first_id)
    withdrawn_key_id = plan.customers[-1].key_id
    fault_tasks = [
        asyncio.create_task(_inject_fault(fleet, timed_fault, withdrawn_key_id, timer))
        for timed_fault in options.faults
    ]
    reports = await run.run()
    await asyncio.gather(*fault_tasks)
    timer.close()
    return reports


async def _inject_fault(
    fleet: FleetAddress, timed_fault: TimedFault, key_id: str, timer: TimerService
) -> None:
    await timer.sleep(timed_fault.at_s)
    await FAULTS[timed_fault.name](fleet, key_id)


def print_table(reports: list[CustomerReport]) -> None:
    """Print one line for each customer."""
    latency_header = f"{'p50 ms':>8} {'p99 ms':>8} {'max ms':>8}"
    print(f"{'customer':14} {'sent':>6} {latency_header}  answers")
    for report in reports:
        answers = ", ".join(f"{k}: {v}" for k, v in sorted(report.answers.items()))
        print(
            f"{report.customer:14} {report.sent:6} {report.p50_ms:8.2f} "
            f"{report.p99_ms:8.2f} {report.max_ms:8.2f}  {answers}"
        )


def write_json(path: str, reports: list[CustomerReport], options: LoadOptions) -> None:
    """Write the options and the reports of a run as JSON."""
    content: dict[str, Any] = {
        "options": asdict(options),
        "customers": [asdict(report) for report in reports],
    }
    Path(path).write_text(json.dumps(content, indent=2) + "\n")
