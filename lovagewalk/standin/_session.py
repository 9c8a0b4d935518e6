"""Client sessions of an instance: authentication and execution of statements."""

import asyncio
import json
import re
import sqlite3
import uuid
from typing import Any

from mysql_mimic.auth import IdentityProvider, NativePasswordAuthPlugin, User

from lovagewalk.core import replace
from lovagewalk.edge._mysql_server import (
    Reply,
    ServerSession,
    SqlError,
    build_columns,
)
from lovagewalk.groups import Role

from . import _state as types
from ._constants import (
    DEADLOCK_ERRNO,
    DUPLICATE_KEY_ERRNO,
    GROUP_USER,
    LOCK_WAIT_TIMEOUT_ERRNO,
    LOCK_WAIT_TIMEOUT_S,
    READ_ONLY_ERRNO,
    SYNTAX_ERRNO,
    TOO_MANY_CONNECTIONS_ERRNO,
)
from ._database import PooledConnection, SqlResult, execute
from ._procedures import build_status_reply, find_procedure

DEMOTED_MESSAGE = "rolled back: the instance was demoted"
_CALL_PATTERN = re.compile(r"CALL (\w+)\((.*)\)", re.IGNORECASE | re.DOTALL)
_WRITE_PATTERN = re.compile(
    r"\s*(INSERT|UPDATE|DELETE|REPLACE|CREATE|ALTER|DROP)", re.I
)


class StandinIdentityProvider(IdentityProvider):
    """Authenticates the proxy and the other instances of the group."""

    def __init__(self, standin: Any, session: "StandinSession") -> None:
        self._standin = standin

    async def get_user(self, username: str) -> User | None:
        """Return the user's digest; an unknown user gets one that never matches."""
        self._standin.received.append(f"user {username}")
        cfg = self._standin.cfg
        await asyncio.sleep(cfg.connect_s)
        is_known = username in (cfg.user, GROUP_USER)
        digest = NativePasswordAuthPlugin.create_auth_string(
            cfg.password if is_known else uuid.uuid4().hex
        )
        return User(username, digest, NativePasswordAuthPlugin.name)


class StandinSession(ServerSession):
    """The session of one client connection."""

    def __init__(self, standin: Any) -> None:
        super().__init__()
        self.standin = standin
        self.pooled: PooledConnection | None = None
        self.rolled_back_by_server = False
        self.statements: list[str] = []
        self.holds_lock = False
        self.is_counted = False

    async def init(self, connection: Any) -> None:
        """Count the connection against the limit, unless an instance opened it."""
        if self.username == GROUP_USER:
            return
        if self.standin.client_count >= self.standin.cfg.connections:
            raise SqlError(TOO_MANY_CONNECTIONS_ERRNO, "too many connections")
        self.standin.client_count += 1
        self.is_counted = True

    def connection_lost(self) -> None:
        """Roll back the open transaction and stop counting the connection."""
        self._end_transaction(commit=False)
        if self.is_counted:
            self.standin.client_count = max(self.standin.client_count - 1, 0)
            self.is_counted = False

    async def reset(self) -> None:
        """Roll back the open transaction."""
        self._end_transaction(commit=False)
        self.rolled_back_by_server = False

    def roll_back_by_server(self) -> None:
        """Roll back the transaction and fail the client's next statement.

        All statements fail until the client ends the transaction itself, so that no
        later statement of the transaction runs without the earlier ones.
        """
        self._end_transaction(commit=False)
        self.rolled_back_by_server = True

    async def run(self, sql: str, attrs: dict[str, str]) -> Reply:
        """Run a statement: a call, a status query, transaction control or SQL."""
        standin = self.standin
        standin.received.append(sql)
        for name, value in attrs.items():
            standin.received.append(f"attribute {name}={value}")
        await standin.not_stalled.wait()
        statement = sql.strip().rstrip(";")
        call_match = _CALL_PATTERN.fullmatch(statement)
        if call_match:
            return await self._call_procedure(
                call_match.group(1).lower(), call_match.group(2)
            )
        upper = statement.upper()
        if upper == "SHOW GROUP STATUS":
            return build_status_reply(standin.state.status(standin.now()))
        if upper == "SELECT @@GROUP_TERM, @@GROUP_POSITION":
            row = (standin.state.served_term, standin.state.index)
            return Reply(build_columns(("term", "position"), [row]), (row,))
        if upper.startswith("SET "):
            return Reply()
        if upper == "BEGIN":
            return self._begin()
        if upper in ("COMMIT", "ROLLBACK"):
            return self._commit_or_roll_back(upper == "COMMIT")
        return await self._run_sql(statement)

    def _begin(self) -> Reply:
        self._end_transaction(commit=False)
        self.rolled_back_by_server = False
        self._acquire_connection()
        self.pooled.conn.execute("BEGIN")
        return Reply(in_transaction=True)

    def _acquire_connection(self) -> None:
        self.pooled = self.standin.database.acquire()
        self.standin.sessions_in_transaction.add(self)

    def _commit_or_roll_back(self, commit: bool) -> Reply:
        was_rolled_back, self.rolled_back_by_server = self.rolled_back_by_server, False
        if was_rolled_back and commit:
            raise SqlError(READ_ONLY_ERRNO, DEMOTED_MESSAGE)
        has_writes = bool(self.statements)
        if commit and has_writes and self.standin.state.role is not Role.PRIMARY:
            self._end_transaction(commit=False)
            raise SqlError(READ_ONLY_ERRNO, "instance is read only")
        self._end_transaction(commit)
        return Reply()

    def _end_transaction(self, commit: bool) -> None:
        pooled, self.pooled = self.pooled, None
        statements, self.statements = tuple(self.statements), []
        self.standin.sessions_in_transaction.discard(self)
        if pooled is not None:
            if pooled.conn.in_transaction:
                pooled.conn.execute("COMMIT" if commit else "ROLLBACK")
            self.standin.database.release(pooled)
        if self.holds_lock:
            self.holds_lock = False
            self.standin.write_lock.release()
        if commit and statements:
            event = types.TransactionCommitted(self.standin.now(), statements)
            self.standin.shell.feed(event)

    async def _run_sql(self, text: str) -> Reply:
        async with self.standin.slots:
            if self.standin.cfg.service_s:
                await asyncio.sleep(self.standin.cfg.service_s)
            self._require_not_rolled_back()
            if _WRITE_PATTERN.match(text):
                return await self._write(text)
            return self._read(text)

    def _read(self, text: str) -> Reply:
        conn = self.pooled.conn if self.pooled else self.standin.database.main
        result = self._execute(conn, text)
        columns = build_columns(result.column_names, result.rows)
        return Reply(columns, result.rows, in_transaction=self.pooled is not None)

    async def _write(self, text: str) -> Reply:
        self._require_primary()
        if self.pooled is None:
            self._acquire_connection()
            try:
                return await self._write_autocommit(text)
            finally:
                self._end_transaction(commit=False)
                self.rolled_back_by_server = False
        return await self._write_in_transaction(text)

    async def _write_autocommit(self, text: str) -> Reply:
        self.pooled.conn.execute("BEGIN")
        reply = await self._write_in_transaction(text)
        self._require_primary()
        self._end_transaction(commit=True)
        return replace(reply, in_transaction=False)

    async def _write_in_transaction(self, text: str) -> Reply:
        if not self.holds_lock:
            try:
                async with asyncio.timeout(LOCK_WAIT_TIMEOUT_S):
                    await self.standin.write_lock.acquire()
            except TimeoutError as exc:
                raise SqlError(LOCK_WAIT_TIMEOUT_ERRNO, "lock wait timeout") from exc
            self.holds_lock = True
            if self.rolled_back_by_server:
                self._end_transaction(commit=False)
        self._require_not_rolled_back()
        self._require_primary()
        result = self._execute(self.pooled.conn, text)
        self.statements.append(text)
        return Reply(
            affected_rows=result.affected_rows,
            insert_id=result.insert_id,
            in_transaction=True,
        )

    def _require_not_rolled_back(self) -> None:
        if self.rolled_back_by_server:
            raise SqlError(READ_ONLY_ERRNO, DEMOTED_MESSAGE)

    def _require_primary(self) -> None:
        if self.standin.state.role is not Role.PRIMARY:
            raise SqlError(READ_ONLY_ERRNO, "instance is read only")

    def _execute(self, conn: sqlite3.Connection, text: str) -> SqlResult:
        try:
            return execute(conn, text)
        except sqlite3.IntegrityError as exc:
            raise SqlError(DUPLICATE_KEY_ERRNO, "constraint failed") from exc
        except sqlite3.OperationalError as exc:
            if "locked" in str(exc):
                self._end_transaction(commit=False)
                raise SqlError(DEADLOCK_ERRNO, "snapshot is too old") from exc
            raise SqlError(SYNTAX_ERRNO, str(exc)) from exc
        except (ValueError, sqlite3.Error) as exc:
            raise SqlError(SYNTAX_ERRNO, str(exc)) from exc

    async def _call_procedure(self, name: str, arguments: str) -> Reply:
        procedure = find_procedure(name)
        if procedure is None:
            raise SqlError(SYNTAX_ERRNO, "unknown procedure")
        try:
            values = json.loads(f"[{arguments.replace(chr(39), chr(34))}]")
        except ValueError as exc:
            raise SqlError(SYNTAX_ERRNO, "bad arguments") from exc
        return await procedure(self.standin, self, *values)
