"""msgpack encoding of messages, log entries and snapshots."""

from ._codec import (
    CODEC_VERSION,
    MAX_FRAME_BYTES,
    command_from_dict,
    decode,
    encode,
    to_dict,
)
from ._compact import is_compact

__all__ = [
    "CODEC_VERSION",
    "MAX_FRAME_BYTES",
    "command_from_dict",
    "decode",
    "encode",
    "is_compact",
    "to_dict",
]
