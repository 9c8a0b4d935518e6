"""Readiness of a daemon for callers, and whether it has finished draining."""

from lovagewalk.node import NodeState
from lovagewalk.routing import refuses_operations
from lovagewalk.sessions import TransactionState

# Up to this number of customers, a daemon requests shares before their first use.
# A report of 64 customers takes 6 kB, see CAPACITY.md.
MAX_EAGER_CUSTOMERS = 64


def is_leaving(state: NodeState, now: float) -> bool:
    """Whether this daemon accepts no operations any more and has none in progress.

    Until then a draining daemon still needs its shares.
    """
    return refuses_operations(state, now) and all(
        session.transaction is TransactionState.NONE
        for session in state.sessions.values()
    )


def holds_shares(state: NodeState) -> bool:
    """Whether this daemon holds a share of every customer's rate.

    With more than `MAX_EAGER_CUSTOMERS`, shares are requested at their first use, so
    that none has to be held before.
    """
    if len(state.catalogue.customers) > MAX_EAGER_CUSTOMERS:
        return True
    shares = (state.shares.get(name) for name in state.catalogue.customers)
    return all(share and (share.rate > 0 or share.on_demand) for share in shares)


def is_ready(state: NodeState, now: float) -> bool:
    """Whether the load balancer may send callers to this daemon.

    Without a fresh catalogue, or before it first had shares of the customers'
    rates, a daemon would refuse operations that another one could serve. A customer
    that is added later does not make the daemon unready again.
    """
    if state.draining or now >= state.fresh_until:
        return False
    return state.follow.has_held_shares
