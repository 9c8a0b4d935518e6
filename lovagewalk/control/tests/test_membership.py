"""Formation of the control fleet from seeds, and replacement of lost voters."""

import pytest

from lovagewalk.catalogue import ReplaceConfiguration

from .control_fleet import ControlFleet, configuration

VM_NAMES = tuple(f"10.0.0.{number}:7560" for number in range(1, 6))
SEEDS = VM_NAMES[:3]
NEW_VM = "10.0.0.9:7560"


@pytest.fixture
def fleet():
    new_fleet = ControlFleet(VM_NAMES, SEEDS)
    new_fleet.run(4.0)
    return new_fleet


def _version(fleet, name):
    return fleet.states[name].catalogue.version


def test_all_vms_become_voters_though_only_three_are_seeds(fleet):
    assert fleet.voters() == set(VM_NAMES)
    terms = {state.consensus.term for state in fleet.states.values()}
    assert len(terms) == 1, "adding voters forces no election"


def test_vms_that_are_not_seeds_elect_no_leader():
    fleet = ControlFleet(VM_NAMES[3:], SEEDS)
    fleet.run(3.0)
    assert fleet.leader() is None


def test_vms_that_join_later_elect_no_leader():
    fleet = ControlFleet((), SEEDS)
    for name in SEEDS:
        fleet.add(name)
    fleet.run(3.0)
    assert fleet.leader() is None


def test_the_first_election_waits_for_every_seed():
    fleet = ControlFleet(SEEDS[:2], SEEDS)
    fleet.run(3.0)
    assert fleet.leader() is None


def test_a_leader_is_elected_soon_after_all_vms_lost_power(fleet):
    """The first vote requests are lost, since connections are not yet set up."""
    for name in VM_NAMES:
        fleet.start(name)
    fleet.links_up = False
    fleet.run(0.1)
    fleet.links_up = True
    fleet.run(0.3)
    assert fleet.leader() is not None


def test_a_new_vm_replaces_a_lost_voter(fleet):
    fleet.change(configuration(3))
    fleet.run(0.5)
    lost_vm = next(n for n in VM_NAMES if n != fleet.leader().identity.name)
    fleet.remove(lost_vm)
    fleet.run(1.0)
    assert lost_vm in fleet.voters(), "it may still return"
    fleet.seeds = tuple(n for n in VM_NAMES if n != lost_vm)[:3]
    fleet.add(NEW_VM)
    fleet.run(6.0)
    assert fleet.voters() == (set(VM_NAMES) - {lost_vm}) | {NEW_VM}
    assert _version(fleet, NEW_VM) == 3


def test_a_vm_that_was_replaced_returns_as_a_learner(fleet):
    leader = fleet.leader().identity.name
    isolated = next(n for n in VM_NAMES if n != leader)
    fleet.isolated = {isolated}
    fleet.add(NEW_VM)
    fleet.run(7.0)
    assert isolated not in fleet.voters() and NEW_VM in fleet.voters()
    term = fleet.leader().consensus.term
    fleet.change(configuration(4))
    fleet.isolated = set()
    fleet.run(3.0)
    assert _version(fleet, isolated) == 4
    assert isolated not in fleet.voters()
    assert fleet.leader().consensus.term == term, "its return forces no election"


def test_a_vm_that_lost_its_disk_becomes_a_voter_again(fleet):
    leader = fleet.leader().identity.name
    wiped_vm = next(n for n in VM_NAMES if n != leader)
    old_disks = {v.disk for v in fleet.leader().consensus.voters}
    fleet.wipe(wiped_vm)
    fleet.run(4.0)
    assert fleet.voters() == set(VM_NAMES)
    assert {v.disk for v in fleet.leader().consensus.voters} != old_disks


@pytest.mark.parametrize("seed", range(12))
def test_two_lost_disks_and_a_power_loss_lose_no_acknowledged_change(seed):
    """The faults follow an acknowledgement, when only three of five have the entry."""
    fleet = ControlFleet(VM_NAMES, SEEDS)
    fleet.boots = seed * 100
    fleet.run(4.0)
    leader = fleet.leader().identity.name
    others = [name for name in VM_NAMES if name != leader]
    lagging = {others[seed % 4], others[(seed + 1) % 4]}
    for name in lagging:
        fleet.isolated.add(name)
    ticket = fleet.change(configuration(7))
    fleet.run(0.3)
    assert fleet.answers[ticket].refusal is None
    holders = [name for name in VM_NAMES if name not in lagging]
    fleet.isolated = set()
    fleet.wire.clear()
    wiped = (holders[seed % 3], holders[(seed + 1) % 3])
    for name in VM_NAMES:
        fleet.start(name)
    for name in wiped:
        fleet.wipe(name)
    fleet.run(8.0)
    assert fleet.leader() is not None
    assert all(_version(fleet, name) == 7 for name in VM_NAMES)
    assert fleet.voters() == set(VM_NAMES)


def test_all_vms_killed_at_once_recover(fleet):
    fleet.change(configuration(5))
    fleet.run(0.5)
    for name in VM_NAMES:
        fleet.start(name)
    fleet.run(4.0)
    assert all(_version(fleet, name) == 5 for name in VM_NAMES)
    assert fleet.voters() == set(VM_NAMES)


def test_a_restarted_vm_with_other_seeds_finds_the_fleet(fleet):
    follower = next(n for n in SEEDS if n != fleet.leader().identity.name)
    fleet.seeds = VM_NAMES[2:]
    fleet.wipe(follower)
    fleet.run(4.0)
    assert follower in fleet.voters()


def test_versions_only_rise_and_equal_ones_change_nothing(fleet):
    first = fleet.change(configuration(9))
    fleet.run(0.3)
    other = configuration(9, groups=("other",))
    second = fleet.change(other)
    third = fleet.change(configuration(4))
    fleet.run(0.3)
    for ticket in (first, second, third):
        assert fleet.answers[ticket].refusal is None
    catalogue = fleet.leader().catalogue
    assert catalogue.version == 9 and catalogue.route("route-g")
    assert catalogue.document == b"document 9"


def test_an_invalid_configuration_is_refused_whatever_its_version(fleet):
    fleet.change(configuration(9))
    fleet.run(0.3)
    valid = configuration(3)
    invalid = ReplaceConfiguration(3, valid.routes, (), (), ())
    ticket = fleet.change(invalid)
    fleet.run(0.3)
    assert fleet.answers[ticket].refusal is not None


def test_any_vm_accepts_a_change_and_forwards_it(fleet):
    follower = next(n for n in VM_NAMES if n != fleet.leader().identity.name)
    ticket = fleet.change(configuration(2), follower)
    fleet.run(0.5)
    assert fleet.answers[ticket].refusal is None
    assert _version(fleet, follower) == 2


def test_the_catalogue_of_an_isolated_vm_is_not_fresh(fleet):
    isolated = next(n for n in VM_NAMES if n != fleet.leader().identity.name)
    fleet.isolated = {isolated}
    fleet.change(configuration(6))
    fleet.run(3.5)
    state = fleet.states[isolated]
    assert fleet.now >= state.fresh_until and state.catalogue.version == 0
    fleet.isolated = set()
    fleet.run(2.0)
    assert fleet.now < fleet.states[isolated].fresh_until
    assert _version(fleet, isolated) == 6
