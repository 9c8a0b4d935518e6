"""Pure rules over positions: quorum confirmation, translation, data age."""

from lovagewalk.catalogue import GroupConfig, Management, Voter
from lovagewalk.core import replace

from ._events import POLL_PERIOD_S
from ._state import (
    GroupView,
    InstanceStatus,
    InstanceView,
    LoopDelay,
    Position,
    PositionSample,
    Role,
)

MAX_SAMPLES = 64
# Spreads `MAX_SAMPLES` samples over the longest staleness that the users' sites accept.
SAMPLE_SPACING_S = 0.05
# Time without an answer after which a primary is suspect. A pause of 0.2 s at the
# primary causes no failover, see BENCHMARKS.md.
SUSPECT_AFTER_S = 0.4
# Time without a link to the primary after which a voter counts as unlinked. It is
# 0.1 s more than `SUSPECT_AFTER_S`, so that at least one more poll is answered.
UNLINKED_AFTER_S = 0.5
# Polls that are this far apart show that this daemon's own loop was delayed. Smaller
# delays count as silence, so that a busy daemon still suspects a primary in time.
LATE_POLL_S = 2 * POLL_PERIOD_S
# Longer than the time limits above; a delay that ended before has no effect on them.
DELAYS_KEPT_S = 1.0


def is_confirmed(view: GroupView, config: GroupConfig, position: Position) -> bool:
    """Whether enough voters hold `position` for it to survive a failover.

    The primary that produced the position counts as one of them.
    """
    if position.term != config.term:
        return False
    holders = 1 + sum(
        voter.name != config.primary and _voter_holds(view, voter, position)
        for voter in config.voters
    )
    return holders >= config.write_quorum


def _voter_holds(view: GroupView, voter: Voter, position: Position) -> bool:
    instance = view.instances.get(voter.name)
    if instance is None or instance.status is None:
        return False
    status = instance.status
    if status.incarnation != voter.incarnation or status.role is not Role.REPLICA:
        return False
    return status.term == position.term and status.index >= position.index


def translate_position(config: GroupConfig, position: Position) -> Position:
    """Express a position of an older term in the current term.

    A confirmed position lies at or before the next term's start, so it keeps
    its index; one beyond it was never acknowledged and is cut to the start.
    """
    if position.term >= config.term:
        return position
    index = position.index
    for start in config.starts:
        if start.term > position.term:
            index = min(index, start.position)
    return Position(config.term, index)


def resolve_position(config: GroupConfig, position: Position) -> Position | None:
    """Express an unconfirmed position in the installed term.

    None means that the history of the installed term may not contain it. A
    resolved position still has to be confirmed in the new term, since the
    promoted instance may be the only one that has it.
    """
    history = {position.term}
    for start in config.starts:
        if start.term <= position.term:
            continue
        if start.prior_term not in history or position.index > start.position:
            return None
        history.add(start.term)
    if position.term < config.term and config.term not in history:
        return None
    return Position(max(position.term, config.term), position.index)


def replica_has_applied(
    instance: InstanceView, config: GroupConfig, position: Position
) -> bool:
    """Whether a replica is known to have applied `position`."""
    status = instance.status
    if status is None or status.role is not Role.REPLICA:
        return False
    return (
        status.term == config.term == position.term and status.index >= position.index
    )


def add_sample(view: GroupView, sample: PositionSample) -> GroupView:
    """Store a primary's position, from which the age of replicas is computed."""
    if view.samples and sample.sent_at < view.samples[-1].sent_at:
        return view
    return replace(view, samples=(view.samples + (sample,))[-MAX_SAMPLES:])


def add_proof(view: GroupView, sent_at: float, position: Position) -> GroupView:
    """Store the position of an instance that is proven to be the primary.

    A sample within `SAMPLE_SPACING_S` of the last one adds little and is left out.
    """
    if view.samples and sent_at - view.samples[-1].sent_at < SAMPLE_SPACING_S:
        return view
    return add_sample(view, PositionSample(sent_at, position, verified=True))


def verify_samples(view: GroupView, term: int, sent_at: float) -> GroupView:
    """Mark the samples that a replica's answer to a poll sent at `sent_at` verifies.

    Samples are verified in order, so only the newest ones can be unverified.
    """
    first_unverified = len(view.samples)
    while first_unverified and not view.samples[first_unverified - 1].verified:
        first_unverified -= 1
    if first_unverified == len(view.samples):
        return view
    checked = tuple(
        replace(
            sample,
            verified=sample.position.term == term and sample.sent_at <= sent_at,
        )
        for sample in view.samples[first_unverified:]
    )
    return replace(view, samples=view.samples[:first_unverified] + checked)


def sample_since(view: GroupView, since: float) -> PositionSample | None:
    """Return the oldest verified sample that was taken at or after `since`.

    A log that holds its position holds every write that was acknowledged before
    `since`.
    """
    for sample in view.samples:
        if sample.verified and sample.sent_at >= since:
            return sample
    return None


def data_age(view: GroupView, status: InstanceStatus, now: float) -> float | None:
    """Return an upper bound of a replica's data age in seconds.

    Only this daemon's monotonic clock is used. None means that the age is unknown
    and counts as too old.
    """
    for sample in reversed(view.samples):
        if not sample.verified or sample.position.term != status.term:
            continue
        if sample.position.index <= status.index:
            return now - sample.sent_at
    return None


def record_poll(view: GroupView, now: float) -> GroupView:
    """Record that this daemon polls a group, and the delay of its loop before that."""
    if view.polled_at == now:
        return view
    delays = tuple(d for d in _find_delays(view, now) if now - d.end < DELAYS_KEPT_S)
    return replace(view, polled_at=now, delays=delays)


def _find_delays(view: GroupView, now: float) -> tuple[LoopDelay, ...]:
    """Return the delays of this daemon's loop, with one that lasts until now."""
    if not view.polled_at or now - view.polled_at < LATE_POLL_S:
        return view.delays
    return view.delays + (LoopDelay(view.polled_at + POLL_PERIOD_S, now),)


def _running_time(view: GroupView, since: float, now: float) -> float:
    """Return the time since `since` in which this loop was not delayed, in seconds."""
    delayed_s = sum(
        max(min(delay.end, now) - max(delay.start, since), 0.0)
        for delay in _find_delays(view, now)
    )
    return now - since - delayed_s


def is_primary_suspect(view: GroupView, config: GroupConfig, now: float) -> bool:
    """Whether this daemon suspects the primary to have failed.

    A primary is suspect when it has not answered for `SUSPECT_AFTER_S`, not counting
    the time in which this daemon could not receive its answer; when it
    answers but is no longer the installed primary, or when so few voters are
    linked to it that no write can be confirmed. A primary that a provider manages
    is suspect when a statement failed at it.
    """
    if config.management is Management.PROVIDER:
        return view.failed_at > 0 and view.term in (0, config.term)
    if not config.primary or view.term != config.term:
        return False
    if _running_time(view, view.term_installed_at, now) < SUSPECT_AFTER_S:
        return False
    primary = view.instances.get(config.primary)
    if primary is None or _running_time(view, primary.seen_at, now) >= SUSPECT_AFTER_S:
        return True
    if not _is_installed_primary(primary, config):
        return True
    return not _can_confirm(view, config, now)


def _is_installed_primary(primary: InstanceView, config: GroupConfig) -> bool:
    status = primary.status
    if status is None:
        return False
    is_known = any(
        voter.name == config.primary and voter.incarnation == status.incarnation
        for voter in config.voters
    )
    return is_known and status.role is Role.PRIMARY


def _can_confirm(view: GroupView, config: GroupConfig, now: float) -> bool:
    unlinked = 0
    for voter in config.voters:
        instance = view.instances.get(voter.name)
        if voter.name == config.primary or instance is None:
            continue
        is_answering = _running_time(view, instance.seen_at, now) < SUSPECT_AFTER_S
        unlinked_s = _running_time(view, instance.linked_at, now)
        if is_answering and unlinked_s >= UNLINKED_AFTER_S:
            unlinked += 1
    return unlinked < config.fence_quorum
