"""Log lines as text or JSON; each starts with its part's name."""

import logging

from lovagewalk.runtime import JsonFormatter


def set_up_logs(level: str, form: str) -> None:
    """Send this project's logs to standard error."""
    handler = logging.StreamHandler()
    handler.setFormatter(logging.Formatter("%(asctime)s %(levelname)s %(message)s"))
    if form == "json":
        handler.setFormatter(JsonFormatter())
    root = logging.getLogger("lovagewalk")
    root.setLevel(level)
    root.handlers = [handler]
