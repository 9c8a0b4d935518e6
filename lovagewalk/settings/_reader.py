"""Reads typed values from decoded tables and reports errors by field name."""

import json
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from lovagewalk.core import Code, LovageError, find_value_problem

from ._address import Address, is_port


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON number")


def parse_json(body: bytes, code: Code) -> Any:
    """Return the value of a JSON text in UTF-8.

    Python's decoder also accepts ``NaN``, ``Infinity`` and other encodings.

    Raises
    ------
    LovageError
        With `code`, if the text is not JSON or is nested too deeply.
    """
    try:
        return json.loads(body.decode(), parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as exc:
        raise LovageError(code, "cannot be read in full") from exc


def read_toml(path: Path) -> dict[str, Any]:
    """Return the content of a settings file.

    Raises
    ------
    LovageError
        ``SETTINGS_BAD`` if the file cannot be read or is not TOML.
    """
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as exc:
        raise LovageError(Code.SETTINGS_BAD, f"settings file: {exc}") from exc


class TableReader:
    """Reads and checks the fields of a table from a file or a request.

    Parameters
    ----------
    raw : Mapping
        The decoded table.
    code : Code
        Error code for a field that is missing or invalid.
    path : str
        Path of the table, a prefix of the field names in errors.
    """

    def __init__(self, raw: Any, code: Code, path: str = "") -> None:
        if not isinstance(raw, Mapping):
            raise LovageError(code, f"{path or 'content'}: not a table")
        self._raw = raw
        self._code = code
        self._path = path

    def get(self, key: str, value_type: type, default: Any = None) -> Any:
        """Return the value of a field, which must have the given type.

        A field without a default is required. An integer is accepted as a float,
        but a boolean as neither.

        Raises
        ------
        LovageError
            If the field is missing, of another type, or holds a number or text that
            cannot be stored.
        """
        value = self._raw.get(key, default)
        self._check_value(key, value)
        is_bool = isinstance(value, bool)
        if value_type is float and isinstance(value, int) and not is_bool:
            return float(value)
        if not isinstance(value, value_type) or (is_bool and value_type is not bool):
            reason = f"{self._path}{key}: not of type {value_type.__name__}"
            raise LovageError(self._code, reason)
        return value

    def get_hint(self, key: str, value_type: type, default: Any) -> Any:
        """Return the value of a field, or the default if it is missing or wrong.

        For fields without which the rest of the table is still usable.
        """
        try:
            return self.get(key, value_type, default)
        except LovageError:
            return default

    def _check_value(self, key: str, value: Any) -> None:
        problem = find_value_problem(value)
        if problem:
            raise LovageError(self._code, f"{self._path}{key}: {problem}")

    def table(self, key: str) -> "TableReader":
        """Return a nested table, or an empty one if the field is missing."""
        return TableReader(self.get(key, dict, {}), self._code, f"{self._path}{key}.")

    def tables(self, key: str) -> list["TableReader"]:
        """Return a list of tables; the field is required."""
        return [
            TableReader(raw, self._code, f"{self._path}{key}.{index}.")
            for index, raw in enumerate(self.get(key, list))
        ]

    def address(self, key: str) -> Address | None:
        """Return the address in an ``IP:PORT`` field, or None if it is missing."""
        text = self.get(key, str, "")
        address = Address.try_parse(text)
        if text and address is None:
            raise LovageError(self._code, f"{self._path}{key}: not IP:PORT")
        return address

    def address_list(self, key: str) -> list[Address]:
        """Return a list of addresses, each as ``IP:PORT``; empty if it is missing."""
        addresses = [Address.try_parse(str(text)) for text in self.get(key, list, [])]
        if None in addresses:
            raise LovageError(self._code, f"{self._path}{key}: not IP:PORT")
        return addresses

    def port_range(self, key: str) -> tuple[int, int]:
        """Return the first and the last port of a range."""
        ports = self.get(key, list)
        if len(ports) != 2 or not all(map(is_port, ports)):
            raise LovageError(self._code, f"{self._path}{key}: not two ports")
        return (ports[0], ports[1])

    def string_list(self, key: str) -> list[str]:
        """Return a list of strings; the field is required."""
        values = self.get(key, list)
        if not all(isinstance(value, str) for value in values):
            raise LovageError(self._code, f"{self._path}{key}: not a list of texts")
        for value in values:
            self._check_value(key, value)
        return values
