"""Network addresses of the form ``IP:PORT``."""

import ipaddress
from dataclasses import dataclass
from typing import Any

from lovagewalk.core import MAX_PORT, parse_count


@dataclass(frozen=True, slots=True)
class Address:
    """IP address and port on which a process listens."""

    host: str
    port: int

    @classmethod
    def try_parse(cls, text: str) -> "Address | None":
        """Return the address in a text, or None if it is not ``IP:PORT``."""
        try:
            return cls(*parse_address(text))
        except ValueError:
            return None


def is_port(value: Any) -> bool:
    """Whether a decoded value is the number of a port."""
    return type(value) is int and 0 < value <= MAX_PORT


def parse_address(text: str) -> tuple[str, int]:
    """Return host and port of ``IP:PORT``.

    Raises
    ------
    ValueError
        If the host is not an IP address or the port is out of range.
    """
    host, _, port_text = text.rpartition(":")
    ipaddress.ip_address(host)
    port = parse_count(port_text)
    if not is_port(port):
        raise ValueError("port out of range")
    return host, port
