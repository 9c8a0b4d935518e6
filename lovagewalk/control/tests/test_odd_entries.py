"""An entry that cannot be stored or sent never enters the log."""

from lovagewalk import catalogue as cat
from lovagewalk.codec import encode
from lovagewalk.consensus import PersistEntries, SendToPeer
from lovagewalk.core import Code, replace

from .control_fleet import ControlFleet, configuration

VM_NAMES = tuple(f"10.0.0.{number}:7560" for number in range(1, 4))


class EncodingFleet(ControlFleet):
    """A fleet that encodes what it stores and sends; effects that fail are skipped."""

    def _perform(self, name, effect):
        content = effect.message if isinstance(effect, SendToPeer) else effect
        if isinstance(effect, SendToPeer | PersistEntries):
            try:
                encode(content)
            except (OverflowError, UnicodeEncodeError):
                return
        super()._perform(name, effect)


def _odd_commands():
    endpoint = cat.Endpoint("i-1", "g", "10.0.0.9", 80, "z", "r", 0, False, 1, 5)
    customer = cat.CustomerEntry("c", "op", 1.0, 1.0)
    return (
        cat.AnnounceEndpoint(replace(endpoint, sequence=2**70)),
        cat.AnnounceEndpoint(replace(endpoint, zone="\ud800")),
        cat.AnnounceEndpoint(replace(endpoint, port=99999)),
        cat.AnnounceEndpoint(replace(endpoint, host="no address")),
        cat.PutCustomer(replace(customer, rate=float("inf")), 0),
        cat.PutCustomer(replace(customer, burst=float("nan")), 0),
        cat.PutCustomer(customer, 2**70),
        cat.ForgetEndpoint("\ud800"),
        replace(configuration(9), version=2**70),
    )


def test_an_odd_entry_does_not_stop_later_changes():
    """Neither disk nor peers could take it, so nothing after it was committed."""
    for command in _odd_commands():
        for follower in (False, True):
            fleet = EncodingFleet(VM_NAMES, VM_NAMES)
            fleet.run(3.0)
            leader = fleet.leader().identity.name
            name = next(n for n in VM_NAMES if (n != leader) is follower)
            odd_ticket = fleet.change(command, name)
            fleet.run(0.3)
            ticket = fleet.change(configuration(3))
            fleet.run(1.0)
            assert fleet.answers[odd_ticket].refusal.code is Code.CHANGE_BAD, command
            assert fleet.answers[ticket].refusal is None, command


def test_an_entry_that_cannot_be_applied_does_not_stop_later_changes(monkeypatch):
    """Every step of every VM raised its exception again, and again at each start."""

    def apply_or_raise(catalogue, index, proposal):
        if getattr(proposal.command, "version", 0) == 7:
            raise ZeroDivisionError("a handler with a fault")
        return cat.apply_proposal(catalogue, index, proposal)

    monkeypatch.setattr("lovagewalk.control._raft_steps.apply_proposal", apply_or_raise)
    fleet = ControlFleet(VM_NAMES, VM_NAMES)
    fleet.run(3.0)
    refused = fleet.change(configuration(7))
    fleet.run(0.5)
    assert fleet.answers[refused].refusal.code is Code.CHANGE_BAD
    accepted = fleet.change(configuration(8))
    fleet.run(0.5)
    assert fleet.answers[accepted].refusal is None
    fleet.start(VM_NAMES[0])
    fleet.run(3.0)
    assert {state.catalogue.version for state in fleet.states.values()} == {8}
