"""Encoding of messages on the wire and on disk: short, long and malformed."""

import zlib

import msgpack
import pytest

from lovagewalk.catalogue import Catalogue, NoteHolder, Proposal, apply_proposal
from lovagewalk.codec import CODEC_VERSION, MAX_FRAME_BYTES, decode, encode
from lovagewalk.consensus import LogEntry, SnapshotRequest, VoteRequest
from lovagewalk.control._messages import FollowRequest
from lovagewalk.control.tests.control_fleet import configuration
from lovagewalk.core import Code, LovageError, replace

GROUP_NAMES = tuple(f"group-{number}" for number in range(200))


def test_only_long_messages_are_compressed():
    short = VoteRequest(3, 4, 2, True)
    assert decode(encode(short)) == short
    command = configuration(3, GROUP_NAMES)

    entry = LogEntry(1, 1, Proposal("", "op", 0.0, command))
    data = encode(entry)
    assert decode(data) == entry
    assert len(data) < 8000 < len(msgpack.packb([g * 8 for g in GROUP_NAMES]))


def test_a_catalogue_keeps_its_configuration():
    catalogue = Catalogue()
    for index, command in enumerate(
        (configuration(3, GROUP_NAMES), NoteHolder("edge", "boot")), 1
    ):
        proposal = Proposal("", "op", 0.0, command)
        catalogue = apply_proposal(catalogue, index, proposal).catalogue
    message = SnapshotRequest(1, 2, 1, (), catalogue, 0)
    assert decode(encode(message)) == message


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xc1",
        msgpack.packb((CODEC_VERSION, "zlib", b"no zlib")),
        msgpack.packb((CODEC_VERSION, "zlib", zlib.compress(b"\x00" * 64))),
        msgpack.packb(
            (CODEC_VERSION, "zlib", zlib.compress(bytes(MAX_FRAME_BYTES + 9)))
        ),
        msgpack.packb((CODEC_VERSION + 1, "VoteRequest", {})),
        msgpack.packb((CODEC_VERSION, "Unknown", {})),
    ],
)
def test_malformed_data_is_refused(data):
    with pytest.raises(LovageError) as caught:
        decode(data)
    assert caught.value.code is Code.FRAME_BAD


def test_a_field_of_some_deployments_is_encoded_only_where_it_is_set():
    """Reports of other deployments would grow on links that are priced by the byte."""
    plain = FollowRequest("b", 1, 1, False, (), ())
    flagged = replace(plain, low_bandwidth=True)
    assert b"low_bandwidth" not in encode(plain)
    assert (decode(encode(plain)), decode(encode(flagged))) == (plain, flagged)
