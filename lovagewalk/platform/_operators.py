"""HTTP towards operators, endpoints, the balancer and whoever reads metrics."""

import asyncio
import json
import logging
from collections.abc import Callable, Mapping
from typing import Any

from aioprometheus import render

from lovagewalk.catalogue import ChangeResult, Endpoint, Proposal
from lovagewalk.control import (
    AnswerOperator,
    ChangeRequested,
    EndpointBeat,
    EndpointLeft,
    StopDaemon,
    is_ready,
)
from lovagewalk.core import Code, Event, LovageError, performs
from lovagewalk.runtime import Ports
from lovagewalk.settings import parse_address

from ._configuration import OPERATOR, decode_configuration
from ._http import HttpRequest, HttpResponse, json_response
from ._settings import PlatformSettings

# Shorter than the time after which the platform expects an acknowledgement.
CHANGE_LIMIT_S = 4.0
# An endpoint turns to another daemon after a second.
BEAT_LIMIT_S = 0.9
READY_PATH = "/lovagewalk/readyz"
CONFIG_PATH = "/lovagewalk/config"
INSTANCE_PATH = "/lovagewalk/instances/"
METRICS_PATH = "/metrics"
MAX_REPLY_BYTES = 4096
_LEAVING = {"ready": False, "draining": True}

log = logging.getLogger("lovagewalk.operators")

# Codes that leave open whether a change has been made; the caller sends it again.
_UNDECIDED = frozenset((Code.NOT_LEADER, Code.CHANGE_UNKNOWN))


class Operators:
    """What a daemon answers over HTTP."""

    def __init__(self, ports: Ports, cfg: PlatformSettings) -> None:
        self._ports = ports
        self._cfg = cfg
        self._waiting: dict[int, asyncio.Future] = {}
        self.stopped = asyncio.Event()

    def answer(self, effect: AnswerOperator) -> None:
        """Answer a waiting request."""
        fut = self._waiting.get(effect.ticket)
        if fut is not None and not fut.done():
            fut.set_result(effect.result)

    async def _ask(
        self, build: Callable[[int], Event], limit_s: float
    ) -> ChangeResult | None:
        """Feed an event with a ticket; None if no answer came in time."""
        ticket = next(self._ports.numbers)
        fut = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = fut
        try:
            self._ports.feed(build(ticket))
            async with asyncio.timeout(limit_s):
                return await fut
        except TimeoutError:
            return None
        finally:
            del self._waiting[ticket]

    async def handle_health(self, request: HttpRequest) -> HttpResponse:
        """Answer the balancer."""
        if request.path != READY_PATH:
            return HttpResponse(404)
        state = self._ports.state
        ready = is_ready(state, self._ports.now()) and state.catalogue.version > 0
        return HttpResponse(200 if ready else 503)

    async def handle_metrics(self, request: HttpRequest) -> HttpResponse:
        """Answer whoever reads metrics."""
        if request.path != METRICS_PATH:
            return HttpResponse(404)
        ports = self._ports
        ports.metrics.collect_state(ports.state, ports.now(), ports.peers.sent_bytes)
        body, headers = render(ports.metrics.registry, [])
        return HttpResponse(200, body, headers["Content-Type"])

    async def handle_control(self, request: HttpRequest) -> HttpResponse:
        """Answer operators and endpoints."""
        if request.path == CONFIG_PATH and request.method == "PUT":
            return await self._put_configuration(request)
        if request.path == CONFIG_PATH and request.method == "GET":
            return self._get_configuration()
        if request.path.startswith(INSTANCE_PATH):
            name = request.path.removeprefix(INSTANCE_PATH)
            if request.method == "PUT":
                return await self._beat(name, request.body)
            if request.method == "DELETE":
                return await self._leave(name)
        return HttpResponse(404)

    async def _put_configuration(self, request: HttpRequest) -> HttpResponse:
        command = decode_configuration(request.body)
        proposal = Proposal("", OPERATOR, self._ports.wall_clock(), command)
        result = await self._ask(
            lambda ticket: ChangeRequested(self._ports.now(), ticket, proposal),
            CHANGE_LIMIT_S,
        )
        if result is None:
            return json_response(504, {"error": "not yet decided"})
        if result.refusal is None:
            return json_response(200, {"version": result.revision})
        status = 503 if result.refusal.code in _UNDECIDED else 400
        return json_response(status, {"error": str(result.refusal)})

    def _get_configuration(self) -> HttpResponse:
        """Answer with the configuration, while it is known to be the latest."""
        state = self._ports.state
        if self._ports.now() >= state.fresh_until or not state.catalogue.version:
            return json_response(503, {"error": "the latest version is not known"})
        return HttpResponse(200, state.catalogue.document)

    async def _beat(self, name: str, body: bytes) -> HttpResponse:
        endpoint = self._decode_beat(name, body)
        result = await self._ask(
            lambda ticket: EndpointBeat(self._ports.now(), ticket, endpoint),
            BEAT_LIMIT_S,
        )
        return self._acknowledge(result)

    async def _leave(self, name: str) -> HttpResponse:
        result = await self._ask(
            lambda ticket: EndpointLeft(self._ports.now(), ticket, name),
            BEAT_LIMIT_S,
        )
        return self._acknowledge(result)

    def _acknowledge(self, result: ChangeResult | None) -> HttpResponse:
        if result is None:
            return json_response(503, {"error": "not yet decided"})
        if result.refusal is not None and result.refusal.code in _UNDECIDED:
            return json_response(503, {"error": str(result.refusal)})
        return json_response(200, self._later_address())

    def _later_address(self) -> Mapping[str, str]:
        """Name the leader, so that later heartbeats need no forwarding."""
        raft = self._ports.state.consensus
        if raft is None or not raft.leader:
            return {}
        host, _ = parse_address(raft.leader)
        return {"heartbeatAddr": f"{host}:{self._cfg.operators.port}"}

    def _decode_beat(self, name: str, body: bytes) -> Endpoint:
        """Return the endpoint that a heartbeat tells of.

        Raises
        ------
        LovageError
            ``CHANGE_BAD`` if fields are missing, of another type, or unknown.
        """
        try:
            return _decode_beat(name, json.loads(body), self._cfg.regions)
        except (ValueError, KeyError, TypeError, AttributeError) as exc:
            reason = f"heartbeat: {type(exc).__name__}"
            raise LovageError(Code.CHANGE_BAD, reason) from exc


def _decode_beat(
    name: str, raw: Mapping[str, Any], regions: Mapping[str, str]
) -> Endpoint:
    texts = [raw[key] for key in ("service", "addr", "zone", "state")]
    numbers = [raw["seq"], raw.get("born", 0)]
    if not name or not all(isinstance(text, str) and text for text in texts):
        raise TypeError("text")
    if not all(type(number) is int for number in numbers):
        raise TypeError("number")
    service, address, zone, state = texts
    host, port = parse_address(address)
    return Endpoint(
        name=name,
        group=service,
        host=host,
        port=port,
        zone=zone,
        region=regions.get(zone, zone),
        connections=0,
        leaving=_LEAVING[state],
        sequence=raw["seq"],
        born=raw.get("born", 0),
    )


@performs(AnswerOperator)
def _answer_operator(ports: Ports, effect: AnswerOperator) -> None:
    ports.operators.answer(effect)


@performs(StopDaemon)
def _stop_daemon(ports: Ports, effect: StopDaemon) -> None:
    ports.operators.stopped.set()
