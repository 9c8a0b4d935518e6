"""Runs the benchmarks: ``python -m benchmarks [NAME ...]``."""

import asyncio
import logging
import sys

from benchmarks import (
    clients,
    contention,
    control,
    failover,
    fairness,
    latency,
    reducer,
)
from benchmarks._rows import BENCHMARKS

MODULES = (clients, contention, control, failover, fairness, latency, reducer)
HEADER = f"{'measure':52} {'figure':>10} {'unit':6} {'':8} {'target':>8} {'bound':>8}"


def main(names: list[str]) -> int:
    """Run benchmarks and print their rows; return 1 if a figure violates its bound."""
    logging.disable(logging.CRITICAL)
    names_to_run = names or list(BENCHMARKS)
    print(HEADER, flush=True)
    all_within_bounds = True
    for name in names_to_run:
        for row in asyncio.run(BENCHMARKS[name]()):
            print(row.to_line(), flush=True)
            all_within_bounds = all_within_bounds and row.is_within_bound
    print("all bounds held" if all_within_bounds else "a bound broke")
    return 0 if all_within_bounds else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
