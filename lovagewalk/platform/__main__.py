"""Entry point of a daemon on the platform."""

import sys

import uvloop

from lovagewalk.core import Code, LovageError
from lovagewalk.runtime import set_up_structured_logs

from ._daemon import run_daemon
from ._settings import load_platform_settings

EXIT_FAULT = 1
EXIT_BAD_SETTINGS = 2


def main() -> int:
    """Run a daemon and return its exit status."""
    set_up_structured_logs("INFO")
    try:
        uvloop.run(run_daemon(load_platform_settings()))
    except LovageError as exc:
        print(exc, file=sys.stderr)
        return EXIT_BAD_SETTINGS if exc.code is Code.SETTINGS_BAD else EXIT_FAULT
    return 0


if __name__ == "__main__":
    sys.exit(main())
