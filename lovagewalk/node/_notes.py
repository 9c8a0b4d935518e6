"""What a daemon comes to believe, as an effect for the log."""

from dataclasses import dataclass

from lovagewalk.core import Effect

Value = str | int | float


@dataclass(frozen=True, slots=True)
class NoteBelief(Effect):
    """Log that the daemon believes something else from now on.

    Attributes
    ----------
    part : str
        The part of the daemon whose belief it is.
    belief : str
        Short sentence without variable parts.
    inputs : tuple of tuple
        What decided it: names and values, with ages or versions among them.
    """

    part: str
    belief: str
    inputs: tuple[tuple[str, Value], ...] = ()


def note(part: str, belief: str, **inputs: Value) -> NoteBelief:
    """Return the effect that logs a belief."""
    return NoteBelief(part, belief, tuple(inputs.items()))
