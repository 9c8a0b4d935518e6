"""Command-line interface of lovagewalk."""

import sys

import fire

from lovagewalk.core import LovageError

from ._commands import EXIT_FAILED, Commands, run_command

__all__ = ["Commands", "main"]


def main() -> None:
    """Run the command line; the console script's entry point."""
    try:
        status = run_command(lambda: fire.Fire(Commands(), name="lovagewalk"))
    except LovageError as exc:
        print(exc, file=sys.stderr)
        status = EXIT_FAILED
    except KeyboardInterrupt:
        status = EXIT_FAILED
    sys.exit(status)
