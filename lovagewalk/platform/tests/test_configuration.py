"""Decoding of configurations and heartbeats."""

import copy
import json

import msgpack
import pytest

from lovagewalk import catalogue as cat
from lovagewalk.catalogue import estimate_size, hash_key
from lovagewalk.codec import decode, encode, to_dict
from lovagewalk.consensus import AppendRequest, LogEntry, RaftLog
from lovagewalk.core import Code, LovageError
from lovagewalk.platform._configuration import decode_configuration, decode_heartbeat

# The kind of configuration that a site gets when 350 routes are added to its own.
LONG_ROUTE_COUNT = 400

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "board",
            "pathPrefix": "/",
            "kind": "bounded_staleness",
            "timeoutMs": 2000,
            "targetLatencyMs": 1000,
            "priority": 2,
            "service": "ledger",
            "maxAttempts": 2,
            "maxStalenessMs": 1500,
            "public": False,
        },
        {
            "name": "r-2",
            "host": "till",
            "pathPrefix": "/",
            "kind": "primary",
            "timeoutMs": 800,
            "service": "ledger",
            "public": True,
        },
    ],
    "services": [{"name": "ledger", "maxConns": 46, "syncReplicas": 0}],
    "limits": {"txIdleMs": 3000},
    "tenants": [
        {"name": "kiosk", "apiKeys": ["k1", "k2"], "ratePerS": 58, "burst": 58}
    ],
    "unknown": {"ignored": True},
}


def _encode_changed(change):
    raw = copy.deepcopy(CONFIGURATION)
    change(raw)
    return json.dumps(raw).encode()


def test_a_configuration_is_decoded():
    body = json.dumps(CONFIGURATION).encode()
    command = decode_configuration(body)
    board, till = command.routes
    assert (command.version, command.document) == (7, body)
    assert board.name == "board" and board.consistency is cat.Consistency.BOUNDED
    assert (board.max_staleness_s, board.statement_timeout_s) == (1.5, 2.0)
    assert till.route_class is cat.RouteClass.OPEN
    assert command.customers[0].unit is cat.RateUnit.OPERATIONS
    assert {key.key_id for key in command.keys} == {hash_key("k1"), hash_key("k2")}
    assert command.groups == (cat.GroupLimits("ledger", 46),)
    assert command.idle_transaction_s == 3.0


def test_keys_outside_the_document_are_hashed():
    command = decode_configuration(json.dumps(CONFIGURATION).encode())
    assert "k1" not in repr(command.keys) and "k1" not in repr(command)


def _add_tenant_with_same_key(raw):
    raw["tenants"].append(dict(raw["tenants"][0], name="other"))


@pytest.mark.parametrize(
    "change",
    [
        lambda raw: raw["routes"][0].update(service="nowhere"),
        lambda raw: raw["routes"][0].update(timeoutMs=0),
        lambda raw: raw["routes"][0].update(kind="any"),
        lambda raw: raw["routes"][0].update(host="till"),
        lambda raw: raw["routes"][0].pop("host"),
        lambda raw: raw["routes"][0].update(timeoutMs="2000"),
        lambda raw: raw.pop("routes"),
        lambda raw: raw.update(version="7"),
        lambda raw: raw.update(version=True),
        lambda raw: raw.update(services={}),
        lambda raw: raw["services"].append(dict(raw["services"][0])),
        _add_tenant_with_same_key,
    ],
)
def test_an_invalid_configuration_is_refused(change):
    with pytest.raises(LovageError) as caught:
        decode_configuration(_encode_changed(change))
    assert caught.value.code is Code.CHANGE_BAD


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b"null", b"\xff", b"[" * 100000])
def test_a_body_that_is_not_a_json_object_is_refused(body):
    with pytest.raises(LovageError) as caught:
        decode_configuration(body)
    assert caught.value.code is Code.CHANGE_BAD


def test_a_truncated_body_is_refused():
    body = json.dumps(CONFIGURATION).encode()
    for end in range(0, len(body), 37):
        with pytest.raises(LovageError):
            decode_configuration(body[:end])


HEARTBEAT = {
    "service": "ledger",
    "addr": "10.128.0.9:8080",
    "zone": "sapporo-a",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "coldLeftMs": 0,
    "dbRole": "replica",
    "seq": 4,
    "born": 1700000000000,
}
REGIONS = {"sapporo-a": "doo-west"}


def test_a_heartbeat_is_decoded():
    endpoint = decode_heartbeat("i-1", json.dumps(HEARTBEAT).encode(), REGIONS)
    assert (endpoint.group, endpoint.host, endpoint.port) == (
        "ledger",
        "10.128.0.9",
        8080,
    )
    assert (endpoint.region, endpoint.leaving) == ("doo-west", False)
    assert endpoint.announcement_order == (1700000000000, 4)
    assert (endpoint.slots, endpoint.cold_left_s) == (3, 0.0)


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({"coldLeftMs": 2500}, (3, 2.5)),
        ({"coldLeftMs": -1, "slots": -1}, (0, 0.0)),
        ({"coldLeftMs": None, "slots": "many"}, (0, 0.0)),
        ({"coldLeftMs": 1e300, "slots": 10**15}, (0, 600.0)),
    ],
)
def test_an_instance_is_registered_whatever_it_reports_for_pacing(change, expected):
    """Both fields were ignored; a wrong value must not keep an instance out."""
    body = json.dumps({**HEARTBEAT, **change}).encode()
    endpoint = decode_heartbeat("i-1", body, REGIONS)
    assert (endpoint.slots, endpoint.cold_left_s) == expected


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"seq": "4"},
        {"seq": True},
        {"born": 1.5},
        {"addr": "somewhere"},
        {"service": ""},
        {"zone": 7},
    ],
)
def test_a_malformed_heartbeat_is_refused(change):
    body = json.dumps({**HEARTBEAT, **change}).encode()
    with pytest.raises(LovageError) as caught:
        decode_heartbeat("i-1", body, REGIONS)
    assert caught.value.code is Code.CHANGE_BAD


def _long_configuration(version):
    def add_routes(raw):
        raw["version"] = version
        route = raw["routes"][0]
        raw["routes"] = [
            {**route, "name": f"r-{n}", "host": f"host{n}x{version}"}
            for n in range(LONG_ROUTE_COUNT)
        ]

    return decode_configuration(_encode_changed(add_routes))


def test_each_batch_of_long_configurations_can_be_decoded():
    """A VM that lagged by 200 of them never caught up: each batch was refused."""
    log = RaftLog()
    entries = tuple(
        LogEntry(index, 1, cat.Proposal("", "op", 0.0, _long_configuration(index)))
        for index in range(1, 201)
    )
    log = log.append(entries)
    received = ()
    while len(received) < len(entries):
        batch = log.next_batch(len(received) + 1)
        message = AppendRequest(1, len(received), 1, batch, 0, 1)
        received += decode(encode(message)).entries
    assert received == entries
    assert estimate_size(entries[0].proposal.command) > len(
        msgpack.packb(to_dict(entries[0]))
    )
