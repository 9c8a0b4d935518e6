"""Rules over positions: confirmation, translation, data age and suspicion."""

import pytest
from immutables import Map

from lovagewalk.catalogue import GroupConfig, TermStart, Voter
from lovagewalk.groups import (
    GroupView,
    InstanceStatus,
    InstanceView,
    Position,
    PositionSample,
    Role,
    add_sample,
    data_age,
    is_confirmed,
    is_primary_suspect,
    resolve_position,
    translate_position,
    verify_samples,
)

VOTERS = tuple(Voter(name, "x") for name in ("a", "b", "c"))
STARTS = (TermStart(1, 0, 0), TermStart(2, 10, 1), TermStart(4, 20, 2))
CONFIG = GroupConfig("g", 4, "a", VOTERS, STARTS, 4)


def _view(*statuses, seen_at=0.0, linked_at=0.0):
    instances = {
        name: InstanceView(name, status, seen_at=seen_at, linked_at=linked_at)
        for name, status in zip("abc", statuses)
    }
    return GroupView("g", Map(instances), term=4, term_installed_at=-10.0)


def _status(role, index, term=4, incarnation="x"):
    return InstanceStatus(incarnation, role, term, index, term)


PRIMARY = _status(Role.PRIMARY, 30)


@pytest.mark.parametrize(
    ("second", "third", "confirmed"),
    [
        (_status(Role.REPLICA, 25), _status(Role.REPLICA, 1), True),
        (_status(Role.REPLICA, 24), _status(Role.REPLICA, 24), False),
        (_status(Role.FENCED, 25), _status(Role.REPLICA, 1), False),
        (_status(Role.SYNCING, 25), _status(Role.REPLICA, 1), False),
        (_status(Role.REPLICA, 25, term=5), _status(Role.REPLICA, 1), False),
        (_status(Role.REPLICA, 25, incarnation="y"), None, False),
        (None, None, False),
    ],
)
def test_a_write_is_confirmed_by_a_quorum(second, third, confirmed):
    view = _view(PRIMARY, second, third)
    assert is_confirmed(view, CONFIG, Position(4, 25)) is confirmed


@pytest.mark.parametrize(
    ("position", "resolved"),
    [
        (Position(4, 99), Position(4, 99)),
        (Position(2, 20), Position(4, 20)),
        (Position(2, 21), None),
        (Position(1, 10), Position(4, 10)),
        (Position(1, 11), None),
        (Position(3, 5), None),
        (Position(5, 1), Position(5, 1)),
    ],
)
def test_resolving_an_unconfirmed_position(position, resolved):
    assert resolve_position(CONFIG, position) == resolved


@pytest.mark.parametrize(
    ("position", "translated"),
    [
        (Position(4, 25), Position(4, 25)),
        (Position(2, 15), Position(4, 15)),
        (Position(2, 25), Position(4, 20)),
        (Position(1, 15), Position(4, 10)),
        (Position(5, 1), Position(5, 1)),
    ],
)
def test_translating_a_session_position(position, translated):
    assert translate_position(CONFIG, position) == translated


def test_data_age_needs_a_verified_sample():
    view = add_sample(_view(), PositionSample(10.0, Position(4, 5)))
    replica = _status(Role.REPLICA, 5)
    assert data_age(view, replica, 11.0) is None
    assert data_age(verify_samples(view, 4, 9.0), replica, 11.0) is None
    assert data_age(verify_samples(view, 3, 12.0), replica, 11.0) is None
    view = verify_samples(view, 4, 10.5)
    assert data_age(view, replica, 11.0) == 1.0
    assert data_age(view, _status(Role.REPLICA, 4), 11.0) is None


def test_data_age_uses_the_newest_applied_sample():
    view = _view()
    for sent_at, index in ((1.0, 5), (2.0, 6), (3.0, 9)):
        view = add_sample(view, PositionSample(sent_at, Position(4, index)))
    view = verify_samples(view, 4, 4.0)
    assert data_age(view, _status(Role.REPLICA, 7), 5.0) == 3.0


@pytest.mark.parametrize(
    ("primary", "seen_at", "linked_at", "suspect"),
    [
        (PRIMARY, 9.9, 9.9, False),
        (PRIMARY, 9.7, 9.7, False),
        (PRIMARY, 9.5, 9.9, True),
        (PRIMARY, 9.9, 9.4, True),
        (_status(Role.FENCED, 30, term=5), 9.9, 9.9, True),
        (_status(Role.PRIMARY, 30, incarnation="y"), 9.9, 9.9, True),
        (None, 9.9, 9.9, True),
    ],
)
def test_when_a_primary_is_suspect(primary, seen_at, linked_at, suspect):
    replica = _status(Role.REPLICA, 30)
    view = _view(primary, replica, replica, seen_at=seen_at, linked_at=linked_at)
    assert is_primary_suspect(view, CONFIG, 10.0) is suspect
