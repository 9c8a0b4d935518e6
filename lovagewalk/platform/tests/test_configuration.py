"""Decoding of configurations and heartbeats."""

import copy
import json

import pytest

from lovagewalk import catalogue as cat
from lovagewalk.core import Code, LovageError
from lovagewalk.platform._callers import hash_key
from lovagewalk.platform._configuration import decode_beat, decode_configuration

GOOD = {
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


def _changed(change):
    raw = copy.deepcopy(GOOD)
    change(raw)
    return json.dumps(raw).encode()


def test_a_configuration_in_the_products_words():
    body = json.dumps(GOOD).encode()
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


def test_keys_are_held_hashed_outside_the_document():
    command = decode_configuration(json.dumps(GOOD).encode())
    assert "k1" not in repr(command.keys) and "k1" not in repr(command)


def _share_key(raw):
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
        _share_key,
    ],
)
def test_what_is_invalid_is_refused(change):
    with pytest.raises(LovageError) as caught:
        decode_configuration(_changed(change))
    assert caught.value.code is Code.CHANGE_BAD


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b"null", b"\xff", b"[" * 100000])
def test_what_cannot_be_read_is_refused(body):
    with pytest.raises(LovageError) as caught:
        decode_configuration(body)
    assert caught.value.code is Code.CHANGE_BAD


def test_a_body_cut_short_is_refused():
    body = json.dumps(GOOD).encode()
    for end in range(0, len(body), 37):
        with pytest.raises(LovageError):
            decode_configuration(body[:end])


BEAT = {
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


def test_a_heartbeat_in_the_products_words():
    endpoint = decode_beat("i-1", json.dumps(BEAT).encode(), REGIONS)
    assert (endpoint.group, endpoint.host, endpoint.port) == (
        "ledger",
        "10.128.0.9",
        8080,
    )
    assert (endpoint.region, endpoint.leaving) == ("doo-west", False)
    assert endpoint.age == (1700000000000, 4)


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
def test_a_malformed_heartbeat_names_no_endpoint(change):
    body = json.dumps({**BEAT, **change}).encode()
    with pytest.raises(LovageError) as caught:
        decode_beat("i-1", body, REGIONS)
    assert caught.value.code is Code.CHANGE_BAD
