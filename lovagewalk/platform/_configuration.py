"""Decodes the platform's configuration and heartbeats."""

from collections.abc import Mapping

from lovagewalk.catalogue import (
    AnnounceEndpoint,
    Command,
    Consistency,
    CustomerEntry,
    Endpoint,
    GroupLimits,
    KeyEntry,
    RateUnit,
    ReplaceConfiguration,
    RouteClass,
    RouteEntry,
    bound_cold_time,
    bound_slots,
    check_command,
    hash_key,
)
from lovagewalk.core import Code, LovageError
from lovagewalk.settings import TableReader, parse_address, parse_json

OPERATOR = "operator"
MS_PER_S = 1000.0
_CONSISTENCIES_BY_KIND = {
    "primary": Consistency.PRIMARY,
    "bounded_staleness": Consistency.BOUNDED,
    "read_your_writes": Consistency.OWN_WRITES,
}
_LEAVING_BY_STATE = {"ready": False, "draining": True}


def _decode_json(body: bytes) -> TableReader:
    return TableReader(parse_json(body, Code.CHANGE_BAD), Code.CHANGE_BAD)


def decode_configuration(body: bytes) -> ReplaceConfiguration:
    """Return the command that puts a configuration in force.

    Raises
    ------
    LovageError
        ``CHANGE_BAD`` if it cannot be decoded completely or is not valid.
    """
    reader = _decode_json(body)
    tenants = reader.tables("tenants") if reader.get("tenants", list, []) else []
    command = ReplaceConfiguration(
        version=reader.get("version", int),
        routes=tuple(_decode_route(route) for route in reader.tables("routes")),
        customers=tuple(_decode_customer(tenant) for tenant in tenants),
        keys=tuple(
            KeyEntry(hash_key(key), tenant.get("name", str), "")
            for tenant in tenants
            for key in tenant.string_list("apiKeys")
        ),
        groups=tuple(
            GroupLimits(
                name=service.get("name", str),
                connections=service.get("maxConns", int),
                sync_replicas=service.get("syncReplicas", int, 0),
            )
            for service in reader.tables("services")
        ),
        idle_transaction_s=reader.table("limits").get("txIdleMs", float, 0.0)
        / MS_PER_S,
        document=body,
    )
    _check(command)
    return command


def _check(command: Command) -> None:
    refusal = check_command(command)
    if refusal is not None:
        raise LovageError(refusal.code, refusal.detail)


def _decode_route(reader: TableReader) -> RouteEntry:
    kind = reader.get("kind", str)
    if kind not in _CONSISTENCIES_BY_KIND:
        raise LovageError(Code.CHANGE_BAD, f"unknown kind of route {kind}")
    is_open = reader.get("public", bool, False)
    return RouteEntry(
        name=reader.get("host", str),
        owner=OPERATOR,
        group=reader.get("service", str),
        route_class=RouteClass.OPEN if is_open else RouteClass.KEYED,
        consistency=_CONSISTENCIES_BY_KIND[kind],
        max_staleness_s=reader.get("maxStalenessMs", float, 0.0) / MS_PER_S,
        statement_timeout_s=reader.get("timeoutMs", float) / MS_PER_S,
        objective_s=reader.get("targetLatencyMs", float, 0.0) / MS_PER_S,
        priority=reader.get("priority", int, 0),
        prefix=reader.get("pathPrefix", str, "/"),
    )


def _decode_customer(reader: TableReader) -> CustomerEntry:
    """Return a tenant as a customer, whose rate limits operations."""
    return CustomerEntry(
        name=reader.get("name", str),
        owner=OPERATOR,
        rate=reader.get("ratePerS", float),
        burst=reader.get("burst", float),
        unit=RateUnit.OPERATIONS,
    )


def decode_heartbeat(name: str, body: bytes, regions: Mapping[str, str]) -> Endpoint:
    """Return the endpoint that a heartbeat describes.

    Raises
    ------
    LovageError
        ``CHANGE_BAD`` if a field is missing, of a wrong type, or has a wrong value.
    """
    reader = _decode_json(body)
    state, zone = reader.get("state", str), reader.get("zone", str)
    group = reader.get("service", str)
    if state not in _LEAVING_BY_STATE:
        raise LovageError(Code.CHANGE_BAD, "heartbeat: state")
    try:
        host, port = parse_address(reader.get("addr", str))
    except ValueError as exc:
        raise LovageError(Code.CHANGE_BAD, "heartbeat: addr") from exc
    endpoint = Endpoint(
        name=name,
        group=group,
        host=host,
        port=port,
        zone=zone,
        region=regions.get(zone, zone),
        connections=0,
        leaving=_LEAVING_BY_STATE[state],
        sequence=reader.get("seq", int),
        born=reader.get("born", int, 0),
        slots=bound_slots(reader.get_hint("slots", int, 0)),
        cold_left_s=bound_cold_time(reader.get_hint("coldLeftMs", float, 0) / MS_PER_S),
    )
    _check(AnnounceEndpoint(endpoint))
    return endpoint
