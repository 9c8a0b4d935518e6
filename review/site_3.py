"""A small deployment on loopback addresses: daemons, databases, provider, clients.

The daemons are the project's own processes, started with the command of the deploy
file. Everything else is a stand-in in this process that follows PROTOCOL.md.
"""

import asyncio
import itertools
import json
import os
import random
import signal
import subprocess
import sys
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
FRONT_PORT, READY_PORT, CONTROL_PORT, INNER_PORT = 8465, 8460, 8462, 7560
SECRET = "secret-of-the-review-cases-of-issue-54"
KEY = "key-of-the-review-cases-54"
HEARTBEAT_S = 1.2
# A session is closed by its client if READY takes longer (PROTOCOL.md).
STARTUP_LIMIT_S = 2.0
PROMISES = frozenset(("BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"))


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class NotRunError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self._started = time.monotonic()

    def now(self):
        return time.monotonic() - self._started

    def write(self, text):
        self._file.write(f"{self.now():9.4f} {text}\n")

    def close(self):
        self._file.close()


class Instance:
    """One database instance; its log is a list of (term, number, commit)."""

    def __init__(self, group, name, host, zone):
        self.group, self.name, self.host, self.zone = group, name, host, zone
        self.port = 0
        self.state = "ready"
        self.role = "replica"
        self.term = 1
        self.log = []
        self.paused_term = 0
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.is_up = False
        self.server = None
        self.sessions = set()
        self.receive_from = 0.0
        self.receive_delay_s = 0.002
        # From its start until it receives from the primary.
        self.connect_s = 0.25
        self.group.instances.append(self)

    @property
    def position(self):
        if not self.log:
            return f"{self.term}.0"
        return f"{self.log[-1][0]}.{self.log[-1][1]}"

    @property
    def number(self):
        return self.log[-1][1] if self.log else 0

    def holds(self, position):
        term, _, number = position.partition(".")
        wanted = (int(term), int(number))
        if wanted[1] == 0:
            return True
        return any(entry[:2] == wanted for entry in reversed(self.log))

    async def start(self):
        """Listen; a restart keeps the address, the id and the log.

        Its start time is new, and its counts begin anew (PROTOCOL.md).
        """
        self.born, self.seq = int(time.time() * 1000), 0
        self.server = await asyncio.start_server(
            self._accept, self.host, self.port, limit=2 * 1024 * 1024
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.is_up = True
        # The pause ends with the restart (PROTOCOL.md).
        self.paused_term = 0
        self.receive_from = time.monotonic() + self.connect_s

    def crash(self):
        """Drop every connection and refuse new ones, as a process that ended."""
        self.is_up = False
        self.server.close()
        for session in list(self.sessions):
            session.abort()

    def receive(self, entries_of):
        """Receive what the primary has, unless paused or down."""
        if not self.is_up or self.paused_term > self.term or self.role != "replica":
            return
        if time.monotonic() < self.receive_from:
            return
        self.log.extend(entries_of.log[len(self.log) :])

    async def _accept(self, reader, writer):
        session = DatabaseSession(self, reader, writer)
        self.sessions.add(session)
        try:
            await session.serve()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            # The case has ended.
            pass
        finally:
            self.sessions.discard(session)
            writer.close()

    async def send_heartbeats(self, site):
        while True:
            if self.is_up:
                await self.send_heartbeat(site)
            await asyncio.sleep(HEARTBEAT_S)

    async def send_heartbeat(self, site):
        self.seq += 1
        body = {
            "service": self.group.service,
            "addr": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 3,
            "state": self.state,
            "coldLeftMs": 0,
            "dbRole": self.role,
            "born": self.born,
            "seq": self.seq,
        }
        path = f"/lovagewalk/instances/{self.name}"
        for host in site.shuffled_control_hosts():
            status, _ = await send_http(host, CONTROL_PORT, "PUT", path, body, 1.0)
            if 200 <= status < 300:
                site.record.write(f"heartbeat of {self.name} acknowledged: {self.state}")
                return True
        return False


class DatabaseSession:
    """One connection to an instance."""

    def __init__(self, instance, reader, writer):
        self.instance, self.reader, self.writer = instance, reader, writer
        self.tenant = ""
        self.state = "I"
        self.is_plain = False
        self.writes = []
        self.prepared = {}

    def abort(self):
        self.writer.transport.abort()

    async def _read_line(self):
        return (await self.reader.readuntil(b"\r\n")).decode()[:-2]

    def _send(self, *lines):
        self.writer.write("".join(f"{line}\r\n" for line in lines).encode())

    async def serve(self):
        instance = self.instance
        line = await self._read_line()
        word, service, rest = (line.split(" ", 2) + ["", ""])[:3]
        tenant, _, expected = rest.partition(" ")
        if word != "STARTUP" or service != instance.group.service:
            self._send("ERROR MISROUTED service")
            return
        if expected not in ("", instance.name):
            self._send("ERROR MISROUTED instance")
            return
        self.tenant = tenant
        await asyncio.sleep(instance.group.handshake_s)
        self._send(f"READY I {instance.position}")
        while True:
            line = await self._read_line()
            if line == "TERMINATE":
                return
            _, request, text = line.split(" ", 2)
            await self._run(request, text)

    async def _run(self, request, text):
        instance = self.instance
        if text.startswith("WAITLSN "):
            _, position, text = text.split(" ", 2)
            if not instance.holds(position):
                self._error("LAGGING", position)
                return
        words = text.split(" ")
        handler = getattr(self, f"_on_{words[0].lower()}", None)
        if handler is None:
            self._error("MALFORMED", text)
            return
        if self.state == "E" and words[0] not in ("ROLLBACK", "COMMIT"):
            self._error("MALFORMED", "the transaction failed")
            return
        await handler(request, text, words)

    def _ready(self):
        return f"READY {self.state} {self.instance.position}"

    def _done(self, signature="-", rows=()):
        rows = [f"DATAROW {row}" for row in rows]
        self._send(*rows, f"COMPLETE {signature}", self._ready())

    def _error(self, code, detail=""):
        self._send(f"ERROR {code} {detail}", self._ready())

    def _lost_lead(self):
        return self.is_plain and self.instance.role != "primary"

    def _status_row(self):
        instance = self.instance
        received = instance.position
        return f"{instance.role} {instance.term} {received} {instance.paused_term} 0 0 1"

    async def _on_status(self, request, text, words):
        self._done(rows=[self._status_row()])

    async def _on_pause(self, request, text, words):
        instance = self.instance
        term = int(words[1])
        if instance.role == "replica" and term > instance.group.term:
            instance.paused_term = term
            instance.group.record.write(f"{instance.name} paused at {instance.position}")
        self._done(rows=[self._status_row()])

    async def _on_resume(self, request, text, words):
        self.instance.paused_term = 0
        self.instance.group.record.write(f"{self.instance.name} resumed")
        self._done(rows=[self._status_row()])

    async def _on_set(self, request, text, words):
        self._done()

    async def _on_discard(self, request, text, words):
        self.prepared = {}
        self._done()

    async def _on_prepare(self, request, text, words):
        self.prepared[words[1]] = words[2]
        self._done()

    async def _on_begin(self, request, text, words):
        if text == "BEGIN" and self.instance.role != "primary":
            self._error("READONLY", self.instance.name)
            return
        self.state, self.is_plain, self.writes = "T", text == "BEGIN", []
        self._done()

    async def _on_rollback(self, request, text, words):
        self.state, self.is_plain, self.writes = "I", False, []
        self._done()

    async def _on_read(self, request, text, words):
        if self._lost_lead():
            self.state = "E"
            self._error("READONLY", self.instance.name)
            return
        await asyncio.sleep(self.instance.group.work_s)
        self.instance.group.note_run(self.instance, self.tenant, request, text)
        self._done(f"sig.{request}", [f"row-of-{words[1]}"])

    async def _on_write(self, request, text, words):
        if self.instance.role != "primary":
            if self.state == "T":
                self.state = "E"
            self._error("READONLY", self.instance.name)
            return
        if self.state == "T":
            self.writes.append(words[1])
            self._done(f"sig.{request}")
            return
        await self._commit(request, [words[1]])

    async def _on_commit(self, request, text, words):
        writes, failed = self.writes, self.state == "E"
        lost = self._lost_lead() and writes
        self.state, self.is_plain, self.writes = "I", False, []
        if failed or lost:
            self._error("READONLY", self.instance.name)
            return
        if not writes:
            self._done(f"sig.{request}")
            return
        await self._commit(request, writes)

    async def _commit(self, request, items):
        instance, group = self.instance, self.instance.group
        await asyncio.sleep(group.work_s)
        if instance.role != "primary":
            self._error("READONLY", instance.name)
            return
        group.note_run(instance, self.tenant, request, f"commit of {len(items)}")
        entry = (instance.term, instance.number + 1, request)
        instance.log.append(entry)
        group.log_grew(instance)
        while group.sync and not group.is_received(entry, instance):
            if instance.role != "primary" or entry not in instance.log[-5000:]:
                # Rolled back by a promotion while nobody had received it.
                self._error("FAILED", "lost the lead")
                return
            await asyncio.sleep(0.002)
        if instance.role != "primary":
            self._error("FAILED", "lost the lead")
            return
        group.acknowledged[request] = entry
        group.record.write(f"{instance.name} acknowledges {request} as {entry[0]}.{entry[1]}")
        self._done(f"sig.{request}")


class Group:
    """The instances of one service, their replication and their promotion."""

    def __init__(self, record, service, sync=0, promote_s=1.0):
        self.record, self.service, self.sync = record, service, sync
        self.promote_s = promote_s
        self.handshake_s = 0.012
        self.work_s = 0.004
        self.instances = []
        self.term = 1
        self.highest_fence = 0
        self.acknowledged = {}
        self.runs = []
        self.lost = []
        self._tasks = set()

    @property
    def primary(self):
        return next(i for i in self.instances if i.role == "primary")

    def find(self, name):
        return next((i for i in self.instances if i.name == name), None)

    def note_run(self, instance, tenant, request, text):
        self.runs.append((time.monotonic(), tenant, request))
        self.record.write(f"{instance.name} runs {request} {text}")

    def log_grew(self, primary):
        for replica in self.instances:
            if replica is not primary and replica.role == "replica":
                delay_s = replica.receive_delay_s
                asyncio.get_running_loop().call_later(
                    delay_s, self._receive, replica
                )

    def _receive(self, replica):
        primary = next((i for i in self.instances if i.role == "primary"), None)
        if primary is not None and primary.is_up and replica is not primary:
            replica.receive(primary)

    async def replicate(self):
        """Let replicas catch up that could not receive for a while."""
        while True:
            for replica in self.instances:
                self._receive(replica)
            await asyncio.sleep(0.02)

    def is_received(self, entry, primary):
        return any(
            entry in replica.log[-5000:]
            for replica in self.instances
            if replica is not primary
        )

    def promote(self, name, holder, fence):
        """Accept an order; the named instance leads the next term after a while."""
        instance = self.find(name)
        if fence < self.highest_fence or instance is None or not instance.is_up:
            self.record.write(f"promote {name} fence {fence} of {holder}: 409")
            return 409
        self.highest_fence = fence
        self.record.write(f"promote {name} fence {fence} of {holder}: 200")
        if instance.role == "primary":
            return 200
        loop = asyncio.get_running_loop()
        loop.call_later(self.promote_s, self._lead, instance, fence)
        return 200

    def _lead(self, instance, fence):
        if fence < self.highest_fence or instance.role == "primary":
            return
        if not instance.is_up:
            self.record.write(f"{instance.name} is down and is not promoted")
            return
        self.term += 1
        held = {entry[2] for entry in instance.log}
        lost = [request for request in self.acknowledged if request not in held]
        self.record.write(
            f"{instance.name} leads term {self.term} at {instance.position}; "
            f"its log lacks {len(lost)} acknowledged commits"
        )
        for request in lost:
            self.record.write(f"LOST {request} {self.acknowledged[request]}")
        self.lost.extend(lost)
        for other in self.instances:
            other.paused_term = 0
            if other is not instance:
                other.role = "replica"
                # What the new primary lacks is rolled back.
                other.log = [entry for entry in other.log if entry[2] in held]
            other.term = self.term
        instance.role = "primary"


async def send_http(host, port, method, path, content=None, limit_s=5.0):
    """Send a request; return the status and the body of the response, 0 for none."""
    body = b"" if content is None else json.dumps(content).encode()
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                head = (
                    f"{method} {path} HTTP/1.1\r\nHost: {host}:{port}\r\n"
                    "Content-Type: application/json\r\nConnection: close\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                answer = await reader.read(-1)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return 0, b""
    if not answer.startswith(b"HTTP/1.1 "):
        return 0, b""
    return int(answer.split(b" ", 2)[1]), answer.partition(b"\r\n\r\n")[2]


def _toml(table):
    lines = [f"{k} = {json.dumps(v)}" for k, v in table.items() if type(v) is not dict]
    for name, inner in table.items():
        if type(inner) is dict:
            lines.append(f"[{name}]")
            lines += [f"{k} = {json.dumps(v)}" for k, v in inner.items()]
    return "\n".join(lines) + "\n"


class Site:
    """Daemons, the provider, and the configuration of one deployment.

    Parameters
    ----------
    zones : dict of str to str
        Region of each zone.
    edges : list of str
        Zone of each edge daemon.
    """

    def __init__(self, record, folder, zones, edges, link_mbps, invariants, bounds):
        self.record, self.folder, self.zones = record, Path(folder), zones
        self.link_mbps, self.invariants, self.bounds = link_mbps, invariants, bounds
        self.prefix = f"127.{random.randint(20, 240)}.{random.randint(1, 250)}"
        names = list(zones)
        self.cores = {
            f"core-{n}": (f"{self.prefix}.{10 + n}", names[n % len(names)])
            for n in range(3)
        }
        self.edges = {
            f"edge-{n}": (f"{self.prefix}.{30 + n}", zone)
            for n, zone in enumerate(edges)
        }
        self.processes = {}
        self.groups = []
        self._tasks = []
        self._provider = None
        self._provider_address = ""
        self._hosts = itertools.count(150)
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self._roles = tomllib.load(file)["roles"]

    def next_host(self):
        return f"{self.prefix}.{next(self._hosts)}"

    def shuffled_control_hosts(self):
        hosts = [host for host, _ in self.cores.values()]
        random.shuffle(hosts)
        return hosts

    async def start(self):
        self._provider = await asyncio.start_server(
            self._serve_provider, f"{self.prefix}.250", 0
        )
        port = self._provider.sockets[0].getsockname()[1]
        self._provider_address = f"{self.prefix}.250:{port}"
        for name in self.cores:
            self.start_daemon(name, "control")
        for name in self.edges:
            self.start_daemon(name, "entry")
        for group in self.groups:
            self.spawn(group.replicate())
            for instance in group.instances:
                await instance.start()
                self.spawn(instance.send_heartbeats(self))

    def spawn(self, coro):
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.append(task)
        return task

    def start_daemon(self, name, role):
        is_core = role == "control"
        host, zone = (self.cores if is_core else self.edges)[name]
        settings = {
            "nodeName": name,
            "role": role,
            "machineClass": "core" if is_core else "edge",
            "serves": ["control" if is_core else "edge"],
            "ip": host,
            "zone": zone,
            "region": self.zones[zone],
            "internalPorts": [INNER_PORT, INNER_PORT + 15],
            "seedNodes": [f"{h}:{CONTROL_PORT}" for h, _ in self.cores.values()],
            "bootstrap": True,
            "faultCounted": is_core,
            "discovery": "registry",
            "ingress": "vip",
            "heartbeatMs": 1200,
            "invariants": self.invariants,
            "config_mode": "highest",
            "zones": self.zones,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": self.bounds,
            "providerApi": {"addr": self._provider_address, "ratePerS": 50.0},
        }
        if is_core:
            settings["dataDir"] = str(self.folder / name)
            settings["listenAddrs"] = {"controlPlane": f"{host}:{CONTROL_PORT}"}
            limits = {"memoryMb": 296, "maxFds": 4096, "linkMbps": 1000.0}
        else:
            settings["listenAddrs"] = {
                "frontend": f"{host}:{FRONT_PORT}",
                "ready": f"{host}:{READY_PORT}",
            }
            limits = {"memoryMb": 300, "maxFds": 4300, "linkMbps": self.link_mbps}
        settings["limits"] = {"cpuQuota": 0.6, "cores": 2, **limits}
        path = self.folder / f"{name}.toml"
        path.write_text(_toml(settings), encoding="utf-8")
        environ = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "LOVAGEWALK_SETTINGS": str(path),
            "LOVAGEWALK_FLEET_SECRET": SECRET,
        }
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                self._roles[role]["run"].split(),
                cwd=ROOT,
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.write(f"started {name}")

    async def _serve_provider(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            headers = {}
            for line in head.split("\r\n")[1:]:
                name, _, value = line.partition(":")
                headers[name.lower()] = value.strip()
            body = await reader.readexactly(int(headers.get("content-length", "0")))
            order = json.loads(body)
            group = next(g for g in self.groups if g.service == order["service"])
            await asyncio.sleep(0.012)
            status = group.promote(
                order["id"],
                headers["lovagewalk-lease-holder"],
                int(headers["lovagewalk-fencing-token"]),
            )
            writer.write(
                f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n"
                "Connection: close\r\n\r\n".encode()
            )
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, KeyError):
            pass
        finally:
            writer.close()

    async def configure(self, configuration, limit_s=30.0):
        """Send a configuration until it is acknowledged; return when it was."""
        version = configuration["version"]
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            host = self.shuffled_control_hosts()[0]
            status, body = await send_http(
                host, CONTROL_PORT, "PUT", "/lovagewalk/config", configuration
            )
            self.record.write(f"configuration {version} sent to {host}: {status}")
            if status == 200:
                return time.monotonic()
            if 400 <= status < 500:
                raise NotRunError(f"configuration {version} refused: {body!r}")
            await asyncio.sleep(0.2)
        raise NotRunError("no acknowledgement of the configuration")

    async def wait_ready(self, limit_s=40.0):
        """Wait until all edge daemons are ready."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            statuses = await asyncio.gather(
                *(
                    send_http(host, READY_PORT, "GET", "/lovagewalk/readyz", None, 1.0)
                    for host, _ in self.edges.values()
                )
            )
            if all(status == 200 for status, _ in statuses):
                self.record.write("all edge daemons are ready")
                return
            await asyncio.sleep(0.3)
        raise NotRunError("the edge daemons are not ready")

    def check_alive(self):
        for name, process in self.processes.items():
            if process.poll() is not None:
                raise NotRunError(f"{name} has ended with {process.returncode}")

    def close(self):
        for task in self._tasks:
            task.cancel()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait()
        if self._provider is not None:
            self._provider.close()
        for group in self.groups:
            for instance in group.instances:
                if instance.is_up:
                    instance.crash()


class Client:
    """A session of a client: one statement at a time, reconnects after a close."""

    ids = itertools.count(1)

    def __init__(self, record, host, database, key=KEY):
        self.record, self.host, self.database, self.key = record, host, database, key
        self._reader = self._writer = None

    async def connect(self):
        if self._writer is not None:
            return
        async with asyncio.timeout(STARTUP_LIMIT_S):
            self._reader, self._writer = await asyncio.open_connection(
                self.host, FRONT_PORT
            )
            self._writer.write(f"STARTUP {self.database} {self.key}\r\n".encode())
            line = await self._read_line()
        if not line.startswith("READY"):
            raise ConnectionError(line)

    async def _read_line(self):
        line = await self._reader.readuntil(b"\r\n")
        return line.decode()[:-2]

    def close(self):
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    @classmethod
    def next_id(cls):
        return f"{next(cls.ids):016x}"

    async def query(self, text, request=None, limit_s=10.0):
        """Run a statement.

        Returns its id, the outcome (`ok`, an error code, or `broken`), the rows, the
        signature and the state.
        """
        request = request or self.next_id()
        rows, signature, error = [], "", ""
        try:
            await self.connect()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            self.close()
            self.record.write(f"client cannot open a session at {self.host}: {exc!r}")
            return request, "unsent", rows, signature, "I"
        try:
            self.record.write(f"client sends {request} {text}")
            async with asyncio.timeout(limit_s):
                self._writer.write(f"QUERY {request} {text}\r\n".encode())
                while True:
                    word, _, rest = (await self._read_line()).partition(" ")
                    if word == "DATAROW":
                        rows.append(rest)
                    elif word == "COMPLETE":
                        signature = rest
                    elif word == "ERROR":
                        error = rest
                    elif word == "READY":
                        state = rest.partition(" ")[0]
                        break
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            self.close()
            self.record.write(f"client gets for {request}: broken {exc!r}")
            return request, "broken", rows, signature, "I"
        outcome = error.partition(" ")[0] or "ok"
        self.record.write(f"client gets for {request}: {error or signature} {state}")
        return request, outcome, rows, signature, state


def build_configuration(version, service, routes, tenants, sync=0, connections=46):
    """Return a configuration; routes and tenants are lists of tables."""
    route_defaults = {"pathPrefix": "/", "priority": 1, "maxAttempts": 2, "public": False}
    return {
        "version": version,
        "routes": [
            {"name": f"r-{n}", **route_defaults, "service": service, **route}
            for n, route in enumerate(routes)
        ],
        "services": [
            {
                "name": service,
                "healthPath": "/healthz",
                "maxConns": connections,
                "protocol": "h1",
                "tls": False,
                "syncReplicas": sync,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
            "txIdleMs": 3000,
        },
        "tenants": [{"priority": 1, **tenant} for tenant in tenants],
    }


def run_case(play, folder):
    """Run a case's coroutine, and exit with its verdict.

    Parameters
    ----------
    play : coroutine function
        Takes the record and a temporary folder, and returns the verdict.
    """
    import shutil
    import tempfile

    record = Record(folder)
    temporary = tempfile.mkdtemp(prefix="review-")
    try:
        verdict = asyncio.run(play(record, temporary))
    except NotRunError as exc:
        record.write(f"the case could not run: {exc}")
        print(f"not run: {exc}")
        verdict = NOT_RUN
    except Exception as exc:
        record.write(f"the case could not run: {exc!r}")
        print(f"not run: {exc!r}")
        verdict = NOT_RUN
    finally:
        record.close()
        if os.environ.get("KEEP"):
            print(temporary)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    sys.exit(verdict)
