"""The platform's configuration, decoded into the product's entries."""

import json
from collections.abc import Mapping
from typing import Any

from lovagewalk.catalogue import (
    Consistency,
    CustomerEntry,
    GroupLimits,
    KeyEntry,
    RateUnit,
    ReplaceConfiguration,
    RouteClass,
    RouteEntry,
    configuration_refusal,
)
from lovagewalk.core import Code, LovageError

from ._callers import hash_key

OPERATOR = "operator"
_MS_PER_S = 1000.0
_KINDS = {
    "primary": Consistency.PRIMARY,
    "bounded_staleness": Consistency.BOUNDED,
    "read_your_writes": Consistency.OWN_WRITES,
}


def decode_configuration(body: bytes) -> ReplaceConfiguration:
    """Return the command that a configuration stands for.

    Raises
    ------
    LovageError
        ``CHANGE_BAD`` if it cannot be read in full or is not valid.
    """
    try:
        raw = json.loads(body)
        command = _decode(raw, body)
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as exc:
        reason = f"cannot be read in full: {type(exc).__name__}"
        raise LovageError(Code.CHANGE_BAD, reason) from exc
    refusal = configuration_refusal(command)
    if refusal is not None:
        raise LovageError(refusal.code, refusal.detail)
    return command


def _decode(raw: Mapping[str, Any], body: bytes) -> ReplaceConfiguration:
    tenants = _list(raw.get("tenants", []))
    return ReplaceConfiguration(
        version=_integer(raw["version"]),
        routes=tuple(_route(route) for route in _list(raw["routes"])),
        customers=tuple(_customer(tenant) for tenant in tenants),
        keys=tuple(
            KeyEntry(hash_key(_text(key)), _text(tenant["name"]), "")
            for tenant in tenants
            for key in _list(tenant["apiKeys"])
        ),
        groups=tuple(
            GroupLimits(_text(service["name"]), _integer(service["maxConns"]))
            for service in _list(raw["services"])
        ),
        idle_transaction_s=_number(raw.get("limits", {}).get("txIdleMs", 0))
        / _MS_PER_S,
        document=body,
    )


def _route(raw: Mapping[str, Any]) -> RouteEntry:
    kind = _KINDS[_text(raw["kind"])]
    public = raw.get("public", False)
    if not isinstance(public, bool):
        raise TypeError("public")
    return RouteEntry(
        name=_text(raw["host"]),
        owner=OPERATOR,
        group=_text(raw["service"]),
        route_class=RouteClass.OPEN if public else RouteClass.KEYED,
        consistency=kind,
        max_staleness_s=_number(raw.get("maxStalenessMs", 0)) / _MS_PER_S,
        statement_timeout_s=_number(raw["timeoutMs"]) / _MS_PER_S,
        objective_s=_number(raw.get("targetLatencyMs", 0)) / _MS_PER_S,
        priority=_integer(raw.get("priority", 0)),
        prefix=_text(raw.get("pathPrefix", "/")),
    )


def _customer(raw: Mapping[str, Any]) -> CustomerEntry:
    """Return a tenant as a customer; its rate counts operations."""
    return CustomerEntry(
        name=_text(raw["name"]),
        owner=OPERATOR,
        rate=_number(raw["ratePerS"]),
        burst=_number(raw["burst"]),
        unit=RateUnit.OPERATIONS,
    )


def _list(value: Any) -> list[Any]:
    if not isinstance(value, list):
        raise TypeError("not a list")
    return value


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError("not text")
    return value


def _integer(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError("not an integer")
    return value


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError("not a number")
    return float(value)
