"""Demotion of a primary while a client's transaction holds the write lock."""

import asyncio

import asyncmy
import pytest

from lovagewalk.core import TimerService
from lovagewalk.groups import Role
from lovagewalk.standin import Standin, StandinSettings
from lovagewalk.standin._constants import READ_ONLY_ERRNO

TIMEOUT_S = 10.0
CREATE_TABLE = "CREATE TABLE notes (id BIGINT PRIMARY KEY, body VARCHAR(20))"


class InstancePair:
    """Two instances: the first is primary in term 1, and the second follows it."""

    def __init__(self):
        timer = TimerService()
        self.instances = [Standin(StandinSettings(f"db{i}"), timer) for i in (0, 1)]
        self.clients = []

    async def start(self):
        for instance in self.instances:
            await instance.start()
        await self.promote(0, term=1)
        await self.run_statement(await self.connect(0), CREATE_TABLE)
        await self.wait_until_caught_up(1)

    async def promote(self, number, term):
        """Fence both instances at `term`, promote one and let the other follow it."""
        new, old = self.instances[number], self.instances[1 - number]
        for instance in (new, old):
            await self.send_order(instance, f"CALL group_fence({term})")
        await self.send_order(new, f"CALL group_promote({term})")
        await self.send_order(
            old, f"CALL group_follow('127.0.0.1', {new.port}, {term})"
        )

    async def send_order(self, instance, text):
        await self.run_statement(
            await self.connect(self.instances.index(instance)), text
        )

    async def connect(self, number):
        instance = self.instances[number]
        conn = await asyncmy.connect(
            host="127.0.0.1",
            port=instance.port,
            user=instance.cfg.user,
            password=instance.cfg.password,
            autocommit=None,
        )
        self.clients.append(conn)
        return conn

    async def run_statement(self, conn, text):
        async with conn.cursor() as cursor:
            await cursor.execute(text)
            return await cursor.fetchall()

    async def wait_until_caught_up(self, number):
        other, instance = self.instances[1 - number], self.instances[number]
        async with asyncio.timeout(TIMEOUT_S):
            while not (
                instance.state.role is Role.REPLICA
                and instance.state.index == other.state.index
            ):
                await asyncio.sleep(0.005)

    async def read_ids(self, number):
        conn = await self.connect(number)
        return {
            row[0] for row in await self.run_statement(conn, "SELECT id FROM notes")
        }

    async def close(self):
        for conn in self.clients:
            conn.close()
        for instance in self.instances:
            await instance.close()


@pytest.fixture
async def pair():
    pair = InstancePair()
    await pair.start()
    yield pair
    await pair.close()


async def test_demoted_primary_with_an_open_transaction_applies_new_rows(pair):
    client = await pair.connect(0)
    await pair.run_statement(client, "BEGIN")
    await pair.run_statement(client, "INSERT INTO notes (id, body) VALUES (1, 'open')")
    await pair.promote(1, term=2)
    writer = await pair.connect(1)
    await pair.run_statement(writer, "INSERT INTO notes (id, body) VALUES (2, 'kept')")
    await pair.wait_until_caught_up(0)
    assert await pair.read_ids(0) == {2}


async def test_transaction_from_before_a_demotion_cannot_commit(pair):
    client = await pair.connect(0)
    await pair.run_statement(client, "BEGIN")
    await pair.run_statement(client, "INSERT INTO notes (id, body) VALUES (1, 'open')")
    await pair.promote(1, term=2)
    await pair.promote(0, term=3)
    for text in ("INSERT INTO notes (id, body) VALUES (2, 'rest')", "COMMIT"):
        with pytest.raises(asyncmy.errors.Error) as caught:
            await pair.run_statement(client, text)
        assert caught.value.args[0] == READ_ONLY_ERRNO
    await pair.run_statement(client, "INSERT INTO notes (id, body) VALUES (3, 'after')")
    assert await pair.read_ids(0) == {3}


async def test_instance_that_cannot_apply_an_entry_stops(pair):
    """Otherwise it could be promoted at a position whose rows it lacks."""
    pooled = pair.instances[1].database.acquire()
    pooled.conn.execute("BEGIN IMMEDIATE")
    client = await pair.connect(0)
    await pair.run_statement(client, "INSERT INTO notes (id, body) VALUES (1, 'lost')")
    async with asyncio.timeout(TIMEOUT_S):
        while pair.instances[1].is_listening:
            await asyncio.sleep(0.005)
    pooled.conn.close()
