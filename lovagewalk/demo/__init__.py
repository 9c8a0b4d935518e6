"""A fleet in one process, and a demo that runs on it."""

from ._demo import run_demo, run_fleet
from ._fleet import (
    CAMPANERIA,
    HOST,
    KANIMICHI,
    PROFILES,
    CustomerKey,
    Fleet,
    free_port,
    run,
)

__all__ = [
    "CAMPANERIA",
    "HOST",
    "KANIMICHI",
    "PROFILES",
    "CustomerKey",
    "Fleet",
    "free_port",
    "run_fleet",
    "run",
    "run_demo",
]
