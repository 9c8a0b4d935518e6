"""Decodes the limits of a VM and for its clients."""

from lovagewalk.clients import LimitSettings
from lovagewalk.core import Code, LovageError

from ._reader import TableReader

KIB = 1024
MIB = 1024 * KIB
MS_PER_S = 1000.0


def decode_limits(reader: TableReader) -> LimitSettings:
    """Return the limits that a table states; 0 where it states none.

    Raises
    ------
    LovageError
        ``SETTINGS_BAD`` if one of them is not a number of at least 0.
    """
    return LimitSettings(
        memory_bytes=_count(reader, "memoryMb") * MIB,
        descriptors=_count(reader, "maxFds"),
        link_mbps=reader.get("linkMbps", float, 0.0),
        client_bytes=_count(reader, "clientMemoryMb") * MIB,
        callers=_count(reader, "maxClients"),
        callers_per_source=_count(reader, "maxClientsPerSource"),
        operators=_count(reader, "maxOperatorConns"),
        readiness=_count(reader, "maxReadinessConns"),
        peers=_count(reader, "maxUnprovedPeerConns"),
        startup_timeout_s=_count(reader, "clientStartupMs") / MS_PER_S,
        message_timeout_s=_count(reader, "clientMessageMs") / MS_PER_S,
        unread_timeout_s=_count(reader, "clientUnreadMs") / MS_PER_S,
        read_ahead_bytes=_count(reader, "clientReadAheadKb") * KIB,
    )


def _count(reader: TableReader, key: str) -> int:
    """Return a number of at least 0; 0 stands for the derived limit."""
    value = reader.get(key, float, 0.0)
    if value < 0:
        raise LovageError(Code.SETTINGS_BAD, f"limits.{key}: below 0")
    return int(value)
