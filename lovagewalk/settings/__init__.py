"""Settings of processes, read from INI files and validated as a whole."""

from ._address import Address, is_port, parse_address
from ._environment import require_variable
from ._limits import decode_limits
from ._load import MIN_SECRET_LENGTH, Problem, SettingsError, load_settings
from ._reader import TableReader, parse_json, read_toml
from ._schema import (
    AnnounceSection,
    DaemonSection,
    DaemonSettings,
    DataSection,
    EndpointsSection,
    InstanceSection,
    LimitsSection,
    ListenSection,
    LogSection,
    SecretsSection,
    StandinFileSettings,
)

__all__ = [
    "MIN_SECRET_LENGTH",
    "Address",
    "AnnounceSection",
    "DaemonSection",
    "DaemonSettings",
    "DataSection",
    "EndpointsSection",
    "InstanceSection",
    "LimitsSection",
    "ListenSection",
    "LogSection",
    "Problem",
    "SecretsSection",
    "SettingsError",
    "StandinFileSettings",
    "TableReader",
    "decode_limits",
    "is_port",
    "load_settings",
    "parse_address",
    "parse_json",
    "read_toml",
    "require_variable",
]
