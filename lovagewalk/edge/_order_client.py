"""Sends orders to instances: fence, promote, follow, catch up."""

from collections.abc import Callable

from lovagewalk.control import Order, OrderAnswered, SendOrder
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

# The same as the timeout for opening a connection.
ORDER_TIMEOUT_S = 0.5
# Limits the time for which a planned switch blocks writers while the target
# catches up.
CATCH_UP_TIMEOUT_S = 0.3

_QUERIES_BY_ORDER: dict[Order, Callable[[SendOrder], str]] = {
    Order.FENCE: lambda effect: fence_query(effect.term),
    Order.PROMOTE: lambda effect: promote_query(effect.term),
    Order.FOLLOW: lambda effect: follow_query(
        effect.source_host, effect.source_port, effect.term
    ),
    Order.CATCH_UP: lambda effect: wait_query(
        Position(effect.catch_up_term, effect.catch_up_index), CATCH_UP_TIMEOUT_S
    ),
}


class OrderClient:
    """Connections by which a control VM sends orders to instances."""

    def __init__(self, ports: Ports, credentials: Credentials, network: Network):
        self._ports = ports
        self._credentials = credentials
        self._network = network
        self._channels: dict[tuple[str, int], StatusChannel] = {}

    async def send(self, effect: SendOrder) -> None:
        """Send an order and feed the answer to the reducer."""
        status = await self._execute(effect)
        self._ports.feed(
            OrderAnswered(
                self._ports.now(),
                effect.group,
                effect.endpoint,
                effect.order,
                effect.term,
                status,
            )
        )

    async def _execute(self, effect: SendOrder) -> InstanceStatus | None:
        if self._network.is_unreachable(effect.endpoint):
            return None
        delay = self._network.delay_s(effect.endpoint)
        if delay:
            await self._ports.timer.sleep(2 * delay)
        channel = self._acquire_channel(effect)
        try:
            answer = await channel.query(
                _QUERIES_BY_ORDER[effect.order](effect), ORDER_TIMEOUT_S
            )
        except CLIENT_ERRORS:
            return None
        self._release_channel(effect, channel)
        return answer.status if answer.accepted else None

    def _acquire_channel(self, effect: SendOrder) -> StatusChannel:
        channel = self._channels.pop((effect.host, effect.port), None)
        if channel is not None:
            return channel
        return StatusChannel(
            effect.host, effect.port, self._credentials, self._ports.timer
        )

    def _release_channel(self, effect: SendOrder, channel: StatusChannel) -> None:
        """Keep a channel for the next order, unless one is kept already."""
        address = (effect.host, effect.port)
        if address in self._channels:
            channel.close()
        else:
            self._channels[address] = channel

    def close(self) -> None:
        """Close all connections."""
        for channel in self._channels.values():
            channel.close()
