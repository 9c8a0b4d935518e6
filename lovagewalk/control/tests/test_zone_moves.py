"""Primaries that the control leader moves out of an evacuated zone."""

import pytest

from lovagewalk.catalogue import SetZoneEvacuation
from lovagewalk.control._zone_moves import MOVE_ORDERS_PER_S
from lovagewalk.core import Code
from lovagewalk.groups import Role

from .control_fleet import ControlFleet, configuration

VM_NAMES = tuple(f"10.0.0.{number}:7560" for number in range(1, 4))
ZONES = {"a": "za", "b": "za", "c": "zc"}


class Site(ControlFleet):
    """Groups of a primary and a replica in zone za, and a replica in zone zc."""

    def __init__(self, groups=("g",), sync_replicas=0):
        super().__init__(VM_NAMES, VM_NAMES)
        self.run(2.0)
        self.change(configuration(1, groups, sync_replicas=sync_replicas))
        self.run(0.2)
        for group in groups:
            for name, zone in ZONES.items():
                self.send_heartbeat(f"{group}-{name}", group, zone=zone)
            self.databases[f"{group}-a"].role = Role.PRIMARY
        self.run(1.0)

    def primary(self, group="g"):
        return self.leader().catalogue.group(group).primary

    def evacuate(self, zone, evacuated=True, name=""):
        """Request an evacuation at a VM, by default the leader; return the ticket."""
        name = name or self.leader().identity.name
        seen = self.states[name].catalogue.revision
        ticket = self.change(SetZoneEvacuation(zone, evacuated, True, seen), name)
        self.run(0.2)
        return ticket


@pytest.fixture
def site():
    return Site()


def test_a_primary_moves_to_a_replica_outside(site):
    """Guards against a successor in the same zone, though it is as advanced."""
    assert site.primary() == "g-a"
    site.evacuate("za")
    site.run(2.0)
    assert site.primary() == "g-c"
    assert [order.endpoint for order in site.orders] == ["g-c"]


def test_a_replica_in_the_zone_is_no_successor_of_a_lost_primary(site):
    site.evacuate("zc")
    site.databases["g-c"].received = 200
    site.send_heartbeat("g-a", "g", sequence=2, leaving=True, zone="za")
    site.run(2.0)
    assert site.primary() == "g-b"


def test_a_primary_stays_without_a_replica_outside(site):
    """Guards against a survey without candidates, which leaves no primary at all."""
    site.evacuate("zc")
    site.evacuate("za")
    site.run(3.0)
    assert site.primary() == "g-a"
    assert not site.orders and not site.leader().control.promotions


def test_a_primary_moves_only_once_the_replica_outside_answers(site):
    site.databases["g-c"].up = False
    site.evacuate("za")
    site.run(2.0)
    assert site.primary() == "g-a" and not site.leader().control.promotions
    site.databases["g-c"].up = True
    site.run(2.0)
    assert site.primary() == "g-c"


def test_a_withdrawal_before_the_replica_answers_keeps_the_primary(site):
    site.databases["g-c"].up = False
    site.evacuate("za")
    site.evacuate("za", False)
    site.databases["g-c"].up = True
    site.run(3.0)
    assert site.primary() == "g-a" and not site.orders


def test_the_next_leader_moves_the_primary_under_a_new_fence(site):
    """The leader is lost between its order and the promotion."""
    site.provider_unresponsive = True
    site.evacuate("za")
    site.run(0.6)
    old_order = site.orders[-1]
    site.isolated = {site.leader().identity.name}
    site.run(3.0)
    site.provider_unresponsive = False
    site.run(4.0)
    assert site.primary() == "g-c"
    assert site.orders[-1].fence > old_order.fence


def test_a_target_whose_zone_is_evacuated_meanwhile_is_given_up(site):
    site.provider_unresponsive = True
    site.send_heartbeat("g-b", "g", sequence=2, zone="zb")
    site.run(0.2)
    site.evacuate("za")
    site.run(0.5)
    target = site.orders[-1].endpoint
    site.evacuate("zc" if target == "g-c" else "zb")
    site.provider_unresponsive = False
    site.run(3.0)
    assert site.primary() == ("g-b" if target == "g-c" else "g-c")


def _groups(count):
    """Return names of groups whose databases get different ports."""
    return tuple("g" * (number + 1) for number in range(count))


def _record_order_times(site):
    times, promote = [], site._promote

    def record(name, effect):
        times.append(site.now)
        promote(name, effect)

    site._promote = record
    return times


def test_moves_stay_within_the_rate_of_the_provider():
    """Guards against refused orders when the primaries of many groups move at once."""
    groups = _groups(MOVE_ORDERS_PER_S * 2)
    site = Site(groups)
    times = _record_order_times(site)
    site.evacuate("za")
    site.run(5.0)
    assert {site.primary(group) for group in groups} == {f"{g}-c" for g in groups}
    for start in times:
        assert sum(start <= at < start + 0.99 for at in times) <= MOVE_ORDERS_PER_S


def test_repeated_orders_stay_within_the_rate_of_the_provider():
    """The provider answers nothing, so that every order is repeated."""
    groups = _groups(MOVE_ORDERS_PER_S + 10)
    site = Site(groups)
    site.provider_unresponsive = True
    times = _record_order_times(site)
    site.evacuate("za")
    site.run(4.0)
    for start in times:
        assert sum(start <= at < start + 0.99 for at in times) <= MOVE_ORDERS_PER_S


def test_commits_go_on_while_the_replica_outside_is_behind():
    """Guards against a survey that stops commits while no successor can be found."""
    site = Site(sync_replicas=1)
    site.databases["g-c"].received = 90
    site.evacuate("za")
    site.run(2.0)
    assert site.primary() == "g-a" and not site.databases["g-b"].paused
    site.databases["g-c"].received = 100
    site.run(2.0)
    assert site.primary() == "g-c"
    assert not any(database.paused for database in site.databases.values())


def test_commits_go_on_while_too_few_replicas_answer():
    site = Site(sync_replicas=1)
    site.databases["g-b"].up = False
    site.evacuate("za")
    site.run(2.0)
    assert site.primary() == "g-a" and not site.databases["g-c"].paused


def test_requests_at_any_vm_are_forwarded_and_resent(site):
    """Guards against a follower that refuses what the leader has accepted."""
    for name in site.states:
        ticket = site.evacuate("za", name=name)
        assert site.answers[ticket].refusal is None
    assert all("za" in s.catalogue.evacuated_zones for s in site.states.values())


def test_a_request_held_up_on_a_link_does_not_undo_a_withdrawal(site):
    leader = site.leader().identity.name
    follower = next(name for name in site.states if name != leader)
    seen = site.states[follower].catalogue.revision
    site.evacuate("za")
    site.evacuate("za", False)
    ticket = site.change(SetZoneEvacuation("za", True, True, seen), follower)
    site.run(0.2)
    assert site.answers[ticket].refusal.code is Code.CONFIG_STALE
    assert not site.leader().catalogue.evacuated_zones


def test_an_acknowledged_evacuation_survives_a_loss_of_power(site):
    ticket = site.evacuate("za")
    assert site.answers[ticket].refusal is None
    for name in VM_NAMES:
        site.start(name)
    site.run(4.0)
    assert site.leader().catalogue.evacuated_zones == {"za"}
    assert site.primary() == "g-c"
