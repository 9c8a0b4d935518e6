"""Identifiers of keys, which are stored and logged in place of the keys."""

from hashlib import sha256


def hash_key(key: str) -> str:
    """Return the identifier of a key in the catalogue; empty for an empty key."""
    return sha256(key.encode()).hexdigest() if key else ""
