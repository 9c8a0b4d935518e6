"""Changes, announcements and answers of instances with odd values."""

import ipaddress
import json

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from lovagewalk.catalogue import AnnounceEndpoint, Proposal, check_proposal
from lovagewalk.codec import command_from_dict
from lovagewalk.core import Code, LovageError
from lovagewalk.edge._group_client import parse_position, parse_status
from lovagewalk.edge._operators import _parse_endpoint
from lovagewalk.settings import parse_json
from lovagewalk.tests.odd_values import (
    check_storable,
    field_paths,
    odd_values,
    with_value,
)

CUSTOMER = {
    "_type": "PutCustomer",
    "entry": {"name": "c", "owner": "o", "rate": 5.0, "burst": 5.0, "weight": 1.0},
    "expected": 0,
}
ENDPOINT = {
    "name": "i-1",
    "group": "g",
    "host": "10.0.0.1",
    "port": 3306,
    "zone": "z",
    "region": "r",
    "connections": 5,
    "leaving": False,
    "sequence": 1,
}
STATUS = ["born", "replica", 3, 10, 3, 1]


def _propose_or_refuse(build_command, document):
    """Return the proposal, or None if it is refused with a code."""
    body = json.dumps(document).encode()
    try:
        command = build_command(parse_json(body, Code.CHANGE_BAD))
    except LovageError as exc:
        assert exc.code is Code.CHANGE_BAD
        return None
    except (ValueError, TypeError, KeyError):
        return None
    proposal = Proposal("", "operator", 0.0, command)
    refusal = check_proposal(proposal)
    assert refusal is None or refusal.code is Code.CHANGE_BAD
    return proposal if refusal is None else None


@given(st.sampled_from(field_paths(CUSTOMER)), odd_values)
@example(("expected",), 2**70)
@example(("entry", "rate"), float("inf"))
@example(("entry", "burst"), float("nan"))
@example(("entry", "owner"), "\ud800")
def test_a_change_with_an_odd_value_is_refused_or_storable(path, value):
    """An infinite rate was accepted, and a version beyond 64 bits stopped the log."""
    document = with_value(CUSTOMER, path, value)
    proposal = _propose_or_refuse(command_from_dict, document)
    if proposal is not None:
        check_storable(proposal)


@given(st.sampled_from(field_paths(ENDPOINT)), odd_values)
@example(("port",), 99999)
@example(("port",), -1)
@example(("host",), "no address")
@example(("host",), "nowhere")
@example(("host",), 7)
@example(("sequence",), 2**70)
@example(("connections",), 2**70)
@example(("zone",), "\ud800")
def test_an_announcement_with_an_odd_value_is_refused_or_storable(path, value):
    """Ports out of range were announced to all daemons, which could not connect."""

    def build_command(fields):
        return AnnounceEndpoint(_parse_endpoint(fields))

    document = with_value(ENDPOINT, path, value)
    proposal = _propose_or_refuse(build_command, document)
    if proposal is not None:
        check_storable(proposal)
        assert 0 < proposal.command.endpoint.port < 65536
        assert ipaddress.ip_address(proposal.command.endpoint.host)


@given(st.integers(0, len(STATUS) - 1), odd_values)
@example(2, 2**70)
@example(3, -1)
@example(1, "leader")
def test_an_odd_status_row_is_a_broken_connection_or_storable(column, value):
    row = STATUS[:column] + [value] + STATUS[column + 1 :]
    try:
        status = parse_status(row)
    except ConnectionError:
        return
    for number in (status.term, status.index, status.last_term):
        assert 0 <= number < 2**63


def test_a_row_without_a_position_is_a_broken_connection():
    for row in (None, (), (1,), (None, None), (1, 2**70), ("a", "b")):
        with pytest.raises(ConnectionError):
            parse_position(row)
