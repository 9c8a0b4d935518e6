"""Requests of operators to evacuate a zone, as commands for the control log."""

from lovagewalk.catalogue import SetZoneEvacuation
from lovagewalk.node import NodeState


def build_evacuation(state: NodeState, zone: str, evacuated: bool) -> SetZoneEvacuation:
    """Return the command for a request that arrives at this VM."""
    return SetZoneEvacuation(
        zone,
        evacuated,
        in_settings=zone in state.identity.zones,
        seen=state.catalogue.revision,
    )
