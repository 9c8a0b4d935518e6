"""The line protocol: complete, split and malformed input."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovagewalk.core import Code, LovageError, Outcome
from lovagewalk.groups import Position, Role
from lovagewalk.platform._lines import (
    MAX_LINE_BYTES,
    AnswerParser,
    Query,
    Startup,
    Terminate,
    TxnState,
    encode_message,
    error_word,
    parse_caller_message,
    parse_statement,
    parse_status,
    prepare_text,
    wait_prefix,
)
from lovagewalk.routing import (
    NamedStatement,
    PrepareStatement,
    SetVariable,
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
NOT_STORED_WORDS = {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"}


@given(st.lists(st.integers(0, len(ANSWERS)), max_size=12))
def test_answers_do_not_depend_on_how_bytes_are_split(split_points):
    parser = AnswerParser()
    answers = []
    boundaries = [0, *sorted(split_points), len(ANSWERS)]
    for start, end in zip(boundaries, boundaries[1:]):
        answers += parser.feed(ANSWERS[start:end])
    first, second, third = answers
    assert first.rows == ("qhzk wmt", "second") and first.signature == "7.1f3"
    assert first.state is TxnState.ACTIVE
    assert first.position == Position(3, 1209)
    assert (second.error, second.detail) == ("READONLY", "i-7f3a")
    assert second.rows == () and second.state is TxnState.FAILED
    assert third.position is None


@pytest.mark.parametrize(
    "data",
    [b"HELLO x\r\n", b"READY Q -\r\n", b"READY I 3.x\r\n", b"READY I 3\r\n"],
)
def test_malformed_endpoint_messages_are_refused(data):
    with pytest.raises(LovageError) as caught:
        AnswerParser().feed(data)
    assert caught.value.code is Code.PACKET_BAD


def test_complete_and_incomplete_lines_are_limited_in_length():
    for data in (b"x" * (MAX_LINE_BYTES + 1), b"x" * (MAX_LINE_BYTES + 1) + b"\r\n"):
        with pytest.raises(LovageError) as caught:
            LineSplitter(MAX_LINE_BYTES).feed(data)
        assert caught.value.code is Code.STATEMENT_LARGE


def test_invalid_utf8_is_refused():
    with pytest.raises(LovageError) as caught:
        LineSplitter(MAX_LINE_BYTES).feed(b"QUERY 1 READ \xff\r\n")
    assert caught.value.code is Code.PACKET_BAD


def test_a_carriage_return_alone_does_not_end_a_line():
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
def test_caller_messages_are_parsed(line, message):
    assert parse_caller_message(line) == message


@pytest.mark.parametrize(
    "line", ["", "QUERY", "QUERY 1", "STARTUP", "SELECT 1", "QUERY  x"]
)
def test_malformed_caller_messages_are_refused(line):
    with pytest.raises(LovageError) as caught:
        parse_caller_message(line)
    assert caught.value.code is Code.PACKET_BAD


READ_SHAPE = PreparedShape(False, "q2c more")


@pytest.mark.parametrize(
    ("text", "kind", "expected_text", "detail"),
    [
        ("BEGIN", StatementKind.BEGIN, "BEGIN", None),
        ("BEGIN READ", StatementKind.BEGIN_READ, "BEGIN READ", None),
        ("COMMIT", StatementKind.COMMIT, "COMMIT", None),
        ("ROLLBACK", StatementKind.ROLLBACK, "ROLLBACK", None),
        ("READ 1a4", StatementKind.READ, "READ 1a4", None),
        ("WRITE 1a4 d e", StatementKind.WRITE, "WRITE 1a4 d e", None),
        (
            "SET tz a b",
            StatementKind.SET_VARIABLE,
            "SET tz a b",
            SetVariable("tz", "a b"),
        ),
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
def test_statements_are_parsed(text, kind, expected_text, detail):
    statement = parse_statement(text)
    assert (statement.kind, statement.text, statement.detail) == (
        kind,
        expected_text,
        detail,
    )


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
def test_internal_and_malformed_statements_are_refused(text):
    with pytest.raises(LovageError) as caught:
        parse_statement(text)
    assert caught.value.code is Code.STATEMENT_BAD


def test_status_rows_are_parsed():
    status = parse_status("replica 3 3.1209 0 12 2 17", "born")
    assert (status.role, status.term, status.index) == (Role.REPLICA, 3, 1209)
    for row in ("", "replica", "leader 3 3.1 0 0 0 0", "replica x 3.1", "primary 3 y"):
        with pytest.raises(LovageError):
            parse_status(row, "born")


def test_statements_for_endpoints_are_encoded():
    assert wait_prefix(Position(3, 7)) + "READ a" == "WAITLSN 3.7 READ a"
    assert wait_prefix(None) == ""
    write_shape = PreparedShape(True, "q2c more")
    assert prepare_text(READ_SHAPE) != prepare_text(write_shape)
    assert prepare_text(READ_SHAPE).endswith("READ q2c more")
    assert encode_message("QUERY", "-", "BEGIN") == b"QUERY - BEGIN\r\n"


def test_words_for_statements_not_stored_have_a_known_outcome():
    for code in Code:
        if error_word(code) in NOT_STORED_WORDS:
            assert code.outcome is not Outcome.UNKNOWN, code
