"""The line protocol: complete, split and malformed input."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovagewalk.core import Code, LovageError, Outcome
from lovagewalk.groups import Position, Role
from lovagewalk.platform._lines import (
    MAX_LINE_BYTES,
    AnswerParser,
    EndpointState,
    Query,
    Startup,
    Terminate,
    join_line,
    parse_caller_line,
    parse_statement,
    parse_status,
    prepare_text,
    wait_prefix,
    word_of,
)
from lovagewalk.routing import (
    NamedStatement,
    PrepareStatement,
    SetValue,
    StatementKind,
)
from lovagewalk.runtime import LineSplitter
from lovagewalk.sessions import PreparedShape

ANSWERS = (
    b"DATAROW qhzk wmt\r\nDATAROW second\r\nCOMPLETE 7.1f3\r\nREADY T 3.1209\r\n"
    b"ERROR READONLY i-7f3a\r\nREADY E 3.1209\r\n"
    b"READY I -\r\n"
)
# Error words that promise that nothing of the caller's attempt was stored.
PROMISES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"}


@given(st.lists(st.integers(0, len(ANSWERS)), max_size=12))
def test_answers_do_not_depend_on_how_bytes_are_split(cuts):
    parser = AnswerParser()
    found = []
    edges = [0, *sorted(cuts), len(ANSWERS)]
    for start, end in zip(edges, edges[1:]):
        found += parser.feed(ANSWERS[start:end])
    first, second, third = found
    assert first.rows == ("qhzk wmt", "second") and first.signature == "7.1f3"
    assert first.state is EndpointState.TRANSACTION
    assert first.position == Position(3, 1209)
    assert (second.error, second.detail) == ("READONLY", "i-7f3a")
    assert second.rows == () and second.state is EndpointState.FAILED
    assert third.position is None


@pytest.mark.parametrize(
    "data",
    [b"HELLO x\r\n", b"READY Q -\r\n", b"READY I 3.x\r\n", b"READY I 3\r\n"],
)
def test_what_no_endpoint_sends_ends_its_connection(data):
    with pytest.raises(LovageError) as caught:
        AnswerParser().feed(data)
    assert caught.value.code is Code.PACKET_BAD


def test_a_line_is_limited_whether_it_ends_or_not():
    for data in (b"x" * (MAX_LINE_BYTES + 1), b"x" * (MAX_LINE_BYTES + 1) + b"\r\n"):
        with pytest.raises(LovageError) as caught:
            LineSplitter(MAX_LINE_BYTES).feed(data)
        assert caught.value.code is Code.STATEMENT_LARGE


def test_bytes_that_are_no_text_are_refused():
    with pytest.raises(LovageError) as caught:
        LineSplitter(MAX_LINE_BYTES).feed(b"QUERY 1 READ \xff\r\n")
    assert caught.value.code is Code.PACKET_BAD


def test_a_carriage_return_inside_a_field_ends_no_line():
    assert LineSplitter(MAX_LINE_BYTES).feed(b"QUERY 1 WRITE a b\rc\r\n") == [
        "QUERY 1 WRITE a b\rc"
    ]


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("STARTUP lepu270 u3f1", Startup("lepu270", "u3f1")),
        ("STARTUP lepu270", Startup("lepu270", "")),
        ("QUERY 5c0e READ 1a4", Query("5c0e", "READ 1a4")),
        ("QUERY 5c0e WRITE 1a4 a  b", Query("5c0e", "WRITE 1a4 a  b")),
        ("TERMINATE", Terminate()),
    ],
)
def test_messages_of_callers(line, message):
    assert parse_caller_line(line) == message


@pytest.mark.parametrize(
    "line", ["", "QUERY", "QUERY 1", "STARTUP", "SELECT 1", "QUERY  x"]
)
def test_malformed_messages_of_callers(line):
    with pytest.raises(LovageError) as caught:
        parse_caller_line(line)
    assert caught.value.code is Code.PACKET_BAD


READ_SHAPE = PreparedShape(False, "q2c more")


@pytest.mark.parametrize(
    ("text", "kind", "rest", "detail"),
    [
        ("BEGIN", StatementKind.BEGIN, "BEGIN", None),
        ("BEGIN READ", StatementKind.BEGIN_READ, "BEGIN READ", None),
        ("COMMIT", StatementKind.COMMIT, "COMMIT", None),
        ("ROLLBACK", StatementKind.ROLLBACK, "ROLLBACK", None),
        ("READ 1a4", StatementKind.READ, "READ 1a4", None),
        ("WRITE 1a4 d e", StatementKind.WRITE, "WRITE 1a4 d e", None),
        ("SET tz a b", StatementKind.SET_VALUE, "SET tz a b", SetValue("tz", "a b")),
        (
            "PREPARE s1 READ q2c more",
            StatementKind.PREPARE,
            "PREPARE s1 READ q2c more",
            PrepareStatement("s1", READ_SHAPE),
        ),
        ("EXECUTE s1 1a4 x", StatementKind.EXECUTE, "1a4 x", NamedStatement("s1")),
        ("DEALLOC s1", StatementKind.DEALLOCATE, "DEALLOC s1", NamedStatement("s1")),
    ],
)
def test_statements(text, kind, rest, detail):
    statement = parse_statement(text)
    assert (statement.kind, statement.text, statement.detail) == (kind, rest, detail)


@pytest.mark.parametrize(
    "text",
    [
        "READ",
        "READ a b",
        "WRITE a",
        "SET a",
        "PREPARE s1 SOMETHING x",
        "PREPARE s1 READ",
        "EXECUTE s1",
        "BEGIN WRITE",
        "WAITLSN 1.2 READ a",
        "STATUS",
        "DEMOTE 4",
        "DISCARD",
        "",
    ],
)
def test_a_caller_cannot_send_what_is_the_systems_own(text):
    with pytest.raises(LovageError) as caught:
        parse_statement(text)
    assert caught.value.code is Code.STATEMENT_BAD


def test_status_rows():
    status = parse_status("replica 3 3.1209 0 12 2 17", "born")
    assert (status.role, status.term, status.index) == (Role.REPLICA, 3, 1209)
    for row in ("", "replica", "leader 3 3.1 0 0 0 0", "replica x 3.1", "primary 3 y"):
        with pytest.raises(LovageError):
            parse_status(row, "born")


def test_texts_for_endpoints():
    assert wait_prefix(Position(3, 7)) + "READ a" == "WAITLSN 3.7 READ a"
    assert wait_prefix(None) == ""
    other = PreparedShape(True, "q2c more")
    assert prepare_text(READ_SHAPE) != prepare_text(other)
    assert prepare_text(READ_SHAPE).endswith("READ q2c more")
    assert join_line("QUERY", "-", "BEGIN") == b"QUERY - BEGIN\r\n"


def test_promises_stand_only_for_codes_that_keep_nothing():
    for code in Code:
        if word_of(code) in PROMISES:
            assert code.outcome is not Outcome.UNKNOWN, code
