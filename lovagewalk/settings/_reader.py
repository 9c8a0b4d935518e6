"""Typed values out of decoded tables, with errors that name the field."""

from collections.abc import Mapping
from typing import Any

from lovagewalk.core import Code, LovageError

from ._address import Address


class TableReader:
    """Reads fields of a table that came from outside.

    Parameters
    ----------
    raw : Mapping
        The decoded table.
    code : Code
        What a wrong field is refused with.
    path : str
        Where the table lies, as a prefix of its fields' names.
    """

    def __init__(self, raw: Any, code: Code, path: str = "") -> None:
        if not isinstance(raw, Mapping):
            raise LovageError(code, f"{path or 'content'}: not a table")
        self._raw = raw
        self._code = code
        self._path = path

    def get(self, key: str, value_type: type, default: Any = None) -> Any:
        """Return a field of a type; without a default it has to be there.

        Integers are taken for numbers, but booleans for neither.

        Raises
        ------
        LovageError
            If the field is missing or of another type.
        """
        value = self._raw.get(key, default)
        is_bool = isinstance(value, bool)
        if value_type is float and isinstance(value, int) and not is_bool:
            return float(value)
        if not isinstance(value, value_type) or (is_bool and value_type is not bool):
            reason = f"{self._path}{key}: not of type {value_type.__name__}"
            raise LovageError(self._code, reason)
        return value

    def table(self, key: str) -> "TableReader":
        """Return a table inside this one; an empty one if it is not there."""
        return TableReader(self.get(key, dict, {}), self._code, f"{self._path}{key}.")

    def tables(self, key: str) -> list["TableReader"]:
        """Return a list of tables; the list has to be there."""
        return [
            TableReader(raw, self._code, f"{self._path}{key}.{index}.")
            for index, raw in enumerate(self.get(key, list))
        ]

    def address(self, key: str) -> Address | None:
        """Return the address of an ``IP:PORT`` field, or None without it."""
        text = self.get(key, str, "")
        address = Address.try_parse(text)
        if text and address is None:
            raise LovageError(self._code, f"{self._path}{key}: not IP:PORT")
        return address

    def string_list(self, key: str) -> list[str]:
        """Return a list of texts; the list has to be there."""
        values = self.get(key, list)
        if not all(isinstance(value, str) for value in values):
            raise LovageError(self._code, f"{self._path}{key}: not a list of texts")
        return values
