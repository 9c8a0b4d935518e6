"""Client of a daemon's interface for operators."""

from ._client import OperatorClient, OperatorError

__all__ = ["OperatorClient", "OperatorError"]
