"""msgpack encoding of messages, log entries and snapshots."""

from ._codec import (
    CODEC_VERSION,
    MAX_FRAME_BYTES,
    command_from_dict,
    decode,
    encode,
    to_dict,
)

__all__ = [
    "CODEC_VERSION",
    "MAX_FRAME_BYTES",
    "command_from_dict",
    "decode",
    "encode",
    "to_dict",
]
