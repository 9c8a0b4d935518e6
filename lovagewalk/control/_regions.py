"""Which entry daemons share narrow links, and the regions that they report from."""

from ._state import FOLLOWER_LOST_S, ControlState, Follower


def serves_narrow_links(control: ControlState, now: float) -> bool:
    """Whether every entry daemon that reports to this leader has a narrow link."""
    daemons = _find_entry_daemons(control, now)
    return bool(daemons) and all(d.request.low_bandwidth for d in daemons)


def _find_entry_daemons(control: ControlState, now: float) -> tuple[Follower, ...]:
    """Return the daemons that serve callers and reported within `FOLLOWER_LOST_S`."""
    return tuple(
        follower
        for follower in control.followers.values()
        if follower.request.entry and now - follower.seen_at < FOLLOWER_LOST_S
    )
