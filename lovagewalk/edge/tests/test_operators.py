"""Access of operators to the catalogue of a daemon that may be out of date."""

import pytest
from aiohttp.test_utils import make_mocked_request

from lovagewalk.control import FollowState
from lovagewalk.core import Code, LovageError, Shell, TimerService
from lovagewalk.edge._operators import OperatorServer
from lovagewalk.node import Identity, NodeState
from lovagewalk.runtime import Ports

TOKEN = "operator-token"


def _operator_server(lease_s):
    ports = Ports(TimerService())
    state = NodeState(
        Identity("vm", "z", "r", b"secret"),
        fresh_until=ports.now() + lease_s,
        follow=FollowState(("vm2",), "vm2", "boot"),
    )
    ports.shell = Shell(state, ports, ports.timer)
    return OperatorServer(ports, TOKEN, "announce-secret")


def _request():
    return make_mocked_request(
        "GET", "/catalogue", headers={"Authorization": f"Bearer {TOKEN}"}
    )


async def test_a_daemon_without_a_lease_refuses_its_catalogue():
    """It has just started or is isolated, so its catalogue may be out of date."""
    with pytest.raises(LovageError) as caught:
        await _operator_server(-1.0)._catalogue(_request())
    assert caught.value.code is Code.CONFIG_STALE


async def test_a_daemon_with_a_lease_returns_its_catalogue():
    response = await _operator_server(60.0)._catalogue(_request())
    assert response.status == 200
