"""Command line: ``python -m soak run SEED``, ``seeds FIRST COUNT`` or ``regress``."""

import asyncio
import sys

import fire

from ._run import Verdict, soak
from ._seeds import REGRESSIONS

SECONDS = 30.0


def run(seed: int, seconds: float = SECONDS) -> int:
    """Run one seed; exit with 1 if a guarantee was violated."""
    return _report([asyncio.run(soak(seed, seconds))])


def seeds(first: int, count: int, seconds: float = SECONDS) -> int:
    """Run consecutive seeds in sequence; exit with 1 if a guarantee was violated."""
    return _report(
        asyncio.run(soak(seed, seconds)) for seed in range(first, first + count)
    )


def regress() -> int:
    """Run every seed that failed in the past."""
    return _report(asyncio.run(soak(item.seed, item.seconds)) for item in REGRESSIONS)


def _report(verdicts) -> int:
    failed = 0
    for verdict in verdicts:
        failed += bool(verdict.broken)
        _print(verdict)
    return 1 if failed else 0


def _print(verdict: Verdict) -> None:
    told = ", ".join(f"{count} {kind}" for kind, count in verdict.told.items())
    state = "BROKEN" if verdict.broken else "kept"
    print(
        f"seed {verdict.seed}: {state}; {len(verdict.faults)} faults; rows {told}; "
        f"{verdict.served} limited requests served",
        flush=True,
    )
    if verdict.broken:
        for item in verdict.faults:
            print(f"  {item.at_s:6.2f} s {item.fault}")
        for text in verdict.broken[:20]:
            print(f"  {text}")


if __name__ == "__main__":
    sys.exit(fire.Fire({"run": run, "seeds": seeds, "regress": regress}))
