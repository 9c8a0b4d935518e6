"""Rows of a stand-in instance, stored in SQLite.

MySQL statements are translated with sqlglot, and translations are cached by text.
"""

import itertools
import re
import shutil
import sqlite3
import tempfile
from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache
from pathlib import Path
from typing import Any

import sqlglot

BUSY_TIMEOUT_MS = 0
MAX_IDLE_CONNECTIONS = 8
_generations = itertools.count(1)
# A plain insert with literal values is the same in both dialects and needs no
# translation.
_INSERT_PATTERN = re.compile(
    r"(INSERT INTO \w+ ?(\([\w, ]+\))? ?VALUES ?\([^'\"\\`#/*()-]*"
    r"('[^'\"\\`#/*()-]*'[^'\"\\`#/*()-]*)*\))",
    re.IGNORECASE,
)


@dataclass(frozen=True, slots=True)
class SqlResult:
    """Result of one statement: rows with column names, or counts."""

    column_names: tuple[str, ...] = ()
    rows: tuple[tuple[Any, ...], ...] = ()
    affected_rows: int = 0
    insert_id: int = 0


@dataclass(frozen=True, slots=True)
class PooledConnection:
    """A connection checked out for a transaction.

    Attributes
    ----------
    generation : int
        Generation of the database that the connection belongs to.
    """

    conn: sqlite3.Connection
    generation: int


def translate(text: str) -> str:
    """Return the SQLite form of a MySQL statement.

    Raises
    ------
    ValueError
        If the text cannot be parsed.
    """
    if _INSERT_PATTERN.fullmatch(text):
        return text
    return _translate_cached(text)


@lru_cache(maxsize=4096)
def _translate_cached(text: str) -> str:
    try:
        translated = sqlglot.transpile(text, read="mysql", write="sqlite")
    except sqlglot.errors.SqlglotError as exc:
        raise ValueError("cannot parse the statement") from exc
    if len(translated) != 1:
        raise ValueError("one statement at a time")
    return re.sub(
        r"\b(?:BIGINT|INT)( PRIMARY KEY| NOT NULL PRIMARY KEY)? AUTOINCREMENT"
        r"( PRIMARY KEY)?",
        "INTEGER PRIMARY KEY AUTOINCREMENT",
        translated[0],
    )


class Database:
    """The rows of one instance, with a pool of connections for transactions.

    `main` applies the log and serves reads outside transactions. Each rebuild starts
    a new generation, in a database file of its own.
    """

    def __init__(self) -> None:
        self._folder = Path(tempfile.mkdtemp(prefix="standin-"))
        self._generation = next(_generations)
        self._idle: list[sqlite3.Connection] = []
        self.main = self._connect()

    def acquire(self) -> "PooledConnection":
        """Check out a connection for one transaction; see `release`."""
        conn = self._idle.pop() if self._idle else self._connect()
        return PooledConnection(conn, self._generation)

    def release(self, pooled: "PooledConnection") -> None:
        """Return a connection to the pool after its transaction has ended."""
        if (
            pooled.generation != self._generation
            or len(self._idle) >= MAX_IDLE_CONNECTIONS
        ):
            pooled.conn.close()
            return
        self._idle.append(pooled.conn)

    def _connect(self) -> sqlite3.Connection:
        path = self._folder / f"rows-{self._generation}"
        conn = sqlite3.connect(path, isolation_level=None, check_same_thread=False)
        conn.execute("PRAGMA journal_mode=WAL")
        conn.execute("PRAGMA synchronous=OFF")
        conn.execute(f"PRAGMA busy_timeout={BUSY_TIMEOUT_MS}")
        return conn

    def apply(self, transactions: Iterable[tuple[str, ...]]) -> None:
        """Execute committed transactions of the log.

        Raises
        ------
        sqlite3.Error
            If a statement fails; the rows are then behind the log.
        """
        for statements in transactions:
            self.main.execute("BEGIN")
            for text in statements:
                self.main.execute(translate(text))
            self.main.execute("COMMIT")

    def rebuild(self, transactions: Iterable[tuple[str, ...]]) -> None:
        """Delete all rows and execute the transactions of a whole log."""
        self.main.close()
        for conn in self._idle:
            conn.close()
        self._idle.clear()
        self._generation = next(_generations)
        self.main = self._connect()
        self.apply(transactions)

    def close(self) -> None:
        """Close `main` and the idle connections, and delete the rows."""
        self.main.close()
        for conn in self._idle:
            conn.close()
        shutil.rmtree(self._folder, ignore_errors=True)


def execute(conn: sqlite3.Connection, text: str) -> SqlResult:
    """Execute one statement and return its rows or counts."""
    cursor = conn.execute(translate(text))
    if cursor.description is None:
        insert_id = cursor.lastrowid if text.lstrip()[:6].upper() == "INSERT" else 0
        return SqlResult(
            affected_rows=max(cursor.rowcount, 0), insert_id=insert_id or 0
        )
    column_names = tuple(column[0] for column in cursor.description)
    return SqlResult(column_names=column_names, rows=tuple(cursor.fetchall()))
