"""Reads INI files and reports all invalid and unknown settings together."""

import configparser
import dataclasses
import ipaddress
import typing
from collections.abc import Callable
from dataclasses import MISSING, dataclass
from pathlib import Path
from typing import Any

from lovagewalk.core import Code, LovageError

from ._address import parse_address
from ._schema import DaemonSettings, StandinFileSettings

# A shorter secret can be found by brute force.
MIN_SECRET_LENGTH = 8
ROLES = ("entry", "control")
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
LOG_FORMATS = ("text", "json")


@dataclass(frozen=True, slots=True)
class Problem:
    """One error in a settings file."""

    section: str
    key: str
    reason: str

    def __str__(self) -> str:
        return f"[{self.section}] {self.key}: {self.reason}"


class SettingsError(LovageError):
    """An invalid settings file; the message lists all problems."""

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        self.problems = problems
        super().__init__(Code.SETTINGS_BAD, "; ".join(map(str, problems)))


def load_settings(path: Path) -> DaemonSettings | StandinFileSettings:
    """Read the settings of a daemon or a stand-in.

    A file with a section ``[instance]`` is that of a stand-in.

    Raises
    ------
    SettingsError
        If the file cannot be read or has invalid settings.
    """
    parser = configparser.ConfigParser(interpolation=None)
    parser.optionxform = str
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError, configparser.Error) as exc:
        reason = str(exc).replace("\n", " ")
        raise SettingsError((Problem("file", path.name, reason),)) from exc
    schema = DaemonSettings
    if parser.has_section("instance"):
        schema = StandinFileSettings
    return _SettingsReader(parser).read(schema)


class _SettingsReader:
    """Builds the data classes from a parsed file and collects all problems."""

    def __init__(self, parser: configparser.ConfigParser) -> None:
        self._parser = parser
        self._problems: list[Problem] = []

    def read(self, schema: type) -> Any:
        hints = typing.get_type_hints(schema)
        values = {}
        for field in dataclasses.fields(schema):
            values[field.name] = self._read_section(field, hints[field.name])
        section_names = {field.name for field in dataclasses.fields(schema)}
        for section in self._parser.sections():
            if section not in section_names:
                self._add_problem(section, "*", "unknown section")
        if not self._problems:
            settings = schema(**values)
            for check in _checks[schema]:
                self._problems.extend(check(settings))
        if self._problems:
            raise SettingsError(tuple(self._problems))
        return settings

    def _add_problem(self, section: str, key: str, reason: str) -> None:
        self._problems.append(Problem(section, key, reason))

    def _read_section(self, field: dataclasses.Field, section_type: Any) -> Any:
        if not self._parser.has_section(field.name):
            if field.default is MISSING:
                self._add_problem(field.name, "*", "section is missing")
                return None
            return field.default
        section = self._parser[field.name]
        if not dataclasses.is_dataclass(section_type):
            return dict(section)
        return self._read_fields(field.name, section, section_type)

    def _read_fields(
        self, section_name: str, section: configparser.SectionProxy, section_type: type
    ) -> Any:
        hints = typing.get_type_hints(section_type)
        fields = {field.name: field for field in dataclasses.fields(section_type)}
        for key in section:
            if key not in fields:
                self._add_problem(section_name, key, "unknown setting")
        values = {}
        problem_count = len(self._problems)
        for key, field in fields.items():
            if key in section:
                values[key] = self._convert(section_name, key, section[key], hints[key])
            elif field.default is MISSING:
                self._add_problem(section_name, key, "setting is missing")
        return section_type(**values) if len(self._problems) == problem_count else None

    def _convert(self, section: str, key: str, text: str, value_type: Any) -> Any:
        text = text.strip()
        try:
            if value_type is int:
                return _require_non_negative(int(text))
            if value_type is float:
                return _require_non_negative(float(text))
        except ValueError:
            self._add_problem(section, key, "must be a number of at least 0")
            return None
        if value_type is str:
            if not text:
                self._add_problem(section, key, "must not be empty")
            return text
        return tuple(part.strip() for part in text.split(",") if part.strip())


def _require_non_negative(number: float) -> float:
    if not 0 <= number < float("inf"):
        raise ValueError
    return number


Check = Callable[[Any], list[Problem]]
_checks: dict[type, list[Check]] = {DaemonSettings: [], StandinFileSettings: []}


def checks(schema: type) -> Callable[[Check], Check]:
    """Register the decorated function as a check of settings of type `schema`."""

    def decorate(check: Check) -> Check:
        _checks[schema].append(check)
        return check

    return decorate


def _check_ip(section: str, key: str, host: str) -> list[Problem]:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return [Problem(section, key, "not an IP address")]
    return []


@checks(DaemonSettings)
def _check_addresses(cfg: DaemonSettings) -> list[Problem]:
    problems = _check_ip("listen", "host", cfg.listen.host)
    for name, address in cfg.control.items():
        try:
            parse_address(address)
        except ValueError:
            problems.append(Problem("control", name, "not IP:PORT"))
    if len(cfg.control) not in (1, 3, 5, 7):
        problems.append(Problem("control", "*", "must list 1, 3, 5 or 7 control VMs"))
    return problems


@checks(DaemonSettings)
def _check_roles(cfg: DaemonSettings) -> list[Problem]:
    problems = []
    roles = cfg.daemon.roles
    if not roles or set(roles) - set(ROLES):
        problems.append(Problem("daemon", "roles", f"must be one or more of {ROLES}"))
    is_control = "control" in roles
    if is_control and cfg.daemon.name not in cfg.control:
        problems.append(
            Problem(
                "control",
                cfg.daemon.name,
                "missing, although this VM has the control role",
            )
        )
    if not is_control and cfg.daemon.name in cfg.control:
        problems.append(
            Problem(
                "daemon",
                "roles",
                "control is missing, although this VM is listed under [control]",
            )
        )
    if is_control and not cfg.data.folder:
        problems.append(Problem("data", "folder", "required by the control role"))
    if cfg.daemon.fleet_size < 1:
        problems.append(Problem("daemon", "fleet_size", "must be at least 1"))
    return problems


@checks(DaemonSettings)
def _check_secrets(cfg: DaemonSettings) -> list[Problem]:
    return [
        Problem("secrets", field.name, f"shorter than {MIN_SECRET_LENGTH} characters")
        for field in dataclasses.fields(cfg.secrets)
        if len(getattr(cfg.secrets, field.name)) < MIN_SECRET_LENGTH
    ]


@checks(DaemonSettings)
@checks(StandinFileSettings)
def _check_log(cfg: DaemonSettings | StandinFileSettings) -> list[Problem]:
    problems = []
    if cfg.log.level not in LOG_LEVELS:
        problems.append(Problem("log", "level", f"must be one of {LOG_LEVELS}"))
    if cfg.log.form not in LOG_FORMATS:
        problems.append(Problem("log", "form", f"must be one of {LOG_FORMATS}"))
    return problems


@checks(StandinFileSettings)
def _check_instance(cfg: StandinFileSettings) -> list[Problem]:
    problems = _check_ip("instance", "host", cfg.instance.host)
    for address in cfg.announce.daemons:
        try:
            parse_address(address)
        except ValueError:
            problems.append(Problem("announce", "daemons", f"{address} is not IP:PORT"))
    return problems
