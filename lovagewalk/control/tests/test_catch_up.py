"""Daemons that start again after hundreds of changes, all at the same time."""

import pytest

from lovagewalk import catalogue as cat
from lovagewalk.codec import encode
from lovagewalk.consensus import SendPeer
from lovagewalk.control import PeerMessage
from lovagewalk.control._messages import CatalogueUpdate, FollowReply, FollowRequest
from lovagewalk.core import reduce

from .control_fleet import ControlFleet, configuration

NAMES = ("c1", "c2", "c3")
DOCUMENT = b"x" * 20_000


@pytest.fixture
def fleet():
    running = ControlFleet(NAMES, NAMES)
    running.run(2.0)
    for version in range(1, 41):
        command = configuration(version)
        command = cat.ReplaceConfiguration(
            command.version,
            command.routes,
            command.customers,
            command.keys,
            command.groups,
            document=DOCUMENT,
        )
        running.change(command)
        running.run(0.04)
    return running


def _report(fleet, name, revision=0):
    """Let a new daemon report to a VM; return what it is sent."""
    request = FollowRequest("boot", 1, revision, False, (), ())
    event = PeerMessage(fleet.now, "e1", request)
    step = reduce(fleet.states[name], event)
    fleet.states[name] = step.state
    fleet.run(0.1)
    sent = [
        e.message for e in step.effects if isinstance(e, SendPeer) and e.peer == "e1"
    ]
    return sent + fleet.outside


def test_a_daemon_far_behind_gets_one_snapshot_and_no_entries(fleet):
    """Each entry holds a whole configuration; the snapshot holds one."""
    leader = fleet.leader().me.name
    sent = _report(fleet, leader)
    assert not [m for m in sent if isinstance(m, CatalogueUpdate)]
    (reply,) = [m for m in sent if isinstance(m, FollowReply)]
    assert reply.snapshot is not None and not reply.entries
    assert len(encode(reply)) < 2 * len(DOCUMENT)


def test_who_does_not_lead_sends_its_name_alone(fleet):
    other = next(n for n in NAMES if n != fleet.leader().me.name)
    (reply,) = _report(fleet, other)
    assert reply.leader == fleet.leader().me.name
    assert reply.snapshot is None and not reply.entries


def test_a_catalogue_comes_along_where_nobody_leads(fleet):
    """Routes that are open to all go on in a region that is cut off."""
    other = next(n for n in NAMES if n != fleet.leader().me.name)
    fleet.links_up = False
    fleet.run(3.0)
    (reply,) = _report(fleet, other)
    assert not reply.leader and reply.snapshot is not None


def test_a_daemon_a_little_behind_gets_entries(fleet):
    leader = fleet.leader()
    sent = _report(fleet, leader.me.name, leader.catalogue.revision - 2)
    (update,) = [m for m in sent if isinstance(m, CatalogueUpdate)]
    assert len(update.entries) == 2
