"""HTTP handlers for operators, endpoints and the load balancer."""

from collections.abc import Callable, Mapping
from urllib.parse import unquote

from lovagewalk.control import (
    EndpointHeartbeat,
    EndpointLeft,
    build_evacuation,
    is_ready,
)
from lovagewalk.core import Code, Event
from lovagewalk.runtime import (
    HttpRequest,
    HttpResponse,
    Ports,
    json_response,
)
from lovagewalk.settings import parse_address

from ._configuration import OPERATOR, decode_configuration, decode_heartbeat
from ._settings import PlatformSettings

# Shorter than the time in which the platform expects an acknowledgement.
CHANGE_TIMEOUT_S = 4.0
# An endpoint that is not answered within a second contacts another daemon.
HEARTBEAT_TIMEOUT_S = 0.9
READY_PATH = "/lovagewalk/readyz"
CONFIG_PATH = "/lovagewalk/config"
INSTANCE_PATH = "/lovagewalk/instances/"
EVACUATION_PATH = "/lovagewalk/drain/"


class HttpHandlers:
    """Handles the HTTP requests to one daemon."""

    def __init__(self, ports: Ports, cfg: PlatformSettings) -> None:
        self._ports = ports
        self._cfg = cfg

    async def handle_health(self, request: HttpRequest) -> HttpResponse:
        """Answer a readiness check of the load balancer."""
        if request.path != READY_PATH:
            return HttpResponse(404)
        state = self._ports.state
        ready = is_ready(state, self._ports.now()) and state.catalogue.version > 0
        return HttpResponse(200 if ready else 503)

    async def handle_control(self, request: HttpRequest) -> HttpResponse:
        """Answer a request of an operator or an endpoint."""
        if request.path == CONFIG_PATH and request.method == "PUT":
            return await self._put_configuration(request)
        if request.path == CONFIG_PATH and request.method == "GET":
            return await self._get_configuration()
        if request.path.startswith(INSTANCE_PATH):
            name = request.path.removeprefix(INSTANCE_PATH)
            if request.method == "PUT":
                return await self._record_heartbeat(name, request.body)
            if request.method == "DELETE":
                return await self._remove_endpoint(name)
        is_evacuation = request.path.startswith(EVACUATION_PATH)
        if is_evacuation and request.method in ("POST", "DELETE"):
            return await self._set_evacuation(request)
        return HttpResponse(404)

    async def _put_configuration(self, request: HttpRequest) -> HttpResponse:
        command = decode_configuration(request.body)
        result = await self._ports.pending_requests.propose(
            command, OPERATOR, CHANGE_TIMEOUT_S
        )
        return json_response(200, {"version": result.revision})

    async def _set_evacuation(self, request: HttpRequest) -> HttpResponse:
        zone = unquote(request.path.removeprefix(EVACUATION_PATH))
        evacuated = request.method == "POST"
        command = build_evacuation(self._ports.state, zone, evacuated)
        await self._ports.pending_requests.propose(command, OPERATOR, CHANGE_TIMEOUT_S)
        return json_response(200, {"zone": zone, "evacuated": evacuated})

    async def _get_configuration(self) -> HttpResponse:
        """Return the latest configuration, as the operator sent it."""
        catalogue = await self._ports.pending_requests.read_catalogue(True)
        return HttpResponse(200, catalogue.document)

    async def _record_heartbeat(self, name: str, body: bytes) -> HttpResponse:
        endpoint = decode_heartbeat(name, body, self._cfg.regions)
        return await self._acknowledge(
            lambda ticket: EndpointHeartbeat(self._ports.now(), ticket, endpoint),
            Code.CHANGE_CONFLICT,
        )

    async def _remove_endpoint(self, name: str) -> HttpResponse:
        return await self._acknowledge(
            lambda ticket: EndpointLeft(self._ports.now(), ticket, name),
            Code.CHANGE_BAD,
        )

    async def _acknowledge(
        self, build_event: Callable[[int], Event], outdated: Code
    ) -> HttpResponse:
        """Answer an endpoint; a refusal of an outdated report acknowledges it too."""
        await self._ports.pending_requests.change(
            build_event, HEARTBEAT_TIMEOUT_S, outdated
        )
        return json_response(200, self._leader_address())

    def _leader_address(self) -> Mapping[str, str]:
        """Return the leader's address, so that later heartbeats need no forwarding."""
        raft = self._ports.state.consensus
        if raft is None or not raft.leader:
            return {}
        host, _ = parse_address(raft.leader)
        return {"heartbeatAddr": f"{host}:{self._cfg.operators.port}"}
