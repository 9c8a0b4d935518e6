"""The answer to a planned change of primary."""

from lovagewalk import catalogue as cat
from lovagewalk.control import SwitchRequested
from lovagewalk.control._failover import ATTEMPT_TIMEOUT_S
from lovagewalk.core import Code

from .control_fleet import ControlFleet

NAMES = ("c1", "c2", "c3")
VOTERS = tuple(cat.Voter(name, "born") for name in ("a", "b", "c"))


class SwitchingFleet(ControlFleet):
    """A fleet with a group whose instances never answer an order."""

    def __init__(self):
        super().__init__(NAMES, NAMES)
        self.run(2.0)
        self.change(cat.AllocateTerm("g", 1))
        self.install(1, "a")

    def install(self, term, primary):
        start = cat.TermStart(term, 0)
        self.change(cat.InstallTerm("g", term, primary, VOTERS, start))
        self.run(0.2)

    def switch(self, primary):
        self.last_number += 1
        event = SwitchRequested(self.now, self.last_number, "g", primary)
        self.feed(self.leader().identity.name, event)
        return self.last_number

    def allocated_term(self):
        return self.leader().catalogue.group("g").allocated_term


def test_an_overdue_switch_to_another_primary_is_not_answered_with_success():
    """After its restart, the attempt had forgotten which primary was requested."""
    for installed, is_done in (("c", False), ("b", True)):
        fleet = SwitchingFleet()
        ticket = fleet.switch("b")
        fleet.run(ATTEMPT_TIMEOUT_S + 0.2)
        assert ticket not in fleet.answers
        fleet.install(fleet.allocated_term(), installed)
        refusal = fleet.answers[ticket].refusal
        assert (refusal is None) is is_done
        assert is_done or refusal.code is Code.CHANGE_BAD
