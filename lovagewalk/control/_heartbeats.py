"""Heartbeats of endpoints: only changes go through the log."""

from lovagewalk.catalogue import (
    AnnounceEndpoint,
    ChangeResult,
    ForgetEndpoint,
    Proposal,
)
from lovagewalk.core import Code, Refusal, Step
from lovagewalk.node import NodeState

from . import _proposals
from ._effects import AnswerRequester
from ._events import EndpointHeartbeat, EndpointLeft
from ._leader import is_informed_leader


def on_heartbeat(state: NodeState, event: EndpointHeartbeat) -> Step[NodeState]:
    """Acknowledge a heartbeat that changes nothing; propose any other.

    A heartbeat older than the one in the catalogue was delayed and changes nothing. One
    of a group that no configuration has named is not from an instance to use.
    """
    endpoint = event.endpoint
    catalogue = state.catalogue
    if catalogue.version and endpoint.group not in catalogue.groups:
        refusal = Refusal(Code.CHANGE_BAD, "no configuration names its group")
        return Step(state, (AnswerRequester(event.ticket, ChangeResult(0, refusal)),))
    current = state.catalogue.endpoints.get(endpoint.name)
    changes_nothing = current is not None and (
        endpoint.has_same_content(current)
        or endpoint.announcement_order <= current.announcement_order
    )
    if changes_nothing:
        result = ChangeResult(state.catalogue.revision)
        return Step(state, (AnswerRequester(event.ticket, result),))
    proposal = Proposal(
        "", f"endpoint {endpoint.name}", 0.0, AnnounceEndpoint(endpoint)
    )
    return _proposals.request_change(state, event.ticket, proposal, event.at)


def on_endpoint_left(state: NodeState, event: EndpointLeft) -> Step[NodeState]:
    """Propose the removal of an endpoint that reports that it has left.

    Only a leader that has caught up knows that there is nothing to remove.
    """
    if is_informed_leader(state) and event.name not in state.catalogue.endpoints:
        result = ChangeResult(state.catalogue.revision)
        return Step(state, (AnswerRequester(event.ticket, result),))
    proposal = Proposal("", f"endpoint {event.name}", 0.0, ForgetEndpoint(event.name))
    return _proposals.request_change(state, event.ticket, proposal, event.at)
