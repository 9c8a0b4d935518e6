"""Command line: ``python -m soak run SEED``, ``seeds FIRST COUNT`` or ``regress``."""

import asyncio
import sys

import fire

from ._run import Verdict, soak
from ._seeds import REGRESSIONS

DEFAULT_RUN_S = 30.0


def run(seed: int, seconds: float = DEFAULT_RUN_S) -> int:
    """Run one seed; exit with 1 if a guarantee was violated."""
    return _report([asyncio.run(soak(seed, seconds))])


def seeds(first: int, count: int, seconds: float = DEFAULT_RUN_S) -> int:
    """Run consecutive seeds in sequence; exit with 1 if a guarantee was violated."""
    return _report(
        asyncio.run(soak(seed, seconds)) for seed in range(first, first + count)
    )


def regress() -> int:
    """Run every seed that failed in the past."""
    return _report(
        asyncio.run(soak(regression.seed, regression.seconds))
        for regression in REGRESSIONS
    )


def _report(verdicts) -> int:
    failed = 0
    for verdict in verdicts:
        failed += bool(verdict.violations)
        _print(verdict)
    return 1 if failed else 0


def _print(verdict: Verdict) -> None:
    rows = ", ".join(
        f"{count} {outcome}" for outcome, count in verdict.rows_by_outcome.items()
    )
    state = "BROKEN" if verdict.violations else "kept"
    print(
        f"seed {verdict.seed}: {state}; {len(verdict.faults)} faults; rows {rows}; "
        f"{verdict.served} limited requests served",
        flush=True,
    )
    if verdict.violations:
        for timed_fault in verdict.faults:
            print(f"  {timed_fault.at_s:6.2f} s {timed_fault.fault}")
        for violation in verdict.violations[:20]:
            print(f"  {violation}")


if __name__ == "__main__":
    sys.exit(fire.Fire({"run": run, "seeds": seeds, "regress": regress}))
