"""The lifecycle of a daemon process: loading its data folder, draining, and ending."""

import asyncio
import logging
import secrets
from pathlib import Path

from lovagewalk.clients import ClientKind
from lovagewalk.consensus import RaftRole, RaftState
from lovagewalk.control import ControlState, DrainRequested
from lovagewalk.core import Code, LovageError, replace
from lovagewalk.daemon import install_catalogue
from lovagewalk.journal import Journal
from lovagewalk.node import NodeState
from lovagewalk.settings import Address

from ._clients import ClientPort
from ._http import HttpHandler, HttpServer
from ._listening import Listener, listen_when_free
from ._ports import Ports
from ._storage import load_storage, return_to_consensus

# Longest time for sending the last answers before every connection is cut.
FINISH_LIMIT_S = 0.3

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
        self._http_servers: list[HttpServer] = []

    def load_control_state(
        self,
        state: NodeState,
        folder: Path,
        peers: tuple[str, ...],
        bootstrap_members: tuple[str, ...],
    ) -> NodeState:
        """Return a control VM's first state, restored from its data folder.

        If the disk refuses to be read or written, the VM starts without the folder.

        Parameters
        ----------
        peers : tuple of str
            Names of the control VMs; this one may be among them.
        bootstrap_members : tuple of str
            The VMs that may bootstrap a fleet; empty to only join an existing one.

        Raises
        ------
        LovageError
            ``DISK_TAKEN`` if another process uses the folder.
        """
        other_names = tuple(name for name in peers if name != self.name)
        self.ports.journal = Journal(folder)
        try:
            stored = load_storage(self.ports)
        except LovageError as exc:
            if exc.code is Code.DISK_TAKEN:
                raise
            return self._build_offline_state(state, other_names, bootstrap_members, exc)
        raft = stored.restore_raft(
            self.name, other_names, secrets.randbits(62), bootstrap_members
        )
        state = replace(state, consensus=raft, control=ControlState())
        return install_catalogue(state, stored.catalogue, self.ports.now()).state

    def _build_offline_state(
        self,
        state: NodeState,
        peers: tuple[str, ...],
        bootstrap_members: tuple[str, ...],
        exc: LovageError,
    ) -> NodeState:
        """Return the state of a control VM whose data folder cannot be loaded yet."""
        log.error("daemon: starts without its data folder: %s", exc)
        self.ports.peers.consensus_disabled = True
        self.ports.spawn(return_to_consensus(self.ports))
        raft = RaftState(
            me=self.name,
            disk="",
            peers=peers,
            seed=secrets.randbits(62),
            bootstrap_members=bootstrap_members,
            role=RaftRole.OFFLINE,
        )
        return replace(state, consensus=raft, control=ControlState())

    async def listen(
        self, purpose: str, server: Listener, address: Address | None
    ) -> int:
        """Open a listener once its address is free; there is none without an address.

        Parameters
        ----------
        purpose : str
            What the listener is for, as the log names it.

        Returns
        -------
        int
            The port; 0 if none was opened.
        """
        if address is None:
            return 0
        return await listen_when_free(
            self.ports, purpose, lambda: server.listen(address.host, address.port)
        )

    async def serve(
        self,
        address: Address | None,
        handler: HttpHandler,
        kind: ClientKind = ClientKind.READINESS,
    ) -> None:
        """Serve HTTP on an address once it is free; not at all without an address.

        Parameters
        ----------
        kind : ClientKind
            Whose connections the listener accepts.
        """
        server = HttpServer(
            handler,
            self.ports.decision_log.log_refused_request,
            lambda connection: ClientPort(self.ports, kind, connection),
        )
        self._http_servers.append(server)
        await self.listen("HTTP", server, address)

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
        state = self.ports.state
        fields = {
            "daemon": self.name,
            "requests": len(state.requests),
            "sessions": len(state.sessions),
        }
        if state.draining:
            drained_s = self.ports.now() - state.draining_since
            fields["drained_ms"] = round(drained_s * 1000)
        if self.fault is None:
            await self._finish_answers()
        await self.close()
        log.info("daemon stopped", extra=fields)
        if self.fault is not None:
            raise self.fault

    async def _finish_answers(self) -> None:
        """Send the answers that are ready, and finish HTTP requests in progress."""
        servers = (self.ports.callers, *self._http_servers)
        await asyncio.gather(*(s.finish(FINISH_LIMIT_S) for s in servers))

    def drain(self) -> None:
        """Start a graceful stop; `run` returns when it is done or the limit is over."""
        log.info("daemon drains", extra={"daemon": self.name})
        self.ports.feed(DrainRequested(self.ports.now()))
        self.ports.timer.call_later(self._drain_timeout_s, self.ports.stopped.set)

    async def close(self) -> None:
        """Close everything at once, as a crash would."""
        self.ports.close()
        self.ports.shell.close()
        for server in self._http_servers:
            server.close()
        self.ports.endpoints.close_all()
        self.ports.peers.close()
        if self.ports.journal is not None:
            self.ports.journal.close()
        if self.ports.audit is not None:
            self.ports.audit.close()
