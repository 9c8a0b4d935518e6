"""Faults that the users specify, injected into a fleet in one process.

No test asserts a duration. Each waits until a condition is met and checks what must
not happen until then.
"""

import asyncio

import asyncmy
import pytest

from lovagewalk.audit import verify_lines
from lovagewalk.consensus import RaftRole
from lovagewalk.control import is_ready
from lovagewalk.core import Code, LovageError
from lovagewalk.demo import Fleet, run
from lovagewalk.groups import Role
from lovagewalk.operators import OperatorError

PROGRESS_TIMEOUT_S = 60.0
CALLER_ERRORS = (asyncmy.errors.Error, OSError, EOFError)
CREATE_TABLE = "CREATE TABLE repairs (id INT PRIMARY KEY, x INT)"


# A stall of `STALL_S` must cause no promotion. It lasts longer if the test wakes up
# late, and counts only up to the second limit: a stall of 0.3 s may cause a promotion,
# since instances are polled every 0.05 s and suspected after 0.4 s.
STALL_S, LONGEST_COUNTED_STALL_S = 0.2, 0.25
MAX_STALLS = 20


@pytest.fixture
async def fleet():
    async with Fleet() as running_fleet:
        conn = await running_fleet.connect("vm1")
        await run(conn, CREATE_TABLE)
        conn.close()
        yield running_fleet


class Writer:
    """Inserts numbered rows until stopped, and records the outcome of each insert."""

    def __init__(self, fleet, daemon, first_number):
        self.fleet = fleet
        self.daemon = daemon
        self.number = first_number
        self.acknowledged = []
        self.not_run = []
        self.unknown = []
        self.error_texts = []
        self.task = asyncio.create_task(self._run())

    async def _run(self):
        conn = await self.fleet.connect(self.daemon)
        while True:
            self.number += 1
            text = f"INSERT INTO repairs VALUES ({self.number}, 0)"
            try:
                await run(conn, text)
                self.acknowledged.append(self.number)
            except asyncmy.errors.Error as exc:
                failed_numbers = (
                    self.not_run if "[not run]" in str(exc) else self.unknown
                )
                failed_numbers.append(self.number)
                self.error_texts.append(str(exc))
            await asyncio.sleep(0.002)

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


async def _read_ids(fleet, daemon="vm1"):
    conn = await fleet.connect(daemon)
    rows = await run(conn, "SELECT id FROM repairs")
    conn.close()
    return {row[0] for row in rows}


async def _stop_and_check(fleet, writers):
    for writer in writers:
        await writer.stop()
    ids = await _read_ids(fleet)
    for writer in writers:
        assert set(writer.acknowledged) <= ids, "an acknowledged write is lost"
        assert not set(writer.not_run) & ids, "a write reported as not run has run"


def _group_config(fleet):
    newest_catalogue = max(
        (d.state.catalogue for d in fleet.daemons.values()), key=lambda c: c.revision
    )
    return newest_catalogue.group(fleet.profile.group)


async def _wait_for_term_after(fleet, term):
    await fleet.until(
        lambda: all(
            d.state.catalogue.group(fleet.profile.group).term > term
            for d in fleet.daemons.values()
        )
    )


def _start_writers(fleet):
    return [
        Writer(fleet, name, (i + 1) * 10**6) for i, name in enumerate(fleet.daemons)
    ]


async def _wait_for_writes(writers, count=30):
    start_counts = [len(writer.acknowledged) for writer in writers]
    async with asyncio.timeout(PROGRESS_TIMEOUT_S):
        while any(
            len(writer.acknowledged) < start + count
            for writer, start in zip(writers, start_counts)
        ):
            await asyncio.sleep(0.01)


async def test_crashed_primary_loses_no_acknowledged_write(fleet):
    writers = _start_writers(fleet)
    await _wait_for_writes(writers)
    old_primary, term = fleet.primary(), _group_config(fleet).term
    await old_primary.crash(lose_rows=False)
    await _wait_for_term_after(fleet, term)
    await _wait_for_writes(writers)
    await old_primary.start()
    await fleet.until(lambda: old_primary.state.role is Role.REPLICA)
    await _wait_for_writes(writers)
    await _stop_and_check(fleet, writers)


async def test_two_failovers_in_a_row_lose_no_acknowledged_write(fleet):
    writers = _start_writers(fleet)
    await _wait_for_writes(writers)
    for _ in range(2):
        old_primary, term = fleet.primary(), _group_config(fleet).term
        await old_primary.crash(lose_rows=False)
        await _wait_for_term_after(fleet, term)
        await _wait_for_writes(writers, 10)
        await old_primary.start()
        await fleet.until(lambda: old_primary.state.role is Role.REPLICA)
    await _stop_and_check(fleet, writers)


async def test_primary_isolated_only_from_its_group_is_replaced(fleet):
    writers = _start_writers(fleet)
    await _wait_for_writes(writers)
    old_primary, term = fleet.primary(), _group_config(fleet).term
    old_primary.set_isolated(True)
    await _wait_for_term_after(fleet, term)
    assert fleet.primary() is not old_primary
    await _wait_for_writes(writers)
    old_primary.set_isolated(False)
    await fleet.until(lambda: old_primary.state.role is Role.REPLICA)
    await _stop_and_check(fleet, writers)


async def test_short_stalls_cause_no_promotion(fleet):
    """Stalls that last too long since the machine is busy are not counted."""
    counted = 0
    for _ in range(MAX_STALLS):
        term, stall_s = _group_config(fleet).term, await _stall_all(fleet, STALL_S)
        await asyncio.sleep(0.3)
        if stall_s > LONGEST_COUNTED_STALL_S:
            await asyncio.sleep(1.0)
            continue
        assert _group_config(fleet).term == term
        counted += 1
        if counted == 3:
            return
    raise AssertionError(
        f"only {counted} of {MAX_STALLS} stalls were short enough to count"
    )


async def _stall_all(fleet, seconds):
    """Stall all instances; return how long the stall lasted, in seconds."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    for instance in fleet.instances:
        instance.not_stalled.clear()
    await asyncio.sleep(seconds)
    for instance in fleet.instances:
        instance.not_stalled.set()
    return loop.time() - started


async def test_one_isolated_observer_causes_no_promotion(fleet):
    term, primary = _group_config(fleet).term, fleet.primary().cfg.name
    fleet.networks["vm1"].unreachable = {primary}
    await asyncio.sleep(1.0)
    assert _group_config(fleet).term == term
    fleet.networks["vm1"].unreachable = set()


async def test_planned_switch_refuses_no_statement(fleet):
    writers = _start_writers(fleet)
    await _wait_for_writes(writers)
    group, old_primary = fleet.profile.group, fleet.primary()
    target = next(i for i in fleet.instances if i is not old_primary)
    leader = fleet.leader().cfg.daemon.name
    async with fleet.operator(leader) as client:
        await client.post("/switch", {"group": group, "endpoint": target.cfg.name})
    await fleet.until(lambda: fleet.primary() is target)
    await _wait_for_writes(writers)
    refused = [text for writer in writers for text in writer.error_texts]
    await _stop_and_check(fleet, writers)
    assert refused == []


async def test_rejoined_replica_is_promoted_after_the_other_instances_crash(fleet):
    writers = _start_writers(fleet)
    await _wait_for_writes(writers)
    primary = fleet.primary()
    first_replica, second_replica = (i for i in fleet.instances if i is not primary)
    old_incarnation = first_replica.state.incarnation
    await first_replica.crash(lose_rows=True)
    await first_replica.start()
    assert first_replica.state.incarnation != old_incarnation
    await fleet.until(
        lambda: any(
            v.incarnation == first_replica.state.incarnation
            for v in _group_config(fleet).voters
        )
    )
    await second_replica.crash(lose_rows=True)
    await _wait_for_writes(writers)
    await fleet.until(
        lambda: all(
            v.name != second_replica.cfg.name for v in _group_config(fleet).voters
        )
    )
    term = _group_config(fleet).term
    await primary.crash(lose_rows=False)
    await second_replica.start()
    await _wait_for_term_after(fleet, term)
    assert fleet.primary() is first_replica
    await _wait_for_writes(writers)
    await _stop_and_check(fleet, writers)


async def test_open_transaction_is_rolled_back_when_its_entry_vm_crashes(fleet):
    conn = await fleet.connect("vm3")
    await run(conn, "BEGIN")
    await run(conn, "INSERT INTO repairs VALUES (1, 1)")
    await fleet.kill_daemon("vm3")
    conn.close()
    await fleet.until(lambda: not fleet.primary().write_lock.locked())
    assert await _read_ids(fleet) == set()


async def test_open_transaction_fails_when_the_primary_crashes(fleet):
    conn = await fleet.connect("vm1")
    await run(conn, "BEGIN")
    await run(conn, "INSERT INTO repairs VALUES (1, 1)")
    old_primary = fleet.primary()
    term = _group_config(fleet).term
    await old_primary.crash(lose_rows=False)
    await _wait_for_term_after(fleet, term)
    with pytest.raises(asyncmy.errors.Error, match="LW1401"):
        await run(conn, "INSERT INTO repairs VALUES (2, 1)")
    with pytest.raises(asyncmy.errors.Error, match="LW1401"):
        await run(conn, "COMMIT")
    await run(conn, "ROLLBACK")
    await run(conn, "INSERT INTO repairs VALUES (3, 1)")
    assert await _read_ids(fleet) == {3}


async def test_withdrawn_key_ends_sessions_of_connected_callers(fleet):
    key = await fleet.issue_key(fleet.customer_keys[1].customer)
    await fleet.until(
        lambda: all(d.state.catalogue.key(key.key_id) for d in fleet.daemons.values())
    )
    idle_conn = await fleet.connect("vm2", key)
    busy_conn = await fleet.connect("vm3", key)
    other_conn = await fleet.connect("vm3")
    await run(busy_conn, "BEGIN")
    await run(busy_conn, "INSERT INTO repairs VALUES (1, 1)")
    await fleet.change({"_type": "WithdrawKey", "key_id": key.key_id})
    await fleet.until(
        lambda: all(
            session.key.key_id != key.key_id
            for d in fleet.daemons.values()
            for session in d.state.sessions.values()
        )
    )
    for conn, text in ((idle_conn, "SELECT 1"), (busy_conn, "COMMIT")):
        with pytest.raises(CALLER_ERRORS):
            await run(conn, text)
    with pytest.raises(asyncmy.errors.Error, match="LW1002"):
        await fleet.connect("vm1", key)
    assert await run(other_conn, "SELECT 1") == [(1,)]
    assert await _read_ids(fleet) == set()


async def test_isolated_daemon_refuses_statements_until_its_catalogue_is_fresh(fleet):
    conn = await fleet.connect("vm3")
    for name in ("vm1", "vm2"):
        fleet.networks["vm3"].unreachable.add(name)
        fleet.networks[name].unreachable.add("vm3")
    state_before = fleet.daemons["vm3"].state
    await fleet.until(
        lambda: fleet.daemons["vm3"].state.fresh_until < fleet.timer.now()
    )
    with pytest.raises(asyncmy.errors.Error, match="LW1005"):
        await run(conn, "SELECT 1")
    await fleet.change(
        {"_type": "WithdrawKey", "key_id": fleet.customer_keys[0].key_id}
    )
    for network in fleet.networks.values():
        network.unreachable.clear()
    await fleet.until(
        lambda: fleet.daemons["vm3"].state.fresh_until > fleet.timer.now()
    )
    assert (
        fleet.daemons["vm3"].state.catalogue.revision > state_before.catalogue.revision
    )
    with pytest.raises(CALLER_ERRORS):
        await run(conn, "SELECT 1")


async def test_only_one_of_two_changes_with_the_same_expected_revision_applies(fleet):
    def build_command(owner):
        entry = {
            "name": "new",
            "owner": owner,
            "rate": 1.0,
            "burst": 1.0,
            "weight": 1.0,
        }
        return {"_type": "PutCustomer", "entry": entry, "expected": 0}

    async def put_customer(daemon, owner):
        async with fleet.operator(daemon) as client:
            return await client.change(build_command(owner), request_id=f"put-{owner}")

    results = await asyncio.gather(
        put_customer("vm1", "anna"), put_customer("vm2", "bea"), return_exceptions=True
    )
    refused = [r for r in results if isinstance(r, OperatorError)]
    assert [exc.code for exc in refused] == ["LW2102"]
    accepted = next(r for r in results if isinstance(r, dict))
    owner = "anna" if accepted is results[0] else "bea"
    assert (
        await put_customer("vm3", owner) == accepted
    ), "a resent request must get the first answer"


async def test_isolated_control_leader_applies_no_change_and_catches_up(fleet):
    old_leader = fleet.leader().cfg.daemon.name
    others = [name for name in fleet.daemons if name != old_leader]
    for name in others:
        fleet.networks[old_leader].unreachable.add(name)
        fleet.networks[name].unreachable.add(old_leader)
    await fleet.until(
        lambda: any(fleet.daemons[n].state.consensus.is_leader for n in others)
    )
    entry = {"name": "new", "owner": "o", "rate": 1.0, "burst": 1.0, "weight": 1.0}
    command = {"_type": "PutCustomer", "entry": entry, "expected": 0}
    await fleet.change(command, others[0])
    with pytest.raises(OperatorError, match="LW210"):
        async with fleet.operator(old_leader) as client:
            await client.change(command)
    assert fleet.daemons[old_leader].state.catalogue.customer("new") is None
    for network in fleet.networks.values():
        network.unreachable.clear()
    await fleet.until(lambda: fleet.daemons[old_leader].state.catalogue.customer("new"))


async def test_restart_of_all_control_vms_keeps_the_catalogue(fleet):
    for number in range(20):
        entry = {
            "name": f"c{number}",
            "owner": "o",
            "rate": 1.0,
            "burst": 1.0,
            "weight": 1.0,
        }
        await fleet.change({"_type": "PutCustomer", "entry": entry, "expected": 0})
    for name in list(fleet.daemons):
        await fleet.kill_daemon(name)
    for name in ("vm1", "vm2", "vm3"):
        await fleet.start_daemon(name)
    await fleet.until(fleet.is_ready)
    for daemon in fleet.daemons.values():
        assert all(daemon.state.catalogue.customer(f"c{n}") for n in range(20))
        lines = daemon.ports.audit.path.read_text().splitlines()
        verification = verify_lines(iter(lines))
        assert verification.fault == "" and verification.gaps == 0


async def test_leaving_endpoint_gets_no_new_statements(fleet):
    from dataclasses import replace

    primary = fleet.primary()
    leaving = next(i for i in fleet.instances if i is not primary)
    endpoint = fleet.daemons["vm1"].state.catalogue.endpoints[leaving.cfg.name]
    endpoint = replace(endpoint, leaving=True, sequence=endpoint.sequence + 10)
    fleet.tasks[fleet.instances.index(leaving)].cancel()
    await _announce(fleet, endpoint, fleet.announce_secret)
    await fleet.until(
        lambda: all(
            d.state.catalogue.endpoints[endpoint.name].leaving
            for d in fleet.daemons.values()
        )
    )
    leaving.received.clear()
    conn = await fleet.connect("vm2")
    for number in range(20):
        await run(conn, f"INSERT INTO repairs VALUES ({number}, 0)")
        await run(conn, "SELECT id FROM repairs")
    assert not [text for text in leaving.received if "repairs" in text]


async def test_leaving_primary_is_replaced_without_refusals(fleet):
    from dataclasses import replace

    old_primary = fleet.primary()
    endpoint = fleet.daemons["vm1"].state.catalogue.endpoints[old_primary.cfg.name]
    endpoint = replace(endpoint, leaving=True, sequence=endpoint.sequence + 10)
    fleet.tasks[fleet.instances.index(old_primary)].cancel()
    writers = _start_writers(fleet)
    await _announce(fleet, endpoint, fleet.announce_secret)
    await fleet.until(lambda: fleet.primary() is not old_primary)
    await _wait_for_writes(writers)
    refused = [text for writer in writers for text in writer.error_texts]
    await _stop_and_check(fleet, writers)
    assert refused == []


async def _announce(fleet, endpoint, secret):
    import json

    import aiohttp

    from lovagewalk.codec import to_dict
    from lovagewalk.edge._operators import SIGNATURE_HEADER, sign_announcement

    body = json.dumps(to_dict(endpoint)).encode()
    port = fleet.daemons["vm1"].operators_port
    async with aiohttp.ClientSession() as session:
        async with session.post(
            f"http://127.0.0.1:{port}/announce",
            data=body,
            headers={SIGNATURE_HEADER: sign_announcement(secret, body)},
        ) as response:
            return response.status


async def test_announcement_with_a_wrong_secret_is_refused(fleet):
    endpoint = fleet.daemons["vm1"].state.catalogue.endpoints["db1"]
    assert await _announce(fleet, endpoint, "another-secret") == 401


async def test_rolling_restart_fails_no_request(fleet):
    failures = []
    restarted = []

    async def send_requests(number):
        names = list(fleet.daemons)
        count = 0
        while not restarted:
            count += 1
            name = names[(number + count) % len(names)]
            daemon = fleet.daemons.get(name)
            if daemon is None or not is_ready(daemon.state, fleet.timer.now()):
                await asyncio.sleep(0.01)
                continue
            try:
                conn = await fleet.connect(name)
            except CALLER_ERRORS:
                continue
            try:
                await run(conn, "SELECT 1")
                await run(
                    conn, f"INSERT INTO repairs VALUES ({number * 10**6 + count}, 0)"
                )
            except CALLER_ERRORS as exc:
                if "LW1104 [not run]" not in str(exc):
                    failures.append(repr(exc))
            conn.close()

    callers = [asyncio.create_task(send_requests(number)) for number in range(4)]
    for name in list(fleet.daemons):
        daemon = fleet.daemons[name]
        await daemon.stop()
        del fleet.daemons[name]
        await fleet.start_daemon(name)
        await fleet.until(fleet.is_ready)
    restarted.append(True)
    await asyncio.gather(*callers)
    assert failures == []


async def test_control_vm_with_a_full_disk_keeps_serving(fleet, monkeypatch):
    leader = fleet.leader().cfg.daemon.name
    name = next(n for n in fleet.daemons if n != leader)
    daemon = fleet.daemons[name]

    def raise_disk_full(record):
        raise LovageError(Code.DISK_FULL, "no space left")

    monkeypatch.setattr(daemon.ports.journal, "append", raise_disk_full)
    entry = {"name": "new", "owner": "o", "rate": 1.0, "burst": 1.0, "weight": 1.0}
    command = {"_type": "PutCustomer", "entry": entry, "expected": 0}
    await fleet.change(command, leader)
    await fleet.until(lambda: daemon.state.consensus.role is RaftRole.OFFLINE)
    entry = {**entry, "name": "newer"}
    command = {"_type": "PutCustomer", "entry": entry, "expected": 0}
    await fleet.change(command, name)
    await fleet.until(lambda: daemon.state.catalogue.customer("newer"))
    conn = await fleet.connect(name)
    await run(conn, "INSERT INTO repairs VALUES (1, 1)")
    assert await run(conn, "SELECT id FROM repairs") == [(1,)]
    conn.close()
    assert daemon.fault is None


async def test_metrics_show_statements_and_terms(fleet):
    async with fleet.operator("vm1") as client:
        text = await client.get_text("/metrics")
    customer = fleet.customer_keys[0].customer
    assert f'lovagewalk_statements_total{{code="ok",customer="{customer}"}}' in text
    assert "lovagewalk_group_term" in text
    assert "lovagewalk_statement_seconds" in text


async def test_new_customer_leaves_every_daemon_ready(fleet):
    ready_flags = []
    entry = {"name": "new", "owner": "o", "rate": 9.0, "burst": 9.0, "weight": 1.0}
    await fleet.change({"_type": "PutCustomer", "entry": entry, "expected": 0})

    def has_shares():
        now = fleet.timer.now()
        ready_flags.extend(is_ready(d.state, now) for d in fleet.daemons.values())
        return all(
            "new" in d.state.shares and d.state.shares["new"].rate > 0
            for d in fleet.daemons.values()
        )

    await fleet.until(has_shares)
    assert all(ready_flags)
