"""Variables of the environment."""

from collections.abc import Mapping

from lovagewalk.core import Code, LovageError


def require_variable(environ: Mapping[str, str], name: str, min_length: int = 1) -> str:
    """Return a variable of the environment, which lasts as long as the process.

    Parameters
    ----------
    min_length : int
        Least length of its value, in characters.

    Raises
    ------
    LovageError
        ``SETTINGS_BAD`` if it is not set or too short; the value is not repeated.
    """
    value = environ.get(name, "")
    if not value:
        raise LovageError(Code.SETTINGS_BAD, f"{name} is not set")
    if len(value) < min_length:
        raise LovageError(
            Code.SETTINGS_BAD, f"{name}: shorter than {min_length} characters"
        )
    return value
