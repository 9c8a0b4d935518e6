"""Catalogue replies to daemons that restart after many changes."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lovagewalk import catalogue as cat
from lovagewalk.catalogue import apply_delta, diff_catalogues
from lovagewalk.codec import decode, encode
from lovagewalk.consensus import SendToPeer
from lovagewalk.control import PeerMessage
from lovagewalk.control._messages import CatalogueUpdate, FollowReply, FollowRequest
from lovagewalk.core import reduce, replace

from .control_fleet import ControlFleet, configuration

NAMES = ("c1", "c2", "c3")
DOCUMENT = b"x" * 20_000


@pytest.fixture
def fleet():
    running = ControlFleet(NAMES, NAMES)
    running.run(2.0)
    for version in range(1, 41):
        running.change(_configuration(version, 1))
        running.run(0.04)
    return running


def _configuration(version, routes):
    command = configuration(version, tuple(f"g{n}" for n in range(routes)))
    return replace(command, document=DOCUMENT)


def _report(fleet, name, revision=0):
    """Send a VM the report of a new daemon; return the messages sent to it."""
    request = FollowRequest("boot", 1, revision, False, (), ())
    event = PeerMessage(fleet.now, "e1", request)
    step = reduce(fleet.states[name], event)
    fleet.states[name] = step.state
    fleet.run(0.1)
    sent = [
        e.message for e in step.effects if isinstance(e, SendToPeer) and e.peer == "e1"
    ]
    return sent + fleet.sent_outside


def test_a_daemon_far_behind_gets_the_whole_catalogue_once(fleet):
    """Log entries hold a whole configuration document, which daemons do not need."""
    leader = fleet.leader().identity.name
    sent = _report(fleet, leader)
    assert not [m for m in sent if isinstance(m, CatalogueUpdate)]
    (reply,) = [m for m in sent if isinstance(m, FollowReply)]
    assert reply.delta.base == 0
    assert len(encode(reply)) < 2_000


def test_a_follower_replies_with_the_name_of_the_leader_alone(fleet):
    other = next(n for n in NAMES if n != fleet.leader().identity.name)
    (reply,) = _report(fleet, other)
    assert reply.leader == fleet.leader().identity.name
    assert reply.delta is None


def test_a_reply_without_a_leader_carries_the_catalogue(fleet):
    """Routes that need no key stay usable in an isolated region."""
    other = next(n for n in NAMES if n != fleet.leader().identity.name)
    fleet.links_up = False
    fleet.run(3.0)
    (reply,) = _report(fleet, other)
    assert not reply.leader and reply.delta.base == 0


def test_a_daemon_slightly_behind_gets_only_the_changes(fleet):
    """Two hundred routes are added at once; the next change adds one more."""
    fleet.change(_configuration(41, 200))
    fleet.run(0.1)
    leader = fleet.leader()
    fleet.change(_configuration(42, 201))
    fleet.run(0.1)
    known_revision = leader.catalogue.revision
    (update,) = [
        m
        for m in _report(fleet, leader.identity.name, known_revision)
        if isinstance(m, CatalogueUpdate)
    ]
    assert [item.entry.name for item in update.delta.routes] == ["route-g200"]
    assert apply_delta(leader.catalogue, update.delta).version == 42


def test_entries_that_only_control_reads_are_not_pushed(fleet):
    """The access counts of each daemon are logged every few seconds."""
    leader = fleet.leader()
    fleet.change(cat.RecordAccess("e9", "boot/1", ()))
    fleet.run(0.1)
    sent = _report(fleet, leader.identity.name, leader.catalogue.revision)
    assert not [m for m in sent if isinstance(m, CatalogueUpdate)]
    (reply,) = [m for m in sent if isinstance(m, FollowReply)]
    assert reply.delta.revision == leader.catalogue.revision + 1


GROUP_NUMBERS = st.lists(st.integers(0, 8), unique=True, max_size=6)


@given(before=GROUP_NUMBERS, after=GROUP_NUMBERS, endpoints=GROUP_NUMBERS)
@settings(max_examples=60, deadline=None, derandomize=True)
def test_a_delta_gives_the_same_catalogue_as_the_log(before, after, endpoints):
    catalogue = cat.Catalogue()
    commands = [
        configuration(1, tuple(f"g{n}" for n in before)),
        *(
            cat.AnnounceEndpoint(cat.Endpoint(f"i{n}", f"g{n}", "h", n, "z", "r", 9))
            for n in endpoints
        ),
        configuration(2, tuple(f"g{n}" for n in after)),
        *(cat.ForgetEndpoint(f"i{n}") for n in endpoints[:2]),
    ]
    catalogues = [catalogue]
    for index, command in enumerate(commands, 1):
        proposal = cat.Proposal("", "op", 0.0, command)
        catalogues.append(cat.apply_proposal(catalogues[-1], index, proposal).catalogue)
    last = replace(catalogues[-1], document=b"")
    for old in catalogues:
        delta = decode(encode(CatalogueUpdate(diff_catalogues(old, last)))).delta
        assert apply_delta(replace(old, document=b""), delta) == last


def test_a_report_whose_daemon_has_expired_keeps_no_other_report_unanswered(fleet):
    """A leader that was suspended for 31 s failed at it and answered nobody."""
    name = fleet.leader().identity.name
    for daemon in ("edge-1", "edge-2"):
        request = FollowRequest("boot", 1, 0, False, (), ())
        fleet.feed(name, PeerMessage(fleet.now, daemon, request))
    state = fleet.states[name]
    control = replace(state.control, followers=state.control.followers.delete("edge-1"))
    fleet.states[name] = replace(state, control=control)
    fleet.run(0.2)
    replies = [m for m in fleet.sent_outside if isinstance(m, FollowReply)]
    assert len(replies) == 1 and replies[0].is_latest
