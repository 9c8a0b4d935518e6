"""Tasks of a daemon that end by an error that their code does not expect."""

import asyncio
from types import SimpleNamespace

import pytest

from lovagewalk.core import TimerService, perform
from lovagewalk.groups import (
    AwaitPosition,
    InstanceFailed,
    PollInstance,
    Position,
)
from lovagewalk.pools import ConnectionRefused, OpenConnection
from lovagewalk.runtime import Ports


class FailingEndpoints:
    """A client of endpoints whose every task fails."""

    async def _fail(self, effect):
        raise RuntimeError("the handler is closed")

    open = poll = wait = _fail


@pytest.mark.parametrize(
    ("effect", "event_type"),
    [
        (OpenConnection(4, "i-1", "host", 1), ConnectionRefused),
        (PollInstance("i-1", "host", 1), InstanceFailed),
        (AwaitPosition("i-1", "host", 1, Position(1, 1), 0.1), InstanceFailed),
    ],
)
async def test_the_reducer_hears_of_a_task_that_failed(effect, event_type):
    """Guards against state that waits for an event that never comes.

    A connection counted as being opened, and an instance as being polled, for good.
    """
    ports = Ports(TimerService())
    events = []
    ports.shell = SimpleNamespace(feed=events.append)
    ports.endpoints = FailingEndpoints()
    perform(ports, effect)
    await asyncio.sleep(0.01)
    (event,) = events
    assert type(event) is event_type and event.endpoint == "i-1"
    ports.close()
