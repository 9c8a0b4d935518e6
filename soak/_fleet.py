"""The processes of a soak: three daemons, three instances, proxies between daemons."""

import asyncio
import shutil
import signal
from collections.abc import Callable
from pathlib import Path

from lovagewalk.cli.tests.rig import HOST, Rig, daemon_ini, standin_ini
from lovagewalk.core import performs
from lovagewalk.demo import free_port
from lovagewalk.journal._journal import _frame as frame

from ._faults import (
    DAEMONS,
    INSTANCES,
    Fault,
    HarmLink,
    Kill,
    LoseDisk,
    Pause,
    Stop,
    TearLog,
)
from ._proxy import Proxy

# More than the longest drain of a daemon.
STOP_LIMIT_S = 10.0
# The start of a record whose end was never written.
TORN_RECORD = frame(b"torn" * 100)[:60]


class SoakFleet(Rig):
    """Processes whose links, disks and lives can be harmed."""

    def __init__(self, folder):
        super().__init__(folder, count=len(DAEMONS))
        self.proxies = {}
        self.faults = set()

    async def __aenter__(self):
        peers = {name: free_port() for name in DAEMONS}
        operators = [f"{HOST}:{ports[1]}" for ports in self.ports.values()]
        for name in DAEMONS:
            controls = {name: peers[name]}
            for other in DAEMONS:
                if other != name:
                    proxy = Proxy(peers[other])
                    controls[other] = await proxy.listen()
                    self.proxies[f"{name}>{other}"] = proxy
            text = daemon_ini(
                self.folder, name, self.ports[name], controls, 3, peers[name]
            )
            (self.folder / f"{name}.ini").write_text(text)
        for name in INSTANCES:
            text = standin_ini(name, self.instance_ports[name], operators)
            (self.folder / f"{name}.ini").write_text(text)
        for name in DAEMONS + INSTANCES:
            await self.launch(name)
        return self

    async def __aexit__(self, *exc_info):
        for task in self.faults:
            task.cancel()
        for proxy in self.proxies.values():
            proxy.close()
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
        await super().__aexit__(*exc_info)

    async def launch(self, name):
        """Start a process of the fleet."""
        program = "daemon" if name in DAEMONS else "standin"
        self.processes[name] = await self.start(program, name)

    async def end(self, name, number):
        """Send a signal and wait for the process to end."""
        process = self.processes[name]
        if process.returncode is None:
            process.send_signal(number)
        try:
            async with asyncio.timeout(STOP_LIMIT_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
            raise

    def happen(self, fault: Fault, coro):
        """Let a fault run its course beside others."""
        task = asyncio.create_task(coro, name=repr(fault))
        self.faults.add(task)

    async def heal(self):
        """Wait until every fault has run its course."""
        for task in self.faults:
            await task
        self.faults.clear()


async def _restart_after(
    fleet: SoakFleet,
    fault: Fault,
    number: int,
    harm_disk: Callable[[Path], None] | None = None,
) -> None:
    """End a process, harm its data folder meanwhile, and start it again.

    Another fault may have ended the same process and started it again already.
    """
    process = fleet.processes[fault.target]
    await fleet.end(fault.target, number)
    if harm_disk is not None:
        harm_disk(fleet.folder / fault.target)
    await asyncio.sleep(fault.for_s)
    if fleet.processes[fault.target] is process:
        await fleet.launch(fault.target)


@performs(Kill)
def _kill(fleet: SoakFleet, fault: Kill) -> None:
    fleet.happen(fault, _restart_after(fleet, fault, signal.SIGKILL))


@performs(Stop)
def _stop(fleet: SoakFleet, fault: Stop) -> None:
    fleet.happen(fault, _restart_after(fleet, fault, signal.SIGTERM))


@performs(Pause)
def _pause(fleet: SoakFleet, fault: Pause) -> None:
    fleet.happen(fault, _suspend(fleet, fault))


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
    fleet.happen(fault, _restart_after(fleet, fault, signal.SIGKILL, _empty))


def _empty(folder: Path) -> None:
    shutil.rmtree(folder, ignore_errors=True)


@performs(TearLog)
def _tear_log(fleet: SoakFleet, fault: TearLog) -> None:
    fleet.happen(fault, _restart_after(fleet, fault, signal.SIGKILL, _tear))


def _tear(folder: Path) -> None:
    path = folder / "journal"
    if path.exists():
        with path.open("ab") as file:
            file.write(TORN_RECORD)


@performs(HarmLink)
def _harm_link(fleet: SoakFleet, fault: HarmLink) -> None:
    fleet.happen(fault, _harm_for(fleet, fault))


async def _harm_for(fleet: SoakFleet, fault: HarmLink) -> None:
    proxy = fleet.proxies[fault.target]
    proxy.harm(fault.mode)
    await asyncio.sleep(fault.for_s)
    proxy.heal()
