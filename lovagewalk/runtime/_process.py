"""What every daemon process does: load its disk, drain, and end."""

import logging
import secrets
from pathlib import Path

from lovagewalk.audit import AuditTrail
from lovagewalk.control import ControlState, DrainRequested
from lovagewalk.core import LovageError, replace
from lovagewalk.daemon import install_catalogue
from lovagewalk.journal import Journal
from lovagewalk.node import NodeState

from ._ports import Ports

log = logging.getLogger("lovagewalk.daemon")


class DaemonProcess:
    """The life of a daemon; subclasses add the adapters it serves by.

    Parameters
    ----------
    drain_limit_s : float
        Longest time for a graceful stop, in seconds.
    """

    def __init__(self, ports: Ports, name: str, drain_limit_s: float) -> None:
        self.ports = ports
        self.name = name
        self.fault: LovageError | None = None
        self._drain_limit_s = drain_limit_s

    def load_control(
        self,
        state: NodeState,
        folder: Path,
        peers: tuple[str, ...],
        founders: tuple[str, ...],
    ) -> NodeState:
        """Return a control VM's first state, as its data folder has it.

        Raises
        ------
        LovageError
            If the data folder is damaged.
        """
        self.ports.journal = Journal(folder)
        stored = self.ports.journal.load()
        covered = stored.snapshot.index if stored.snapshot else 0
        self.ports.audit = AuditTrail(folder, covered)
        others = tuple(name for name in peers if name != self.name)
        raft = stored.build_raft(self.name, others, secrets.randbits(62), founders)
        state = replace(state, consensus=raft, control=ControlState())
        return install_catalogue(state, stored.catalogue, self.ports.now()).state

    def on_fatal(self, exc: LovageError) -> None:
        """End the daemon because of a fault."""
        self.fault = exc
        self.ports.stopped.set()

    async def run(self) -> None:
        """Run until the daemon has drained or can't go on.

        Raises
        ------
        LovageError
            The fault that ended it.
        """
        await self.ports.stopped.wait()
        await self.close()
        log.info("daemon stopped", extra={"daemon": self.name})
        if self.fault is not None:
            raise self.fault

    def drain(self) -> None:
        """Begin a graceful stop; `run` ends when nothing is left to finish."""
        log.info("daemon drains", extra={"daemon": self.name})
        self.ports.feed(DrainRequested(self.ports.now()))
        self.ports.timer.call_later(self._drain_limit_s, self.ports.stopped.set)

    async def close(self) -> None:
        """Close everything at once, as a crash would."""
        self.ports.close()
        self.ports.shell.close()
        self.ports.endpoints.close_all()
        self.ports.peers.close()
        if self.ports.journal is not None:
            self.ports.journal.close()
        if self.ports.audit is not None:
            self.ports.audit.close()
