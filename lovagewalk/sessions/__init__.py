"""Callers' sessions, and tokens that carry a session to another daemon."""

from ._state import PreparedShape, Session, TransactionState
from ._token import read_token, sign_token

__all__ = ["PreparedShape", "Session", "TransactionState", "read_token", "sign_token"]
