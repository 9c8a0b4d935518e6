"""Selection of the instance to promote, among those that are fenced."""

from lovagewalk.catalogue import Endpoint, GroupConfig, Voter
from lovagewalk.node import NodeState

from ._state import Failover, FencedInstance

# For this time, several polls of 50 ms, the choice waits for a fence quorum without the
# failed primary, or for the target of a switch to be fenced. Such a quorum is enough,
# so the choice does not wait for the failed primary to step down.
FENCE_GRACE_S = 0.3


def choose_primary(
    state: NodeState, failover: Failover, config: GroupConfig, now: float
) -> FencedInstance | None:
    """Return the most advanced of the fenced voters.

    None means that too few are fenced, or that others may still be fenced within
    `FENCE_GRACE_S`.

    A fence quorum without the failed primary is preferred. Where the quorum needs
    that primary, it may be the only one that holds every acknowledged write.
    """
    voters = config.voters or failover.voters
    quorum = config.fence_quorum if config.voters else len(voters)
    fenced = [
        instance
        for instance in failover.fenced
        if Voter(instance.endpoint, instance.status.incarnation) in voters
    ]
    within_grace = now - failover.started_at < FENCE_GRACE_S
    if len(fenced) < quorum:
        return None
    if failover.target and within_grace and not _has_endpoint(fenced, failover.target):
        return None
    without_failed = [
        instance for instance in fenced if instance.endpoint != failover.failed_primary
    ]
    if len(without_failed) < quorum and within_grace and not failover.target:
        return None
    candidates = fenced
    if len(without_failed) >= quorum and not failover.target:
        candidates = without_failed
    endpoints = state.catalogue.group_endpoints(failover.group)
    return max(
        candidates,
        key=lambda instance: (
            instance.status.last_term,
            instance.status.index,
            not state.catalogue.is_evacuated(instance.endpoint),
            *_placement_key(instance, failover, config, endpoints),
        ),
    )


def _placement_key(
    instance: FencedInstance,
    failover: Failover,
    config: GroupConfig,
    endpoints: tuple[Endpoint, ...],
) -> tuple[bool, bool, bool, str]:
    """Return the sort key of a candidate by its placement.

    The target, or else the previous primary, is preferred, then a
    region with another instance to read from, then the region of the previous primary.
    """
    regions = {endpoint.name: endpoint.region for endpoint in endpoints}
    region = regions.get(instance.endpoint, "")
    region_size = sum(other == region for other in regions.values())
    preferred = failover.target or config.primary
    return (
        instance.endpoint == preferred,
        region_size > 1,
        region == regions.get(config.primary),
        instance.endpoint,
    )


def _has_endpoint(fenced: list[FencedInstance], name: str) -> bool:
    return any(instance.endpoint == name for instance in fenced)
