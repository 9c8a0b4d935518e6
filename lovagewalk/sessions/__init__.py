"""Callers' sessions and their roaming tokens."""

from ._state import PreparedShape, Session, TransactionState
from ._token import read_token, sign_token

__all__ = ["PreparedShape", "Session", "TransactionState", "read_token", "sign_token"]
