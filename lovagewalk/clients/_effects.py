"""Effects on client connections."""

from dataclasses import dataclass

from lovagewalk.core import Effect, Refusal


@dataclass(frozen=True, slots=True)
class PauseClient(Effect):
    """Read nothing from a connection, and process no message of it."""

    client: int


@dataclass(frozen=True, slots=True)
class ResumeClient(Effect):
    """Read from a paused connection again."""

    client: int


@dataclass(frozen=True, slots=True)
class CloseClient(Effect):
    """Close a connection and release what it holds.

    Attributes
    ----------
    kind : str
        Kind of the client, as counters name it.
    reason : str
        Why it is closed, as counters name it.
    refusal : Refusal
        Sent to a client that can still read it and has no statement in progress, since
        the refusal says that nothing was run.
    """

    client: int
    kind: str
    reason: str
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class MeasureClients(Effect):
    """Report what these connections hold now."""

    clients: tuple[int, ...]
