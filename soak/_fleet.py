"""The fleet of a soak run: three daemons linked by proxies, and three instances."""

import asyncio
import functools
import logging
import random
import re
import resource
import shutil
import signal
from collections.abc import Callable
from pathlib import Path

import asyncmy

from lovagewalk.cli.tests.process_fleet import (
    ENDPOINT_PASSWORD,
    HOST,
    ProcessFleet,
    daemon_ini,
    standin_ini,
)
from lovagewalk.core import performs
from lovagewalk.demo import free_port, run
from lovagewalk.edge._group_client import MONITOR_USER, STATUS_QUERY
from lovagewalk.groups import Role
from lovagewalk.journal._frames import SYNC_MARK, build_frame
from lovagewalk.operators import OperatorError
from lovagewalk.tests.disk_faults import TEARS, tear

from ._callers import REQUEST_ERRORS
from ._crowd import gather_crowd
from ._faults import (
    DAEMONS,
    INSTANCES,
    MOVING_ROUTE,
    Crowd,
    Fault,
    FillDisk,
    HarmLink,
    Kill,
    LoseDisk,
    LosePower,
    MoveRoute,
    Pause,
    Stop,
    TearLog,
)
from ._proxy import LinkProxy

# A drain is ended after 10 s, and the process exits within 2 s of it.
STOP_LIMIT_S = 12.0
# Far longer than a response takes on the loopback address.
STATUS_LIMIT_S = 0.5
_VOTING_ROLES = (Role.PRIMARY.value, Role.REPLICA.value)
# The group of the route that moves, and one that has no endpoints.
GROUP, EMPTY_GROUP = "kiosk-ledger", "elsewhere"
CHANGE_RETRY_S = 0.2
# The beginning of a journal record whose end was never written.
LOST_RECORD = build_frame(b"torn" * 300)
TORN_RECORD = LOST_RECORD[:60]


FAILED_REDUCER = re.compile(r"core: reducing (\w+) failed")

log = logging.getLogger("lovagewalk.soak")


class SoakFleet(ProcessFleet):
    """A fleet with faults on its processes, disks and links.

    Faults run as tasks, concurrently with each other.
    """

    def __init__(self, folder):
        super().__init__(folder, daemon_count=len(DAEMONS))
        self.proxies = {}
        self.fault_tasks = set()

    async def __aenter__(self):
        peer_ports = {name: free_port() for name in DAEMONS}
        operator_addresses = [f"{HOST}:{ports[1]}" for ports in self.ports.values()]
        for name in DAEMONS:
            control_ports = {name: peer_ports[name]}
            for other in DAEMONS:
                if other != name:
                    proxy = LinkProxy(peer_ports[other])
                    control_ports[other] = await proxy.listen()
                    self.proxies[f"{name}>{other}"] = proxy
            text = daemon_ini(
                self.folder, name, self.ports[name], control_ports, 3, peer_ports[name]
            )
            (self.folder / f"{name}.ini").write_text(text)
        for name in INSTANCES:
            text = standin_ini(name, self.instance_ports[name], operator_addresses)
            (self.folder / f"{name}.ini").write_text(text)
        for name in DAEMONS + INSTANCES:
            await self.launch(name)
        return self

    async def __aexit__(self, *exc_info):
        for task in self.fault_tasks:
            task.cancel()
        for proxy in self.proxies.values():
            proxy.close()
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
        await super().__aexit__(*exc_info)

    async def is_group_repaired(self):
        """Whether each instance has the incarnation under which it is a voter.

        All daemons that respond have to agree, since some may be behind.
        """
        incarnations = {name: await self._fetch_incarnation(name) for name in INSTANCES}
        voters_by_daemon = [await self._fetch_voters(name) for name in DAEMONS]
        reported = [voters for voters in voters_by_daemon if voters is not None]
        return bool(reported) and all(voters == incarnations for voters in reported)

    async def is_control_repaired(self):
        """Whether all control VMs respond and vote, each with its current disk."""
        statuses = [await self._fetch_status(name) for name in DAEMONS]
        if any(status is None for status in statuses):
            return False
        disks = {
            name: status["control"]["disk"] for name, status in zip(DAEMONS, statuses)
        }
        return all(status["control"]["voters"] == disks for status in statuses)

    async def _fetch_incarnation(self, name):
        """Return the incarnation of a primary or replica, or None."""
        try:
            async with asyncio.timeout(STATUS_LIMIT_S):
                conn = await asyncmy.connect(
                    host=HOST,
                    port=self.instance_ports[name],
                    user=MONITOR_USER,
                    password=ENDPOINT_PASSWORD,
                )
                try:
                    (row,) = await run(conn, STATUS_QUERY)
                finally:
                    conn.close()
        except REQUEST_ERRORS as exc:
            log.debug("soak: %s does not respond: %r", name, exc)
            return None
        incarnation, role = row[:2]
        return incarnation if role in _VOTING_ROLES else None

    async def _fetch_voters(self, name):
        """Return the voters' incarnations as a daemon knows them, or None."""
        status = await self._fetch_status(name)
        if status is None or not status["groups"]:
            return None
        return status["groups"][0]["incarnations"]

    async def _fetch_status(self, name):
        """Return the status of a daemon, or None if it does not respond."""
        try:
            async with (
                asyncio.timeout(STATUS_LIMIT_S),
                self.operator_client(name) as client,
            ):
                return await client.get("/status")
        except (*REQUEST_ERRORS, OperatorError) as exc:
            log.debug("soak: %s does not respond: %r", name, exc)
            return None

    async def add_moving_route(self):
        """Add a second route to the group, which faults move away and back."""
        command = {"_type": "PutRoute", "entry": _moving_route(GROUP), "expected": 0}
        await self.change("vm2", command)

    async def move_route(self, group):
        """Let the moving route lead to a group, however long that takes."""
        while not await self._try_move_route(group):
            await asyncio.sleep(CHANGE_RETRY_S)

    async def _try_move_route(self, group):
        """Return whether a daemon has confirmed that the route leads to a group."""
        name = random.choice(DAEMONS)
        try:
            async with self.operator_client(name) as client:
                routes = (await client.get("/catalogue"))["routes"]
                found = [r for r in routes if r["entry"]["name"] == MOVING_ROUTE][0]
                if found["entry"]["group"] == group:
                    return True
                entry, expected = _moving_route(group), found["revision"]
                await client.change(
                    {"_type": "PutRoute", "entry": entry, "expected": expected}
                )
        except (*REQUEST_ERRORS, OperatorError) as exc:
            log.debug("soak: %s did not move the route: %r", name, exc)
            return False
        return True

    async def launch(self, name):
        """Start the process of a daemon or an instance."""
        program = "daemon" if name in DAEMONS else "standin"
        with self._log_path(name).open("ab") as output:
            self.processes[name] = await self.start_process(program, name, output)

    def _log_path(self, name):
        return self.folder / f"{name}.log"

    async def stop_process(self, name, signal_number):
        """Send a signal and wait for the process to end.

        Raises
        ------
        TimeoutError
            If the process did not end in time; it is killed then.
        """
        process = self.processes[name]
        if process.returncode is None:
            process.send_signal(signal_number)
        try:
            async with asyncio.timeout(STOP_LIMIT_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
            raise

    def start_fault(self, fault: Fault, coro):
        """Run a fault as a task, concurrently with others."""
        task = asyncio.create_task(coro, name=repr(fault))
        self.fault_tasks.add(task)

    def find_failed_reducers(self):
        """Return the events whose reducers failed, by the process's name."""
        logs = {name: self._log_path(name).read_text() for name in self.processes}
        return {
            name: sorted(set(FAILED_REDUCER.findall(text)))
            for name, text in logs.items()
            if FAILED_REDUCER.search(text)
        }

    def find_ended(self):
        """Return the exit status of each process that is not running, by name."""
        return {
            name: process.returncode
            for name, process in self.processes.items()
            if process.returncode is not None
        }

    async def wait_for_faults(self):
        """Wait until every fault has ended."""
        for task in self.fault_tasks:
            await task
        self.fault_tasks.clear()


def _moving_route(group):
    return {
        "name": MOVING_ROUTE,
        "owner": "o",
        "group": group,
        "route_class": "KEYED",
        "customers": [],
    }


async def _restart_after(
    fleet: SoakFleet,
    fault: Fault,
    signal_number: int,
    damage_folder: Callable[[Path], None] | None = None,
) -> None:
    """Stop a process, damage its data folder, and restart the process.

    Nothing is started if an overlapping fault has restarted the process already.
    """
    process = fleet.processes[fault.target]
    await fleet.stop_process(fault.target, signal_number)
    if damage_folder is not None:
        damage_folder(fleet.folder / fault.target)
    await asyncio.sleep(fault.for_s)
    if fleet.processes[fault.target] is process:
        await fleet.launch(fault.target)


@performs(Kill)
def _kill(fleet: SoakFleet, fault: Kill) -> None:
    kill = _kill_instance_if_repaired if fault.target in INSTANCES else _kill_daemon
    fleet.start_fault(fault, kill(fleet, fault))


async def _kill_daemon(fleet: SoakFleet, fault: Kill) -> None:
    await _restart_after(fleet, fault, signal.SIGKILL)


async def _kill_instance_if_repaired(fleet: SoakFleet, fault: Kill) -> None:
    """Kill an instance, which loses its rows, only if its group is fully repaired.

    The loss of two out of three instances before the voters are restored exceeds what
    the fleet is designed to tolerate. Other faults can delay the repair by control.
    """
    if await fleet.is_group_repaired():
        await _restart_after(fleet, fault, signal.SIGKILL)
    else:
        log.info(
            "soak: the group is not fully repaired; %s is not killed", fault.target
        )


@performs(Stop)
def _stop(fleet: SoakFleet, fault: Stop) -> None:
    fleet.start_fault(fault, _restart_after(fleet, fault, signal.SIGTERM))


@performs(Pause)
def _pause(fleet: SoakFleet, fault: Pause) -> None:
    fleet.start_fault(fault, _suspend(fleet, fault))


async def _suspend(fleet: SoakFleet, fault: Pause) -> None:
    process = fleet.processes[fault.target]
    if process.returncode is not None:
        return
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(fault.for_s)
    if process.returncode is None:
        process.send_signal(signal.SIGCONT)


@performs(LoseDisk)
def _lose_disk(fleet: SoakFleet, fault: LoseDisk) -> None:
    fleet.start_fault(fault, _kill_and_empty_folder(fleet, fault))


async def _kill_and_empty_folder(fleet: SoakFleet, fault: LoseDisk) -> None:
    """Delete the data of a control VM, only if control is fully repaired.

    One of three voters may lack its data. It regains its vote once a leader has removed
    it from the voters and added it again.
    """
    if await fleet.is_control_repaired():
        await _restart_after(fleet, fault, signal.SIGKILL, _empty_folder)
    else:
        log.info("soak: control is not fully repaired; %s keeps its disk", fault.target)


def _empty_folder(folder: Path) -> None:
    shutil.rmtree(folder, ignore_errors=True)


@performs(TearLog)
def _tear_log(fleet: SoakFleet, fault: TearLog) -> None:
    fleet.start_fault(
        fault, _restart_after(fleet, fault, signal.SIGKILL, _append_torn_record)
    )


def _append_torn_record(folder: Path) -> None:
    path = folder / "journal"
    if path.exists():
        with path.open("ab") as file:
            file.write(TORN_RECORD)


@performs(FillDisk)
def _fill_disk(fleet: SoakFleet, fault: FillDisk) -> None:
    fleet.start_fault(fault, _limit_file_size(fleet, fault))


async def _limit_file_size(fleet: SoakFleet, fault: FillDisk) -> None:
    """Limit the size of the files that a process writes, for some time."""
    process = fleet.processes[fault.target]
    path = fleet.folder / fault.target / "journal"
    if process.returncode is not None or not path.exists():
        return
    limit = path.stat().st_size + fault.room_bytes
    _, hard_limit = resource.prlimit(process.pid, resource.RLIMIT_FSIZE)
    resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (limit, hard_limit))
    await asyncio.sleep(fault.for_s)
    if process.returncode is None:
        limits = (hard_limit, hard_limit)
        resource.prlimit(process.pid, resource.RLIMIT_FSIZE, limits)


@performs(LosePower)
def _lose_power(fleet: SoakFleet, fault: LosePower) -> None:
    for name in DAEMONS:
        rng = random.Random(f"{fault.tear_seed} {name}")
        vm_fault = Kill(name, fault.for_s)
        restart = _restart_after(
            fleet, vm_fault, signal.SIGKILL, functools.partial(_tear_files, rng)
        )
        fleet.start_fault(fault, restart)


def _tear_files(rng: random.Random, folder: Path) -> None:
    """Tear the last record of the journal, and what the audit trail has not synced."""
    journal, audit = folder / "journal", folder / "audit"
    if journal.exists() and SYNC_MARK in journal.read_bytes():
        data = journal.read_bytes()
        synced = data[: data.rindex(SYNC_MARK) + len(SYNC_MARK)]
        unsynced = data[len(synced) :] or LOST_RECORD
        journal.write_bytes(synced + _tear(unsynced, rng))
    if audit.exists():
        data = audit.read_bytes()
        path = folder / "audit-synced"
        synced_bytes = int(path.read_bytes()) if path.exists() else 0
        if synced_bytes < len(data):
            torn = _tear(data[synced_bytes:], rng)
            audit.write_bytes(data[:synced_bytes] + torn)


def _tear(data: bytes, rng: random.Random) -> bytes:
    return tear(data, rng.choice(sorted(TEARS)), rng.random())


@performs(HarmLink)
def _harm_link(fleet: SoakFleet, fault: HarmLink) -> None:
    fleet.start_fault(fault, _disturb_link(fleet, fault))


async def _disturb_link(fleet: SoakFleet, fault: HarmLink) -> None:
    proxy = fleet.proxies[fault.target]
    proxy.inject(fault.mode)
    await asyncio.sleep(fault.for_s)
    proxy.heal()


@performs(MoveRoute)
def _move_route(fleet: SoakFleet, fault: MoveRoute) -> None:
    fleet.start_fault(fault, _move_away_and_back(fleet, fault))


async def _move_away_and_back(fleet: SoakFleet, fault: MoveRoute) -> None:
    await fleet.move_route(EMPTY_GROUP)
    await asyncio.sleep(fault.for_s)
    await fleet.move_route(GROUP)


@performs(Crowd)
def _gather_crowd(fleet: SoakFleet, fault: Crowd) -> None:
    port = fleet.ports[fault.target.rpartition(" ")[2]][0]
    crowd = gather_crowd(port, fault.behaviour, fault.size, fault.size, fault.for_s)
    fleet.start_fault(fault, crowd)
