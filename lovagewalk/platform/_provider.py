"""Client of the provider, which promotes instances."""

import logging

from lovagewalk.control import PromoteInstance, PromotionAnswered, PromotionOutcome
from lovagewalk.runtime import Ports, send_request
from lovagewalk.settings import Address

# The provider answers in about 12 ms; a call without an answer is repeated.
CALL_TIMEOUT_S = 1.0
HOLDER_HEADER = "Lovagewalk-Lease-Holder"
FENCE_HEADER = "Lovagewalk-Fencing-Token"

log = logging.getLogger("lovagewalk.provider")


class ProviderClient:
    """Sends promotion orders to the provider."""

    def __init__(self, ports: Ports, address: Address | None) -> None:
        self._ports = ports
        self._address = address

    async def promote(self, effect: PromoteInstance) -> None:
        """Order a promotion and report the outcome."""
        outcome = await self._send_order(effect)
        log.info(
            "provider: promotion ordered",
            extra={
                "group": effect.group,
                "endpoint": effect.endpoint,
                "fence": effect.fence,
                "outcome": outcome.value,
            },
        )
        self._ports.feed(
            PromotionAnswered(
                self._ports.now(), effect.group, effect.endpoint, effect.fence, outcome
            )
        )

    async def _send_order(self, effect: PromoteInstance) -> PromotionOutcome:
        if self._address is None:
            log.error("provider: no address in the settings")
            return PromotionOutcome.UNKNOWN
        headers = {HOLDER_HEADER: effect.lease_holder, FENCE_HEADER: str(effect.fence)}
        body = {"service": effect.group, "id": effect.endpoint}
        try:
            status = await send_request(
                self._address, "POST", "/promote", headers, body, CALL_TIMEOUT_S
            )
        except (OSError, TimeoutError) as exc:
            log.warning("provider: no answer: %r", exc)
            return PromotionOutcome.UNKNOWN
        if status == 200:
            return PromotionOutcome.ACCEPTED
        return PromotionOutcome.REFUSED if status == 409 else PromotionOutcome.UNKNOWN
