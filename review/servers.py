"""Stand-ins for database instances and for the platform, on loopback addresses.

One `Group` is a service: a primary and its replicas with one log. The instances speak
the line protocol of the pages. They keep to the pages: a plain transaction at an
instance that has lost the lead is refused, a read that waits for a position which the
log lacks is refused as lagging, and a refused statement is not run.
"""

import asyncio
import json
import random
import secrets
import time

# Time that a statement takes at an instance, and that a new connection takes.
WORK_S = 0.006
HANDSHAKE_S = 0.012
# Statements that run at once at an instance, and that may wait; more get BUSY.
SLOTS = 3
QUEUE = 24
# Time that the platform takes to carry out a promotion.
PROMOTE_S = 0.6
HEARTBEAT_S = 1.2


class Instance:
    """One instance of a service."""

    def __init__(self, group, host, zone):
        self.group = group
        self.id = "i-" + secrets.token_hex(5)
        self.host = host
        self.port = 0
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.lag_s = 0.008
        self.held_until = None  # highest log number received while it receives nothing
        self.connections = set()
        self.server = None
        self.beat_addr = None
        self.draining_acked_at = None
        self.gone = False
        self.down = False
        self.slots = asyncio.Semaphore(SLOTS)
        self.queued = 0
        self.starts = 0

    @property
    def is_primary(self):
        return self.group.primary is self

    def received(self):
        """Return the highest number of the group's log that this instance holds."""
        log = self.group.log
        if self.is_primary:
            return len(log)
        limit = len(log) if self.held_until is None else min(self.held_until, len(log))
        now = time.monotonic()
        while limit and log[limit - 1]["at"] + self.lag_s > now:
            limit -= 1
        return limit

    def position(self):
        number = self.received()
        return (self.group.term_of(number), number)

    def position_text(self):
        return "%d.%d" % self.position()

    def read(self, item, overlay):
        if item in overlay:
            return overlay[item]
        for entry in reversed(self.group.log[: self.received()]):
            if item in entry["writes"]:
                return entry["writes"][item]
        return "none"

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self):
        """End as a process does that exits: every connection is reset."""
        self.gone = True
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def crash(self, for_s):
        """Crash, and start again with the log under the same id."""
        self.down = True
        self.starts += 1
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        await asyncio.sleep(for_s)
        self.born, self.seq, self.beat_addr = int(time.time() * 1000), 0, None
        await self.start()
        self.down = False

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            if len(self.connections) > self.group.max_conns:
                writer.write(f"ERROR TOOMANY {self.id}\r\n".encode())
                await writer.drain()
                return
            await Connection(self, reader, writer).serve()
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Connection:
    """One connection to an instance."""

    def __init__(self, instance, reader, writer):
        self.instance = instance
        self.group = instance.group
        self.reader = reader
        self.writer = writer
        self.user = ""
        self.state = "I"
        self.read_only = False
        self.writes = {}
        self.variables = {}
        self.prepared = {}
        self.starts = instance.starts

    def send(self, *lines):
        self.writer.write("".join(line + "\r\n" for line in lines).encode())

    def ready(self):
        return f"READY {self.state} {self.instance.position_text()}"

    async def serve(self):
        while True:
            line = (await self.reader.readuntil(b"\r\n")).decode()[:-2]
            word, _, rest = line.partition(" ")
            if word == "TERMINATE":
                return
            if word == "STARTUP":
                fields = rest.split(" ")
                wrong = fields[0] != self.group.service or (
                    len(fields) > 2 and fields[2] != self.instance.id
                )
                if wrong:
                    self.send(f"ERROR MISROUTED {self.instance.id}")
                    return
                self.user = fields[1]
                await asyncio.sleep(HANDSHAKE_S)
                self.send(self.ready())
                continue
            request, _, text = rest.partition(" ")
            await self.query(request, text)
            await self.writer.drain()

    def error(self, code, keep=False):
        if self.state != "I" and not keep:
            self.state = "E"
        self.send(f"ERROR {code} {self.instance.id}", self.ready())

    def done(self, rows=(), signature="-"):
        self.send(*(f"DATAROW {row}" for row in rows), f"COMPLETE {signature}")
        self.send(self.ready())

    async def query(self, request, text):
        instance, group = self.instance, self.group
        group.arrived.add(request)
        wait = None
        if text.startswith("WAITLSN "):
            _, position, text = text.split(" ", 2)
            term, _, number = position.partition(".")
            wait = (int(term), int(number))
        word, _, rest = text.partition(" ")
        if self.state == "E" and word != "ROLLBACK":
            return self.error("MALFORMED")
        if word == "STATUS" or word in ("PAUSE", "RESUME", "DEMOTE"):
            role = "primary" if instance.is_primary else "replica"
            position = instance.position_text()
            connections = len(instance.connections)
            row = f"{role} {group.term} {position} 0 0 0 {connections}"
            return self.done((row,))
        if word == "DISCARD":
            self.variables, self.prepared = {}, {}
            return self.done()
        if word == "SET":
            name, _, value = rest.partition(" ")
            self.variables[name] = value
            return self.done()
        if word == "PREPARE":
            name, mode, shape = rest.split(" ", 2)
            self.prepared[name] = (mode, shape)
            return self.done()
        if word == "DEALLOC":
            self.prepared.pop(rest, None)
            return self.done()
        if word == "ROLLBACK":
            self.state, self.writes = "I", {}
            return self.done()
        if wait is not None and instance.position() < wait:
            return self.error("LAGGING")
        if word == "COMMIT" and self.state == "I":
            return self.error("MALFORMED")
        if word == "BEGIN":
            if rest != "READ" and not instance.is_primary:
                return self.error("READONLY")
            self.state, self.read_only, self.writes = "T", rest == "READ", {}
            return self.done()
        if word == "EXECUTE":
            name, _, arguments = rest.partition(" ")
            if name not in self.prepared:
                return self.error("NOSTMT")
            word, rest = self.prepared[name][0], arguments
        if instance.slots.locked() and instance.queued >= QUEUE:
            return self.error("BUSY", keep=True)
        instance.queued += 1
        try:
            await instance.slots.acquire()
        finally:
            instance.queued -= 1
        try:
            await asyncio.sleep(WORK_S)
            if self.starts != instance.starts:
                raise ConnectionResetError("the instance has crashed meanwhile")
            self.run(request, text, word, rest)
        finally:
            instance.slots.release()

    def run(self, request, text, word, rest):
        """Run a read, a write or a commit."""
        instance, group = self.instance, self.group
        in_plain = self.state == "T" and not self.read_only
        lost_lead = not instance.is_primary and (
            word == "WRITE" or (in_plain and (word != "COMMIT" or self.writes))
        )
        if lost_lead or (word == "WRITE" and self.state == "T" and self.read_only):
            return self.error("READONLY")
        group.record_run(self, request, text, word)
        signature = secrets.token_hex(8)
        if word == "READ":
            return self.done((instance.read(rest, self.writes),), signature)
        if word == "WRITE":
            item, _, data = rest.partition(" ")
            self.writes[item] = data
            if self.state == "T":
                return self.done((), signature)
        writes, self.writes, self.state = self.writes, {}, "I"
        if writes:
            group.commit(writes, request)
        self.done((), signature)


class Group:
    """A service: its instances and their log."""

    def __init__(self, service, hosts, zones, on_run, max_conns=21):
        self.service = service
        self.max_conns = max_conns
        self.log = []
        self.arrived = set()
        self.term = 1
        self.term_starts = [(0, 1)]
        self.instances = [Instance(self, h, z) for h, z in zip(hosts, zones)]
        self.primary = self.instances[0]
        self.on_run = on_run

    def term_of(self, number):
        return max(term for start, term in self.term_starts if start <= number)

    def commit(self, writes, request):
        self.log.append(
            {"at": time.monotonic(), "writes": writes, "request": request}
        )

    def record_run(self, connection, request, text, word):
        self.on_run(
            instance=connection.instance,
            user=connection.user,
            request=request,
            text=text,
            word=word,
            state=connection.state,
            number=connection.instance.received(),
        )

    def promote(self, instance):
        if instance is self.primary:
            return
        number = instance.received()
        del self.log[number:]
        self.term += 1
        self.term_starts.append((number + 1, self.term))
        self.primary = instance


class Platform:
    """The platform's API: carries out promotions, and checks their fences."""

    def __init__(self, host, groups, log):
        self.host = host
        self.groups = {group.service: group for group in groups}
        self.log = log
        self.fences = {}
        self.silent = False
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            headers = {}
            for line in head.split("\r\n")[1:]:
                name, _, value = line.partition(":")
                headers[name.lower()] = value.strip()
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            order = json.loads(body)
            fence = int(headers["lovagewalk-fencing-token"])
            self.log(f"platform: promote {order} fence {fence} silent {self.silent}")
            if self.silent:
                await asyncio.sleep(30)
                return
            status = self._check(order, fence)
            if status == 200:
                await asyncio.sleep(PROMOTE_S)
                self._promote(order)
            writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status)
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    def _find(self, order):
        group = self.groups[order["service"]]
        return group, next((i for i in group.instances if i.id == order["id"]), None)

    def _check(self, order, fence):
        group, instance = self._find(order)
        if fence < self.fences.get(group.service, 0):
            return 409
        self.fences[group.service] = fence
        return 409 if instance is None or instance.gone else 200

    def _promote(self, order):
        group, instance = self._find(order)
        group.promote(instance)
        self.log(f"platform: {instance.id} leads {group.service} in term {group.term}")


async def http(host, port, method, path, body=b"", timeout_s=2.0):
    """Send a request and return the status and the body of its response."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {host}:{port}\r\n"
                f"Content-Type: application/json\r\nConnection: close\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode()
                + body
            )
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            length = 0
            for line in head.split("\r\n"):
                if line.lower().startswith("content-length:"):
                    length = int(line.split(":")[1])
            data = await reader.readexactly(length)
            return int(head.split()[1]), data
        finally:
            writer.close()


async def send_beat(instance, daemons, log):
    """Send a heartbeat to one daemon after the other until one acknowledges it."""
    instance.seq += 1
    body = json.dumps(
        {
            "service": instance.group.service,
            "addr": f"{instance.host}:{instance.port}",
            "zone": instance.zone,
            "version": "v1",
            "slots": 3,
            "state": instance.state,
            "coldLeftMs": 0,
            "dbRole": "primary" if instance.is_primary else "replica",
            "seq": instance.seq,
            "born": instance.born,
        }
    ).encode()
    path = f"/lovagewalk/instances/{instance.id}"
    targets = random.sample(daemons, len(daemons))
    if instance.beat_addr:
        targets.insert(0, instance.beat_addr)
    for host, port in targets:
        try:
            status, answer = await http(host, port, "PUT", path, body, 1.0)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            instance.beat_addr = None
            continue
        if 200 <= status < 300:
            address = json.loads(answer or b"{}").get("heartbeatAddr")
            if address:
                host, _, port = address.rpartition(":")
                instance.beat_addr = (host, int(port))
            if instance.state == "draining" and instance.draining_acked_at is None:
                instance.draining_acked_at = time.monotonic()
                log(f"{instance.id}: draining is acknowledged")
            return True
    return False


async def beat_forever(instance, daemons, log):
    """Send heartbeats until the instance has ended, at once after a change."""
    while not instance.gone:
        sent = (instance.state, instance.born, instance.is_primary)
        if not instance.down:
            await send_beat(instance, daemons, log)
        until = time.monotonic() + HEARTBEAT_S
        while time.monotonic() < until and not instance.gone:
            await asyncio.sleep(0.02)
            now = (instance.state, instance.born, instance.is_primary)
            if now != sent and not instance.down:
                break
