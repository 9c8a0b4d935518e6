"""Decoding of the platform's settings file."""

import pytest

from lovagewalk.clients import LimitSettings
from lovagewalk.core import Code, LovageError
from lovagewalk.node import is_narrow_link
from lovagewalk.platform._settings import (
    SECRET_VARIABLE,
    SETTINGS_VARIABLE,
    decode_settings,
    load_platform_settings,
)
from lovagewalk.settings import Address

RAW = {
    "nodeName": "core-celaya-1",
    "ip": "10.1.0.29",
    "zone": "celaya",
    "region": "bajio",
    "internalPorts": [7560, 7575],
    "seedNodes": ["10.1.0.29:8462", "10.2.0.25:8462"],
    "bootstrap": True,
    "dataDir": "/data/x",
    "zones": {"celaya": "bajio"},
    "listenAddrs": {"controlPlane": "10.1.0.29:8462"},
    "bounds": {"graceS": 6, "newBound": 1},
    "providerApi": {"addr": "10.200.0.2:8466"},
    "fieldsToCome": {"a": [1]},
}


def test_settings_are_decoded():
    cfg = decode_settings(RAW, "long-enough")
    assert cfg.operators == Address("10.1.0.29", 8462)
    assert (cfg.callers, cfg.health) == (None, None)
    assert cfg.seeds == ("10.1.0.29", "10.2.0.25")
    assert cfg.peers_port == 7560
    assert (cfg.bootstrap, cfg.grace_s) == (True, 6.0)
    assert "long-enough" not in repr(cfg)


@pytest.mark.parametrize(
    ("invariants", "expected"),
    [
        (["pool", "lease", "health"], True),
        (["health"], False),
        (["pool"], False),
        ([], False),
        ("health pool", False),
        ([["health"], 7, None], False),
    ],
)
def test_pacing_needs_rules_for_both_health_and_pools(invariants, expected):
    """Other deployments keep the fixed backoff."""
    cfg = decode_settings({**RAW, "invariants": invariants}, "long-enough")
    assert cfg.paces_endpoints is expected


@pytest.mark.parametrize(
    ("limits", "low_bandwidth"),
    [
        ({"linkMbps": 2}, True),
        ({"linkMbps": 5.3}, True),
        ({"linkMbps": 100}, True),
        ({"linkMbps": 1000}, False),
        ({"linkMbps": 0}, False),
        ({"memoryMb": 200}, False),
    ],
)
def test_the_bandwidth_of_the_link_decides_whether_it_is_narrow(limits, low_bandwidth):
    cfg = decode_settings({**RAW, "limits": limits}, "long-enough")
    assert is_narrow_link(cfg.limits.link_mbps) is low_bandwidth


def test_a_link_of_unstated_bandwidth_is_not_narrow():
    assert not is_narrow_link(decode_settings(RAW, "long-enough").limits.link_mbps)


@pytest.mark.parametrize(
    "change",
    [
        {"nodeName": 7},
        {"ip": None},
        {"internalPorts": [7560]},
        {"internalPorts": ["7560", 7575]},
        {"seedNodes": ["somewhere"]},
        {"bootstrap": "yes"},
        {"listenAddrs": {"controlPlane": "10.1.0.29"}},
        {"bounds": {"graceS": "six"}},
        {"limits": {"linkMbps": "2"}},
    ],
)
def test_the_error_names_a_wrong_setting(change):
    with pytest.raises(LovageError) as caught:
        decode_settings({**RAW, **change}, "long-enough")
    assert caught.value.code is Code.SETTINGS_BAD
    assert next(iter(change)) in str(caught.value)


def test_a_file_that_is_nested_too_deeply_is_refused(tmp_path):
    """At a reload, the exception ended the check for changes of the file."""
    path = tmp_path / "settings.toml"
    path.write_text("a = " + "[" * 100000)
    with pytest.raises(LovageError) as caught:
        load_platform_settings({SETTINGS_VARIABLE: str(path)})
    assert caught.value.code is Code.SETTINGS_BAD


def test_unreadable_files_and_missing_variables_are_refused(tmp_path):
    path = tmp_path / "settings.toml"
    for content in (None, b"\xff", b"nodeName = "):
        if content is not None:
            path.write_bytes(content)
        environ = {SETTINGS_VARIABLE: str(path), SECRET_VARIABLE: "long-enough"}
        with pytest.raises(LovageError) as caught:
            load_platform_settings(environ)
        assert caught.value.code is Code.SETTINGS_BAD
    for environ in ({}, {SETTINGS_VARIABLE: str(path)}):
        with pytest.raises(LovageError):
            load_platform_settings(environ)


def test_limits_of_the_vm_and_for_clients_are_decoded():
    limits = {
        "memoryMb": 160,
        "maxFds": 4000,
        "clientMemoryMb": 20,
        "maxClients": 100,
        "maxClientsPerSource": 50,
        "maxOperatorConns": 9,
        "maxReadinessConns": 8,
        "maxUnprovedPeerConns": 7,
        "clientStartupMs": 1500,
        "clientMessageMs": 2500,
        "clientUnreadMs": 3500,
        "clientReadAheadKb": 4,
        "limitToCome": "a",
    }
    decoded = decode_settings({**RAW, "limits": limits}, "long-enough").limits
    assert decoded == LimitSettings(
        memory_bytes=160 * 1024 * 1024,
        descriptors=4000,
        client_bytes=20 * 1024 * 1024,
        callers=100,
        callers_per_source=50,
        operators=9,
        readiness=8,
        peers=7,
        startup_timeout_s=1.5,
        message_timeout_s=2.5,
        unread_timeout_s=3.5,
        read_ahead_bytes=4096,
    )
    assert decode_settings(RAW, "long-enough").limits == LimitSettings()


@pytest.mark.parametrize("value", ["many", -1, True, float("nan")])
def test_a_limit_that_is_no_count_is_refused(value):
    """Guards against a limit that lets nobody connect, or has no effect."""
    with pytest.raises(LovageError) as caught:
        decode_settings({**RAW, "limits": {"maxClients": value}}, "long-enough")
    assert caught.value.code is Code.SETTINGS_BAD
    assert "limits.maxClients" in str(caught.value)
