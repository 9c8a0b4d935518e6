"""Test harness: an entry daemon, a stand-in group and a catalogue set by the test."""

from dataclasses import replace

import asyncmy
from mysql_mimic.auth import NativePasswordAuthPlugin

from lovagewalk import catalogue as cat
from lovagewalk.core import Shell, TimerService
from lovagewalk.daemon import SweepTick, install_catalogue
from lovagewalk.edge._callers import MysqlCallerServer
from lovagewalk.edge._endpoints import EndpointClient
from lovagewalk.edge._group_client import (
    Credentials,
    StatusChannel,
    fence_query,
    follow_query,
    promote_query,
)
from lovagewalk.groups import PollTick
from lovagewalk.node import Identity, NodeState
from lovagewalk.runtime import Ports
from lovagewalk.shares import Share
from lovagewalk.standin import Standin, StandinSettings

HOST = "127.0.0.1"
FAR_FUTURE_S = 1e18
GROUP = "kiosk-ledger"
CUSTOMERS = ("harbour", "station")


class DaemonHarness:
    """An entry daemon and its group, with methods to change them during a test."""

    def __init__(self, instance_count=3, **settings):
        self.timer = TimerService()
        self.instances = [
            Standin(StandinSettings(f"db{i}", **settings), self.timer)
            for i in range(instance_count)
        ]
        self.credentials = Credentials("lovagewalk", "endpoint-secret")
        self.ports = Ports(self.timer)
        self.port = 0
        self.revision = 0
        self.client_conns = []

    async def __aenter__(self):
        for instance in self.instances:
            await instance.start()
        self.ports.endpoints = EndpointClient(self.ports, self.credentials)
        self.ports.callers = MysqlCallerServer(self.ports)
        identity = Identity("entry1", "sapporo-a", "doo-west", b"fleet-secret")
        state = NodeState(identity, fresh_until=FAR_FUTURE_S)
        for name in CUSTOMERS:
            share = Share(name, 1e6, 1e6, 1e6, 0.0, FAR_FUTURE_S)
            state = replace(state, shares=state.shares.set(name, share))
        self.ports.shell = Shell(state, self.ports, self.timer)
        self.port = await self.ports.callers.listener.listen(HOST, 0)
        self.ports.shell.subscribe(PollTick)
        self.ports.shell.subscribe(SweepTick)
        self.apply_commands(*self.initial_commands())
        await self.promote(0, 1)
        return self

    async def __aexit__(self, *exc_info):
        for conn in self.client_conns:
            conn.close()
        self.ports.close()
        self.ports.shell.close()
        self.ports.endpoints.close_all()
        self.ports.callers.listener.close()
        for instance in self.instances:
            await instance.close()
        self.timer.close()

    def initial_commands(self):
        commands = []
        for name in CUSTOMERS:
            digest = NativePasswordAuthPlugin.create_auth_string(f"{name}-secret")
            commands.append(cat.PutCustomer(cat.CustomerEntry(name, "o", 1e6, 1e6), 0))
            commands.append(cat.IssueKey(f"{name}-key", name, digest))
        commands.append(cat.PutRoute(cat.RouteEntry("ledger", "o", GROUP), 0))
        open_route = cat.RouteEntry("prices", "o", GROUP, cat.RouteClass.OPEN)
        commands.append(cat.PutRoute(open_route, 0))
        restricted_route = cat.RouteEntry("board", "o", GROUP, customers=("station",))
        commands.append(cat.PutRoute(restricted_route, 0))
        for instance in self.instances:
            commands.append(cat.AnnounceEndpoint(self.build_endpoint(instance)))
        return commands

    def build_endpoint(self, instance):
        cfg = instance.cfg
        return cat.Endpoint(
            cfg.name, GROUP, HOST, instance.port, "sapporo-a", "doo-west", 20
        )

    @property
    def state(self):
        return self.ports.state

    def apply_commands(self, *commands):
        """Apply commands to the catalogue and install the result in the daemon."""
        catalogue = self.state.catalogue
        for command in commands:
            self.revision += 1
            proposal = cat.Proposal(f"r{self.revision}", "test", 0.0, command)
            applied = cat.apply_proposal(catalogue, self.revision, proposal)
            assert applied.result.refusal is None, applied.result
            catalogue = applied.catalogue
        step = install_catalogue(self.state, catalogue, self.timer.now())
        self.ports.shell.apply_step(step)

    async def promote(self, primary_index, term, reachable=None):
        """Fence, promote and install a primary, as the control leader would."""
        instances = self.instances if reachable is None else reachable
        new_primary = self.instances[primary_index]
        status = await self.send_order(new_primary, fence_query(term))
        for instance in instances:
            if instance is not new_primary:
                await self.send_order(instance, fence_query(term))
        await self.send_order(new_primary, promote_query(term))
        for instance in instances:
            if instance is not new_primary:
                await self.send_order(
                    instance, follow_query(HOST, new_primary.port, term)
                )
        voters = tuple(
            cat.Voter(i.cfg.name, i.state.incarnation) for i in self.instances
        )
        start = cat.TermStart(term, status.index, status.last_term)
        self.apply_commands(
            cat.AllocateTerm(GROUP, term),
            cat.InstallTerm(GROUP, term, new_primary.cfg.name, voters, start),
        )

    async def send_order(self, instance, query):
        channel = StatusChannel(HOST, instance.port, self.credentials, self.timer)
        try:
            return (await channel.query(query, 1.0)).status
        finally:
            channel.close()

    async def connect(self, customer="harbour", route="ledger", **kwargs):
        options = {"user": f"{customer}-key", "password": f"{customer}-secret"}
        options.update(kwargs)
        conn = await asyncmy.connect(
            host=HOST, port=self.port, db=route, autocommit=True, **options
        )
        self.client_conns.append(conn)
        return conn


async def run(conn, text):
    """Run a statement and return its rows, or the number of affected rows."""
    async with conn.cursor() as cursor:
        affected_rows = await cursor.execute(text)
        if cursor.description is None:
            return affected_rows
        return [tuple(row) for row in await cursor.fetchall()]


def received_texts(instance, substring):
    """Return the statements containing `substring` that an instance received."""
    return [text for text in instance.received if substring in text]
