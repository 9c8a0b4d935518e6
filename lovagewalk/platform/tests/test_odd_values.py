"""Configurations and heartbeats with odd values are refused with a code, or stored."""

import json

from hypothesis import example, given
from hypothesis import strategies as st

from lovagewalk import catalogue as cat
from lovagewalk.core import Code, LovageError
from lovagewalk.platform._configuration import decode_configuration, decode_heartbeat
from lovagewalk.platform._lines import parse_position, parse_status
from lovagewalk.tests.odd_values import (
    check_storable,
    field_paths,
    odd_values,
    with_value,
)

from .test_configuration import CONFIGURATION, HEARTBEAT

NAN = float("nan")
INFINITY = float("inf")


def _decode_or_refuse(decode, *arguments):
    try:
        return decode(*arguments)
    except LovageError as exc:
        assert exc.code is Code.CHANGE_BAD
        return None


@given(st.sampled_from(field_paths(CONFIGURATION)), odd_values)
@example(("version",), 2**70)
@example(("tenants", 0, "ratePerS"), INFINITY)
@example(("tenants", 0, "ratePerS"), 10**400)
@example(("tenants", 0, "burst"), NAN)
@example(("tenants", 0, "apiKeys"), ["\ud800"])
@example(("tenants", 0, "name"), "a\r\nb")
@example(("routes", 0, "timeoutMs"), NAN)
@example(("limits", "txIdleMs"), NAN)
@example(("services", 0, "maxConns"), -1)
def test_a_configuration_with_an_odd_value_is_refused_or_storable(path, value):
    """NaN passed every comparison, and integers beyond 64 bits stopped the log."""
    body = json.dumps(with_value(CONFIGURATION, path, value)).encode()
    command = _decode_or_refuse(decode_configuration, body)
    if command is None:
        return
    check_storable(cat.Proposal("", "operator", 0.0, command))
    assert all(route.statement_timeout_s > 0 for route in command.routes)
    assert all(customer.rate > 0 for customer in command.customers)
    assert all(group.connections >= 0 for group in command.groups)
    names = [customer.name for customer in command.customers]
    names += [group.name for group in command.groups]
    assert all(name.split() == [name] for name in names)


@given(st.sampled_from(field_paths(HEARTBEAT)), odd_values)
@example(("seq",), 2**70)
@example(("service",), "\ud800")
@example(("zone",), "\ud800")
@example(("service",), "a\r\nb")
@example(("addr",), "10.0.0.1:99999")
def test_a_heartbeat_with_an_odd_value_is_refused_or_storable(path, value):
    """One such heartbeat in the leader's log stopped all later changes."""
    body = json.dumps(with_value(HEARTBEAT, path, value)).encode()
    endpoint = _decode_or_refuse(decode_heartbeat, "i-1", body, {})
    if endpoint is None:
        return
    command = cat.AnnounceEndpoint(endpoint)
    check_storable(cat.Proposal("", "endpoint i-1", 0.0, command))
    assert 0 < endpoint.port < 65536
    assert endpoint.group.split() == [endpoint.group]


@given(st.text(max_size=30))
@example("replica 3 3.99999999999999999999 0 0 0 0")
@example("replica 99999999999999999999 3.1 0 0 0 0")
@example("replica 3 -3.-1 0 0 0 0")
def test_an_odd_status_is_malformed_or_storable(row):
    """Positions of primaries are part of every answer of the leader to a report."""
    try:
        status = parse_status(row, "born")
    except LovageError as exc:
        assert exc.code is Code.PACKET_BAD
        return
    for number in (status.term, status.index, status.last_term):
        assert 0 <= number < 2**63


@given(st.text(max_size=30))
@example("1.99999999999999999999")
@example("-1.1")
def test_an_odd_position_is_malformed_or_storable(text):
    """An instance states its position after every statement."""
    try:
        position = parse_position(text)
    except LovageError as exc:
        assert exc.code is Code.PACKET_BAD
        return
    if position is not None:
        assert 0 <= position.term < 2**63 and 0 <= position.index < 2**63
