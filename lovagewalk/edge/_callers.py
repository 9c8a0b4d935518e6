"""Performs effects on callers: the MySQL front."""

import asyncio
import secrets
from collections.abc import AsyncIterator
from typing import Any

from mysql_mimic.auth import (
    AuthInfo,
    AuthState,
    Forbidden,
    IdentityProvider,
    NativePasswordAuthPlugin,
    Success,
    User,
)

from lovagewalk.core import Code, LovageError, Refusal
from lovagewalk.routing import (
    AnswerCaller,
    CallerConnected,
    CallerLeft,
    CallerReset,
    CloseCaller,
    StatementArrived,
    StatementRejected,
)
from lovagewalk.runtime import Ports, customer_class_label
from lovagewalk.statements import classify, split_marks

from ._endpoints import StatementResult
from ._mysql_server import (
    MysqlListener,
    Reply,
    ServerSession,
    SqlError,
    build_columns,
    refusal_error,
)

DEFAULT_COLUMN = "value"
KEYLESS_USERS = ("", "public")


class CallerSession(ServerSession):
    """One caller's connection to this daemon."""

    def __init__(self, ports: Ports) -> None:
        super().__init__()
        self.ports = ports
        self.caller = next(ports.id_sequence)
        self.accepted: asyncio.Future | None = None
        self.answer: asyncio.Future | None = None
        self.connected = False

    async def admit(self, key_id: str) -> Refusal | None:
        """Ask whether this caller may connect; None means yes."""
        self.accepted = asyncio.get_running_loop().create_future()
        self.ports.callers.sessions[self.caller] = self
        self.connected = True
        now = self.ports.now()
        self.ports.feed(CallerConnected(now, self.caller, key_id, self.database or ""))
        return await self.accepted

    def abort(self) -> None:
        """Note that the connection has ended."""
        if self.connected:
            self.connected = False
            self.ports.callers.sessions.pop(self.caller, None)
            self.ports.feed(CallerLeft(self.ports.now(), self.caller))

    async def reset(self) -> None:
        """Start the session afresh."""
        self.ports.feed(CallerReset(self.ports.now(), self.caller))

    async def run(self, sql: str, attrs: dict[str, str]) -> Reply:
        """Route one statement and return its answer."""
        try:
            marked = split_marks(sql, attrs)
            kind = classify(marked.text)
        except LovageError as exc:
            self.ports.feed(StatementRejected(self.ports.now(), self.caller, exc.code))
            raise refusal_error(exc.refusal) from exc
        req = next(self.ports.id_sequence)
        started = self.ports.now()
        self.answer = asyncio.get_running_loop().create_future()
        self.ports.feed(
            StatementArrived(
                self.ports.now(), req, self.caller, kind, marked.text, marked.marks
            )
        )
        answer = await self.answer
        elapsed = self.ports.now() - started
        customer_class = customer_class_label(self.ports.state, answer.customer)
        self.ports.metrics.count_answer(answer, elapsed, customer_class)
        return self._build_reply(answer)

    def _build_reply(self, answer: AnswerCaller) -> Reply:
        result: StatementResult | None = self.ports.results.pop(answer.req, None)
        if answer.refusal is not None:
            raise refusal_error(answer.refusal)
        if answer.value is not None:
            row = (answer.value,)
            return Reply(
                build_columns((DEFAULT_COLUMN,), [row]),
                (row,),
                in_transaction=answer.in_transaction,
                autocommit=answer.autocommit,
            )
        if result is None:
            return Reply(
                in_transaction=answer.in_transaction, autocommit=answer.autocommit
            )
        rows: Any = result.rows
        if result.rest is not None:
            rows = _join(result.rows, result.rest)
        return Reply(
            build_columns(result.names, result.rows),
            rows,
            result.affected_rows,
            result.insert_id,
            answer.in_transaction,
            answer.autocommit,
        )


async def _join(first: tuple, rest: AsyncIterator) -> AsyncIterator:
    try:
        for row in first:
            yield row
        async for row in rest:
            yield row
    except (OSError, asyncio.IncompleteReadError) as exc:
        raise SqlError(Code.CONNECTION_LOST.errno, "rows broke off") from exc
    finally:
        await rest.aclose()


class KeyPlugin(NativePasswordAuthPlugin):
    """Checks a key's secret, then asks the decisions before saying yes."""

    def __init__(self, session: CallerSession) -> None:
        self._session = session

    async def auth(self, auth_info: AuthInfo | None = None) -> AuthState:
        """Drive the exchange; see the library's base class."""
        check = super().auth(auth_info)
        decision = await check.__anext__()
        while not isinstance(decision, (Success, Forbidden)):
            auth_info = yield decision
            decision = await check.asend(auth_info)
        keyless = auth_info.username in KEYLESS_USERS
        if isinstance(decision, Forbidden) and not keyless:
            yield Forbidden(str(Refusal(Code.KEY_UNKNOWN)))
            return
        key_id = "" if keyless else auth_info.username
        refusal = await self._session.admit(key_id)
        if refusal is None:
            yield Success(auth_info.username)
        else:
            yield Forbidden(str(refusal))


class KeyProvider(IdentityProvider):
    """Looks keys up in the catalogue.

    An unknown key gets a digest that nothing matches, so that it cannot be told
    from a wrong secret.
    """

    def __init__(self, session: CallerSession) -> None:
        self._plugin = KeyPlugin(session)
        self._session = session

    def get_plugins(self) -> list[KeyPlugin]:
        """Return the one plugin."""
        return [self._plugin]

    async def get_user(self, username: str) -> User:
        """Return the key's digest."""
        key = self._session.ports.state.catalogue.key(username)
        digest = key.digest if key else secrets.token_hex(20)
        return User(username, digest, self._plugin.name)


class CallerFront:
    """The listener for callers of one daemon."""

    def __init__(self, ports: Ports) -> None:
        self.sessions: dict[int, CallerSession] = {}
        self.listener = MysqlListener(lambda: CallerSession(ports), KeyProvider)

    def accept(self, caller: int) -> None:
        """Let a caller in."""
        session = self.sessions.get(caller)
        if session is not None and not session.accepted.done():
            session.accepted.set_result(None)

    def answer(self, effect: AnswerCaller) -> None:
        """Answer a caller's statement."""
        session = self.sessions.get(effect.caller)
        if session is not None and session.answer and not session.answer.done():
            session.answer.set_result(effect)

    def close(self, effect: CloseCaller) -> None:
        """Turn a caller away, or end its connection."""
        session = self.sessions.get(effect.caller)
        if session is None:
            return
        if not session.accepted.done():
            session.accepted.set_result(effect.refusal)
            return
        loop = asyncio.get_running_loop()
        loop.call_soon(session.connection.stream.writer.close)
