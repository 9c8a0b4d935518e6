"""Frames of records in a file, and what a loss of power leaves of the last ones.

A record is synced before the next one is written, and then followed by a mark, which
is not synced by itself. So at most one record and the mark before it can be torn, at
the end of the file, and a mark proves that the record before it was synced.
"""

import re
import struct
import zlib
from dataclasses import dataclass

from lovagewalk.core import Code, LovageError

# The header holds the length and the checksum of the payload, then its own checksum.
_HEADER = struct.Struct("<II")
_HEADER_CRC = struct.Struct("<I")
HEADER_BYTES = _HEADER.size + _HEADER_CRC.size
# A header whose length is neither zero nor 16 MiB or more.
_HEADER_START = re.compile(rb"(?=(?:[^\0]..|.[^\0].|..[^\0])\0)", re.DOTALL)
# Parts of a write that a loss of power left out are zeros, of any length. Encoded
# records hold shorter runs of zeros, as in numbers.
_HOLE = bytes(16)


@dataclass(frozen=True, slots=True)
class FrameScan:
    """The complete records of a file.

    Attributes
    ----------
    payloads : tuple of bytes
        Payloads of the records.
    end : int
        Offset after the last complete record and its mark; torn bytes may follow.
    is_marked : bool
        Whether the last record is followed by its mark.
    """

    payloads: tuple[bytes, ...]
    end: int
    is_marked: bool


def build_frame(payload: bytes) -> bytes:
    """Return a payload with its header."""
    header = _HEADER.pack(len(payload), zlib.crc32(payload))
    return header + _HEADER_CRC.pack(zlib.crc32(header)) + payload


_MARK_PAYLOAD = b"synced"
# Shorter than any record, so that it cannot be mistaken for one.
SYNC_MARK = build_frame(_MARK_PAYLOAD)


def scan_frames(data: bytes) -> FrameScan:
    """Return the complete records of a file; a torn one at its end is left out.

    Raises
    ------
    LovageError
        ``DISK_CORRUPT`` if a record is damaged that was synced, or that no tear
        explains.
    """
    payloads: list[bytes] = []
    offset = 0
    is_marked = True
    while offset < len(data):
        payload = _read_frame(data, offset)
        if payload is None and not is_marked:
            # The mark was not synced, and the record after it outlived it.
            payload = _read_frame(data, offset + len(SYNC_MARK))
            offset += len(SYNC_MARK) if payload is not None else 0
        if payload is None:
            _check_torn(data, offset)
            break
        offset += HEADER_BYTES + len(payload)
        is_marked = payload == _MARK_PAYLOAD
        if not is_marked:
            payloads.append(payload)
    return FrameScan(tuple(payloads), offset, is_marked)


def _read_frame(data: bytes, offset: int) -> bytes | None:
    """Return the payload of the frame at an offset, or None if it is not intact."""
    header = data[offset : offset + HEADER_BYTES]
    if len(header) < HEADER_BYTES:
        return None
    length, crc = _HEADER.unpack_from(header)
    (header_crc,) = _HEADER_CRC.unpack_from(header, _HEADER.size)
    if not length or zlib.crc32(header[: _HEADER.size]) != header_crc:
        return None
    payload = data[offset + HEADER_BYTES : offset + HEADER_BYTES + length]
    if len(payload) < length or zlib.crc32(payload) != crc:
        return None
    return payload


def _check_torn(data: bytes, offset: int) -> None:
    """Check that the bytes from an offset on can be what a loss of power left.

    Raises
    ------
    LovageError
        ``DISK_CORRUPT`` if they cannot.
    """
    tail = data[offset:]
    if len(tail) <= len(SYNC_MARK):
        return
    if _contains_frame(tail):
        # Whatever follows was written after the damaged bytes had been synced.
        raise LovageError(
            Code.DISK_CORRUPT, f"bad checksum of the synced record at byte {offset}"
        )
    has_missing_part = tail.startswith(b"\0") or tail.endswith(b"\0") or _HOLE in tail
    is_short = any(_is_short(tail, start) for start in (0, len(SYNC_MARK)))
    if not has_missing_part and not is_short:
        raise LovageError(
            Code.DISK_CORRUPT, f"bad checksum of the record at byte {offset}"
        )


def _contains_frame(tail: bytes) -> bool:
    return any(
        _read_frame(tail, match.start()) is not None
        for match in _HEADER_START.finditer(tail, 1)
    )


def _is_short(tail: bytes, start: int) -> bool:
    """Whether the frame at an offset ends after the end of the file."""
    header = tail[start : start + HEADER_BYTES]
    if len(header) < HEADER_BYTES:
        return True
    length, _ = _HEADER.unpack_from(header)
    (header_crc,) = _HEADER_CRC.unpack_from(header, _HEADER.size)
    is_intact = zlib.crc32(header[: _HEADER.size]) == header_crc
    return is_intact and start + HEADER_BYTES + length > len(tail)
