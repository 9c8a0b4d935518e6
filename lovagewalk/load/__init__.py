"""The load tool: an open-loop workload of callers, with timed faults."""

from ._faults import FleetAddress, TimedFault, parse_faults, parse_fleet
from ._run import CustomerReport, LoadRun
from ._state import CustomerPlan, LoadPlan
from ._tool import LoadOptions, build_plan, print_table, run_load, write_json

__all__ = [
    "CustomerPlan",
    "CustomerReport",
    "FleetAddress",
    "LoadOptions",
    "LoadPlan",
    "LoadRun",
    "TimedFault",
    "build_plan",
    "parse_faults",
    "print_table",
    "parse_fleet",
    "run_load",
    "write_json",
]
