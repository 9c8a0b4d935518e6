"""When a primary that still serves may be moved out of an evacuated zone."""

from lovagewalk.catalogue import GroupConfig
from lovagewalk.core import replace
from lovagewalk.groups import Role, get_view
from lovagewalk.node import NodeState

from ._state import ControlState, PromotionStage
from ._survey import answers_needed

# The provider accepts 50 calls a second; the rest is left to lost primaries.
MOVE_ORDERS_PER_S = 40
ORDER_WINDOW_S = 1.0
# A replica that can take over has answered one of the last two polls, 0.3 s apart.
REPLICA_UNRESPONSIVE_S = 0.6
_BEFORE_ORDER = frozenset((PromotionStage.ALLOCATE, PromotionStage.SURVEY))


def can_take_over(state: NodeState, config: GroupConfig, now: float) -> bool:
    """Whether a replica outside the evacuated zones can take over.

    Where replicas confirm commits, enough have to answer for the survey to end, since
    it stops commits, and one outside has to hold as much as the others.
    """
    view = get_view(state, config.name)
    replica_count = 0
    positions: list[tuple[int, int]] = []
    outside: list[tuple[int, int]] = []
    for endpoint in state.catalogue.group_endpoints(config.name):
        if endpoint.name == config.primary:
            continue
        replica_count += 1
        instance = view.instances.get(endpoint.name)
        status = instance.status if instance is not None else None
        if status is None or status.role is not Role.REPLICA:
            continue
        if now - instance.seen_at >= REPLICA_UNRESPONSIVE_S:
            continue
        position = (status.last_term, status.index)
        positions.append(position)
        if not endpoint.leaving and not state.catalogue.is_evacuated(endpoint.name):
            outside.append(position)
    if not outside or not config.sync_replicas:
        return bool(outside)
    is_enough = len(positions) >= answers_needed(config, replica_count)
    return is_enough and max(outside) >= max(positions)


def may_start_move(control: ControlState, now: float) -> bool:
    """Whether the provider has room for the order of one more move."""
    surveyed = sum(
        promotion.stage in _BEFORE_ORDER for promotion in control.promotions.values()
    )
    return _count_orders(control, now) + surveyed < MOVE_ORDERS_PER_S


def may_order(state: NodeState, config: GroupConfig, now: float) -> bool:
    """Whether an order may be sent now; only those of moves are limited."""
    if not state.catalogue.is_evacuated(config.primary):
        return True
    return _count_orders(state.control, now) < MOVE_ORDERS_PER_S


def _count_orders(control: ControlState, now: float) -> int:
    return sum(now - at < ORDER_WINDOW_S for at in control.recent_orders)


def record_order(state: NodeState, now: float) -> NodeState:
    """Record that an order is sent to the provider."""
    control: ControlState = state.control
    recent = tuple(at for at in control.recent_orders if now - at < ORDER_WINDOW_S)
    return replace(state, control=replace(control, recent_orders=recent + (now,)))
