"""Limits for clients, derived from a VM's memory and descriptors."""

import pytest

from lovagewalk.clients import DEFAULT_LIMITS, LimitSettings, derive_limits

MIB = 1024 * 1024
FLEET_SESSIONS = 2020
LARGEST_MESSAGE = MIB


@pytest.mark.parametrize("memory_mb", [160, 296, 467])
@pytest.mark.parametrize("descriptors", [4000, 11500])
def test_no_client_within_the_figures_reaches_a_limit(memory_mb, descriptors):
    """Guards against a default that refuses a legal caller of a deployment."""
    settings = LimitSettings(memory_bytes=memory_mb * MIB, descriptors=descriptors)
    limits = derive_limits(settings)
    # All sessions of a fleet meet at one VM, through one load balancer.
    assert limits.callers_per_source > FLEET_SESSIONS
    assert limits.callers > limits.callers_per_source
    # A few messages of the largest size, with the copies of a statement.
    assert limits.pause_bytes >= 4 * 3 * LARGEST_MESSAGE
    assert limits.peers > 195
    # A caller with the longest deadline waits 20 s.
    assert limits.message_timeout_s > 20 and limits.unread_timeout_s > 20


@pytest.mark.parametrize("descriptors", [250, 4000, 11500])
def test_some_descriptors_are_reserved(descriptors):
    """Guards against clients that leave none for endpoints, daemons and files."""
    limits = derive_limits(LimitSettings(descriptors=descriptors))
    clients = limits.callers + limits.operators + limits.readiness + limits.peers
    assert clients <= 0.9 * descriptors


@pytest.mark.parametrize("memory_mb", [110, 160, 296, 467])
def test_clients_do_not_get_the_whole_memory(memory_mb):
    """Guards against a process that exceeds its VM with two copies of all it holds."""
    limits = derive_limits(LimitSettings(memory_bytes=memory_mb * MIB))
    assert 67 * MIB + 2 * limits.close_bytes <= memory_mb * MIB
    assert limits.pause_bytes < limits.refuse_bytes < limits.close_bytes


def test_settings_go_before_the_limits_of_the_process():
    """Guards against a limit of the process that hides that of the VM."""
    settings = LimitSettings(memory_bytes=160 * MIB, descriptors=4000)
    assert derive_limits(settings, 1024 * MIB, 20000) == derive_limits(settings)
    assert derive_limits(LimitSettings(), 1024 * MIB, 20000) != DEFAULT_LIMITS


def test_unknown_limits_are_those_of_the_smallest_vm():
    """Guards against no limit at all where none is known."""
    smallest = LimitSettings(memory_bytes=160 * MIB, descriptors=4000)
    assert DEFAULT_LIMITS == derive_limits(smallest)


def test_each_limit_can_be_set():
    """Guards against a setting that is read and has no effect."""
    settings = LimitSettings(
        client_bytes=16 * MIB,
        callers=10,
        callers_per_source=5,
        operators=4,
        readiness=3,
        peers=2,
        startup_timeout_s=1.0,
        message_timeout_s=2.0,
        unread_timeout_s=3.0,
        read_ahead_bytes=4096,
    )
    limits = derive_limits(settings)
    assert (limits.close_bytes, limits.callers, limits.callers_per_source) == (
        16 * MIB,
        10,
        5,
    )
    assert (limits.operators, limits.readiness, limits.peers) == (4, 3, 2)
    assert (limits.startup_timeout_s, limits.message_timeout_s) == (1.0, 2.0)
    assert (limits.unread_timeout_s, limits.read_ahead_bytes) == (3.0, 4096)
