"""The network between this daemon and the others; it emulates nothing by default.

Demos, benchmarks and tests run all their daemons on one machine, so they emulate the
delays and partitions of a deployment with a subclass.
"""


class Network:
    """A network without added delays or partitions."""

    def delay_s(self, name: str) -> float:
        """Return the one-way delay to a daemon or endpoint, in seconds."""
        return 0.0

    def is_unreachable(self, name: str) -> bool:
        """Return whether messages to and from a daemon or endpoint are lost."""
        return False
