"""Endpoints that an older build recorded with an address that none can have."""

from types import SimpleNamespace

import pytest

from lovagewalk.catalogue import Catalogue
from lovagewalk.groups import InstanceFailed, PollInstance
from lovagewalk.platform._endpoints import EndpointClient
from lovagewalk.pools import ConnectionRefused, OpenConnection

ODD_ADDRESSES = [("127.0.0.1", 99999), ("127.0.0.1", -1), ("a" * 70 + ".b", 80)]


def _ports(events):
    return SimpleNamespace(
        state=SimpleNamespace(catalogue=Catalogue()),
        now=lambda: 0.0,
        feed=events.append,
        decision_log=SimpleNamespace(log_refused_connection=lambda *fields: None),
    )


@pytest.mark.parametrize("host, port", ODD_ADDRESSES)
async def test_a_connection_to_an_odd_address_is_refused(host, port):
    """The exception ended the task, and the pool waited for the connection for ever."""
    events = []
    client = EndpointClient(_ports(events))
    await client.open(OpenConnection(1, "i-1", host, port, "g", "c"))
    assert [type(event) for event in events] == [ConnectionRefused]


@pytest.mark.parametrize("host, port", ODD_ADDRESSES)
async def test_a_poll_of_an_odd_address_fails(host, port):
    events = []
    client = EndpointClient(_ports(events))
    await client.poll(PollInstance("i-1", host, port, "g"))
    assert [type(event) for event in events] == [InstanceFailed]
