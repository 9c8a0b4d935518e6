"""The limits that the operating system sets for this process."""

import resource

from lovagewalk.clients import ClientLimits, LimitSettings, derive_limits


def derive_process_limits(settings: LimitSettings) -> ClientLimits:
    """Return the limits for clients, from the settings and the process's limits."""
    memory = min(
        (_read_limit(resource.RLIMIT_AS), _read_limit(resource.RLIMIT_DATA)),
        key=lambda limit: limit or float("inf"),
    )
    return derive_limits(settings, memory, _read_limit(resource.RLIMIT_NOFILE))


def _read_limit(number: int) -> int:
    """Return the soft limit; 0 if there is none."""
    soft, _ = resource.getrlimit(number)
    return 0 if soft == resource.RLIM_INFINITY else soft
