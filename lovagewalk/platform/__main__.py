"""Entry point of a daemon on the platform."""

import signal
import sys


def main() -> int:
    """Run a daemon and return its exit status."""
    # Without a handler, the request to reload the settings ends the process. The
    # imports take long enough for one to arrive.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from lovagewalk.runtime import run_program, set_up_structured_logs

    from ._daemon import run_daemon

    set_up_structured_logs("INFO")
    return run_program(run_daemon)


if __name__ == "__main__":
    sys.exit(main())
