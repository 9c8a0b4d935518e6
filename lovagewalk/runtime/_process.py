"""The lifecycle of a daemon process: loading its data folder, draining, and ending."""

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
    """The lifecycle of a daemon; subclasses add its front ends and clients.

    Parameters
    ----------
    drain_timeout_s : float
        Longest time for a graceful stop, in seconds.
    """

    def __init__(self, ports: Ports, name: str, drain_timeout_s: float) -> None:
        self.ports = ports
        self.name = name
        self.fault: LovageError | None = None
        self._drain_timeout_s = drain_timeout_s

    def load_control_state(
        self,
        state: NodeState,
        folder: Path,
        peers: tuple[str, ...],
        bootstrap_members: tuple[str, ...],
    ) -> NodeState:
        """Return a control VM's first state, restored from its data folder.

        Parameters
        ----------
        peers : tuple of str
            Names of the control VMs; this one may be among them.
        bootstrap_members : tuple of str
            The VMs that may bootstrap a fleet; empty to only join an existing one.

        Raises
        ------
        LovageError
            If the data folder is damaged.
        """
        self.ports.journal = Journal(folder)
        stored = self.ports.journal.load()
        snapshot_index = stored.snapshot.index if stored.snapshot else 0
        self.ports.audit = AuditTrail(folder, snapshot_index)
        other_names = tuple(name for name in peers if name != self.name)
        raft = stored.restore_raft(
            self.name, other_names, secrets.randbits(62), bootstrap_members
        )
        state = replace(state, consensus=raft, control=ControlState())
        return install_catalogue(state, stored.catalogue, self.ports.now()).state

    def on_fatal(self, exc: LovageError) -> None:
        """Stop the daemon because of a fault."""
        self.fault = exc
        self.ports.stopped.set()

    async def run(self) -> None:
        """Run until the daemon has drained or a fault stops it.

        Raises
        ------
        LovageError
            The fault that stopped it.
        """
        await self.ports.stopped.wait()
        await self.close()
        log.info("daemon stopped", extra={"daemon": self.name})
        if self.fault is not None:
            raise self.fault

    def drain(self) -> None:
        """Start a graceful stop; `run` returns when it is done or the limit is over."""
        log.info("daemon drains", extra={"daemon": self.name})
        self.ports.feed(DrainRequested(self.ports.now()))
        self.ports.timer.call_later(self._drain_timeout_s, self.ports.stopped.set)

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
