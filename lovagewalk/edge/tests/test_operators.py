"""Access of operators to the catalogue of a daemon that may be out of date."""

import asyncio

import pytest
from aiohttp.test_utils import make_mocked_request

from lovagewalk.catalogue import ChangeResult
from lovagewalk.control import FollowState, PeerMessage
from lovagewalk.control._messages import FollowReply, ProposalResult
from lovagewalk.core import Code, LovageError, Shell, TimerService
from lovagewalk.edge._operators import OperatorServer
from lovagewalk.node import Identity, NodeState
from lovagewalk.runtime import Ports

TOKEN = "operator-token"


class RecordingPeers:
    """Keeps the messages that a daemon sends."""

    def __init__(self):
        self.sent = []

    def send(self, peer, message):
        self.sent.append(message)


def _operator_server(lease_s):
    ports = Ports(TimerService())
    state = NodeState(
        Identity("vm", "z", "r", b"secret"),
        fresh_until=ports.now() + lease_s,
        follow=FollowState(("vm2",), "vm2", "boot"),
    )
    ports.shell = Shell(state, ports, ports.timer)
    ports.peers = RecordingPeers()
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


async def test_a_daemon_returns_its_catalogue_once_the_leader_has_confirmed_it():
    server = _operator_server(60.0)
    response = asyncio.create_task(server._catalogue(_request()))
    await asyncio.sleep(0)
    ports = server._ports
    (report,) = ports.peers.sent
    assert not response.done()
    reply = FollowReply(report.seq, "vm2", True, 0, None, ())
    ports.feed(PeerMessage(ports.now(), "vm2", reply))
    assert (await response).status == 200


def _evacuation_request(method, token=TOKEN):
    return make_mocked_request(
        method,
        "/evacuations/zone%20a?operator=anna",
        headers={"Authorization": f"Bearer {token}"},
        match_info={"zone": "zone a"},
    )


@pytest.mark.parametrize("method", ["POST", "DELETE"])
async def test_an_evacuation_is_forwarded_with_its_operator(method):
    """Guards against a trail that does not say who evacuated a zone."""
    server = _operator_server(60.0)
    handlers = {"POST": server._evacuate, "DELETE": server._withdraw_evacuation}
    response = asyncio.create_task(handlers[method](_evacuation_request(method)))
    await asyncio.sleep(0)
    ports = server._ports
    (message,) = ports.peers.sent
    command = message.proposal.command
    assert (command.zone, command.evacuated) == ("zone a", method == "POST")
    assert message.proposal.operator == "anna"
    result = ProposalResult(message.ticket, ChangeResult(7), "vm2")
    ports.feed(PeerMessage(ports.now(), "vm2", result))
    assert (await response).status == 200


async def test_an_evacuation_without_the_operators_token_is_refused():
    server = _operator_server(60.0)
    with pytest.raises(LovageError) as caught:
        await server._evacuate(_evacuation_request("POST", "another"))
    assert caught.value.code is Code.UNAUTHORISED and not server._ports.peers.sent
