"""Configures log output as text or JSON lines.

Each message starts with the name of the component that logs it.
"""

import logging

from lovagewalk.runtime import JsonFormatter


def configure_logging(level: str, form: str) -> None:
    """Write the logs of lovagewalk to standard error."""
    handler = logging.StreamHandler()
    handler.setFormatter(logging.Formatter("%(asctime)s %(levelname)s %(message)s"))
    if form == "json":
        handler.setFormatter(JsonFormatter())
    logger = logging.getLogger("lovagewalk")
    logger.setLevel(level)
    logger.handlers = [handler]
