"""Heartbeats of endpoints: only changes go through the log."""

from lovagewalk.catalogue import (
    AnnounceEndpoint,
    ChangeResult,
    ForgetEndpoint,
    Proposal,
)
from lovagewalk.core import Step
from lovagewalk.node import NodeState

from . import _proposals
from ._effects import AnswerRequester
from ._events import EndpointHeartbeat, EndpointLeft


def on_heartbeat(state: NodeState, event: EndpointHeartbeat) -> Step[NodeState]:
    """Acknowledge a heartbeat that changes nothing; propose any other.

    A heartbeat older than the one in the catalogue was delayed and changes nothing.
    """
    endpoint = event.endpoint
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
    """Propose the removal of an endpoint that reports that it has left."""
    if event.name not in state.catalogue.endpoints:
        result = ChangeResult(state.catalogue.revision)
        return Step(state, (AnswerRequester(event.ticket, result),))
    proposal = Proposal("", f"endpoint {event.name}", 0.0, ForgetEndpoint(event.name))
    return _proposals.request_change(state, event.ticket, proposal, event.at)
