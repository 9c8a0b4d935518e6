"""Whether a daemon may be sent callers, and whether it has none left."""

from lovagewalk.node import NodeState
from lovagewalk.routing import is_closed
from lovagewalk.sessions import TransactionState

# A report of 64 customers takes 6 kB, see CAPACITY.md.
MAX_EAGER_CUSTOMERS = 64


def is_leaving(state: NodeState, now: float) -> bool:
    """Whether this daemon takes no operation any more and has none left.

    Until then it needs its shares, though it drains already.
    """
    return is_closed(state, now) and all(
        session.transaction is TransactionState.NONE
        for session in state.sessions.values()
    )


def holds_shares(state: NodeState) -> bool:
    """Whether this daemon holds a share of every customer's rate."""
    if len(state.catalogue.customers) > MAX_EAGER_CUSTOMERS:
        return True
    shares = (state.shares.get(name) for name in state.catalogue.customers)
    return all(share and (share.rate > 0 or share.on_demand) for share in shares)


def is_ready(state: NodeState, now: float) -> bool:
    """Whether the balancer may send callers here.

    Without a fresh catalogue, or before it first had shares of the customers'
    rates, a daemon would refuse what another one could serve. A customer that
    is added later does not take the daemon out again.
    """
    if state.draining or now >= state.fresh_until:
        return False
    return state.follow.has_started
