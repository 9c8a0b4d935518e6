"""Encoding of messages on the wire and on disk: short, long and malformed."""

import zlib

import msgpack
import pytest

from lovagewalk.buckets import (
    BucketOwner,
    TokenAdmission,
    TokenAnswer,
    TokenAsk,
    TokenNeed,
)
from lovagewalk.catalogue import (
    AnnounceEndpoint,
    Catalogue,
    Endpoint,
    NoteHolder,
    Proposal,
    apply_proposal,
    diff_catalogues,
)
from lovagewalk.codec import (
    CODEC_VERSION,
    MAX_FRAME_BYTES,
    decode,
    encode,
    is_compact,
)
from lovagewalk.consensus import (
    LogEntry,
    SnapshotRequest,
    VoteRequest,
)
from lovagewalk.control._messages import (
    FollowReply,
    FollowRequest,
    GroupSample,
    ShareGrant,
    ShareReport,
    SuspectReport,
)
from lovagewalk.control.tests.control_fleet import configuration
from lovagewalk.core import Code, LovageError, replace
from lovagewalk.groups import Position

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


def test_an_endpoint_of_an_earlier_version_is_decoded():
    """Journals and snapshots without the fields for pacing must still load."""
    endpoint = Endpoint("a", "g", "host", 1, "z", "r", 0, slots=4, cold_left_s=2.0)
    entry = LogEntry(1, 1, Proposal("", "op", 0.0, AnnounceEndpoint(endpoint)))
    old = replace(endpoint, slots=0, cold_left_s=0.0)
    version, name, body = msgpack.unpackb(encode(entry))
    _remove_pacing_fields(body["proposal"]["command"]["endpoint"])
    decoded = decode(msgpack.packb((version, name, body)))
    assert decoded.proposal.command.endpoint == old
    snapshot = SnapshotRequest(1, 2, 1, (), Catalogue().with_endpoint(endpoint), 0)
    version, name, body = msgpack.unpackb(encode(snapshot))
    _remove_pacing_fields(body["catalogue"]["endpoints"][0])
    decoded = decode(msgpack.packb((version, name, body)))
    assert decoded.catalogue.endpoints["a"] == old


def _remove_pacing_fields(raw):
    for field in ("slots", "cold_left_s"):
        del raw[field]


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
        msgpack.packb((CODEC_VERSION, "VoteRequest", [3, 4, 2, True])),
        msgpack.packb((CODEC_VERSION, "TokenAsk", [[], 1, 2, 3])),
        msgpack.packb((CODEC_VERSION, "TokenAsk", [[[1, 2, 3, 4, 5, 6, 7, 8, 9]]])),
        msgpack.packb((CODEC_VERSION, "TokenAsk", [3])),
        msgpack.packb((CODEC_VERSION, "FollowReply", ["1", 2, 3])),
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


FREQUENT_MESSAGES = [
    FollowRequest(
        "boot",
        123,
        456,
        False,
        (SuspectReport("ledger", 3),),
        (ShareReport("kiosk", 18.0, 18.0, 0.0, 11.3, 0),),
        region="north",
        may_own=True,
        low_bandwidth=True,
    ),
    FollowReply(
        123,
        "",
        True,
        456,
        None,
        (ShareGrant("kiosk", 18.0, 18.0, 0.0, True, 2.0),),
        61,
        tuple(GroupSample(f"group-{n}", 1, Position(1, 12345), 0.1) for n in range(4)),
    ),
    TokenAsk((TokenNeed(12345, "kiosk", 0.5, 0.0, 1),), "north"),
    TokenAnswer(admitted=(TokenAdmission(12345, "kiosk", 1.0),)),
    TokenAnswer(next_owners=(BucketOwner("kiosk", "", "edge-2"),)),
]


@pytest.mark.parametrize("message", FREQUENT_MESSAGES)
def test_a_compact_message_is_the_same_in_fewer_bytes(message):
    """Guards against fields that change places, and against long reports."""
    data = encode(message, compact=True)
    assert decode(data) == message
    assert is_compact(data) and not is_compact(encode(message))
    assert len(data) < 0.7 * len(encode(message))


def test_a_reply_with_a_part_of_the_catalogue_keeps_its_names():
    """Entries of the catalogue are told apart by the names of their types."""
    delta = diff_catalogues(Catalogue(), Catalogue(revision=3, version=2))
    message = FollowReply(1, "", True, 3, delta, ())
    assert encode(message, compact=True) == encode(message)
    assert decode(encode(message)) == message
