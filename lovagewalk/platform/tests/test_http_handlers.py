"""Answers to heartbeats and removals of endpoints."""

import json
from types import SimpleNamespace

import pytest

from lovagewalk.catalogue import ChangeResult
from lovagewalk.core import Code, LovageError, Refusal
from lovagewalk.platform._http_handlers import HttpHandlers
from lovagewalk.runtime import HttpRequest, PendingRequests

from .test_configuration import HEARTBEAT


class AnsweringPorts:
    """Ports of a daemon that answers each request with one code."""

    def __init__(self, code):
        self.code = code
        self.id_sequence = iter(range(1, 100))
        self.pending_requests = PendingRequests(self)
        self.state = SimpleNamespace(consensus=None)

    def now(self):
        return 0.0

    def feed(self, event):
        refusal = Refusal(self.code) if self.code else None
        result = ChangeResult(0, refusal)
        effect = SimpleNamespace(ticket=event.ticket, result=result)
        self.pending_requests.answer(effect)


async def _status(method, code):
    cfg = SimpleNamespace(regions={}, operators=None)
    handlers = HttpHandlers(AnsweringPorts(code), cfg)
    body = json.dumps(HEARTBEAT).encode()
    request = HttpRequest(method, "/lovagewalk/instances/i-1", body)
    try:
        return (await handlers.handle_control(request)).status
    except LovageError as exc:
        return exc.code


@pytest.mark.parametrize("code", [None, Code.CHANGE_CONFLICT])
async def test_a_recorded_or_outdated_heartbeat_is_acknowledged(code):
    assert await _status("PUT", code) == 200


@pytest.mark.parametrize("code", [Code.CHANGE_BAD, Code.NOT_LEADER])
async def test_a_heartbeat_that_was_not_recorded_is_not_acknowledged(code):
    """It was answered with 200, so that its sender took it for recorded."""
    assert await _status("PUT", code) is code


@pytest.mark.parametrize("code", [None, Code.CHANGE_BAD])
async def test_a_second_removal_is_acknowledged(code):
    assert await _status("DELETE", code) == 200
