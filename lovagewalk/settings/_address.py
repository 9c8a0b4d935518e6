"""Addresses by IP number."""

import ipaddress
from dataclasses import dataclass

MAX_PORT = 65535


@dataclass(frozen=True, slots=True)
class Address:
    """Where something listens."""

    host: str
    port: int

    @classmethod
    def try_parse(cls, text: str) -> "Address | None":
        """Return the address of a text of the form ``IP:PORT``, or None."""
        try:
            return cls(*parse_address(text))
        except ValueError:
            return None


def parse_address(text: str) -> tuple[str, int]:
    """Return host and port of ``IP:PORT``.

    Raises
    ------
    ValueError
        If the host is no IP number or the port is out of range.
    """
    host, _, port = text.rpartition(":")
    ipaddress.ip_address(host)
    number = int(port)
    if not 0 < number <= MAX_PORT:
        raise ValueError("port out of range")
    return host, number
