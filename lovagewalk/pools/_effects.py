"""Effects on pool connections."""

from dataclasses import dataclass

from lovagewalk.core import Effect


@dataclass(frozen=True, slots=True)
class OpenConnection(Effect):
    """Open a connection to an endpoint.

    Attributes
    ----------
    group : str
        The group that the endpoint belongs to.
    customer : str
        The customer that it is opened for; empty if it may serve any customer.
    """

    conn: int
    endpoint: str
    host: str
    port: int
    group: str = ""
    customer: str = ""


@dataclass(frozen=True, slots=True)
class CloseConnection(Effect):
    """Close a connection, even while a statement runs on it."""

    conn: int
