"""Selection of the instance to promote, among those that are fenced."""

from lovagewalk.catalogue import Endpoint, GroupConfig, Voter
from lovagewalk.node import NodeState

from ._state import Failover, Fenced

# How long a quorum without the failed primary, or the fencing of a switch's target,
# is waited for: several polls of 50 ms. A primary that steps down in the meantime
# is not waited for.
OUSTED_GRACE_S = 0.3


def choose_primary(
    state: NodeState, failover: Failover, config: GroupConfig, now: float
) -> Fenced | None:
    """Return the most advanced of the fenced voters, or None if there are too few.

    A fence quorum without the failed primary is preferred. Where the quorum needs
    that primary, it may be the only one that holds every acknowledged write.
    """
    voters = config.voters or failover.voters
    needed = config.fence_quorum if config.voters else len(voters)
    fenced = [
        item
        for item in failover.fenced
        if Voter(item.endpoint, item.status.incarnation) in voters
    ]
    in_time = now - failover.started_at < OUSTED_GRACE_S
    if len(fenced) < needed:
        return None
    if failover.target and in_time and not _is_in(fenced, failover.target):
        return None
    others = [item for item in fenced if item.endpoint != failover.ousted]
    if len(others) < needed and in_time and not failover.target:
        return None
    candidates = fenced
    if len(others) >= needed and not failover.target:
        candidates = others
    endpoints = state.catalogue.group_endpoints(failover.group)
    return max(candidates, key=lambda item: _rank(item, failover, config, endpoints))


def _rank(
    item: Fenced,
    failover: Failover,
    config: GroupConfig,
    endpoints: tuple[Endpoint, ...],
) -> tuple[int, int, bool, bool, bool, str]:
    """Return the sort key of a candidate: its log position, then its placement.

    A region with another instance to read from is preferred, then the region of
    the previous primary.
    """
    regions = {endpoint.name: endpoint.region for endpoint in endpoints}
    region = regions.get(item.endpoint, "")
    neighbours = sum(other == region for other in regions.values())
    wanted = failover.target or config.primary
    return (
        item.status.last_term,
        item.status.index,
        item.endpoint == wanted,
        neighbours > 1,
        region == regions.get(config.primary),
        item.endpoint,
    )


def _is_in(fenced: list[Fenced], name: str) -> bool:
    return any(item.endpoint == name for item in fenced)
