"""End-to-end tests: an unmodified MySQL client, an entry daemon, a stand-in group."""

import asyncmy
import pytest

from .harness import DaemonHarness, received_texts, run


@pytest.fixture
async def harness():
    async with DaemonHarness() as running:
        yield running


async def _create_table(harness):
    conn = await harness.connect()
    await run(conn, "CREATE TABLE repairs (id INT AUTO_INCREMENT PRIMARY KEY, x INT)")
    return conn


async def test_written_rows_are_read_back(harness):
    conn = await _create_table(harness)
    async with conn.cursor() as cursor:
        assert await cursor.execute("INSERT INTO repairs (x) VALUES (7), (8)") == 2
        assert cursor.lastrowid == 2
    assert await run(conn, "SELECT id, x FROM repairs") == [(1, 7), (2, 8)]
    assert await run(conn, "SELECT LAST_INSERT_ID()") == [(2,)]


async def test_reads_after_a_write_go_to_replicas(harness):
    conn = await _create_table(harness)
    for number in range(20):
        await run(conn, f"INSERT INTO repairs (x) VALUES ({number})")
        assert len(await run(conn, "SELECT x FROM repairs")) == number + 1
    primary_reads = received_texts(harness.instances[0], "SELECT x")
    assert primary_reads == []


async def test_session_token_works_on_another_connection(harness):
    first_conn = await _create_table(harness)
    await run(first_conn, "INSERT INTO repairs (x) VALUES (1)")
    token = (await run(first_conn, "SELECT LOVAGEWALK_TOKEN()"))[0][0]
    second_conn = await harness.connect()
    text = f"/* lw token={token} */ SELECT x FROM repairs"
    assert await run(second_conn, text) == [(1,)]
    assert received_texts(harness.instances[0], "SELECT x") == []


@pytest.mark.parametrize(
    "token",
    ["nonsense", "MXxoYXJib3VyfGtpb3NrLWxlZGdlcnwxfDk5fEFBQUFBQUFBQUFBQUFBQUE="],
)
async def test_forged_token_is_refused(harness, token):
    conn = await _create_table(harness)
    with pytest.raises(asyncmy.errors.Error, match=r"LW1201 \[not run\]"):
        await run(conn, f"/* lw token={token} */ SELECT x FROM repairs")


async def test_token_of_another_customer_is_refused(harness):
    conn = await _create_table(harness)
    token = (await run(conn, "SELECT LOVAGEWALK_TOKEN()"))[0][0]
    other_conn = await harness.connect("station")
    with pytest.raises(asyncmy.errors.Error, match="LW1201"):
        await run(other_conn, f"/* lw token={token} */ SELECT x FROM repairs")


@pytest.mark.parametrize(
    ("options", "code"),
    [
        ({"password": "wrong"}, "LW1001"),
        ({"user": "nobody"}, "LW1001"),
        ({"route": "nowhere"}, "LW1003"),
        ({"route": "board"}, "LW1004"),
        ({"user": "public", "password": ""}, "LW1001"),
    ],
)
async def test_connection_is_refused(harness, options, code):
    with pytest.raises(asyncmy.errors.Error, match=code):
        await harness.connect(**options)


async def test_open_route_needs_no_key(harness):
    conn = await harness.connect(route="prices", user="public", password="")
    assert await run(conn, "SELECT 1") == [(1,)]


async def test_rollback_discards_and_commit_keeps_rows(harness):
    conn = await _create_table(harness)
    other_conn = await harness.connect()
    await run(conn, "BEGIN")
    await run(conn, "INSERT INTO repairs (x) VALUES (1)")
    assert await run(other_conn, "SELECT x FROM repairs") == []
    await run(conn, "ROLLBACK")
    await run(conn, "BEGIN")
    await run(conn, "INSERT INTO repairs (x) VALUES (2)")
    await run(conn, "COMMIT")
    assert await run(conn, "SELECT x FROM repairs") == [(2,)]


async def test_request_marked_once_runs_once(harness):
    conn = await _create_table(harness)
    other_conn = await harness.connect()
    text = "/* lw request=a-1 once */ INSERT INTO repairs (x) VALUES (1)"
    assert await run(conn, text) == 1
    with pytest.raises(asyncmy.errors.Error, match=r"LW1202 \[run before\]"):
        await run(other_conn, text)
    assert await run(conn, "SELECT x FROM repairs") == [(1,)]


async def test_large_result_is_complete(harness):
    conn = await _create_table(harness)
    for _ in range(10):
        values = ", ".join(f"({i})" for i in range(100))
        await run(conn, f"INSERT INTO repairs (x) VALUES {values}")
    rows = await run(conn, "SELECT a.x FROM repairs a, repairs b LIMIT 30000")
    assert len(rows) == 30000
    assert len(await run(conn, "SELECT x FROM repairs")) == 1000


async def test_endpoint_error_keeps_its_errno(harness):
    conn = await _create_table(harness)
    with pytest.raises(asyncmy.errors.Error, match=r"1064.*LW1402 \[failed\]"):
        await run(conn, "SELECT missing FROM repairs")
    assert await run(conn, "SELECT x FROM repairs") == []


async def test_oversized_statement_is_refused(harness):
    conn = await harness.connect()
    with pytest.raises(asyncmy.errors.Error, match="LW1302|Lost"):
        await run(conn, "SELECT '" + "x" * (5 * 1024 * 1024) + "'")
    new_conn = await harness.connect()
    assert await run(new_conn, "SELECT 1") == [(1,)]


async def test_no_secret_reaches_an_endpoint_or_a_log(harness, caplog):
    caplog.set_level("DEBUG")
    conn = await _create_table(harness)
    token = (await run(conn, "SELECT LOVAGEWALK_TOKEN()"))[0][0]
    await run(conn, f"/* lw token={token} request=r-77 */ SELECT x FROM repairs")
    received_text = "\n".join(
        text for instance in harness.instances for text in instance.received
    )
    logged = "\n".join(record.getMessage() for record in caplog.records)
    for secret in ("harbour-key", "harbour-secret", token, "r-77", "/* lw"):
        assert secret not in received_text
        assert secret not in logged


async def test_reads_with_max_age_avoid_older_replicas(harness):
    """A read goes to the primary if no replica is recent enough for its `max_age`."""
    import asyncio

    conn = await _create_table(harness)
    await run(conn, "INSERT INTO repairs (x) VALUES (1)")
    await asyncio.sleep(0.3)
    for replica in harness.instances[1:]:
        replica.received.clear()
        replica.set_lag(60.0)
    other_conn = await harness.connect()
    text = "/* lw max_age=30 */ SELECT x FROM repairs"
    assert await run(other_conn, text) == [(1,)]
    assert received_texts(harness.instances[0], "SELECT x") == []
    for replica in harness.instances[1:]:
        assert not replica.state.delayed
    write_task = asyncio.create_task(run(conn, "INSERT INTO repairs (x) VALUES (2)"))
    while harness.instances[0].state.index < 3:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.3)
    harness.instances[1].set_lag(0.0)
    await harness.send_order(harness.instances[1], "SHOW GROUP STATUS")
    fresh_read = "/* lw max_age=0.01 */ SELECT x FROM repairs"
    read_task = asyncio.create_task(run(other_conn, fresh_read))
    with pytest.raises(asyncmy.errors.Error, match="LW1501"):
        await write_task
    with pytest.raises(asyncmy.errors.Error, match="LW1501"):
        await read_task
    assert received_texts(harness.instances[0], "SELECT x") != []


async def test_status_flags_report_transaction_and_autocommit(harness):
    """Client libraries send SET autocommit only if the server's status flag differs."""
    conn = await _create_table(harness)
    await run(conn, "BEGIN")
    await run(conn, "INSERT INTO repairs (x) VALUES (1)")
    assert conn.get_transaction_status()
    await run(conn, "COMMIT")
    assert not conn.get_transaction_status()
    await run(conn, "SET autocommit = 0")
    await run(conn, "INSERT INTO repairs (x) VALUES (2)")
    assert conn.get_transaction_status() and not conn.get_autocommit()
    await run(conn, "COMMIT")
    await run(conn, "SET autocommit = 1")
    assert conn.get_autocommit()


async def test_a_connection_is_reused_after_a_transaction(harness):
    conn = await _create_table(harness)
    for number in range(6):
        await run(conn, "BEGIN")
        await run(conn, f"INSERT INTO repairs (x) VALUES ({number})")
        await run(conn, "COMMIT")
        await run(conn, f"INSERT INTO repairs (x) VALUES ({number})")
    assert len(await run(conn, "SELECT x FROM repairs")) == 12
