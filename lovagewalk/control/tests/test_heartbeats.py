"""What a control VM may answer to endpoints from its own catalogue."""

from lovagewalk.control import EndpointLeft
from lovagewalk.core import Code

from .control_fleet import ControlFleet, configuration

NAMES = ("c1", "c2", "c3")


def _running_fleet():
    fleet = ControlFleet(NAMES, NAMES)
    fleet.run(2.0)
    fleet.change(configuration(1))
    fleet.run(0.2)
    return fleet


def test_a_vm_that_has_not_heard_of_an_endpoint_does_not_say_that_it_is_gone():
    """Cut off, it acknowledged the removal of an endpoint that stayed in use."""
    fleet = _running_fleet()
    follower = next(n for n in NAMES if n != fleet.leader().identity.name)
    fleet.isolated = {follower}
    fleet.send_heartbeat("a", "g")
    fleet.run(0.2)
    fleet.last_number += 1
    ticket = fleet.last_number
    fleet.feed(follower, EndpointLeft(fleet.now, ticket, "a"))
    fleet.run(0.2)
    answer = fleet.answers.get(ticket)
    assert answer is None or answer.refusal is not None
    assert "a" in fleet.leader().catalogue.endpoints


def test_the_leader_acknowledges_the_removal_of_an_endpoint_that_is_gone():
    fleet = _running_fleet()
    fleet.last_number += 1
    event = EndpointLeft(fleet.now, fleet.last_number, "a")
    fleet.feed(fleet.leader().identity.name, event)
    assert fleet.answers[fleet.last_number].refusal is None


def test_a_heartbeat_of_a_group_that_no_configuration_names_is_refused():
    """Another writer's entry is not an instance to use, and removes no other entry."""
    fleet = _running_fleet()
    ticket = fleet.send_heartbeat("odd", "nowhere")
    fleet.run(0.2)
    assert fleet.answers[ticket].refusal.code is Code.CHANGE_BAD
    assert not fleet.leader().catalogue.endpoints


def test_a_remaining_cold_time_that_counts_down_causes_no_log_entry():
    """Otherwise each heartbeat of a cold endpoint would go through the log."""
    fleet = _running_fleet()
    fleet.send_heartbeat("a", "g", slots=4, cold_left_s=8.0)
    fleet.run(0.2)
    revision = fleet.leader().catalogue.revision
    for sequence, cold_left_s in ((2, 6.8), (3, 5.6), (4, 0.0)):
        ticket = fleet.send_heartbeat(
            "a", "g", sequence, slots=4, cold_left_s=cold_left_s
        )
        fleet.run(0.2)
        assert fleet.answers[ticket].refusal is None
    assert fleet.leader().catalogue.revision == revision


def test_an_endpoint_that_is_cold_again_is_recorded():
    fleet = _running_fleet()
    fleet.send_heartbeat("a", "g", slots=4)
    fleet.run(0.2)
    fleet.send_heartbeat("a", "g", 2, slots=4, cold_left_s=8.0)
    fleet.run(0.2)
    assert fleet.leader().catalogue.endpoints["a"].cold_left_s == 8.0
