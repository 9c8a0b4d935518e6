"""A small deployment on loopback addresses: daemons, a service, clients, an operator.

Daemons are started with the commands of the deploy file. Every machine has a loopback
address of its own; ports are chosen among the free ones.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

from database_2 import send_http

ROOT = Path(__file__).resolve().parents[1]
HERE = Path(__file__).resolve().parent
SECRET = "a secret of the review, long enough"
KEY = "keyofthereview0001"
TENANT = "tenant1"
KEY_2 = "keyofthereview0002"
TENANT_2 = "tenant2"
DATABASE = "ledgerdb"
SERVICE = "svcledger"
START_LIMIT_S = 30.0
ZONE, REGION = "celaya", "bajio"


def free_port(hosts):
    """Return a port that is free on all hosts."""
    for _ in range(200):
        port = random.randrange(20000, 32000)
        socks = []
        try:
            for host in hosts:
                for offset in (0, 1):
                    sock = socket.socket()
                    socks.append(sock)
                    sock.bind((host, port + offset))
            return port
        except OSError:
            continue
        finally:
            for sock in socks:
                sock.close()
    raise OSError("no free port")


class Client:
    """One session; keeps what it sent and what was answered."""

    def __init__(self, site, host):
        self.site, self.host = site, host
        self.reader = self.writer = None

    async def open(self, key=KEY, database=DATABASE):
        """Open the session; whether it was accepted."""
        try:
            async with asyncio.timeout(2.0):
                self.reader, self.writer = await asyncio.open_connection(
                    self.host, self.site.ports["frontend"]
                )
                self.writer.write(f"STARTUP {database} {key}\r\n".encode())
                line = await self._line()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return False
        if line.startswith("READY"):
            return True
        self.site.note({"event": "startup refused", "line": line})
        self.close()
        return False

    async def _line(self):
        return (await self.reader.readuntil(b"\r\n")).decode()[:-2]

    async def query(self, text, limit_s=10.0):
        """Send a statement; return a record of it with what was answered."""
        request = f"{random.getrandbits(64):016x}"
        sent = {"event": "query", "id": request, "text": text, "sent": time.time()}
        answer = {**sent, "rows": [], "outcome": "none", "state": "", "signature": ""}
        try:
            self.writer.write(f"QUERY {request} {text}\r\n".encode())
            async with asyncio.timeout(limit_s):
                while True:
                    word, _, rest = (await self._line()).partition(" ")
                    if word == "DATAROW":
                        answer["rows"].append(rest)
                    elif word == "COMPLETE":
                        answer["outcome"], answer["signature"] = "ok", rest
                    elif word == "ERROR":
                        answer["outcome"] = rest.partition(" ")[0]
                        answer["detail"] = rest.partition(" ")[2]
                    elif word == "READY":
                        answer["state"] = rest.partition(" ")[0]
                        break
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            answer["outcome"] = "none"
            self.close()
        answer["answered"] = time.time()
        self.site.note(answer)
        return answer

    @property
    def is_open(self):
        return self.writer is not None

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None


class Site:
    """The processes of a small deployment, and the record of a case.

    Parameters
    ----------
    case : Path
        Folder of the case, which gets `record.txt`.
    service : dict
        What the configuration of the service's stand-in holds besides addresses.
    """

    def __init__(self, case, service, controls=3, edges=2, route=None, instances=3):
        self.case = case
        self.record_path = case / "record.txt"
        self.folder = Path(tempfile.mkdtemp(prefix="review2-"))
        net = f"127.{random.randrange(60, 120)}.{random.randrange(1, 250)}"
        self.control_hosts = [f"{net}.{10 + n}" for n in range(controls)]
        self.edge_hosts = [f"{net}.{30 + n}" for n in range(edges)]
        self.instance_hosts = [f"{net}.{50 + n}" for n in range(instances)]
        self.platform_host = f"{net}.90"
        hosts = self.control_hosts + self.edge_hosts + self.instance_hosts
        hosts.append(self.platform_host)
        names = ("frontend", "ready", "control", "peers", "instance", "platform")
        self.ports = {}
        for name in names:
            port = free_port(hosts)
            while any(abs(port - other) < 20 for other in self.ports.values()):
                port = free_port(hosts)
            self.ports[name] = port
        self.service = service
        self.route = {"kind": "primary", "timeoutMs": 2000, **(route or {})}
        self.processes = {}
        self.version = 0
        self.record = []
        self.tenant = {"ratePerS": 10000, "burst": 10000}

    def note(self, entry):
        """Add an entry to the record."""
        self.record.append({"at": round(time.time(), 4), **entry})

    def configuration(self, **changes):
        """Return the next configuration."""
        self.version += 1
        return {
            "version": self.version,
            "routes": [
                {
                    "name": "r-1",
                    "host": DATABASE,
                    "pathPrefix": "/",
                    "targetLatencyMs": 1000,
                    "priority": 1,
                    "service": SERVICE,
                    "maxAttempts": 2,
                    "public": False,
                    **self.route,
                }
            ],
            "services": [
                {
                    "name": SERVICE,
                    "healthPath": "/healthz",
                    "maxConns": self.service.get("maxConns", 20),
                    "protocol": "h1",
                    "tls": False,
                    "syncReplicas": self.service.get("syncReplicas", 0),
                }
            ],
            "limits": {"txIdleMs": 3000},
            "tenants": [
                {"name": TENANT, "apiKeys": [KEY], "priority": 1, **self.tenant},
                {"name": TENANT_2, "apiKeys": [KEY_2], "priority": 1, **self.tenant},
            ],
            **changes,
        }

    async def put(self, configuration, limit_s=START_LIMIT_S):
        """Send a configuration until it is acknowledged; whether it was."""
        body = json.dumps(configuration).encode()
        end = time.time() + limit_s
        hosts = list(self.control_hosts)
        while time.time() < end:
            for host in hosts:
                status, _ = await send_http(
                    host, self.ports["control"], "PUT", "/lovagewalk/config", body
                )
                self.note(
                    {"event": "put", "host": host, "status": status,
                     "version": configuration["version"]}
                )
                if status == 200:
                    return True
                if 400 <= status < 500:
                    return False
            await asyncio.sleep(0.2)
        return False

    def _settings(self, name, host, is_control):
        seeds = [f"{h}:{self.ports['control']}" for h in self.control_hosts[:3]]
        addresses = {"controlPlane": f"{host}:{self.ports['control']}"}
        if not is_control:
            addresses = {
                "frontend": f"{host}:{self.ports['frontend']}",
                "ready": f"{host}:{self.ports['ready']}",
            }
        fields = {
            "nodeName": name,
            "role": "control" if is_control else "entry",
            "machineClass": "core" if is_control else "edge",
            "serves": ["control"] if is_control else ["edge"],
            "ip": host,
            "zone": ZONE,
            "region": REGION,
            "internalPorts": [self.ports["peers"], self.ports["peers"] + 15],
            "seedNodes": seeds,
            "bootstrap": name not in self.processes,
            "faultCounted": is_control,
            "discovery": "registry",
            "ingress": "vip",
            "heartbeatMs": 1200,
            "invariants": ["base", "drain", "config", "cost", "recover", "sql",
                           "tenants", "quota"],
            "config_mode": "highest",
        }
        if is_control:
            fields["dataDir"] = str(self.folder / f"{name}-data")
        tables = {
            "zones": {ZONE: REGION},
            "listenAddrs": addresses,
            "limits": {"cpuQuota": 0.86, "cores": 3, "memoryMb": 296, "maxFds": 4096,
                       "linkMbps": 1000.0, "diskMb": 128 if is_control else 0},
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {"seedLagS": 3, "addrReuseS": 2, "settleWindowMs": 5000,
                       "ackTimeoutMs": 6000, "catchUpS": 4, "drainMs": 7000,
                       "graceS": 6, "lossSlackMs": 200, "configApplyMs": 4000,
                       "downgradeSlackMs": 250, "partitionMaxMs": 15000,
                       "strictRevoke": True, "revokeMs": 5000, "quotaWindowS": 5,
                       "quotaOverage": 0.1, "quotaSlack": 20, "recoveryS": 12,
                       "fencingEnforced": True, "thawSlackMs": 300},
            "providerApi": {"addr": f"{self.platform_host}:{self.ports['platform']}",
                            "ratePerS": 50.0, "duties": ["promotion"],
                            "dutyPerS": 50.0},
        }
        lines = [f"{key} = {json.dumps(value)}" for key, value in fields.items()]
        for table, values in tables.items():
            lines.append(f"[{table}]")
            lines += [f"{key} = {json.dumps(value)}" for key, value in values.items()]
        return "\n".join(lines) + "\n"

    async def start_daemon(self, name, host, is_control):
        """Start a daemon with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["control" if is_control else "entry"]
        path = self.folder / f"{name}.toml"
        path.write_text(self._settings(name, host, is_control))
        environ = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environ["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environ["PYTHONDONTWRITEBYTECODE"] = "1"
        environ["LOVAGEWALK_SETTINGS"] = str(path)
        environ["LOVAGEWALK_FLEET_SECRET"] = SECRET
        with (self.folder / f"{name}.log").open("ab") as output:
            self.processes[name] = await asyncio.create_subprocess_exec(
                *role["run"].split(), cwd=ROOT, env=environ,
                stdin=asyncio.subprocess.DEVNULL, stdout=output, stderr=output,
            )

    async def kill_and_restart(self, name, down_s):
        """Kill a daemon, and start it again after a while."""
        self.processes[name].kill()
        self.note({"event": "kill", "name": name})
        await self.processes[name].wait()
        await asyncio.sleep(down_s)
        kind, _, number = name.partition("-")
        is_control = kind == "control"
        hosts = self.control_hosts if is_control else self.edge_hosts
        await self.start_daemon(name, hosts[int(number)], is_control)
        self.note({"event": "start", "name": name})

    async def start_service(self):
        """Start the stand-in of the service and of the platform's API."""
        cfg = {
            **self.service,
            "service": SERVICE,
            "record": str(self.folder / "service.jsonl"),
            "controls": [[h, self.ports["control"]] for h in self.control_hosts],
            "platform": [self.platform_host, self.ports["platform"]],
            "instances": [
                {"id": f"i-{n + 1}", "host": host, "port": self.ports["instance"],
                 "zone": ZONE}
                for n, host in enumerate(self.instance_hosts)
            ],
        }
        path = self.folder / "service.json"
        path.write_text(json.dumps(cfg))
        with (self.folder / "service.log").open("ab") as output:
            self.processes["service"] = await asyncio.create_subprocess_exec(
                sys.executable, str(HERE / "database_2.py"), str(path),
                stdin=asyncio.subprocess.DEVNULL, stdout=output, stderr=output,
                env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"},
            )

    async def start_resetter(self, addresses):
        """Start a process that resets connections once it is told to."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, str(HERE / "resetter_2.py"), *addresses,
            stdin=asyncio.subprocess.PIPE,
            env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"},
        )
        self.processes["resetter"] = process
        # It listens only once it is told to; until then the interpreter starts.
        await asyncio.sleep(0.3)
        return process

    def set_trouble(self, value):
        """Start or end the trouble of the service's stand-in."""
        self.processes["service"].send_signal(
            signal.SIGUSR1 if value else signal.SIGUSR2
        )
        self.note({"event": "trouble", "on": value})

    async def __aenter__(self):
        try:
            await self.start_service()
            for number, host in enumerate(self.control_hosts):
                await self.start_daemon(f"control-{number}", host, True)
            for number, host in enumerate(self.edge_hosts):
                await self.start_daemon(f"edge-{number}", host, False)
            await self.wait_until_announced()
            if not await self.put(self.configuration()):
                raise CannotRun("the first configuration was not acknowledged")
            await self.wait_until_served()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def wait_until_announced(self):
        """Wait until the control daemons know every instance."""
        end = time.time() + START_LIMIT_S
        wanted = len(self.instance_hosts)
        while sum(e["event"] == "announced" for e in self.service_record()) < wanted:
            if time.time() > end:
                raise CannotRun("an instance's heartbeats are not acknowledged")
            await asyncio.sleep(0.1)

    async def wait_until_served(self):
        """Wait until each entry daemon answers a write."""
        end = time.time() + START_LIMIT_S
        for host in self.edge_hosts:
            while True:
                if time.time() > end:
                    raise CannotRun(f"{host} does not serve")
                client = Client(self, host)
                if await client.open():
                    answer = await client.query("WRITE warmup 1", 3.0)
                    client.close()
                    if answer["outcome"] == "ok":
                        break
                await asyncio.sleep(0.3)

    async def __aexit__(self, *exc_info):
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            await process.wait()
        self.write_record()
        shutil.rmtree(self.folder, ignore_errors=True)

    def service_record(self):
        """Return what the service's stand-in has recorded so far."""
        path = self.folder / "service.jsonl"
        if not path.exists():
            return []
        return [json.loads(line) for line in path.read_text().splitlines()]

    async def wait_for_event(self, kind, limit_s):
        """Return the next entry of a kind that the service's stand-in records."""
        end = time.time() + limit_s
        with (self.folder / "service.jsonl").open() as file:
            file.seek(0, os.SEEK_END)
            while time.time() < end:
                line = file.readline()
                if not line:
                    await asyncio.sleep(0.005)
                elif f'"event": "{kind}"' in line:
                    return json.loads(line)
        return None

    def write_record(self):
        """Write what was sent, answered and run, in the order of time."""
        entries = [{"from": "site", **entry} for entry in self.record]
        entries += [{"from": "service", **e} for e in self.service_record()]
        entries.sort(key=lambda entry: entry["at"])
        with self.record_path.open("w") as file:
            for entry in entries:
                file.write(json.dumps(entry) + "\n")


class CannotRun(Exception):
    """The deployment did not come up, so that the case shows nothing."""


def run_case(check):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it failed.

    Parameters
    ----------
    check : coroutine function
        Takes whether there is trouble, and returns the violations.
    """
    with_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def limited():
        async with asyncio.timeout(110):
            return await check(with_trouble)

    try:
        violations = asyncio.run(limited())
    except Exception:
        traceback.print_exc()
        print("the case could not run")
        sys.exit(2)
    for violation in violations[:10]:
        print(violation)
    print(f"{len(violations)} violations, trouble {'on' if with_trouble else 'off'}")
    sys.exit(1 if violations else 0)
