"""Stand-in of one service: a primary and its replicas, with the platform's API.

Speaks the wire protocol for instances, announces the instances to the control
daemons, and promotes an instance when the platform's API is called. Everything that
an instance is sent and what it runs goes into a file of JSON lines.

SIGUSR1 starts the trouble that the configuration names, SIGUSR2 ends it.
"""

import asyncio
import hashlib
import json
import random
import signal
import sys
import time

LINE_END = b"\r\n"
PROBED_WORDS = ("STATUS", "PAUSE", "RESUME", "DEMOTE")


class Entry:
    """A committed transaction in the log of a service."""

    def __init__(self, term, number, writes):
        self.term, self.number, self.writes = term, number, writes
        self.received = asyncio.Event()

    @property
    def position(self):
        return (self.term, self.number)


class Instance:
    """An instance: its log, its role, and what is wrong with it."""

    def __init__(self, service, cfg):
        self.service = service
        self.name, self.host, self.port = cfg["id"], cfg["host"], cfg["port"]
        self.zone = cfg["zone"]
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.log = []
        self.term = 1
        self.is_primary = False
        self.connections = 0
        self.running = 0
        self.state = "ready"
        # Term of the order to pause; 0 if the instance receives.
        self.held = 0
        self.paused_at = 0.0
        # When the last entry that was sent to it arrives.
        self.receives_at = 0.0
        # When an order to resume came that is left unanswered and carried out late.
        self.late_since = 0.0

    def position(self):
        return self.log[-1].position if self.log else (self.term, 0)

    def read(self, item, writes=()):
        for name, data in reversed(tuple(writes)):
            if name == item:
                return data
        for entry in reversed(self.log):
            for name, data in reversed(entry.writes):
                if name == item:
                    return data
        return "none"

    def holds(self, position):
        """Whether the log holds a position, or a later one of its history."""
        return self.position() >= position


class Session:
    """The state of one connection."""

    def __init__(self, conn):
        self.conn = conn
        self.user = ""
        self.opened = False
        self.values = {}
        self.shapes = {}
        self.state = "I"
        self.transaction = 0
        self.read_only = False
        self.writes = []

    def end(self):
        self.state, self.transaction, self.read_only = "I", 0, False
        self.writes = []


class Service:
    """The instances of one service and the replication between them."""

    def __init__(self, cfg, record):
        self.cfg = cfg
        self.name = cfg["service"]
        self.record = record
        self.instances = [Instance(self, c) for c in cfg["instances"]]
        self.instances[0].is_primary = True
        # The instance that the trouble hits: the primary at its start.
        self.troubled = None
        self.random = random.Random(cfg.get("seed", 1))
        self.numbers = iter(range(1, 1 << 60))
        self.fences = {}
        self.announced = set()
        # The instance that the platform was last ordered to promote.
        self.target = ""
        self.promoting = {}

    @property
    def primary(self):
        return next(i for i in self.instances if i.is_primary)

    def replicate(self, primary, entry):
        """Send an entry to the replicas."""
        loop = asyncio.get_running_loop()
        for replica in self.instances:
            if replica is not primary:
                delay_s = self.delay_s(replica)
                loop.call_later(delay_s, self.receive, primary, replica, entry)

    def delay_s(self, replica):
        """Return how long an entry takes to a replica; entries arrive in order."""
        now = asyncio.get_running_loop().time()
        drawn_s = self.cfg.get("receiveMs", 20) / 1000 * self.random.uniform(0.8, 1.2)
        replica.receives_at = max(replica.receives_at, now + drawn_s)
        return replica.receives_at - now

    def resume(self, instance):
        """Let a replica receive again; what it missed comes first."""
        instance.held = 0
        asyncio.get_running_loop().call_later(
            self.delay_s(instance), self.receive, self.primary, instance
        )

    def is_late(self, instance):
        """Whether an order to resume is left unanswered and carried out late.

        That is the first one to each instance, and those to an instance that is paused.
        The first one is carried out while the instance is paused and the other one is
        being promoted, or at the latest time.
        """
        late = self.cfg.get("lateOrders")
        if not late:
            return False
        loop = asyncio.get_running_loop()
        if instance.held:
            loop.call_later(late["minS"] + 2.0, self.resume_late, instance)
            return True
        if instance.late_since:
            return False
        instance.late_since = time.time()
        loop.create_task(self.resume_after_pause(instance, late))
        return True

    async def resume_after_pause(self, instance, late):
        while True:
            elapsed = time.time() - instance.late_since
            is_paused = instance.held and time.time() - instance.paused_at > 0.2
            is_passed_over = self.target not in ("", instance.name)
            if elapsed >= late["minS"] and is_paused and is_passed_over:
                break
            if elapsed >= late["maxS"]:
                break
            await asyncio.sleep(0.02)
        self.resume_late(instance)

    def resume_late(self, instance):
        self.record({"event": "late resume", "instance": instance.name})
        self.resume(instance)

    def receive(self, primary, replica, last=None):
        """Give a replica the log of the primary, up to an entry if one is named."""
        if not primary.is_primary or replica.is_primary or replica.held:
            return
        log = primary.log
        if last is not None and last in log:
            log = log[: log.index(last) + 1]
        # A replica that is ahead of the primary is rolled back; one that has more of the
        # same history than this copy keeps it.
        has_same_history = replica.log and replica.log[-1] in primary.log
        if has_same_history and len(log) <= len(replica.log):
            return
        for entry in log:
            entry.received.set()
        replica.log = list(log)
        replica.term = primary.term

    async def promote(self, name):
        """Promote an instance; a repeated call joins the one in progress."""
        target = next((i for i in self.instances if i.name == name), None)
        if target is None:
            return 409
        if target.is_primary:
            return 200
        task = self.promoting.get(name)
        if task is None:
            task = asyncio.create_task(self.lead_next_term(target))
            self.promoting[name] = task
            task.add_done_callback(lambda done: self.promoting.pop(name))
        await asyncio.shield(task)
        return 200

    async def lead_next_term(self, target):
        await asyncio.sleep(self.cfg.get("promoteMs", 300) / 1000)
        term = max(i.term for i in self.instances) + 1
        for other in self.instances:
            other.is_primary, other.held = False, 0
        last = list(target.position())
        target.is_primary, target.term = True, term
        self.record(
            {"event": "promote", "instance": target.name, "term": term, "log": last}
        )
        for other in self.instances:
            if other is not target:
                asyncio.get_running_loop().call_later(
                    self.delay_s(other), self.receive, target, other
                )


class Connection(asyncio.Protocol):
    """Serves one connection to an instance; answers come in order."""

    def __init__(self, service, instance):
        self.service, self.instance = service, instance
        self.number = next(service.numbers)
        self.session = Session(self.number)
        self.buffer = b""
        self.queue = asyncio.Queue()
        self.task = None
        self.transport = None
        self.is_answer_lost = False

    def connection_made(self, transport):
        self.transport = transport
        self.instance.connections += 1
        self.task = asyncio.get_running_loop().create_task(self.serve())

    def connection_lost(self, exc):
        self.instance.connections -= 1
        self.queue.put_nowait(None)

    def data_received(self, data):
        self.buffer += data
        while LINE_END in self.buffer:
            line, self.buffer = self.buffer.split(LINE_END, 1)
            self.queue.put_nowait(line.decode())

    async def serve(self):
        """Handle what was received, in its order, also if the far end has gone."""
        while True:
            line = await self.queue.get()
            if line is None:
                self.session.end()
                return
            word, _, rest = line.partition(" ")
            if word == "STARTUP":
                if not self.start_session(rest.split(" ")):
                    return
            elif word == "QUERY":
                request, _, text = rest.partition(" ")
                await self.handle(request, text)
            else:
                self.transport.close()
                return

    def start_session(self, fields):
        cfg = self.service.cfg
        is_wrong = fields[0] != self.service.name
        if len(fields) > 2 and fields[2] != self.instance.name:
            is_wrong = True
        code = "MISROUTED" if is_wrong else ""
        if not code and self.instance.connections > cfg.get("maxConns", 20):
            code = "TOOMANY"
        if code:
            self.send(f"ERROR {code} {self.instance.name}")
            self.transport.close()
            return False
        self.session.user = fields[1] if len(fields) > 1 else "-"
        if not self.is_cut_off():
            self.send("READY I -")
        return True

    def send(self, *lines):
        if not self.transport.is_closing():
            self.transport.write("".join(f"{line}\r\n" for line in lines).encode())

    def ready(self):
        term, number = self.instance.position()
        return f"READY {self.session.state} {term}.{number}"

    def note(self, request, text, outcome, **fields):
        session = self.session
        self.service.record(
            {
                "event": "run",
                "instance": self.instance.name,
                "conn": self.number,
                "user": session.user,
                "id": request,
                "text": text,
                "outcome": outcome,
                "state": session.state,
                "transaction": session.transaction,
                "values": dict(session.values),
                **fields,
            }
        )

    def refuse(self, request, text, code):
        self.note(request, text, code)
        self.send(f"ERROR {code} {self.instance.name}", self.ready())

    def fails(self, text):
        """Whether the trouble makes an instance refuse a statement, which is not run."""
        cfg = self.service.cfg.get("trouble", {})
        if not cfg or self.service.troubled is not self.instance:
            return False
        word = text.split(" ", 1)[0]
        if word in PROBED_WORDS:
            return False
        return self.service.random.random() < cfg.get("fraction", 0.0)

    def is_cut_off(self):
        """Whether the trouble partitions this instance from the connection's user."""
        cfg = self.service.cfg.get("trouble", {})
        is_hit = self.service.troubled is self.instance
        return is_hit and self.session.user in cfg.get("cutUsers", ())

    def loses_answer(self, text):
        """Whether the trouble loses the answer to a statement that is run."""
        cfg = self.service.cfg.get("trouble", {})
        if not cfg or self.service.troubled is not self.instance:
            return False
        if text.split(" ", 1)[0] in PROBED_WORDS:
            return False
        return self.service.random.random() < cfg.get("lostAnswers", 0.0)

    async def handle(self, request, text):
        if self.is_cut_off():
            return
        position = None
        body = text
        if text.startswith("WAITLSN "):
            _, wanted, body = text.split(" ", 2)
            position = tuple(int(part) for part in wanted.split("."))
        if self.fails(body):
            # Not run, so the state of the session stays as it is.
            self.refuse(request, text, "BUSY")
            return
        self.is_answer_lost = self.loses_answer(body)
        session = self.session
        word, _, rest = body.partition(" ")
        if session.state == "E" and word not in ("ROLLBACK", "COMMIT"):
            self.refuse(request, text, "MALFORMED")
            return
        if position is not None and not self.instance.holds(position):
            self.refuse(request, text, "LAGGING")
            return
        handler = getattr(self, "on_" + word.lower(), None)
        if handler is None:
            self.refuse(request, text, "MALFORMED")
            return
        await handler(request, text, rest)

    def complete(self, request, text, rows=(), signed=False, **fields):
        signature = "-"
        if signed:
            source = f"{self.instance.name}/{request}/{next(self.service.numbers)}"
            signature = hashlib.sha256(source.encode()).hexdigest()[:24]
        fields["lost"] = self.is_answer_lost
        self.note(request, text, "ok", rows=list(rows), signature=signature, **fields)
        if self.is_answer_lost:
            return
        lines = [f"DATAROW {row}" for row in rows]
        self.send(*lines, f"COMPLETE {signature}", self.ready())

    async def work(self):
        """Occupy a slot for as long as a statement works."""
        self.instance.running += 1
        await asyncio.sleep(self.service.cfg.get("workMs", 4) / 1000)
        self.instance.running -= 1

    def lost_lead(self):
        session = self.session
        is_plain = session.state == "T" and not session.read_only
        return is_plain and not self.instance.is_primary

    async def on_status(self, request, text, rest):
        instance = self.instance
        role = "primary" if instance.is_primary else "replica"
        term, number = instance.position()
        row = f"{role} {instance.term} {term}.{number} {instance.held} 0 0"
        row += f" {instance.connections}"
        self.send(f"DATAROW {row}", "COMPLETE -", self.ready())

    def note_order(self, text, outcome):
        self.service.record(
            {"event": "instance order", "instance": self.instance.name, "text": text,
             "outcome": outcome}
        )

    async def on_pause(self, request, text, rest):
        instance = self.instance
        if not instance.is_primary and int(rest) > instance.term:
            instance.held = int(rest)
            instance.paused_at = time.time()
        self.note_order(text, "on time")
        await self.on_status(request, text, rest)

    async def on_resume(self, request, text, rest):
        if self.service.is_late(self.instance):
            self.note_order(text, "late")
            return
        self.note_order(text, "on time")
        self.service.resume(self.instance)
        await self.on_status(request, text, rest)

    on_demote = on_status

    async def on_set(self, request, text, rest):
        name, _, value = rest.partition(" ")
        self.session.values[name] = value
        self.complete(request, text)

    async def on_discard(self, request, text, rest):
        self.session.values, self.session.shapes = {}, {}
        self.complete(request, text)

    async def on_prepare(self, request, text, rest):
        name, mode, shape = rest.split(" ", 2)
        self.session.shapes[name] = (mode, shape)
        self.complete(request, text)

    async def on_begin(self, request, text, rest):
        is_read = rest == "READ"
        if not is_read and not self.instance.is_primary:
            self.refuse(request, text, "READONLY")
            return
        session = self.session
        session.state, session.read_only = "T", is_read
        session.transaction = next(self.service.numbers)
        self.complete(request, text)

    async def on_rollback(self, request, text, rest):
        self.session.end()
        self.complete(request, text)

    async def on_commit(self, request, text, rest):
        session = self.session
        if session.state == "E":
            session.end()
            self.refuse(request, text, "MALFORMED")
            return
        if session.writes and self.lost_lead():
            session.end()
            self.refuse(request, text, "READONLY")
            return
        await self.work()
        writes, transaction = session.writes, session.transaction
        session.end()
        if await self.commit(request, writes):
            self.complete(request, text, signed=True, ended=transaction)

    async def commit(self, request, writes):
        """Append writes to the log; whether they are to be acknowledged."""
        if not writes:
            return True
        instance = self.instance
        number = instance.position()[1] + 1
        entry = Entry(instance.term, number, list(writes))
        instance.log.append(entry)
        self.service.record(
            {
                "event": "commit",
                "instance": instance.name,
                "id": request,
                "term": entry.term,
                "number": number,
                "writes": entry.writes,
            }
        )
        self.service.replicate(instance, entry)
        if self.service.cfg.get("syncReplicas"):
            await entry.received.wait()
            if not instance.is_primary:
                return False
            holders = [i.name for i in self.service.instances if entry in i.log]
            self.service.record(
                {"event": "confirmed", "id": request, "term": entry.term,
                 "number": number, "held by": holders}
            )
        return True

    async def on_read(self, request, text, rest):
        if self.lost_lead():
            self.session.state = "E"
            self.refuse(request, text, "READONLY")
            return
        await self.work()
        row = self.instance.read(rest, self.session.writes)
        term, number = self.instance.position()
        self.complete(request, text, (row,), signed=True, log=[term, number])

    async def on_write(self, request, text, rest):
        item, _, data = rest.partition(" ")
        await self.write(request, text, item, data)

    async def write(self, request, text, item, data):
        session = self.session
        if not self.instance.is_primary or session.read_only:
            if session.state == "T":
                session.state = "E"
            self.refuse(request, text, "READONLY")
            return
        await self.work()
        if session.state == "T":
            session.writes.append((item, data))
        elif not await self.commit(request, [(item, data)]):
            return
        self.complete(request, text, signed=True)

    async def on_execute(self, request, text, rest):
        name, _, arguments = rest.partition(" ")
        shape = self.session.shapes.get(name)
        if shape is None:
            self.refuse(request, text, "NOSTMT")
            return
        item, _, data = arguments.partition(" ")
        if shape[0] == "READ":
            await self.on_read(request, text, item)
        else:
            await self.write(request, text, item, data)


async def send_http(host, port, method, path, body=b"", headers=(), limit_s=1.0):
    """Send one HTTP request; return its status, 0 if none came, and the body."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", "Connection: close"]
    lines += [f"Content-Length: {len(body)}", "Content-Type: application/json"]
    lines += [f"{name}: {value}" for name, value in headers]
    head = "\r\n".join(lines).encode() + b"\r\n\r\n"
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                writer.write(head + body)
                answer = await reader.read(-1)
            finally:
                writer.close()
        head, _, content = answer.partition(b"\r\n\r\n")
        return int(head.split(b" ", 2)[1]), content
    except (OSError, TimeoutError, ValueError, IndexError):
        return 0, b""


async def announce(service, instance):
    """Send heartbeats, to another control daemon after each failure."""
    controls = service.cfg["controls"]
    index = service.random.randrange(len(controls))
    while True:
        instance.seq += 1
        body = {
            "service": service.name,
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
        cut_users = service.cfg.get("trouble", {}).get("cutUsers", ())
        if service.troubled is instance and "lovagewalk" in cut_users:
            await asyncio.sleep(0.2)
            continue
        host, port = controls[index]
        path = f"/lovagewalk/instances/{instance.name}"
        status, _ = await send_http(host, port, "PUT", path, json.dumps(body).encode())
        if status // 100 != 2:
            index = (index + 1) % len(controls)
            await asyncio.sleep(0.2)
        else:
            if instance.name not in service.announced:
                service.announced.add(instance.name)
                service.record({"event": "announced", "instance": instance.name})
            await asyncio.sleep(service.cfg.get("heartbeatMs", 1200) / 1000)


async def serve_platform(service, reader, writer):
    """Answer one call of the platform's API."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        lines = head.split("\r\n")
        headers = dict(
            (name.lower(), value.strip())
            for name, _, value in (line.partition(":") for line in lines[1:] if line)
        )
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        call = json.loads(body)
        fence = int(headers["lovagewalk-fencing-token"])
        holder = headers["lovagewalk-lease-holder"]
        service.record(
            {"event": "order received", "call": call, "fence": fence, "holder": holder}
        )
        service.target = call["id"]
        status = 409
        if fence >= service.fences.get(call["service"], 0):
            service.fences[call["service"]] = fence
            status = await service.promote(call["id"])
        service.record(
            {"event": "order", "call": call, "fence": fence, "holder": holder,
             "status": status}
        )
        writer.write(f"HTTP/1.1 {status} -\r\nContent-Length: 0\r\n\r\n".encode())
        await writer.drain()
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def main(path):
    with open(path) as file:
        cfg = json.load(file)
    output = open(cfg["record"], "a", buffering=1)

    def record(entry):
        output.write(json.dumps({"at": round(time.time(), 4), **entry}) + "\n")

    service = Service(cfg, record)
    loop = asyncio.get_running_loop()

    def set_trouble(value):
        service.troubled = service.primary if value else None
        record({"event": "trouble", "on": value, "instance": service.primary.name})

    loop.add_signal_handler(signal.SIGUSR1, set_trouble, True)
    loop.add_signal_handler(signal.SIGUSR2, set_trouble, False)
    for instance in service.instances:
        await loop.create_server(
            lambda instance=instance: Connection(service, instance),
            instance.host,
            instance.port,
        )
    host, port = cfg["platform"]
    await asyncio.start_server(
        lambda reader, writer: serve_platform(service, reader, writer), host, port
    )
    record({"event": "started"})
    await asyncio.gather(*(announce(service, i) for i in service.instances))


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
