"""Runs statements on pool connections, independent of their protocol.

An endpoint answers the messages of a connection in their order.
"""

import functools
from collections.abc import Callable
from typing import Any, Protocol

from lovagewalk.groups import Position
from lovagewalk.pools import ConnectionSettled
from lovagewalk.routing import (
    BeginTransaction,
    EndTransaction,
    Failure,
    RunStatement,
    SetupAnswered,
    SetUpConnection,
    SetupStep,
    StatementDone,
    StatementFailed,
    may_send,
)

from ._ports import Ports

MISSING_ANSWER_DETAIL = "the answer belongs to another message"


class Answer(Protocol):
    """An endpoint's complete answer to one message.

    Attributes
    ----------
    failure : Failure or None
        None on success.
    error : str
        The endpoint's own name of the error; empty on success.
    result : Any
        Kept until the caller is answered.
    in_transaction, transaction_failed : bool
        Whether a transaction is open on the connection, and whether it has failed and
        only waits for its end.
    position : Position or None
        The instance's position afterwards; None if it states none.
    is_signed : bool
        Whether the endpoint's signature shows that it ran a caller's statement.
    """

    failure: Failure | None
    error: str
    result: Any
    in_transaction: bool
    transaction_failed: bool
    position: Position | None
    is_signed: bool


AnswerHandler = Callable[[Answer], None]


class StatementConnection(Protocol):
    """A connection on which statements run."""

    @property
    def is_open(self) -> bool:
        """Whether a message can still be sent."""

    def send_step(
        self, handler: AnswerHandler, step: SetupStep | EndTransaction
    ) -> None:
        """Send a step that belongs to no caller, and pass its answer to `handler`."""

    def send_statement(
        self, handler: AnswerHandler, effect: RunStatement, wait: bool
    ) -> None:
        """Send the statement of an effect, and pass its answer to `handler`.

        Parameters
        ----------
        wait : bool
            Whether the endpoint has to hold the effect's minimum position.
        """


class SetupRun:
    """The steps that set up a connection; all are sent at once."""

    def __init__(
        self, ports: Ports, conn: StatementConnection, effect: SetUpConnection
    ) -> None:
        self._ports = ports
        self._conn = conn
        self._effect = effect
        self._awaited = len(effect.steps)
        self._applied: tuple[SetupStep, ...] = ()
        self._refusal: Answer | None = None

    def start(self) -> None:
        """Send the steps."""
        ports, effect = self._ports, self._effect
        if not self._conn.is_open or not may_send(ports.state, effect, ports.now()):
            self._finish(failure=Failure.NOT_SENT)
            return
        for step in effect.steps:
            self._conn.send_step(functools.partial(self._on_answer, step), step)

    def _on_answer(self, step: SetupStep, answer: Answer) -> None:
        self._awaited -= 1
        if answer.failure is None:
            self._applied += (step,)
        elif self._refusal is None:
            self._refusal = answer
        if self._awaited:
            return
        refusal = self._refusal
        if refusal is None:
            self._finish(usable=True, in_transaction=answer.in_transaction)
            return
        # Whether a step had an effect is not known if it failed in another way.
        is_refused = refusal.failure is not Failure.ERROR
        self._finish(
            failure=refusal.failure,
            detail=refusal.error,
            usable=is_refused and not answer.transaction_failed,
            in_transaction=answer.in_transaction,
        )

    def connection_lost(self) -> None:
        """Report a failure, since the connection is lost."""
        if self._awaited:
            self._finish(failure=Failure.LOST)

    def _finish(self, **fields: object) -> None:
        self._awaited = 0
        effect, now = self._effect, self._ports.now()
        self._ports.feed(
            SetupAnswered(now, effect.req, effect.conn, self._applied, **fields)
        )


class StatementRun:
    """One statement on a pool connection, with the start of its transaction."""

    def __init__(
        self, ports: Ports, conn: StatementConnection, effect: RunStatement
    ) -> None:
        self._ports = ports
        self._conn = conn
        self._effect = effect
        self._finished = False
        self._statement_sent = False
        self._sent_at = 0.0

    def start(self) -> None:
        """Send the statement or the start of its transaction."""
        effect = self._effect
        self._sent_at = self._ports.now()
        if not self._may_send():
            return
        if effect.require_proof:
            self._send_with_proof()
        elif effect.begin:
            step = BeginTransaction(effect.read_only, effect.min_position)
            self._conn.send_step(self._on_begin, step)
        else:
            self._send_statement(wait=True)

    def _may_send(self) -> bool:
        ports = self._ports
        if self._conn.is_open and may_send(ports.state, self._effect, ports.now()):
            return True
        self._fail(Failure.NOT_SENT, usable=False)
        return False

    def _send_statement(self, wait: bool) -> None:
        self._statement_sent = True
        self._conn.send_statement(self._on_statement_answer, self._effect, wait)

    def _send_with_proof(self) -> None:
        """Send a read in a separate transaction, which only a primary opens."""
        self._conn.send_step(self._on_proof_begin, BeginTransaction())
        self._send_statement(wait=False)
        self._conn.send_step(self._on_proof_end, EndTransaction())

    def _on_proof_begin(self, answer: Answer) -> None:
        if answer.failure is not None:
            self._fail(
                answer.failure, usable=True, detail=answer.error, answers_owed=True
            )

    def _on_proof_end(self, answer: Answer) -> None:
        """Report the connection, whose transaction stays open if its end is refused."""
        usable = not answer.in_transaction and not answer.transaction_failed
        now = self._ports.now()
        self._ports.feed(ConnectionSettled(now, self._effect.conn, usable))

    def _on_begin(self, answer: Answer) -> None:
        if answer.failure is not None:
            usable = not answer.in_transaction and not answer.transaction_failed
            self._fail(answer.failure, usable=usable, detail=answer.error)
        elif not self._finished and self._may_send():
            self._send_statement(wait=False)

    def _on_statement_answer(self, answer: Answer) -> None:
        if self._finished:
            return
        if answer.failure is not None:
            self._on_statement_error(answer)
            return
        if not self._is_expected(answer):
            self._fail(Failure.LOST, detail=MISSING_ANSWER_DETAIL)
            return
        self._finished = True
        effect = self._effect
        self._ports.results[effect.req] = answer.result
        self._ports.feed(
            StatementDone(
                self._ports.now(),
                effect.req,
                effect.conn,
                position=answer.position,
                in_transaction=self._has_open_transaction(answer),
                sent_at=self._sent_at,
                answers_owed=effect.require_proof,
            )
        )

    def _is_expected(self, answer: Answer) -> bool:
        """Whether a result can be that of the statement.

        After a lost answer, that to the next message comes in its place.
        """
        effect = self._effect
        if effect.signed and not answer.is_signed:
            return False
        return answer.in_transaction or not effect.require_proof

    def _on_statement_error(self, answer: Answer) -> None:
        usable = not answer.transaction_failed or self._effect.require_proof
        self._fail(
            answer.failure,
            usable=usable,
            detail=answer.error,
            in_transaction=self._has_open_transaction(answer),
            answers_owed=self._effect.require_proof,
        )

    def _has_open_transaction(self, answer: Answer) -> bool:
        """Whether the caller's transaction is open on the connection."""
        return answer.in_transaction and not self._effect.require_proof

    def connection_lost(self) -> None:
        """Report a failure, since the connection is lost."""
        self._fail(Failure.LOST if self._statement_sent else Failure.NOT_SENT)

    def _fail(self, failure: Failure, **fields: object) -> None:
        if self._finished:
            return
        self._finished = True
        effect = self._effect
        now = self._ports.now()
        self._ports.feed(
            StatementFailed(now, effect.req, effect.conn, failure, **fields)
        )
