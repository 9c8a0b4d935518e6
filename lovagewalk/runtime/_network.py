"""What lies between this daemon and others: nothing, unless emulated.

Demos, benchmarks and tests emulate the latencies and cuts of a deployment here,
since all their daemons share one machine.
"""


class Network:
    """A network that adds no delay and cuts nothing off."""

    def delay_s(self, name: str) -> float:
        """Return the one-way delay to a daemon or endpoint, in seconds."""
        return 0.0

    def is_cut(self, name: str) -> bool:
        """Whether messages to and from a daemon or endpoint are lost."""
        return False
