"""Signed session tokens, by which a caller carries its position between daemons.

A token names the customer and group and is refused for any other. It holds no
secret; the signature prevents callers from forging positions.
"""

import base64
import hmac
from hashlib import sha256

from lovagewalk.core import Code, LovageError
from lovagewalk.groups import Position

# Length of the truncated HMAC: 128 bits.
SIGNATURE_BYTES = 16
# Limit on tokens from callers: several times the longest token that is issued.
MAX_TOKEN_LENGTH = 512
_VERSION = "1"


def sign_token(secret: bytes, customer: str, group: str, position: Position) -> str:
    """Return the signed token for a position of one customer's session."""
    body = f"{_VERSION}|{customer}|{group}|{position.term}|{position.index}"
    return _encode(body.encode() + b"|" + _signature(secret, body))


def read_token(secret: bytes, customer: str, group: str, token: str) -> Position:
    """Return the position that a token carries.

    Raises
    ------
    LovageError
        ``TOKEN_INVALID`` if it is malformed, forged, or was issued to another
        customer or for another group.
    """
    if len(token) > MAX_TOKEN_LENGTH:
        raise LovageError(Code.TOKEN_INVALID, "too long")
    try:
        raw = base64.urlsafe_b64decode(token.encode("ascii"))
        body = raw[: -SIGNATURE_BYTES - 1].decode()
        version, token_customer, token_group, term, index = body.split("|")
        position = Position(int(term), int(index))
    except (ValueError, UnicodeError) as exc:
        raise LovageError(Code.TOKEN_INVALID, "malformed") from exc
    if not hmac.compare_digest(raw[-SIGNATURE_BYTES:], _signature(secret, body)):
        raise LovageError(Code.TOKEN_INVALID, "signature wrong")
    if version != _VERSION or token_customer != customer or token_group != group:
        raise LovageError(Code.TOKEN_INVALID, "issued for another session")
    return position


def _signature(secret: bytes, body: str) -> bytes:
    digest = hmac.new(secret, b"session-token|" + body.encode(), sha256).digest()
    return digest[:SIGNATURE_BYTES]


def _encode(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).decode()
