"""Faults that a run can inject at given times."""

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import asyncmy

from lovagewalk.operators import OperatorClient

LAG_MS = 2000


@dataclass(frozen=True, slots=True)
class FleetAddress:
    """Addresses and credentials of a fleet, as ``lovagewalk demo --hold`` prints them.

    Attributes
    ----------
    caller_addresses : tuple of str
        Addresses on which the daemons serve callers.
    operator_addresses : tuple of str
        Addresses on which the daemons serve operators.
    endpoint_addresses : dict of str to str
        Addresses of the stand-in instances by name.
    token : str
        Operator token of the fleet.
    """

    caller_addresses: tuple[str, ...]
    operator_addresses: tuple[str, ...]
    endpoint_addresses: dict[str, str]
    token: str
    route: str
    user: str = "group"
    password: str = "endpoint-secret"


@dataclass(frozen=True, slots=True)
class TimedFault:
    """A fault and its time, in seconds after the start of the run."""

    name: str
    at_s: float


Fault = Callable[[FleetAddress, str], Awaitable[None]]
FAULTS: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Fault], Fault]:
    """Return a decorator that registers a coroutine function as the fault `name`."""

    def decorate(function: Fault) -> Fault:
        FAULTS[name] = function
        return function

    return decorate


def parse_faults(text: str) -> tuple[TimedFault, ...]:
    """Return the faults of ``name@seconds,name@seconds``.

    Raises
    ------
    ValueError
        If a name is unknown or a time is not a number.
    """
    faults = []
    for part in filter(None, text.split(",")):
        name, _, at_s = part.partition("@")
        if name not in FAULTS:
            raise ValueError(f"a fault must be one of {', '.join(sorted(FAULTS))}")
        faults.append(TimedFault(name, float(at_s)))
    return tuple(faults)


def parse_fleet(text: str) -> FleetAddress:
    """Parse the JSON line that ``lovagewalk demo --hold`` prints."""
    content = json.loads(text)
    return FleetAddress(
        caller_addresses=tuple(entry["callers"] for entry in content["entries"]),
        operator_addresses=tuple(entry["operators"] for entry in content["entries"]),
        endpoint_addresses={e["name"]: e["address"] for e in content["endpoints"]},
        token=content["operator_token"],
        route=content["route"],
    )


async def _find_primary(fleet: FleetAddress) -> str:
    async with OperatorClient(fleet.operator_addresses[0], fleet.token) as client:
        status = await client.get("/status")
    return status["groups"][0]["primary"]


async def _run_on_endpoint(fleet: FleetAddress, endpoint: str, text: str) -> None:
    host, _, port = fleet.endpoint_addresses[endpoint].rpartition(":")
    conn = await asyncmy.connect(
        host=host,
        port=int(port),
        user=fleet.user,
        password=fleet.password,
        autocommit=None,
    )
    async with conn.cursor() as cursor:
        await cursor.execute(text)
    conn.close()


@fault("cut-primary")
async def _cut_primary(fleet: FleetAddress, key_id: str) -> None:
    await _run_on_endpoint(fleet, await _find_primary(fleet), "CALL standin_cut(1)")


@fault("lag-replica")
async def _lag_replica(fleet: FleetAddress, key_id: str) -> None:
    primary = await _find_primary(fleet)
    replica = next(name for name in fleet.endpoint_addresses if name != primary)
    await _run_on_endpoint(fleet, replica, f"CALL standin_lag({LAG_MS})")


@fault("drain-vm")
async def _drain_vm(fleet: FleetAddress, key_id: str) -> None:
    async with OperatorClient(fleet.operator_addresses[-1], fleet.token) as client:
        await client.post("/drain", {})


@fault("withdraw-key")
async def _withdraw_key(fleet: FleetAddress, key_id: str) -> None:
    async with OperatorClient(fleet.operator_addresses[0], fleet.token) as client:
        await client.change({"_type": "WithdrawKey", "key_id": key_id})
