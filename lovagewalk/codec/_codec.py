"""msgpack form of messages, log entries and snapshots, with typed decoding."""

import zlib
from enum import Enum
from typing import Any

import msgpack
from cattrs import Converter
from cattrs.gen import make_dict_unstructure_fn, override
from cattrs.strategies import configure_tagged_union
from immutables import Map

from lovagewalk import buckets
from lovagewalk import catalogue as cat
from lovagewalk import consensus
from lovagewalk.control import _messages as control
from lovagewalk.core import Code, LovageError

from ._compact import has_compact_form, remove_names, restore_names

CODEC_VERSION = 3
# The limit admits a snapshot of 60,000 customers at 245 bytes each; see
# docs/CAPACITY.md.
MAX_FRAME_BYTES = 16 * 1024 * 1024
# Compression of shorter messages, such as heartbeats, saves too little for its cost.
COMPRESSION_MIN_BYTES = 512
ZLIB_LEVEL = 3
COMPRESSED_TAG = "zlib"

_TYPES: dict[str, type] = {
    message_type.__name__: message_type
    for message_type in (
        consensus.AppendReply,
        consensus.AppendRequest,
        consensus.LogEntry,
        consensus.PersistEntries,
        consensus.PersistSnapshot,
        consensus.PersistVote,
        consensus.PersistVoters,
        consensus.Probe,
        consensus.ProbeReply,
        consensus.SnapshotRequest,
        consensus.VoteReply,
        consensus.VoteRequest,
        control.CatalogueUpdate,
        control.FollowReply,
        control.FollowRequest,
        control.ForwardProposal,
        control.ProposalResult,
        control.ShareRecall,
        control.SuspectNotice,
        buckets.BucketOffer,
        buckets.TokenAnswer,
        buckets.TokenAsk,
        buckets.TokenForward,
    )
}

# Fields that only some deployments use. They are left out where they have their
# defaults, so that messages do not grow, and versions before them accept the data. A
# type is listed after the types that it contains, whose encoding it includes.
_OPTIONAL_FIELDS: dict[type, tuple[str, ...]] = {
    cat.CatalogueDelta: ("evacuated_zones",),
    buckets.BucketOwner: ("other",),
    buckets.TokenAnswer: ("next_owners",),
    buckets.TokenAsk: ("region",),
    buckets.TokenForward: ("wants_answer",),
    control.ShareGrant: ("by_region", "others"),
    control.FollowReply: ("owners", "owners_revision"),
    control.FollowRequest: ("low_bandwidth", "owners_revision"),
}
_OPTIONAL_ENDPOINT_FIELDS = ("slots", "cold_left_s")


def _build_converter(*, omits_defaults: bool) -> Converter:
    converter = Converter(forbid_extra_keys=True, detailed_validation=False)
    converter.register_unstructure_hook(Enum, lambda value: value.name)
    converter.register_structure_hook_func(
        lambda enum_type: isinstance(enum_type, type) and issubclass(enum_type, Enum),
        lambda name, enum_type: enum_type[name],
    )
    # Commands contain endpoints.
    _omit_defaults(converter, cat.Endpoint, _OPTIONAL_ENDPOINT_FIELDS)
    configure_tagged_union(cat.Command, converter)
    configure_tagged_union(cat.CustomerEntry | cat.RouteEntry | cat.KeyEntry, converter)
    optional_fields = _OPTIONAL_FIELDS if omits_defaults else {}
    for encoded_type, names in optional_fields.items():
        _omit_defaults(converter, encoded_type, names)
    converter.register_unstructure_hook(cat.Catalogue, _unstructure_catalogue)
    converter.register_structure_hook(cat.Catalogue, _structure_catalogue)
    return converter


def _omit_defaults(
    converter: Converter, encoded_type: type, names: tuple[str, ...]
) -> None:
    """Leave fields of a type out where they have their default values."""
    optional = {name: override(omit_if_default=True) for name in names}
    converter.register_unstructure_hook(
        encoded_type, make_dict_unstructure_fn(encoded_type, converter, **optional)
    )


def _unstructure_catalogue(catalogue: cat.Catalogue) -> dict[str, Any]:
    """Return a catalogue's fields.

    Those of evacuations are left out where none was ever requested, so that versions
    before them read the snapshot.
    """
    unstructure = _converter.unstructure
    evacuations = {
        "evacuated_zones": sorted(catalogue.evacuated_zones),
        "zone_requests": dict(catalogue.zone_requests),
    }
    return {
        **(evacuations if any(evacuations.values()) else {}),
        "revision": catalogue.revision,
        "customers": unstructure(list(catalogue.customers.values())),
        "routes": unstructure(list(catalogue.routes.values())),
        "keys": unstructure(list(catalogue.keys.values())),
        "endpoints": unstructure(list(catalogue.endpoints.values())),
        "groups": unstructure(list(catalogue.groups.values())),
        "control_voters": unstructure(catalogue.control_voters),
        "access_batches": dict(catalogue.access_batches),
        "version": catalogue.version,
        "document": catalogue.document,
        "holders": dict(catalogue.holders),
        "divided": sorted(catalogue.divided),
        "idle_transaction_s": catalogue.idle_transaction_s,
        "results": [
            (request_id, unstructure(catalogue.results[request_id]))
            for request_id in catalogue.result_order
        ],
    }


def _structure_catalogue(raw: dict[str, Any], _: type) -> cat.Catalogue:
    def structure_all(name: str, item_type: type) -> list[Any]:
        return [_converter.structure(item, item_type) for item in raw[name]]

    results = [
        (request_id, _converter.structure(result, cat.ChangeResult))
        for request_id, result in raw["results"]
    ]
    customers = structure_all("customers", cat.Versioned)
    routes = structure_all("routes", cat.Versioned)
    keys = structure_all("keys", cat.Versioned)
    catalogue = cat.Catalogue(
        revision=int(raw["revision"]),
        customers=Map((item.entry.name, item) for item in customers),
        routes=Map((item.entry.name, item) for item in routes),
        keys=Map((item.entry.key_id, item) for item in keys),
        groups=Map(
            (item.name, item) for item in structure_all("groups", cat.GroupConfig)
        ),
        control_voters=tuple(structure_all("control_voters", cat.ControlVoter)),
        access_batches=Map(raw["access_batches"]),
        version=int(raw["version"]),
        document=bytes(raw["document"]),
        holders=Map(raw["holders"]),
        divided=frozenset(raw["divided"]),
        idle_transaction_s=float(raw["idle_transaction_s"]),
        evacuated_zones=frozenset(raw.get("evacuated_zones", ())),
        zone_requests=Map(raw.get("zone_requests", {})),
        results=Map(results),
        result_order=tuple(request_id for request_id, _ in results),
    )
    for endpoint in structure_all("endpoints", cat.Endpoint):
        catalogue = catalogue.with_endpoint(endpoint)
    return catalogue


_converter = _build_converter(omits_defaults=True)
# In the compact form, the place of a value tells its field.
_positional_converter = _build_converter(omits_defaults=False)


def encode(message: Any, *, compact: bool = False) -> bytes:
    """Return a message as msgpack; long messages are compressed.

    Parameters
    ----------
    compact : bool
        Whether frequent messages are encoded as lists of their fields, without names.
        `decode` accepts both forms.
    """
    if compact and has_compact_form(message):
        body = remove_names(_positional_converter.unstructure(message))
    else:
        body = _converter.unstructure(message)
    data = msgpack.packb((CODEC_VERSION, type(message).__name__, body))
    if len(data) < COMPRESSION_MIN_BYTES:
        return data
    return msgpack.packb(
        (CODEC_VERSION, COMPRESSED_TAG, zlib.compress(data, ZLIB_LEVEL))
    )


def decode(data: bytes) -> Any:
    """Return the message that msgpack data holds.

    Raises
    ------
    LovageError
        ``FRAME_BAD`` if the data is not a message of a known type and this version.
    """
    try:
        version, name, body = msgpack.unpackb(data)
        if version != CODEC_VERSION:
            raise LovageError(Code.FRAME_BAD, "unsupported codec version")
        if name == COMPRESSED_TAG:
            version, name, body = msgpack.unpackb(_decompress(body))
        if isinstance(body, list):
            body = restore_names(body, _TYPES[name])
        return _converter.structure(body, _TYPES[name])
    except LovageError:
        raise
    except Exception as exc:
        raise LovageError(Code.FRAME_BAD, type(exc).__name__) from exc


def _decompress(data: bytes) -> bytes:
    """Decompress data, up to `MAX_FRAME_BYTES` of output.

    Raises
    ------
    LovageError
        ``FRAME_BAD`` if the data is truncated or expands to more than that.
    """
    decompressor = zlib.decompressobj()
    decompressed = decompressor.decompress(data, MAX_FRAME_BYTES)
    if not decompressor.eof:
        raise LovageError(Code.FRAME_BAD, "compressed message is truncated or too long")
    return decompressed


def to_dict(message: Any) -> dict[str, Any]:
    """Return a message as a dictionary of plain values, lists and dictionaries."""
    return _converter.unstructure(message)


def command_from_dict(fields: dict[str, Any]) -> cat.Command:
    """Return the command in a dictionary, whose ``_type`` holds the class name.

    Raises
    ------
    LovageError
        ``CHANGE_BAD`` if the dictionary does not describe a command.
    """
    try:
        return _converter.structure(fields, cat.Command)
    except Exception as exc:
        raise LovageError(Code.CHANGE_BAD, f"not a command: {exc!r}") from exc
