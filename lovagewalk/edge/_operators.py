"""HTTP server for operators, endpoints, load balancers and metrics collectors."""

import hmac
import ipaddress
import uuid
from collections.abc import Awaitable, Callable
from hashlib import sha256
from typing import Any

from aiohttp import web

from lovagewalk.catalogue import AnnounceEndpoint, ChangeResult, Endpoint, Proposal
from lovagewalk.codec import command_from_dict, to_dict
from lovagewalk.control import (
    ChangeRequested,
    DrainRequested,
    SwitchRequested,
    build_evacuation,
    is_ready,
)
from lovagewalk.core import Code, LovageError, Refusal
from lovagewalk.runtime import Ports, render_metrics
from lovagewalk.settings import parse_json

# Time within which a change is required to take effect.
CHANGE_TIMEOUT_S = 5.0
# A request that changes one entry has a body of less than 2 kB.
MAX_BODY_BYTES = 64 * 1024
SIGNATURE_HEADER = "X-Lovagewalk-Signature"
MAX_REQUEST_ID_LENGTH = 128
OPERATOR_COMMANDS = frozenset(
    ("PutCustomer", "PutRoute", "IssueKey", "WithdrawKey", "ForgetEndpoint")
)

_HTTP_STATUSES = {
    Code.UNAUTHORISED: 401,
    Code.CHANGE_BAD: 400,
    Code.CHANGE_CONFLICT: 409,
    Code.NOT_LEADER: 503,
    Code.CHANGE_UNKNOWN: 504,
    Code.CONFIG_STALE: 503,
}


def sign_announcement(secret: str, body: bytes) -> str:
    """Return the HMAC-SHA256 signature of an announcement's body, in hex."""
    return hmac.new(secret.encode(), body, sha256).hexdigest()


class OperatorServer:
    """The HTTP server of a daemon."""

    def __init__(self, ports: Ports, operator_token: str, announce_secret: str):
        self._ports = ports
        self._operator_token = operator_token
        self._announce_secret = announce_secret
        self._runner: web.AppRunner | None = None

    async def listen(self, host: str, port: int) -> int:
        """Start to serve HTTP on an address and return the port."""
        app = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[self._convert_errors]
        )
        app.add_routes(
            [
                web.get("/health", self._health),
                web.get("/metrics", self._metrics),
                web.get("/status", self._status),
                web.get("/catalogue", self._catalogue),
                web.get("/audit", self._audit),
                web.post("/changes", self._change),
                web.post("/switch", self._switch),
                web.post("/drain", self._drain),
                web.post("/announce", self._announce),
                web.post("/evacuations/{zone}", self._evacuate),
                web.delete("/evacuations/{zone}", self._withdraw_evacuation),
            ]
        )
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port)
        try:
            await site.start()
        except OSError:
            await self._runner.cleanup()
            raise
        return site._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop the server."""
        if self._runner is not None:
            await self._runner.cleanup()

    @web.middleware
    async def _convert_errors(
        self, req: web.Request, handler: Callable[[web.Request], Awaitable[Any]]
    ) -> web.StreamResponse:
        try:
            return await handler(req)
        except LovageError as exc:
            status = _HTTP_STATUSES.get(exc.code, 400)
            return _refusal_response(exc.refusal, status)
        except (ValueError, TypeError, KeyError) as exc:
            refusal = Refusal(Code.CHANGE_BAD, f"malformed body: {type(exc).__name__}")
            return _refusal_response(refusal, 400)

    def _authorise(self, req: web.Request) -> None:
        authorization = req.headers.get("Authorization", "")
        if not hmac.compare_digest(
            authorization.encode(), f"Bearer {self._operator_token}".encode()
        ):
            raise LovageError(Code.UNAUTHORISED, "operator")

    async def _health(self, req: web.Request) -> web.Response:
        ready = is_ready(self._ports.state, self._ports.now())
        return web.Response(
            status=200 if ready else 503, text="ready" if ready else "not ready"
        )

    async def _metrics(self, req: web.Request) -> web.Response:
        accept_headers = req.headers.getall("Accept", [])
        body, headers = render_metrics(self._ports, accept_headers)
        return web.Response(body=body, headers=headers)

    async def _status(self, req: web.Request) -> web.Response:
        self._authorise(req)
        return web.json_response(build_status(self._ports))

    async def _catalogue(self, req: web.Request) -> web.Response:
        self._authorise(req)
        content = to_dict(await self._ports.pending_requests.read_catalogue())
        for key in content["keys"]:
            key["entry"]["digest"] = "left out"
        del content["results"]
        content["document"] = content["document"].decode(errors="replace")
        return web.json_response(content)

    async def _audit(self, req: web.Request) -> web.StreamResponse:
        self._authorise(req)
        if self._ports.audit is None:
            raise LovageError(Code.CHANGE_BAD, "only control VMs keep the trail")
        return web.FileResponse(self._ports.audit.path)

    async def _change(self, req: web.Request) -> web.Response:
        self._authorise(req)
        body = parse_json(await req.read(), Code.CHANGE_BAD)
        command = command_from_dict(body["command"])
        if type(command).__name__ not in OPERATOR_COMMANDS:
            raise LovageError(Code.CHANGE_BAD, "command is not the operators'")
        request_id = str(body.get("request_id") or uuid.uuid4().hex)
        if len(request_id) > MAX_REQUEST_ID_LENGTH:
            raise LovageError(Code.CHANGE_BAD, "request id too long")
        operator = str(body.get("operator", "operator"))[:MAX_REQUEST_ID_LENGTH]
        proposal = Proposal(request_id, operator, self._ports.wall_clock(), command)
        result = await self._propose(proposal)
        return _change_response(result, request_id)

    async def _propose(self, proposal: Proposal) -> ChangeResult:
        return await self._ports.pending_requests.submit(
            lambda ticket: ChangeRequested(self._ports.now(), ticket, proposal),
            CHANGE_TIMEOUT_S,
        )

    async def _switch(self, req: web.Request) -> web.Response:
        self._authorise(req)
        body = parse_json(await req.read(), Code.CHANGE_BAD)
        result = await self._ports.pending_requests.submit(
            lambda ticket: SwitchRequested(
                self._ports.now(), ticket, str(body["group"]), str(body["endpoint"])
            ),
            CHANGE_TIMEOUT_S,
        )
        return _change_response(result, "")

    async def _drain(self, req: web.Request) -> web.Response:
        self._authorise(req)
        self._ports.feed(DrainRequested(self._ports.now()))
        return web.json_response({"draining": True})

    async def _evacuate(self, req: web.Request) -> web.Response:
        return await self._set_evacuation(req, True)

    async def _withdraw_evacuation(self, req: web.Request) -> web.Response:
        return await self._set_evacuation(req, False)

    async def _set_evacuation(self, req: web.Request, evacuated: bool) -> web.Response:
        self._authorise(req)
        zone = req.match_info["zone"]
        command = build_evacuation(self._ports.state, zone, evacuated)
        operator = req.query.get("operator", "operator")[:MAX_REQUEST_ID_LENGTH]
        proposal = Proposal("", operator, self._ports.wall_clock(), command)
        return _change_response(await self._propose(proposal), "")

    async def _announce(self, req: web.Request) -> web.Response:
        body = await req.read()
        signature = req.headers.get(SIGNATURE_HEADER, "")
        expected = sign_announcement(self._announce_secret, body)
        if not hmac.compare_digest(signature.encode(), expected.encode()):
            raise LovageError(Code.UNAUTHORISED, "announcement")
        endpoint = _parse_endpoint(parse_json(body, Code.CHANGE_BAD))
        current = self._ports.state.catalogue.endpoints.get(endpoint.name)
        if current == endpoint:
            return _change_response(
                ChangeResult(self._ports.state.catalogue.revision), ""
            )
        request_id = f"announce/{endpoint.name}/{endpoint.sequence}"
        proposal = Proposal(
            request_id,
            f"endpoint {endpoint.name}",
            self._ports.wall_clock(),
            AnnounceEndpoint(endpoint),
        )
        return _change_response(await self._propose(proposal), request_id)


def _parse_endpoint(body: dict[str, Any]) -> Endpoint:
    return Endpoint(
        name=str(body["name"]),
        group=str(body["group"]),
        host=_parse_ip(body["host"]),
        port=int(body["port"]),
        zone=str(body["zone"]),
        region=str(body["region"]),
        connections=int(body["connections"]),
        leaving=bool(body["leaving"]),
        sequence=int(body["sequence"]),
    )


def _parse_ip(value: Any) -> str:
    """Return the text of an IP address.

    Raises
    ------
    ValueError
        If the value is not such a text.
    """
    if not isinstance(value, str):
        raise ValueError("host is not a text")
    return str(ipaddress.ip_address(value))


def _refusal_response(refusal: Refusal, status: int) -> web.Response:
    return web.json_response(
        {
            "code": refusal.code.label,
            "outcome": refusal.code.outcome.value,
            "error": str(refusal),
        },
        status=status,
    )


def _change_response(result: ChangeResult, request_id: str) -> web.Response:
    if result.refusal is not None:
        status = _HTTP_STATUSES.get(result.refusal.code, 400)
        response = _refusal_response(result.refusal, status)
        response.headers["X-Lovagewalk-Revision"] = str(result.revision)
        return response
    return web.json_response({"revision": result.revision, "request_id": request_id})


def build_status(ports: Ports) -> dict[str, Any]:
    """Return a summary of a daemon's state for operators."""
    state = ports.state
    raft = state.consensus
    return {
        "daemon": state.identity.name,
        "zone": state.identity.zone,
        "region": state.identity.region,
        "draining": state.draining,
        "revision": state.catalogue.revision,
        "evacuated_zones": sorted(state.catalogue.evacuated_zones),
        "fresh_s": round(max(state.fresh_until - ports.now(), 0.0), 3),
        "sessions": len(state.sessions),
        "requests": len(state.requests),
        "seeds": list(state.follow.seeds),
        "control": {
            "standing": raft.role.value if raft else "none",
            "leader": raft.leader if raft else state.follow.target,
            "term": raft.term if raft else 0,
            "disk": raft.disk if raft else "",
            "voters": {v.name: v.disk for v in raft.voters} if raft else {},
        },
        "groups": [
            {
                "name": g.name,
                "term": g.term,
                "primary": g.primary,
                "voters": [v.name for v in g.voters],
                "incarnations": {v.name: v.incarnation for v in g.voters},
            }
            for g in state.catalogue.groups.values()
        ],
        "shares": [
            {
                "customer": s.customer,
                "rate": round(s.rate, 3),
                "burst": round(s.burst, 3),
            }
            for s in state.shares.values()
        ],
    }
