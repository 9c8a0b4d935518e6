"""Control VMs over links with delays and stalls, with appends that take time."""

import random

from lovagewalk.consensus import AppendRequest, SnapshotRequest
from lovagewalk.control import ConsensusTick, ControlTick, PeerMessage, RepairTick

from .control_fleet import STEP_S, STEPS_PER_REPAIR, ControlFleet

# Longest delay of a link, two regions apart.
MAX_LINK_DELAY_S = 0.04
# Longest time for which a VM's outgoing messages are held up.
MAX_STALL_S = 1.0
# Time to write one log entry to a slow disk.
ENTRY_WRITE_S = 0.01


class DelayedFleet(ControlFleet):
    """A control fleet whose messages arrive later, in order on each link.

    Parameters
    ----------
    seed : int
        Seed of the delays and of the stalls.
    """

    def __init__(self, names, seeds, seed):
        self.random = random.Random(seed)
        self.delays = {}
        self.in_flight = []
        self.arrivals = {}
        self.stalled_until = {}
        super().__init__(names, seeds)

    def start(self, name, may_bootstrap=False):
        """Start a VM; messages of its previous run are lost."""
        self.in_flight = [item for item in self.in_flight if name not in item[1:3]]
        super().start(name, may_bootstrap)

    def stall(self, name):
        """Hold up the messages that a VM sends for a random time."""
        self.stalled_until[name] = self.now + self.random.uniform(0.1, MAX_STALL_S)

    def run(self, seconds):
        """Advance the clock and deliver the messages that are due."""
        end = self.now + seconds
        steps = 0
        while self.now < end:
            self.now += STEP_S
            steps += 1
            for name in list(self.states):
                self.feed(name, ConsensusTick(self.now))
                self.feed(name, ControlTick(self.now))
                if steps % STEPS_PER_REPAIR == 0:
                    self.feed(name, RepairTick(self.now))
            self._deliver()

    def _deliver(self):
        self._send()
        while due := [item for item in self.in_flight if item[0] <= self.now]:
            self.in_flight = [item for item in self.in_flight if item[0] > self.now]
            for _, source, target, message in sorted(due, key=lambda item: item[0]):
                if not self._is_cut(source, target) and target in self.states:
                    self.feed(target, PeerMessage(self.now, source, message))
            self._send()

    def _send(self):
        """Move the messages that were sent onto their links."""
        for source, target, message in self.wire:
            if source == target:
                arrival = self.now
            elif self._is_cut(source, target):
                continue
            else:
                arrival = self._arrival(source, target, message)
            self.in_flight.append((arrival, source, target, message))
        self.wire = []

    def _is_cut(self, source, target):
        return (source in self.isolated) != (target in self.isolated)

    def _arrival(self, source, target, message):
        link = (source, target)
        if link not in self.delays:
            self.delays[link] = self.random.uniform(0.0, MAX_LINK_DELAY_S)
        sent_at = max(self.now, self.stalled_until.get(source, 0.0))
        arrival = sent_at + self.delays[link] + _write_time_s(message)
        arrival = max(arrival, self.arrivals.get(link, 0.0))
        self.arrivals[link] = arrival
        return arrival


def _write_time_s(message):
    if isinstance(message, AppendRequest):
        return len(message.entries) * ENTRY_WRITE_S
    return ENTRY_WRITE_S * isinstance(message, SnapshotRequest)
