"""Choice of a bucket's owner among daemons, by rendezvous hashing."""

from collections.abc import Iterable
from hashlib import blake2b

WEIGHT_BYTES = 8


def choose_owner(customer: str, candidates: Iterable[str]) -> str:
    """Return the daemon with the highest weight for a customer; empty if there is none.

    Each daemon owns about as many buckets as any other, and the loss of one moves only
    the buckets that it owned.
    """
    return max(candidates, key=lambda name: (_weight(customer, name), name), default="")


def _weight(customer: str, name: str) -> bytes:
    return blake2b(f"{customer}\n{name}".encode(), digest_size=WEIGHT_BYTES).digest()
