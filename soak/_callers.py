"""Clients of a soak run: sessions that write, read and switch daemons; an operator."""

import asyncio
import random
import re

import aiohttp
import asyncmy

from lovagewalk.cli.tests.process_fleet import HOST
from lovagewalk.demo import run
from lovagewalk.operators import OperatorError

from ._faults import MOVING_ROUTE
from ._promises import (
    ChangeEnded,
    ChangeRead,
    KeyWithdrawn,
    LimitedServed,
    RowsRead,
    WithdrawnServed,
    WriteEnded,
    WriteOutcome,
)

TABLE = "soak"
WRITER, LIMITED, WITHDRAWN = "writer", "limited", "withdrawn"
# Longer than every documented time limit of a statement, so that no response is missed.
RESPONSE_LIMIT_S = 12.0
CONNECT_LIMIT_S = 3.0
# Mean pause between two operations of a session.
MEAN_THINK_S = 0.05
SWITCH_FRACTION = 0.1
TRANSACTION_FRACTION = 0.3
LEDGER_ROUTE = "ledger"
# Longer than most of the stops, which last up to 2 s.
MAX_HOLD_S = 3.0
# The lock that other writers wait for is free for most of the time.
MAX_LOCK_S = 0.1
READING_FRACTION = 0.6
# Pause of a caller after an error.
RETRY_PAUSE_S = 0.2
CHANGE_PAUSE_S = 0.5
_NOT_STORED = re.compile(r"\[(not run|failed)\]")
REQUEST_ERRORS = (
    asyncmy.errors.Error,
    aiohttp.ClientError,
    OSError,
    EOFError,
    TimeoutError,
)


def classify_error(exc: Exception) -> WriteOutcome:
    """Return the outcome that an error reports for a write."""
    return (
        WriteOutcome.NOT_STORED
        if _NOT_STORED.search(str(exc))
        else WriteOutcome.UNKNOWN
    )


class Session:
    """A caller that writes, reads, and switches daemons with its session token.

    Parameters
    ----------
    feed : callable
        Receives the observations of the caller as events.

    Attributes
    ----------
    route : str
        The route to which it connects.
    writes : bool
        Whether it writes rows, which are read back after the run.
    """

    route = LEDGER_ROUTE
    writes = True
    transaction_fraction = TRANSACTION_FRACTION

    def __init__(self, fleet, number, key, seed, feed, now):
        self.fleet = fleet
        self.number = number
        self.key = key
        self.rng = random.Random(f"{seed}/{number}")
        self.feed = feed
        self.now = now
        self.conn = None
        self.token_comment = ""
        self.next_row = number * 1_000_000

    async def connect(self):
        """Open a connection to a random daemon."""
        ports = self.rng.choice(list(self.fleet.ports.values()))
        async with asyncio.timeout(CONNECT_LIMIT_S):
            self.conn = await asyncmy.connect(
                host=HOST,
                port=ports[0],
                user=self.key,
                password="secret",
                db=self.route,
                autocommit=True,
            )

    def disconnect(self):
        """Close the connection, whose state may be uncertain, and forget the token."""
        if self.conn is not None:
            self.conn.close()
        self.conn = None
        self.token_comment = ""

    async def execute(self, text):
        """Run a statement; the first after a switch of daemons carries the token."""
        token_comment, self.token_comment = self.token_comment, ""
        async with asyncio.timeout(RESPONSE_LIMIT_S):
            return await run(self.conn, f"{token_comment}{text}")

    async def run(self, end_at):
        """Run operations until the given time; reconnect after errors."""
        while self.now() < end_at:
            try:
                if self.conn is None:
                    await self.connect()
                await self.run_operation()
            except REQUEST_ERRORS:
                self.disconnect()
                await asyncio.sleep(RETRY_PAUSE_S)
            await asyncio.sleep(self.rng.expovariate(1 / MEAN_THINK_S))
        self.disconnect()

    async def run_operation(self):
        """Write and read, and sometimes switch to another daemon."""
        await self.write()
        if self.conn is not None:
            await self.read()
        if self.conn is not None and self.rng.random() < SWITCH_FRACTION:
            await self.switch_daemon()

    async def write(self):
        """Insert a row, or two in a transaction, and record the outcome."""
        count = 2 if self.rng.random() < self.transaction_fraction else 1
        rows = tuple(self.next_row + n for n in range(count))
        self.next_row += count
        try:
            if count > 1:
                await self.execute("BEGIN")
            for row in rows:
                text = f"INSERT INTO {TABLE} VALUES ({row}, {self.number})"
                await self.execute(text)
                await self.think()
            if count > 1:
                await self.execute("COMMIT")
            outcome = WriteOutcome.ACKNOWLEDGED
        except REQUEST_ERRORS as exc:
            outcome = classify_error(exc)
            if outcome is WriteOutcome.UNKNOWN:
                self.disconnect()
            elif count > 1:
                await self.roll_back()
        self.feed(WriteEnded(self.now(), self.number, rows, outcome))

    async def think(self):
        """Pause after each row; subclasses hold their transactions open here."""

    async def roll_back(self):
        """Roll back a transaction whose statement was refused."""
        try:
            await self.execute("ROLLBACK")
        except REQUEST_ERRORS:
            self.disconnect()

    async def read(self):
        """Read the rows that this session has written."""
        text = f"SELECT id FROM {TABLE} WHERE s = {self.number}"
        rows = await self.execute(text)
        seen = tuple(row[0] for row in rows)
        self.feed(RowsRead(self.now(), self.number, seen))

    async def switch_daemon(self):
        """Reconnect to a random daemon and continue the session by its token."""
        token = (await self.execute("SELECT LOVAGEWALK_TOKEN()"))[0][0]
        self.disconnect()
        await self.connect()
        self.token_comment = f"/* lw token={token} */ " if token else ""


class ReaderSession(Session):
    """A caller whose reads match no row; it records when each one was served.

    Attributes
    ----------
    served_event : type
        Type of the event to record; subclasses set it.
    """

    served_event: type
    writes = False

    async def run_operation(self):
        """Read, and record that the request was admitted."""
        sent_at = self.now()
        await self.execute(f"SELECT 1 FROM {TABLE} WHERE id = 0")
        self.feed(self.served_event(self.now(), sent_at))


class MovingSession(Session):
    """A caller of the route that moves to another group and returns."""

    route = MOVING_ROUTE


class HoldingSession(Session):
    """A caller that holds each transaction open for a while, also during a stop.

    A transaction that has written holds the write lock of the stand-in's database, so
    only those that read are held open for long.
    """

    transaction_fraction = 1.0

    async def run_operation(self):
        if self.rng.random() < READING_FRACTION:
            await self.execute("BEGIN")
            await self.read()
            await asyncio.sleep(self.rng.uniform(0.0, MAX_HOLD_S))
            await self.read()
            await self.execute("COMMIT")
        else:
            await super().run_operation()

    async def think(self):
        await asyncio.sleep(self.rng.uniform(0.0, MAX_LOCK_S))


class LimitedSession(ReaderSession):
    """A caller of a customer that exceeds its rate by far."""

    served_event = LimitedServed


class WithdrawnSession(ReaderSession):
    """A caller whose key is withdrawn while it is connected."""

    served_event = WithdrawnServed


class Operator:
    """Changes a catalogue entry periodically, and withdraws a key once."""

    def __init__(self, fleet, seed, feed, now):
        self.fleet = fleet
        self.rng = random.Random(f"{seed}/operator")
        self.feed = feed
        self.now = now
        self.number = 0
        self.revision = 0

    async def change(self, command, **fields):
        """Propose a change at a random daemon."""
        name = self.rng.choice(list(self.fleet.ports))
        async with self.fleet.operator_client(name) as client:
            return await client.change(command, **fields)

    async def run(self, end_at, withdraw_at):
        """Change an entry until the given time; withdraw the key at `withdraw_at`."""
        withdrawn = False
        while self.now() < end_at:
            if not withdrawn and self.now() >= withdraw_at:
                withdrawn = await self.withdraw()
            await self.write_next_number()
            await asyncio.sleep(CHANGE_PAUSE_S)

    async def withdraw(self):
        """Withdraw the key; return whether the withdrawal was acknowledged."""
        command = {"_type": "WithdrawKey", "key_id": WITHDRAWN}
        try:
            await self.change(command)
        except (*REQUEST_ERRORS, OperatorError):
            return False
        self.feed(KeyWithdrawn(self.now()))
        return True

    async def write_next_number(self):
        """Write the next number; a number whose outcome is unknown is not reused."""
        self.number += 1
        try:
            revision = await self.read_revision()
            entry = {
                "name": "counter",
                "owner": "o",
                "rate": float(self.number),
                "burst": 1.0,
                "weight": 1.0,
            }
            command = {"_type": "PutCustomer", "entry": entry, "expected": revision}
            await self.change(command)
        except (*REQUEST_ERRORS, OperatorError):
            self.feed(ChangeEnded(self.now(), self.number, False))
            return
        self.feed(ChangeEnded(self.now(), self.number, True))

    async def read_back(self):
        """Read the current number, once the fleet has recovered."""
        counter = await self._read_counter()
        number = int(counter["entry"]["rate"]) if counter else 0
        self.feed(ChangeRead(self.now(), number))

    async def read_revision(self):
        counter = await self._read_counter()
        return counter["revision"] if counter else 0

    async def _read_counter(self):
        name = self.rng.choice(list(self.fleet.ports))
        async with self.fleet.operator_client(name) as client:
            catalogue = await client.get("/catalogue")
        matching = [
            item
            for item in catalogue["customers"]
            if item["entry"]["name"] == "counter"
        ]
        return matching[0] if matching else None
