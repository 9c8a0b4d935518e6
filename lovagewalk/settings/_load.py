"""Reads INI files and names every wrong or unknown setting at once."""

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

# Chosen: below it a secret can be tried out.
MIN_SECRET_LENGTH = 8
ROLES = ("entry", "control")
LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
FORMS = ("text", "json")


@dataclass(frozen=True, slots=True)
class Problem:
    """One thing that is wrong with a settings file."""

    section: str
    key: str
    reason: str

    def __str__(self) -> str:
        return f"[{self.section}] {self.key}: {self.reason}"


class SettingsError(LovageError):
    """A settings file that is not accepted, with all that is wrong in it."""

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        self.problems = problems
        super().__init__(Code.SETTINGS_BAD, "; ".join(map(str, problems)))


def load_settings(path: Path) -> DaemonSettings | StandinFileSettings:
    """Read a daemon's or stand-in's settings; which one the sections tell.

    Raises
    ------
    SettingsError
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
    return _Reader(parser).read(schema)


class _Reader:
    """Collects problems while it builds the data classes."""

    def __init__(self, parser: configparser.ConfigParser) -> None:
        self._parser = parser
        self._problems: list[Problem] = []

    def read(self, schema: type) -> Any:
        hints = typing.get_type_hints(schema)
        values = {}
        for item in dataclasses.fields(schema):
            values[item.name] = self._read_section(item, hints[item.name])
        known = {item.name for item in dataclasses.fields(schema)}
        for section in self._parser.sections():
            if section not in known:
                self._problem(section, "*", "unknown section")
        if not self._problems:
            settings = schema(**values)
            for check in _checks[schema]:
                self._problems.extend(check(settings))
        if self._problems:
            raise SettingsError(tuple(self._problems))
        return settings

    def _problem(self, section: str, key: str, reason: str) -> None:
        self._problems.append(Problem(section, key, reason))

    def _read_section(self, item: dataclasses.Field, kind: Any) -> Any:
        if not self._parser.has_section(item.name):
            if item.default is MISSING:
                self._problem(item.name, "*", "section is missing")
                return None
            return item.default
        section = self._parser[item.name]
        if not dataclasses.is_dataclass(kind):
            return dict(section)
        return self._read_fields(item.name, section, kind)

    def _read_fields(
        self, name: str, section: configparser.SectionProxy, kind: type
    ) -> Any:
        hints = typing.get_type_hints(kind)
        fields = {item.name: item for item in dataclasses.fields(kind)}
        for key in section:
            if key not in fields:
                self._problem(name, key, "unknown setting")
        values = {}
        before = len(self._problems)
        for key, item in fields.items():
            if key in section:
                values[key] = self._convert(name, key, section[key], hints[key])
            elif item.default is MISSING:
                self._problem(name, key, "setting is missing")
        return kind(**values) if len(self._problems) == before else None

    def _convert(self, section: str, key: str, text: str, kind: Any) -> Any:
        text = text.strip()
        try:
            if kind is int:
                return _at_least_zero(int(text))
            if kind is float:
                return _at_least_zero(float(text))
        except ValueError:
            self._problem(section, key, "not a number of at least 0")
            return None
        if kind is str:
            if not text:
                self._problem(section, key, "empty")
            return text
        return tuple(part.strip() for part in text.split(",") if part.strip())


def _at_least_zero(number: float) -> float:
    if not 0 <= number < float("inf"):
        raise ValueError
    return number


Check = Callable[[Any], list[Problem]]
_checks: dict[type, list[Check]] = {DaemonSettings: [], StandinFileSettings: []}


def checks(schema: type) -> Callable[[Check], Check]:
    """Register the decorated function as a check of whole settings."""

    def decorate(check: Check) -> Check:
        _checks[schema].append(check)
        return check

    return decorate


def _check_ip(section: str, key: str, host: str) -> list[Problem]:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return [Problem(section, key, "not an IP number")]
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
        problems.append(Problem("control", "*", "1, 3, 5 or 7 control VMs are needed"))
    return problems


@checks(DaemonSettings)
def _check_roles(cfg: DaemonSettings) -> list[Problem]:
    problems = []
    roles = cfg.daemon.roles
    if not roles or set(roles) - set(ROLES):
        problems.append(Problem("daemon", "roles", f"one or more of {ROLES}"))
    is_control = "control" in roles
    if is_control and cfg.daemon.name not in cfg.control:
        problems.append(Problem("control", cfg.daemon.name, "own name is missing"))
    if not is_control and cfg.daemon.name in cfg.control:
        problems.append(Problem("daemon", "roles", "listed under [control]"))
    if is_control and not cfg.data.folder:
        problems.append(Problem("data", "folder", "needed by the control role"))
    if cfg.daemon.fleet_size < 1:
        problems.append(Problem("daemon", "fleet_size", "at least 1"))
    return problems


@checks(DaemonSettings)
def _check_secrets(cfg: DaemonSettings) -> list[Problem]:
    return [
        Problem("secrets", item.name, f"shorter than {MIN_SECRET_LENGTH} characters")
        for item in dataclasses.fields(cfg.secrets)
        if len(getattr(cfg.secrets, item.name)) < MIN_SECRET_LENGTH
    ]


@checks(DaemonSettings)
@checks(StandinFileSettings)
def _check_log(cfg: DaemonSettings | StandinFileSettings) -> list[Problem]:
    problems = []
    if cfg.log.level not in LEVELS:
        problems.append(Problem("log", "level", f"one of {LEVELS}"))
    if cfg.log.form not in FORMS:
        problems.append(Problem("log", "form", f"one of {FORMS}"))
    return problems


@checks(StandinFileSettings)
def _check_instance(cfg: StandinFileSettings) -> list[Problem]:
    problems = _check_ip("instance", "host", cfg.instance.host)
    for address in cfg.announce.daemons:
        try:
            parse_address(address)
        except ValueError:
            problems.append(Problem("announce", "daemons", f"{address} is no IP:PORT"))
    return problems
