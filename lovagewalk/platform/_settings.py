"""Decodes the platform's settings file."""

import os
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from lovagewalk.clients import LimitSettings
from lovagewalk.core import Code, LovageError
from lovagewalk.settings import (
    MIN_SECRET_LENGTH,
    Address,
    TableReader,
    decode_limits,
    read_toml,
    require_variable,
)

SETTINGS_VARIABLE = "LOVAGEWALK_SETTINGS"
SECRET_VARIABLE = "LOVAGEWALK_FLEET_SECRET"
# The deploy file names the same port; the internal ports change from day to day.
METRICS_PORT = 9464
# Rules of a deployment that cover the health of endpoints and shared connection pools.
PACING_INVARIANTS = frozenset(("health", "pool"))


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of a daemon, as the platform states them.

    Attributes
    ----------
    callers, health, operators : Address or None
        Addresses of the listeners for callers, for the load balancer's checks,
        and for operators and endpoints; None for a listener that is not opened.
    peers_port : int
        Port for connections between daemons, the same on all VMs.
    seeds : tuple of str
        Hosts of the control VMs to contact first.
    bootstrap : bool
        Whether the whole system starts for the first time.
    data_folder : str
        Path of the data folder; empty on VMs without a disk.
    regions : mapping of str to str
        Region of each availability zone.
    provider : Address or None
        Address of the provider, which promotes instances.
    grace_s : float
        Time between a request to stop and a forced stop, in seconds.
    paces_endpoints : bool
        Whether the deployment's rules name all of `PACING_INVARIANTS`.
    limits : LimitSettings
        Limits of the VM and for clients.
    """

    name: str
    host: str
    zone: str
    region: str
    callers: Address | None
    health: Address | None
    operators: Address | None
    peers_port: int
    seeds: tuple[str, ...]
    bootstrap: bool
    data_folder: str
    regions: Mapping[str, str]
    provider: Address | None
    grace_s: float
    secret: str = field(repr=False)
    paces_endpoints: bool = False
    limits: LimitSettings = LimitSettings()

    @property
    def control_names(self) -> tuple[str, ...]:
        """Names of the daemons on the seeds."""
        return tuple(f"{host}:{self.peers_port}" for host in self.seeds)


def read_environment(environ: Mapping[str, str] = os.environ) -> tuple[Path, str]:
    """Return the path of the settings file and the secret.

    Raises
    ------
    LovageError
        ``SETTINGS_BAD``, which names the first wrong variable.
    """
    path = Path(require_variable(environ, SETTINGS_VARIABLE))
    return path, require_variable(environ, SECRET_VARIABLE, MIN_SECRET_LENGTH)


def load_platform_settings(environ: Mapping[str, str] = os.environ) -> PlatformSettings:
    """Read the settings file that the environment names.

    Raises
    ------
    LovageError
        ``SETTINGS_BAD``, which names the first wrong setting.
    """
    path, secret = read_environment(environ)
    return decode_settings(read_toml(path), secret)


def decode_settings(raw: Mapping[str, Any], secret: str) -> PlatformSettings:
    """Return the settings of a decoded file; unknown fields are ignored.

    Raises
    ------
    LovageError
        ``SETTINGS_BAD``, which names the first wrong setting.
    """
    reader = TableReader(raw, Code.SETTINGS_BAD)
    listen = reader.table("listenAddrs")
    # All VMs use `peers_port` as their port.
    seeds = tuple(address.host for address in reader.address_list("seedNodes"))
    if not seeds and listen.address("controlPlane") is None:
        raise LovageError(Code.SETTINGS_BAD, "seedNodes: an entry VM needs one")
    invariants = reader.get_hint("invariants", list, [])
    return PlatformSettings(
        name=reader.get("nodeName", str),
        host=reader.get("ip", str),
        zone=reader.get("zone", str),
        region=reader.get("region", str),
        callers=listen.address("frontend"),
        health=listen.address("ready"),
        operators=listen.address("controlPlane"),
        peers_port=reader.port_range("internalPorts")[0],
        seeds=seeds,
        bootstrap=reader.get("bootstrap", bool, False),
        data_folder=reader.get("dataDir", str, ""),
        regions=reader.get("zones", dict, {}),
        provider=reader.table("providerApi").address("addr"),
        grace_s=reader.table("bounds").get("graceS", float, 6.0),
        secret=secret,
        paces_endpoints=all(name in invariants for name in PACING_INVARIANTS),
        limits=decode_limits(reader.table("limits")),
    )
