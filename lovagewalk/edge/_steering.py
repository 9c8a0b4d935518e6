"""Performs orders to instances: fence, promote, follow, catch up."""

from collections.abc import Callable

from lovagewalk.control import InstanceSteered, Order, SteerInstance
from lovagewalk.groups import InstanceStatus, Position
from lovagewalk.runtime import Network, Ports

from ._group_client import (
    CLIENT_ERRORS,
    Credentials,
    StatusChannel,
    fence_query,
    follow_query,
    promote_query,
    wait_query,
)

# As for a connection.
ORDER_TIMEOUT_S = 0.5
# A planned switch holds writers no longer for the candidate to catch up.
CATCH_UP_S = 0.3

_queries: dict[Order, Callable[[SteerInstance], str]] = {
    Order.FENCE: lambda effect: fence_query(effect.term),
    Order.PROMOTE: lambda effect: promote_query(effect.term),
    Order.FOLLOW: lambda effect: follow_query(
        effect.source_host, effect.source_port, effect.term
    ),
    Order.CATCH_UP: lambda effect: wait_query(
        Position(effect.wait_term, effect.index), CATCH_UP_S
    ),
}


class Steering:
    """Connections of a control VM by which it gives orders to instances."""

    def __init__(self, ports: Ports, credentials: Credentials, network: Network):
        self._ports = ports
        self._credentials = credentials
        self._network = network
        self._channels: dict[tuple[str, int], StatusChannel] = {}

    async def order(self, effect: SteerInstance) -> None:
        """Give an order and report the answer."""
        status = await self._ask(effect)
        self._ports.feed(
            InstanceSteered(
                self._ports.now(),
                effect.group,
                effect.endpoint,
                effect.order,
                effect.term,
                status,
            )
        )

    async def _ask(self, effect: SteerInstance) -> InstanceStatus | None:
        if self._network.is_unreachable(effect.endpoint):
            return None
        delay = self._network.delay_s(effect.endpoint)
        if delay:
            await self._ports.timer.sleep(2 * delay)
        channel = self._take_channel(effect)
        try:
            answered = await channel.ask(
                _queries[effect.order](effect), ORDER_TIMEOUT_S
            )
        except CLIENT_ERRORS:
            return None
        self._channels.setdefault((effect.host, effect.port), channel)
        return answered.status if answered.accepted else None

    def _take_channel(self, effect: SteerInstance) -> StatusChannel:
        channel = self._channels.pop((effect.host, effect.port), None)
        if channel is not None:
            return channel
        return StatusChannel(
            effect.host, effect.port, self._credentials, self._ports.timer
        )

    def close(self) -> None:
        """Close all connections."""
        for channel in self._channels.values():
            channel.close()
