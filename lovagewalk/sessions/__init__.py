"""Callers' sessions, and tokens that carry a session to another daemon."""

from ._state import ObservedPosition, PreparedShape, Session, TransactionState
from ._token import read_token, sign_token

__all__ = [
    "ObservedPosition",
    "PreparedShape",
    "Session",
    "TransactionState",
    "read_token",
    "sign_token",
]
