"""Starts the project's programs as the deploy file says, on loopback addresses."""

import asyncio
import json
import os
import random
import re
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from servers import Group, Platform, beat_forever, http

ROOT = Path(__file__).resolve().parents[1]
ZONES = {"celaya": "bajio", "queretaro": "bajio", "guadalajara": "occidente"}
CORE_ZONES = ("celaya", "celaya", "guadalajara", "guadalajara", "queretaro")
EDGE_ZONES = ("celaya", "guadalajara", "queretaro")
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "settleWindowMs": 5000,
    "ackTimeoutMs": 6000,
    "catchUpS": 4,
    "drainMs": 7000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 4000,
    "downgradeSlackMs": 250,
    "partitionMaxMs": 15000,
    "strictRevoke": True,
    "revokeMs": 5000,
    "quotaWindowS": 5,
    "quotaOverage": 0.1,
    "quotaSlack": 20,
    "recoveryS": 12,
    "fencingEnforced": True,
    "thawSlackMs": 300,
}


# Limit of a play; the case is stopped after it.
PLAY_LIMIT_S = 110.0


class CannotRun(Exception):
    """The case could not be played."""


def toml_text(table):
    """Return a table of plain values and tables as TOML."""
    lines = [f"{k} = {json.dumps(v)}" for k, v in table.items() if type(v) is not dict]
    for name, inner in table.items():
        if type(inner) is dict:
            lines.append(f"[{name}]")
            lines += [f"{k} = {json.dumps(v)}" for k, v in inner.items()]
    return "\n".join(lines) + "\n"


class Daemon:
    """One process of the system."""

    def __init__(self, fleet, name, role, ip, zone):
        self.fleet = fleet
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self.process = None
        self.folder = fleet.folder / name
        (self.folder / "data").mkdir(parents=True)

    def write_settings(self, bootstrap):
        fleet = self.fleet
        is_core = self.role == "control"
        listen = {"controlPlane": f"{self.ip}:{fleet.control_port}"}
        if not is_core:
            listen = {
                "frontend": f"{self.ip}:{fleet.client_port}",
                "ready": f"{self.ip}:{fleet.ready_port}",
            }
        table = {
            "nodeName": self.name,
            "role": self.role,
            "machineClass": "core" if is_core else "edge",
            "serves": ["control"] if is_core else ["edge"],
            "ip": self.ip,
            "zone": self.zone,
            "region": ZONES[self.zone],
            "internalPorts": [fleet.peer_port, fleet.peer_port + 15],
            "seedNodes": [f"{d.ip}:{fleet.control_port}" for d in fleet.cores[:3]],
            "bootstrap": bootstrap,
            "faultCounted": is_core,
            "discovery": "registry",
            "ingress": "vip",
            "heartbeatMs": 1200,
            "config_mode": "highest",
        }
        if is_core:
            table["dataDir"] = str(self.folder / "data")
        table["zones"] = ZONES
        table["listenAddrs"] = listen
        table["faultTolerance"] = {"machines": 2, "zones": 0, "regions": 0}
        table["bounds"] = BOUNDS
        table["providerApi"] = {
            "addr": f"{fleet.platform.host}:{fleet.platform.port}",
            "ratePerS": 50.0,
            "duties": ["promotion"],
            "dutyPerS": 50.0,
        }
        (self.folder / "settings.toml").write_text(toml_text(table))

    def start(self, bootstrap=False):
        self.write_settings(bootstrap)
        role = self.fleet.deploy["roles"][self.role]
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env.update(role.get("env", {}))
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["LOVAGEWALK_SETTINGS"] = str(self.folder / "settings.toml")
        with open(self.folder / "log.txt", "ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(" "), cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def kill(self, number=signal.SIGKILL):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class Fleet:
    """A small deployment: control and entry daemons, services, the platform."""

    def __init__(self, record, services, edges=3, max_conns=21):
        self.started_at = time.monotonic()
        self.record_file = open(record, "w", encoding="utf-8")
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.prefix = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.runs = []
        self.version = 0
        self.tasks = []
        hosts = [f"{self.prefix}.{100 + n}" for n in range(3 * len(services))]
        self.groups = [
            Group(name, hosts[3 * n : 3 * n + 3], EDGE_ZONES, self._on_run, max_conns)
            for n, name in enumerate(services)
        ]
        self.platform = Platform(f"{self.prefix}.200", self.groups, self.log)
        self.cores = []
        self.edges = []
        for n, zone in enumerate(CORE_ZONES):
            ip = f"{self.prefix}.{10 + n}"
            self.cores.append(Daemon(self, f"core-{n + 1}", "control", ip, zone))
        for n in range(edges):
            ip = f"{self.prefix}.{30 + n}"
            zone = EDGE_ZONES[n % len(EDGE_ZONES)]
            self.edges.append(Daemon(self, f"edge-{n + 1}", "entry", ip, zone))
        self.control_port, self.client_port, self.ready_port, self.peer_port = (
            self._free_ports()
        )

    def _free_ports(self):
        """Return four ports that are free at all addresses of the daemons."""
        found = []
        hosts = [d.ip for d in self.cores + self.edges]
        while len(found) < 4:
            port = random.randint(20000, 30000)
            if any(abs(port - other) < 20 for other in found):
                continue
            try:
                for host in hosts:
                    with socket.socket() as probe:
                        probe.bind((host, port))
            except OSError:
                continue
            found.append(port)
        return found

    def log(self, text):
        elapsed = time.monotonic() - self.started_at
        print(f"{elapsed:8.3f} {text}", file=self.record_file)

    def _on_run(self, **run):
        run["at"] = time.monotonic()
        self.runs.append(run)
        instance = run["instance"]
        self.log(
            f"run at {instance.id} ({instance.group.service}, "
            f"{'primary' if instance.is_primary else 'replica'}, log {run['number']}) "
            f"for {run['user']}: {run['request']} {run['text']}"
        )

    def runs_of(self, request):
        return [run for run in self.runs if run["request"] == request]

    async def start(self):
        await self.platform.start()
        for group in self.groups:
            for instance in group.instances:
                await instance.start()
        for daemon in self.cores + self.edges:
            daemon.start(bootstrap=True)
        daemons = [(d.ip, self.control_port) for d in self.cores]
        for group in self.groups:
            for instance in group.instances:
                self.spawn(beat_forever(instance, daemons, self.log))

    def spawn(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))

    async def put_config(self, routes, tenants, limit_s=30.0):
        """Send a configuration under the next version until it is acknowledged."""
        self.version += 1
        body = json.dumps(
            {
                "version": self.version,
                "routes": routes,
                "services": [
                    {
                        "name": group.service,
                        "healthPath": "/healthz",
                        "maxConns": group.max_conns,
                        "protocol": "h1",
                        "tls": False,
                        "syncReplicas": 0,
                    }
                    for group in self.groups
                ],
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 262144,
                    "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000,
                    "txIdleMs": 3000,
                },
                "tenants": tenants,
            }
        ).encode()
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            daemon = random.choice(self.cores)
            try:
                status, answer = await http(
                    daemon.ip, self.control_port, "PUT", "/lovagewalk/config", body, 3.0
                )
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                status, answer = 0, b""
            if status == 200:
                self.log(f"operator: version {self.version} is acknowledged")
                return time.monotonic()
            if status in (400, 409, 412, 413, 422):
                raise CannotRun(f"configuration refused: {status} {answer!r}")
            await asyncio.sleep(0.1)
        raise CannotRun("no acknowledgement of a configuration")

    async def wait_ready(self, limit_s=30.0):
        until = time.monotonic() + limit_s
        for daemon in self.edges:
            while True:
                try:
                    status, _ = await http(
                        daemon.ip, self.ready_port, "GET", "/lovagewalk/readyz"
                    )
                except (OSError, TimeoutError, asyncio.IncompleteReadError):
                    status = 0
                if status == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRun(f"{daemon.name} is not ready")
                await asyncio.sleep(0.1)

    async def connect(self, edge, database, key, limit_s=5.0):
        client = Client(self, edge, database, key)
        await client.open(limit_s)
        return client

    def _log_failures(self, daemon):
        """Record how often a daemon says that one of its reducers has failed."""
        path = daemon.folder / "log.txt"
        text = path.read_text(errors="replace") if path.exists() else ""
        for event in sorted(set(re.findall(r"core: reducing (\w+) failed", text))):
            count = text.count(f"core: reducing {event} failed")
            self.log(f"{daemon.name} logged {count} times: reducing {event} failed")

    def end(self):
        for task in self.tasks:
            task.cancel()
        for daemon in self.cores + self.edges:
            daemon.kill(signal.SIGCONT)
            daemon.kill(signal.SIGKILL)
        for daemon in self.cores + self.edges:
            if daemon.process is not None:
                daemon.process.wait()
            self._log_failures(daemon)
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """The answer to one statement."""

    def __init__(self, rows, signature, error, detail, state):
        self.rows = rows
        self.signature = signature
        self.error = error
        self.detail = detail
        self.state = state

    @property
    def ok(self):
        return not self.error

    def __str__(self):
        if self.error:
            return f"ERROR {self.error} {self.detail} / {self.state}"
        return f"{' '.join(self.rows)} COMPLETE {self.signature} / {self.state}"


class Client:
    """A client's session at an entry daemon."""

    def __init__(self, fleet, edge, database, key):
        self.fleet = fleet
        self.edge = edge
        self.database = database
        self.key = key
        self.name = "c" + secrets.token_hex(2)
        self.reader = self.writer = None

    async def open(self, limit_s=5.0):
        until = time.monotonic() + limit_s
        while True:
            self.reader, self.writer = await asyncio.open_connection(
                self.edge.ip, self.fleet.client_port
            )
            self.writer.write(f"STARTUP {self.database} {self.key}\r\n".encode())
            try:
                async with asyncio.timeout(2.0):
                    line = (await self.reader.readuntil(b"\r\n")).decode()
            except (TimeoutError, OSError, asyncio.IncompleteReadError) as exc:
                line = repr(exc)
            if line.startswith("READY"):
                return
            self.writer.close()
            if time.monotonic() > until:
                raise CannotRun(f"no session: {line}")
            await asyncio.sleep(0.2)

    async def query(self, text, limit_s=5.0, request=None):
        """Send a statement; return its id, its answer, and when it was sent."""
        request = request or secrets.token_hex(8)
        sent_at = time.monotonic()
        self.fleet.log(f"{self.name} at {self.edge.name} sends {request} {text}")
        rows, signature, error, detail = [], "", "", ""
        try:
            self.writer.write(f"QUERY {request} {text}\r\n".encode())
            async with asyncio.timeout(limit_s):
                while True:
                    line = (await self.reader.readuntil(b"\r\n")).decode()[:-2]
                    word, _, rest = line.partition(" ")
                    if word == "DATAROW":
                        rows.append(rest)
                    elif word == "COMPLETE":
                        signature = rest
                    elif word == "ERROR":
                        error, _, detail = rest.partition(" ")
                    elif word == "READY":
                        answer = Answer(rows, signature, error, detail, rest[:1])
                        break
        except (OSError, asyncio.IncompleteReadError):
            answer = Answer(rows, "", "CLOSED", "", "-")
        except TimeoutError:
            answer = Answer(rows, "", "NO-ANSWER", "", "-")
        self.fleet.log(f"{self.name} gets {request}: {answer}")
        return request, answer, sent_at

    def close(self):
        self.writer.close()


def route(name, host, service, kind, timeout_ms, target_ms, **more):
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": host,
        "pathPrefix": "/",
        "kind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": target_ms,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        **more,
    }


def tenant(name, keys, rate=200, burst=200):
    """Return a tenant of a configuration."""
    return {
        "name": name,
        "apiKeys": list(keys),
        "priority": 1,
        "ratePerS": rate,
        "burst": burst,
    }


def play(case, services, edges=3, max_conns=21):
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 otherwise."""
    record = Path(sys.argv[1] if len(sys.argv) > 1 else ".") / "record.txt"
    trouble = os.environ.get("TROUBLE", "1") != "0"
    fleet = Fleet(record, services, edges, max_conns)

    async def run():
        async with asyncio.timeout(PLAY_LIMIT_S):
            await fleet.start()
            return await case(fleet, trouble)

    def on_stop(*_):
        raise CannotRun("stopped from outside")

    signal.signal(signal.SIGTERM, on_stop)
    signal.signal(signal.SIGINT, on_stop)
    code = 2
    try:
        broken = asyncio.new_event_loop().run_until_complete(run())
        fleet.log(f"result: {'BROKEN' if broken else 'held'}")
        code = 1 if broken else 0
    except (CannotRun, TimeoutError, OSError) as exc:
        fleet.log(f"result: could not run: {exc!r}")
    finally:
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        signal.signal(signal.SIGINT, signal.SIG_IGN)
        fleet.end()
    fleet.record_file.flush()
    # Ends at once: the connections that are still open need no orderly end.
    os._exit(code)
