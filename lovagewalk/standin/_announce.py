"""Announces an instance to daemons, again and again until it leaves."""

import json
import logging
from dataclasses import dataclass

import aiohttp

from lovagewalk.core import TimerService
from lovagewalk.edge._operators import SIGNATURE_HEADER, sign_announcement

# A change of address is known within it.
ANNOUNCE_PERIOD_S = 2.0
# Until the first announcement is accepted.
FIRST_PERIOD_S = 0.2
# More than an election of control.
REQUEST_TIMEOUT_S = 3.0

log = logging.getLogger("lovagewalk.standin")


@dataclass(frozen=True, slots=True)
class Announcement:
    """What an instance says of itself."""

    name: str
    group: str
    host: str
    port: int
    zone: str
    region: str
    connections: int
    leaving: bool = False
    sequence: int = 1

    def to_body(self) -> bytes:
        """Return the signed part of the request."""
        fields = {name: getattr(self, name) for name in self.__slots__}
        return json.dumps(fields).encode()


async def announce_once(daemon: str, secret: str, announcement: Announcement) -> bool:
    """Send one announcement to a daemon; return whether it was accepted."""
    body = announcement.to_body()
    headers = {SIGNATURE_HEADER: sign_announcement(secret, body)}
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            url = f"http://{daemon}/announce"
            async with session.post(url, data=body, headers=headers) as response:
                return response.status == 200
    except (aiohttp.ClientError, TimeoutError) as exc:
        log.debug("standin: %s does not answer: %r", daemon, exc)
        return False


async def announce_always(
    daemons: tuple[str, ...],
    secret: str,
    announcement: Announcement,
    timer: TimerService,
) -> None:
    """Announce to one daemon after another until cancelled."""
    turn = 0
    while True:
        daemon = daemons[turn % len(daemons)]
        accepted = await announce_once(daemon, secret, announcement)
        turn += 0 if accepted else 1
        await timer.sleep(ANNOUNCE_PERIOD_S if accepted else FIRST_PERIOD_S)


def next_sequence(now: float) -> int:
    """Return a sequence that grows from start to start of an instance."""
    return int(now * 1000)
