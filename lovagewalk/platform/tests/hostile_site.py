"""Processes of the platform's programs, and clients that misbehave towards them."""

import asyncio
import json
import os
import random
import secrets
import socket
import subprocess
import sys
from pathlib import Path

from lovagewalk.platform._settings import SECRET_VARIABLE, SETTINGS_VARIABLE

SERVICE, DATABASE, KEY = "svc-ledger", "ledger", "key-of-the-hostile-tests"
# A read of this item is answered with a row of `LARGE_ROW_BYTES`.
LARGE_ITEM = "large"
LARGE_ROW_BYTES = 900_000
CALLERS_PORT, READY_PORT, OPERATORS_PORT, PEERS_PORT = 8465, 8460, 8462, 7560
HEARTBEAT_S = 1.0
# Far longer than a start and an ordinary request take on a busy machine.
WAIT_LIMIT_S = 30.0
# A client that a daemon does not read from gives up sending after this time.
SEND_LIMIT_S = 4.0
RECEIVE_BUFFER_BYTES = 16 * 1024
# Concurrent attempts to connect, below the length of the listeners' queues.
MAX_CONNECTING = 64


class Endpoint:
    """A primary without replicas, which speaks the line protocol."""

    def __init__(self, host):
        self.host = host
        self.port = 0
        self.position = 0
        self.server = None

    async def start(self):
        limit = 2 * 1024 * 1024
        self.server = await asyncio.start_server(self._serve, self.host, 0, limit=limit)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        state = "I"
        try:
            while True:
                line = (await reader.readuntil(b"\r\n")).decode()[:-2]
                word, _, rest = line.partition(" ")
                if word == "STARTUP":
                    writer.write(f"READY I 1.{self.position}\r\n".encode())
                elif word == "TERMINATE":
                    return
                else:
                    text = rest.partition(" ")[2]
                    state = self._answer(writer, text, state)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    def _answer(self, writer, text, state):
        if text.startswith("WAITLSN "):
            text = text.split(" ", 2)[2]
        word, _, rest = text.partition(" ")
        rows = ""
        if word == "STATUS":
            rows = f"DATAROW primary 1 1.{self.position} 0 0 0 1\r\n"
        elif word == "READ":
            value = "v" * LARGE_ROW_BYTES if rest == LARGE_ITEM else "value"
            rows = f"DATAROW {value}\r\n"
        elif word == "WRITE":
            self.position += 1
        if word in ("BEGIN", "COMMIT", "ROLLBACK"):
            state = "T" if word == "BEGIN" else "I"
        answer = f"{rows}COMPLETE sig\r\nREADY {state} 1.{self.position}\r\n"
        writer.write(answer.encode())
        return state


async def _acknowledge(reader, writer):
    """Answer an order to the provider."""
    try:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        await writer.drain()
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def send_http(host, port, method, path, body=b""):
    """Send a request; return the status and body of its response, 0 for none."""
    try:
        async with asyncio.timeout(5.0):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                head = f"{method} {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode())
                writer.write(body)
                answer = await reader.read(-1)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return 0, b""
    if not answer.startswith(b"HTTP/1.1 "):
        return 0, b""
    return int(answer.split(b" ", 2)[1]), answer.partition(b"\r\n\r\n")[2]


def _toml(table):
    plain = [f"{k} = {json.dumps(v)}" for k, v in table.items() if type(v) is not dict]
    for name, inner in table.items():
        if type(inner) is dict:
            plain.append(f"[{name}]")
            plain += [f"{k} = {json.dumps(v)}" for k, v in inner.items()]
    return "\n".join(plain) + "\n"


class Daemon:
    """One process, with what the operating system tells about it."""

    def __init__(self, folder, name, host, settings):
        self.host = host
        path = folder / f"{name}.toml"
        path.write_text(_toml(settings))
        environ = {
            **os.environ,
            SETTINGS_VARIABLE: str(path),
            SECRET_VARIABLE: "secret-of-the-hostile-tests",
        }
        self.log_path = folder / f"{name}.log"
        with open(self.log_path, "wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "lovagewalk.platform"],
                env=environ,
                stdout=log,
                stderr=log,
            )

    @property
    def is_alive(self):
        return self.process.poll() is None

    def read_peak_mb(self):
        """Return the peak of the process's memory, in MB; 0 if it has ended."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def count_descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def kill(self):
        if self.is_alive:
            self.process.kill()
        self.process.wait()


class Site:
    """One control daemon, one entry daemon and one endpoint, on loopback addresses.

    Parameters
    ----------
    memory_mb, max_fds : int
        Limits of the VM that both daemons' settings state.
    """

    def __init__(self, folder, memory_mb, max_fds):
        prefix = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self._folder = folder
        self._limits = {"memoryMb": memory_mb, "maxFds": max_fds}
        self._hosts = {"control": f"{prefix}.10", "entry": f"{prefix}.30"}
        self._provider_host = f"{prefix}.200"
        self._provider_port = 0
        self._provider = None
        self._heartbeats = None
        self.endpoint = Endpoint(f"{prefix}.100")
        self.control = None
        self.entry = None

    async def __aenter__(self):
        await self.endpoint.start()
        self._provider = await asyncio.start_server(
            _acknowledge, self._provider_host, 0
        )
        self._provider_port = self._provider.sockets[0].getsockname()[1]
        self.control = self._start("control")
        self.entry = self._start("entry")
        self._heartbeats = asyncio.create_task(self._send_heartbeats())
        try:
            await self._put_configuration()
            await self.wait_for_request()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *exc_info):
        self._heartbeats.cancel()
        for daemon in (self.entry, self.control):
            daemon.kill()
        for server in (self._provider, self.endpoint.server):
            server.close()

    def _start(self, role):
        host, control_host = self._hosts[role], self._hosts["control"]
        settings = {
            "nodeName": role,
            "ip": host,
            "zone": "z",
            "region": "r",
            "internalPorts": [PEERS_PORT, PEERS_PORT + 15],
            "seedNodes": [f"{control_host}:{OPERATORS_PORT}"],
            "bootstrap": True,
            "zones": {"z": "r"},
            "limits": self._limits,
            "providerApi": {"addr": f"{self._provider_host}:{self._provider_port}"},
        }
        if role == "control":
            settings["dataDir"] = str(self._folder / "data")
            settings["listenAddrs"] = {"controlPlane": f"{host}:{OPERATORS_PORT}"}
        else:
            settings["listenAddrs"] = {
                "frontend": f"{host}:{CALLERS_PORT}",
                "ready": f"{host}:{READY_PORT}",
            }
        return Daemon(self._folder, role, host, settings)

    async def _send_heartbeats(self):
        body = {
            "service": SERVICE,
            "addr": f"{self.endpoint.host}:{self.endpoint.port}",
            "zone": "z",
            "state": "ready",
            "born": 1,
        }
        for seq in range(1, 1_000_000):
            text = json.dumps({**body, "seq": seq}).encode()
            path = "/lovagewalk/instances/i-1"
            await send_http(self.control.host, OPERATORS_PORT, "PUT", path, text)
            await asyncio.sleep(HEARTBEAT_S)

    async def _put_configuration(self):
        route = {"host": DATABASE, "kind": "primary", "timeoutMs": 3000}
        tenant = {"name": "t", "apiKeys": [KEY], "ratePerS": 1e6, "burst": 1e6}
        configuration = {
            "version": 1,
            "routes": [{**route, "service": SERVICE}],
            "services": [{"name": SERVICE, "maxConns": 16}],
            "tenants": [tenant],
        }
        body = json.dumps(configuration).encode()
        async with asyncio.timeout(WAIT_LIMIT_S):
            while True:
                status, _ = await send_http(
                    self.control.host, OPERATORS_PORT, "PUT", "/lovagewalk/config", body
                )
                if status == 200:
                    return
                await asyncio.sleep(0.1)

    async def wait_for_request(self):
        """Wait until an ordinary read of a new session is answered with its row."""
        async with asyncio.timeout(WAIT_LIMIT_S):
            while not await self._try_request():
                await asyncio.sleep(0.1)

    async def _try_request(self):
        try:
            async with asyncio.timeout(5.0):
                reader, writer = await asyncio.open_connection(
                    self.entry.host, CALLERS_PORT
                )
                try:
                    writer.write(f"STARTUP {DATABASE} {KEY}\r\n".encode())
                    if not (await reader.readline()).startswith(b"READY"):
                        return False
                    request = secrets.token_hex(8)
                    writer.write(f"QUERY {request} READ item\r\n".encode())
                    return (await reader.readline()).startswith(b"DATAROW")
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False

    async def wait_for_operator_request(self):
        """Wait until an operator reads the configuration at the control daemon."""
        async with asyncio.timeout(WAIT_LIMIT_S):
            while True:
                status, _ = await send_http(
                    self.control.host, OPERATORS_PORT, "GET", "/lovagewalk/config"
                )
                if status == 200:
                    return
                await asyncio.sleep(0.1)


class HostileClients:
    """Connections of misbehaving clients, which stay open until all are closed."""

    def __init__(self, host, port):
        self._address = (host, port)
        self._sockets = []
        self._connecting = asyncio.Semaphore(MAX_CONNECTING)

    async def connect(self):
        """Open a connection; None if it is refused."""
        sock = socket.socket()
        # What the daemon cannot send stays in its memory, and not in the kernel's.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setblocking(False)
        self._sockets.append(sock)
        try:
            async with self._connecting, asyncio.timeout(SEND_LIMIT_S):
                await asyncio.get_running_loop().sock_connect(sock, self._address)
        except (OSError, TimeoutError):
            return None
        return sock

    async def send(self, *parts):
        """Open a connection and send parts until the daemon no longer takes them."""
        sock = await self.connect()
        if sock is None:
            return
        try:
            async with asyncio.timeout(SEND_LIMIT_S):
                for part in parts:
                    await asyncio.get_running_loop().sock_sendall(sock, part)
                    await asyncio.sleep(0)
        except (OSError, TimeoutError):
            return

    async def run(self, count, *parts):
        """Send the same parts on a number of connections at once."""
        await asyncio.gather(*(self.send(*parts) for _ in range(count)))

    def close(self):
        for sock in self._sockets:
            sock.close()
