"""Demotion of a primary while a client's transaction holds the write lock."""

import asyncio

import asyncmy
import pytest

from lovagewalk.core import TimerService
from lovagewalk.groups import Role
from lovagewalk.standin import Standin, StandinSettings
from lovagewalk.standin._constants import READ_ONLY_ERRNO

WAIT_S = 10.0
CREATE = "CREATE TABLE notes (id BIGINT PRIMARY KEY, body VARCHAR(20))"


class Pair:
    """Two instances: the first is primary in term 1, and the second follows it."""

    def __init__(self):
        timer = TimerService()
        self.instances = [Standin(StandinSettings(f"db{i}"), timer) for i in (0, 1)]
        self.clients = []

    async def start(self):
        for instance in self.instances:
            await instance.start()
        await self.promote(0, term=1)
        await self.run(await self.connect(0), CREATE)
        await self.caught_up(1)

    async def promote(self, number, term):
        """Fence both instances at `term`, promote one and let the other follow it."""
        new, old = self.instances[number], self.instances[1 - number]
        for instance in (new, old):
            await self.call(instance, f"CALL group_fence({term})")
        await self.call(new, f"CALL group_promote({term})")
        await self.call(old, f"CALL group_follow('127.0.0.1', {new.port}, {term})")

    async def call(self, instance, text):
        await self.run(await self.connect(self.instances.index(instance)), text)

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

    async def run(self, conn, text):
        async with conn.cursor() as cursor:
            await cursor.execute(text)
            return await cursor.fetchall()

    async def caught_up(self, number):
        other, instance = self.instances[1 - number], self.instances[number]
        async with asyncio.timeout(WAIT_S):
            while not (
                instance.state.role is Role.REPLICA
                and instance.state.index == other.state.index
            ):
                await asyncio.sleep(0.005)

    async def rows(self, number):
        conn = await self.connect(number)
        return {row[0] for row in await self.run(conn, "SELECT id FROM notes")}

    async def close(self):
        for conn in self.clients:
            conn.close()
        for instance in self.instances:
            await instance.close()


@pytest.fixture
async def pair():
    pair = Pair()
    await pair.start()
    yield pair
    await pair.close()


async def test_rows_arrive_although_a_transaction_was_open_at_the_demotion(pair):
    client = await pair.connect(0)
    await pair.run(client, "BEGIN")
    await pair.run(client, "INSERT INTO notes (id, body) VALUES (1, 'open')")
    await pair.promote(1, term=2)
    writer = await pair.connect(1)
    await pair.run(writer, "INSERT INTO notes (id, body) VALUES (2, 'kept')")
    await pair.caught_up(0)
    assert await pair.rows(0) == {2}


async def test_a_transaction_from_before_a_demotion_cannot_commit(pair):
    client = await pair.connect(0)
    await pair.run(client, "BEGIN")
    await pair.run(client, "INSERT INTO notes (id, body) VALUES (1, 'open')")
    await pair.promote(1, term=2)
    await pair.promote(0, term=3)
    for text in ("INSERT INTO notes (id, body) VALUES (2, 'rest')", "COMMIT"):
        with pytest.raises(asyncmy.errors.Error) as caught:
            await pair.run(client, text)
        assert caught.value.args[0] == READ_ONLY_ERRNO
    await pair.run(client, "INSERT INTO notes (id, body) VALUES (3, 'after')")
    assert await pair.rows(0) == {3}


async def test_an_instance_whose_rows_cannot_be_applied_stops(pair):
    """Otherwise it could be promoted at a position whose rows it lacks."""
    lent = pair.instances[1].database.take()
    lent.conn.execute("BEGIN IMMEDIATE")
    client = await pair.connect(0)
    await pair.run(client, "INSERT INTO notes (id, body) VALUES (1, 'lost')")
    async with asyncio.timeout(WAIT_S):
        while pair.instances[1].is_listening:
            await asyncio.sleep(0.005)
    lent.conn.close()
