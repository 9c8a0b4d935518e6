"""Serves callers over the MySQL protocol and performs effects on them."""

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

from lovagewalk.clients import ClientKind
from lovagewalk.core import Code, LovageError, Refusal
from lovagewalk.routing import (
    AnswerCaller,
    CallerConnected,
    CallerDisconnected,
    CallerReset,
    CloseCaller,
    StatementArrived,
    StatementRejected,
)
from lovagewalk.runtime import (
    ClientPort,
    Ports,
    StreamConnection,
    customer_class_label,
)
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

VALUE_COLUMN = "value"
KEYLESS_USERS = ("", "public")


class CallerSession(ServerSession):
    """One caller's connection to this daemon.

    Attributes
    ----------
    caller : int
        Number that identifies the caller in events and effects.
    """

    def __init__(self, ports: Ports) -> None:
        super().__init__()
        self.ports = ports
        self.caller = next(ports.id_sequence)
        self.admission_future: asyncio.Future | None = None
        self.answer_future: asyncio.Future | None = None
        self.connected = False
        self.client: ClientPort | None = None

    def open_client(self, connection: StreamConnection) -> ClientPort:
        """Return the session's connection as a client of the budget."""
        self.client = ClientPort(
            self.ports, ClientKind.CALLER, connection, number=self.caller
        )
        return self.client

    def report_answer(self) -> None:
        """Report the rows that the client has not read."""
        self.client.connection.measure()

    async def admit(self, key_id: str) -> Refusal | None:
        """Request admission of this caller.

        Returns
        -------
        Refusal or None
            None if the caller is admitted.
        """
        self.admission_future = asyncio.get_running_loop().create_future()
        self.ports.callers.sessions[self.caller] = self
        self.connected = True
        self.client.set_waiting(False)
        now = self.ports.now()
        self.ports.feed(CallerConnected(now, self.caller, key_id, self.database or ""))
        return await self.admission_future

    def connection_lost(self) -> None:
        """Remove the session and report that the caller has disconnected."""
        if self.connected:
            self.connected = False
            self.ports.callers.sessions.pop(self.caller, None)
            self.ports.feed(CallerDisconnected(self.ports.now(), self.caller))

    async def reset(self) -> None:
        """Report that the caller has requested a reset of its session."""
        self.ports.feed(CallerReset(self.ports.now(), self.caller))

    async def run(self, sql: str, attrs: dict[str, str]) -> Reply:
        """Submit one statement for routing and return its result."""
        try:
            marked = split_marks(sql, attrs)
            statement_kind = classify(marked.text)
        except LovageError as exc:
            self.ports.feed(StatementRejected(self.ports.now(), self.caller, exc.code))
            raise refusal_error(exc.refusal) from exc
        req = next(self.ports.id_sequence)
        started_at = self.ports.now()
        self.answer_future = asyncio.get_running_loop().create_future()
        self.ports.feed(
            StatementArrived(
                self.ports.now(),
                req,
                self.caller,
                statement_kind,
                marked.text,
                marked.marks,
            )
        )
        answer = await self.answer_future
        elapsed_s = self.ports.now() - started_at
        customer_class = customer_class_label(self.ports.state, answer.customer)
        self.ports.metrics.count_answer(answer, elapsed_s, customer_class)
        return self._build_reply(answer)

    def _build_reply(self, answer: AnswerCaller) -> Reply:
        result: StatementResult | None = self.ports.results.pop(answer.req, None)
        if answer.refusal is not None:
            raise refusal_error(answer.refusal)
        if answer.value is not None:
            row = (answer.value,)
            return Reply(
                build_columns((VALUE_COLUMN,), [row]),
                (row,),
                in_transaction=answer.in_transaction,
                autocommit=answer.autocommit,
            )
        if result is None:
            return Reply(
                in_transaction=answer.in_transaction, autocommit=answer.autocommit
            )
        rows: Any = result.rows
        if result.remaining_rows is not None:
            rows = _chain_rows(result.rows, result.remaining_rows)
        return Reply(
            build_columns(result.column_names, result.rows),
            rows,
            result.affected_rows,
            result.insert_id,
            answer.in_transaction,
            answer.autocommit,
        )


async def _chain_rows(
    first_rows: tuple, remaining_rows: AsyncIterator
) -> AsyncIterator:
    try:
        for row in first_rows:
            yield row
        async for row in remaining_rows:
            yield row
    except (OSError, asyncio.IncompleteReadError) as exc:
        raise SqlError(Code.CONNECTION_LOST.errno, "rows broke off") from exc
    finally:
        await remaining_rows.aclose()


class KeyAuthPlugin(NativePasswordAuthPlugin):
    """Verifies the secret of a key, then requests admission of the caller."""

    def __init__(self, session: CallerSession) -> None:
        self._session = session

    async def auth(self, auth_info: AuthInfo | None = None) -> AuthState:
        """Run the authentication exchange; see the base class in mysql-mimic."""
        exchange = super().auth(auth_info)
        auth_state = await exchange.__anext__()
        while not isinstance(auth_state, (Success, Forbidden)):
            auth_info = yield auth_state
            auth_state = await exchange.asend(auth_info)
        keyless = auth_info.username in KEYLESS_USERS
        if isinstance(auth_state, Forbidden) and not keyless:
            yield Forbidden(str(Refusal(Code.KEY_UNKNOWN)))
            return
        key_id = "" if keyless else auth_info.username
        refusal = await self._session.admit(key_id)
        if refusal is None:
            yield Success(auth_info.username)
        else:
            yield Forbidden(str(refusal))


class KeyIdentityProvider(IdentityProvider):
    """Looks up keys in the catalogue.

    An unknown key gets a random digest that no secret matches, so that a client
    cannot distinguish an unknown key from a wrong secret.
    """

    def __init__(self, session: CallerSession) -> None:
        self._plugin = KeyAuthPlugin(session)
        self._session = session

    def get_plugins(self) -> list[KeyAuthPlugin]:
        """Return the only authentication plugin."""
        return [self._plugin]

    async def get_user(self, username: str) -> User:
        """Return a user with the digest of the key that `username` names."""
        key = self._session.ports.state.catalogue.key(username)
        digest = key.digest if key else secrets.token_hex(20)
        return User(username, digest, self._plugin.name)


class MysqlCallerServer:
    """Accepts the callers of a daemon and performs effects on their sessions."""

    def __init__(self, ports: Ports) -> None:
        self.sessions: dict[int, CallerSession] = {}
        self.listener = MysqlListener(
            lambda: CallerSession(ports),
            KeyIdentityProvider,
            lambda session, connection: session.open_client(connection),
        )

    def accept(self, caller: int) -> None:
        """Complete the authentication of an admitted caller."""
        session = self.sessions.get(caller)
        if session is not None and not session.admission_future.done():
            session.admission_future.set_result(None)

    def answer(self, effect: AnswerCaller) -> None:
        """Pass the answer to a statement to the session that waits for it."""
        session = self.sessions.get(effect.caller)
        if (
            session is not None
            and session.answer_future
            and not session.answer_future.done()
        ):
            session.answer_future.set_result(effect)

    async def finish(self, limit_s: float) -> None:
        """Close every connection once its answers are sent, within a time limit."""
        await self.listener.finish(limit_s)

    def close(self, effect: CloseCaller) -> None:
        """Refuse a caller that waits for admission, or close its connection."""
        session = self.sessions.get(effect.caller)
        if session is None:
            return
        if not session.admission_future.done():
            session.admission_future.set_result(effect.refusal)
            return
        loop = asyncio.get_running_loop()
        loop.call_soon(session.connection.stream.writer.close)
