"""Measures the growth of costs (docs/CAPACITY.md): ``python -m benchmarks.capacity``.

Each cost is measured at three sizes. The reducers and codecs run alone; only the
memory of a caller's connection is measured with sockets.
"""

import asyncio
import logging
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from time import perf_counter

from lovagewalk import catalogue as cat
from lovagewalk.codec import decode, encode
from lovagewalk.consensus import RaftState, SendToPeer
from lovagewalk.control import (
    ChangeRequested,
    ConsensusTick,
    ControlState,
    ControlTick,
    FollowState,
    PeerMessage,
    RepairTick,
)
from lovagewalk.control._messages import FollowRequest, ShareReport
from lovagewalk.core import reduce, replace
from lovagewalk.daemon import install_catalogue
from lovagewalk.demo import CAMPANERIA, Fleet
from lovagewalk.groups import InstanceSeen, InstanceStatus, PollTick, Role
from lovagewalk.node import Identity, NodeState
from lovagewalk.routing import CallerConnected

US_PER_S = 1e6
REPEATS = 3
REPORTS_PER_HEARTBEAT = 20


@dataclass(frozen=True, slots=True)
class Slope:
    """A cost at three sizes."""

    name: str
    unit: str
    sizes: tuple[int, ...]
    figures: tuple[float, ...]

    def to_line(self) -> str:
        """Return the slope as a line of a table."""
        pairs = ", ".join(
            f"{size}: {figure:.4g}"
            for size, figure in zip(self.sizes, self.figures, strict=True)
        )
        return f"| {self.name} | {self.unit} | {pairs} |"


class ReducerNode:
    """The reducer of one daemon, without sockets; records the messages it sends."""

    def __init__(self, control: bool) -> None:
        self.now = 1.0
        self.sent: list[SendToPeer] = []
        name = "vm1" if control else "entry1"
        identity = Identity(name, "z", "r", b"secret", control=control)
        self.state = NodeState(identity, follow=FollowState(("vm1",), "vm1", "boot"))
        if control:
            raft = RaftState("vm1", "disk", (), seed=1)
            self.state = replace(self.state, consensus=raft, control=ControlState())
            for _ in range(100):
                self.now += 0.05
                self.feed(ConsensusTick(self.now))

    def feed(self, event) -> None:
        step = reduce(self.state, event)
        self.state = step.state
        self.sent += [e for e in step.effects if isinstance(e, SendToPeer)]

    def advance_heartbeat(self) -> None:
        """Advance the clock past the next heartbeat."""
        self.now += 0.06
        self.feed(ConsensusTick(self.now))

    def propose(self, *commands) -> None:
        for number, command in enumerate(commands):
            proposal = cat.Proposal(f"p{number}", "op", 0.0, command)
            self.feed(ChangeRequested(self.now, number + 1, proposal))


def _put_customers(count: int) -> list[cat.PutCustomer]:
    return [
        cat.PutCustomer(cat.CustomerEntry(f"customer-{n}", "o", 100.0, 50.0), 0)
        for n in range(count)
    ]


def _announce_endpoints(groups: int) -> list[cat.AnnounceEndpoint]:
    return [
        cat.AnnounceEndpoint(
            cat.Endpoint(
                f"db{g}-{i}", f"group-{g}", "10.0.0.1", 3306, "z", "r", 20, sequence=1
            )
        )
        for g in range(groups)
        for i in range(3)
    ]


def _follow_request(seq: int, revision: int, customers: int) -> FollowRequest:
    shares = tuple(
        ShareReport(f"customer-{n}", 10.0, 5.0, 0.0, 8.0, 0) for n in range(customers)
    )
    return FollowRequest("boot", seq, revision, False, (), shares)


def _time_per_call_us(call: Callable[[], None], count: int) -> float:
    """Return the microseconds per call in the fastest repeat."""
    best = float("inf")
    for _ in range(REPEATS):
        started = perf_counter()
        for _ in range(count):
            call()
        best = min(best, (perf_counter() - started) / count)
    return best * US_PER_S


def measure_reports(sizes: tuple[int, ...] = (30, 100, 300)) -> Slope:
    """Measure the leader's time to decode and reduce a report and encode the reply."""
    figures = []
    for size in sizes:
        node = ReducerNode(control=True)
        node.propose(*_put_customers(8))
        numbers = iter(range(1, 10**9))

        def report() -> None:
            number = next(numbers)
            peer = f"entry{number % size}"
            payload = encode(_follow_request(number, node.state.catalogue.revision, 8))
            node.now += 0.5 / size
            node.feed(PeerMessage(node.now, peer, decode(payload)))
            if number % REPORTS_PER_HEARTBEAT == 0:
                node.advance_heartbeat()
            for effect in node.sent:
                encode(effect.message)
            node.sent.clear()

        _time_per_call_us(report, size)
        figures.append(_time_per_call_us(report, 300))
    return Slope("leader, a report with 8 shares", "us", sizes, tuple(figures))


def measure_report_bytes(sizes: tuple[int, ...] = (8, 32, 64)) -> list[Slope]:
    """Measure the bytes of a report and its reply by the number of customers."""
    report_bytes, reply_bytes = [], []
    for size in sizes:
        node = ReducerNode(control=True)
        node.propose(*_put_customers(size))
        request = _follow_request(1, node.state.catalogue.revision, size)
        report_bytes.append(len(encode(request)))
        node.sent.clear()
        node.feed(PeerMessage(node.now, "entry1", request))
        node.advance_heartbeat()
        reply_bytes.append(len(encode(node.sent[-1].message)))
    return [
        Slope("a report, by customers", "bytes", sizes, tuple(report_bytes)),
        Slope("its answer, by customers", "bytes", sizes, tuple(reply_bytes)),
    ]


def measure_push(sizes: tuple[int, ...] = (30, 100, 300)) -> Slope:
    """Measure the leader's time to push one change by the number of followers."""
    figures = []
    for size in sizes:
        node = ReducerNode(control=True)
        for number in range(size):
            request = _follow_request(1, node.state.catalogue.revision, 0)
            node.feed(PeerMessage(node.now, f"entry{number}", request))
        node.advance_heartbeat()
        node.sent.clear()
        numbers = iter(range(10**9))

        def push() -> None:
            name = f"new-{next(numbers)}"
            entry = cat.CustomerEntry(name, "o", 1.0, 1.0)
            proposal = cat.Proposal(name, "op", 0.0, cat.PutCustomer(entry, 0))
            node.feed(ChangeRequested(node.now, 1, proposal))
            for message in {id(e.message): e.message for e in node.sent}.values():
                encode(message)
            node.sent.clear()

        figures.append(_time_per_call_us(push, 10))
    return Slope("leader, a change pushed, by followers", "us", sizes, tuple(figures))


def measure_catalogue(sizes: tuple[int, ...] = (100, 1000, 5000)) -> list[Slope]:
    """Measure memory, snapshot size and change time by customers with one key each."""
    memory_bytes, snapshot_bytes, change_us = [], [], []
    for size in sizes:
        tracemalloc.start()
        catalogue = cat.Catalogue()
        index = 0
        started = perf_counter()
        for command in _put_customers(size):
            key = cat.IssueKey(f"key-{index}", command.entry.name, "ab" * 20)
            for change in (command, key):
                index += 1
                proposal = cat.Proposal("", "op", 0.0, change)
                catalogue = cat.apply_proposal(catalogue, index, proposal).catalogue
        change_us.append((perf_counter() - started) / index * US_PER_S)
        memory_bytes.append(tracemalloc.get_traced_memory()[0] / size)
        tracemalloc.stop()
        snapshot_bytes.append(len(encode_snapshot(catalogue)) / size)
    return [
        Slope(
            "catalogue memory a customer with key", "bytes", sizes, tuple(memory_bytes)
        ),
        Slope("snapshot a customer with key", "bytes", sizes, tuple(snapshot_bytes)),
        Slope("a change applied (traced)", "us", sizes, tuple(change_us)),
    ]


def encode_snapshot(catalogue: cat.Catalogue) -> bytes:
    """Return a catalogue as it is encoded in a snapshot."""
    from lovagewalk.consensus import SnapshotRequest

    return encode(SnapshotRequest(1, catalogue.revision, 1, (), catalogue, 1))


def measure_sessions(sizes: tuple[int, ...] = (1000, 5000, 20000)) -> Slope:
    """Measure the memory of a caller's session in the state, without its socket."""
    figures = []
    for size in sizes:
        node = ReducerNode(control=True)
        node.propose(
            cat.PutCustomer(cat.CustomerEntry("c", "o", 1.0, 1.0), 0),
            cat.IssueKey("k", "c", ""),
            cat.PutRoute(cat.RouteEntry("r", "o", "g"), 0),
        )
        node.state = replace(node.state, fresh_until=1e18)
        tracemalloc.start()
        for caller in range(size):
            node.feed(CallerConnected(node.now, caller, "k", "r"))
        figures.append(tracemalloc.get_traced_memory()[0] / size)
        tracemalloc.stop()
    return Slope("session in the state", "bytes", sizes, tuple(figures))


def _node_with_groups(groups: int, control: bool) -> ReducerNode:
    node = ReducerNode(control)
    catalogue = cat.Catalogue()
    for index, command in enumerate(_announce_endpoints(groups), 1):
        proposal = cat.Proposal("", "op", 0.0, command)
        catalogue = cat.apply_proposal(catalogue, index, proposal).catalogue
    configs = catalogue.groups
    for group in range(groups):
        name = f"group-{group}"
        voters = tuple(cat.Voter(f"db{group}-{i}", "x") for i in range(3))
        config = cat.GroupConfig(
            name, 1, f"db{group}-0", voters, (cat.TermStart(1, 0),), 1
        )
        configs = configs.set(name, config)
    catalogue = replace(catalogue, groups=configs, revision=catalogue.revision + 100)
    node.state = install_catalogue(node.state, catalogue, node.now).state
    node.feed(PollTick(node.now))
    for endpoint in catalogue.endpoints.values():
        role = Role.PRIMARY if endpoint.name.endswith("-0") else Role.REPLICA
        status = InstanceStatus("x", role, 1, 5, 1)
        node.feed(InstanceSeen(node.now, endpoint.name, status, node.now, False))
    return node


def measure_groups(sizes: tuple[int, ...] = (10, 100, 400)) -> list[Slope]:
    """Measure the time of periodic ticks by the number of groups."""
    entry_poll_us, entry_control_us, leader_control_us, leader_repair_us = (
        [],
        [],
        [],
        [],
    )
    for size in sizes:
        entry = _node_with_groups(size, control=False)
        entry_poll_us.append(
            _time_per_call_us(lambda: entry.feed(PollTick(entry.now)), 10)
        )
        entry_control_us.append(
            _time_per_call_us(lambda: entry.feed(ControlTick(entry.now)), 10)
        )
        leader = _node_with_groups(size, control=True)
        leader_control_us.append(
            _time_per_call_us(lambda: leader.feed(ControlTick(leader.now)), 10)
        )
        leader_repair_us.append(
            _time_per_call_us(lambda: leader.feed(RepairTick(leader.now)), 10)
        )
    return [
        Slope("entry, a poll tick, by groups", "us", sizes, tuple(entry_poll_us)),
        Slope("entry, a control tick, by groups", "us", sizes, tuple(entry_control_us)),
        Slope(
            "leader, a control tick, by groups", "us", sizes, tuple(leader_control_us)
        ),
        Slope("leader, a repair tick, by groups", "us", sizes, tuple(leader_repair_us)),
    ]


async def measure_connections(sizes: tuple[int, ...] = (50, 100, 200)) -> Slope:
    """Measure the memory of a caller's connection, including the client side."""
    figures = []
    for size in sizes:
        async with Fleet(CAMPANERIA) as fleet:
            warm_up_conn = await fleet.connect("vm1")
            tracemalloc.start()
            conns = [await fleet.connect("vm1") for _ in range(size)]
            figures.append(tracemalloc.get_traced_memory()[0] / size)
            tracemalloc.stop()
            for conn in [warm_up_conn, *conns]:
                conn.close()
    return Slope("a caller's connection, both ends", "bytes", sizes, tuple(figures))


def main() -> None:
    """Measure and print every slope."""
    logging.disable(logging.CRITICAL)
    slopes = [
        measure_reports(),
        *measure_report_bytes(),
        measure_push(),
        *measure_catalogue(),
        measure_sessions(),
        asyncio.run(measure_connections()),
        *measure_groups(),
    ]
    print("| cost | unit | at sizes |")
    print("| --- | --- | --- |")
    for slope in slopes:
        print(slope.to_line(), flush=True)


if __name__ == "__main__":
    main()
