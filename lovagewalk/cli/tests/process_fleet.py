"""Runs a fleet of daemons and instances as processes, for tests and benchmarks."""

import asyncio
import sys
from hashlib import sha256

import asyncmy
from mysql_mimic.auth import NativePasswordAuthPlugin

from lovagewalk.core import Code
from lovagewalk.demo._fleet import free_port
from lovagewalk.operators import OperatorClient, OperatorError

HOST = "127.0.0.1"
TOKEN = "operator-token"
WAIT_LIMIT_S = 30.0
MAIN_SCRIPT = "import lovagewalk.cli; lovagewalk.cli.main()"
ENDPOINT_PASSWORD = "endpoint-secret"


def daemon_ini(
    folder, name, ports, control_ports, fleet_size=3, peers_port=0, limits=""
):
    """Return the text of a daemon's settings file.

    `control_ports` maps each control VM to the port at which this daemon reaches it.
    The fleet secret is derived from the folder, so that a daemon of another fleet
    that runs at the same time cannot join.
    """
    secret = sha256(str(folder).encode()).hexdigest()
    control_lines = "\n".join(
        f"{vm} = {HOST}:{port}" for vm, port in control_ports.items()
    )
    return f"""
[daemon]
name = {name}
zone = z
region = r
roles = {'entry, control' if name in control_ports else 'entry'}
fleet_size = {fleet_size}
[listen]
host = {HOST}
callers_port = {ports[0]}
peers_port = {peers_port or control_ports.get(name) or free_port()}
operators_port = {ports[1]}
[control]
{control_lines}
[secrets]
fleet = {secret}
operator = {TOKEN}
announce = announce-secret
[endpoints]
user = lovagewalk
password = {ENDPOINT_PASSWORD}
[data]
folder = {folder / name if name in control_ports else ''}
[log]
level = WARNING
{limits}
"""


def standin_ini(name, port, daemons, service_ms=0.0):
    """Return the text of an instance's settings file."""
    return f"""
[instance]
name = {name}
group = kiosk-ledger
zone = z
region = r
host = {HOST}
port = {port}
user = lovagewalk
password = {ENDPOINT_PASSWORD}
connect_ms = 0
service_ms = {service_ms}
[announce]
daemons = {", ".join(daemons)}
secret = announce-secret
"""


class ProcessFleet:
    """Daemons and instances of one fleet, each in a process.

    Attributes
    ----------
    ports : dict
        Ports of each daemon, for callers and for operators.
    """

    def __init__(self, folder, daemon_count=3, service_ms=0.0, limits=""):
        self.limits = limits
        self.folder = folder
        self.service_ms = service_ms
        self.instance_ports = {f"db{n}": free_port() for n in (1, 2, 3)}
        self.processes = {}
        self.ports = {
            f"vm{n}": (free_port(), free_port()) for n in range(1, daemon_count + 1)
        }

    def start_process(self, program, name, output=None):
        path = str(self.folder / f"{name}.ini")
        arguments = (sys.executable, "-c", MAIN_SCRIPT, program, "--settings", path)
        return asyncio.create_subprocess_exec(
            *arguments, cwd=self.folder, stdout=output, stderr=output
        )

    async def __aenter__(self):
        control_ports = {name: free_port() for name in list(self.ports)[:3]}
        operator_addresses = [f"{HOST}:{ports[1]}" for ports in self.ports.values()]
        for name, ports in self.ports.items():
            size = len(self.ports)
            text = daemon_ini(
                self.folder, name, ports, control_ports, size, limits=self.limits
            )
            (self.folder / f"{name}.ini").write_text(text)
            self.processes[name] = await self.start_process("daemon", name)
        for name in self.instance_ports:
            (self.folder / f"{name}.ini").write_text(
                standin_ini(
                    name, self.instance_ports[name], operator_addresses, self.service_ms
                )
            )
            self.processes[name] = await self.start_process("standin", name)
        return self

    async def __aexit__(self, *exc_info):
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()

    def operator_client(self, name):
        return OperatorClient(f"{HOST}:{self.ports[name][1]}", TOKEN)

    async def wait_for_status(self, name, condition):
        async with asyncio.timeout(WAIT_LIMIT_S):
            while True:
                try:
                    async with self.operator_client(name) as client:
                        status = await client.get("/status")
                    if condition(status):
                        return status
                except OSError:
                    pass
                await asyncio.sleep(0.1)

    async def change(self, name, command):
        """Propose a change, and retry while control has no leader."""
        async with asyncio.timeout(WAIT_LIMIT_S), self.operator_client(name) as client:
            while True:
                try:
                    return await client.change(command)
                except OperatorError as exc:
                    if exc.code != Code.NOT_LEADER.label:
                        raise
                await asyncio.sleep(0.2)

    async def connect(self, name, key, secret):
        async with asyncio.timeout(WAIT_LIMIT_S):
            while True:
                try:
                    return await asyncmy.connect(
                        host=HOST,
                        port=self.ports[name][0],
                        user=key,
                        password=secret,
                        db="ledger",
                        autocommit=True,
                    )
                except asyncmy.errors.Error:
                    await asyncio.sleep(0.1)

    async def set_up_catalogue(self, customers, rate, burst):
        """Create customers with one key each, and a route to the group."""
        await self.add_customers(customers, rate, burst)
        await self.add_route()

    async def add_customers(self, customers, rate, burst):
        for name in customers:
            entry = {
                "name": name,
                "owner": "o",
                "rate": rate,
                "burst": burst,
                "weight": 1.0,
            }
            digest = NativePasswordAuthPlugin.create_auth_string("secret")
            for command in (
                {"_type": "PutCustomer", "entry": entry, "expected": 0},
                {
                    "_type": "IssueKey",
                    "key_id": name,
                    "customer": name,
                    "digest": digest,
                },
            ):
                await self.change("vm2", command)

    async def add_route(self):
        route = {
            "name": "ledger",
            "owner": "o",
            "group": "kiosk-ledger",
            "route_class": "KEYED",
            "customers": [],
        }
        await self.change("vm2", {"_type": "PutRoute", "entry": route, "expected": 0})


def is_serving(status):
    """Whether a daemon knows a primary and holds shares of all customers."""
    has_primary = bool(status["groups"] and status["groups"][0]["primary"])
    shares = status["shares"]
    return has_primary and bool(shares) and all(share["rate"] > 0 for share in shares)
