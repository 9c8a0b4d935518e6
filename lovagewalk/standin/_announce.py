"""Announces an instance to the daemons periodically until it leaves."""

import json
import logging
from dataclasses import dataclass

import aiohttp

from lovagewalk.core import TimerService
from lovagewalk.edge._operators import SIGNATURE_HEADER, sign_announcement

# A daemon learns of a changed address within this period.
ANNOUNCE_PERIOD_S = 2.0
# The next daemon is tried after this delay if an announcement is not accepted.
RETRY_DELAY_S = 0.2
# The timeout is longer than an election of the control leader.
REQUEST_TIMEOUT_S = 3.0

log = logging.getLogger("lovagewalk.standin")


@dataclass(frozen=True, slots=True)
class Announcement:
    """The announcement of an instance; field names are keys of the request.

    Attributes
    ----------
    connections : int
        Client connections that the instance accepts.
    leaving : bool
        Whether the instance is about to stop.
    sequence : int
        Number that orders the announcements of an instance.
    """

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
        """Return the body of the request, which the signature covers."""
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
        log.debug("standin: announcement to %s failed: %r", daemon, exc)
        return False


async def announce_periodically(
    daemons: tuple[str, ...],
    secret: str,
    announcement: Announcement,
    timer: TimerService,
) -> None:
    """Announce until cancelled, to the next daemon if one does not accept."""
    failures = 0
    while True:
        daemon = daemons[failures % len(daemons)]
        accepted = await announce_once(daemon, secret, announcement)
        failures += 0 if accepted else 1
        await timer.sleep(ANNOUNCE_PERIOD_S if accepted else RETRY_DELAY_S)


def next_sequence(now: float) -> int:
    """Return `now` in milliseconds, a number that grows across restarts."""
    return int(now * 1000)
