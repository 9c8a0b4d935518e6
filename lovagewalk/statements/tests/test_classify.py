"""Statement kinds, refused statements, and marks."""

import pytest

from lovagewalk.core import Code, LovageError
from lovagewalk.routing import Marks, StatementKind
from lovagewalk.statements import classify, split_marks


@pytest.mark.parametrize(
    ("text", "kind"),
    [
        ("SELECT 1", StatementKind.READ),
        ("select count(*), max(x) from t where a = 'b' limit 5", StatementKind.READ),
        ("WITH a AS (SELECT 1) SELECT * FROM a", StatementKind.READ),
        ("(SELECT 1) UNION (SELECT 2)", StatementKind.READ),
        ("SELECT x FROM t FOR UPDATE", StatementKind.WRITE),
        ("SELECT \"it's\", x FROM t FOR UPDATE -- '", StatementKind.WRITE),
        ("SELECT NOW()", StatementKind.WRITE),
        ("SELECT nextval(s)", StatementKind.WRITE),
        ("SELECT @@version", StatementKind.WRITE),
        ("INSERT INTO t VALUES (1)", StatementKind.WRITE),
        ("INSERT INTO t VALUES ('a;b')", StatementKind.WRITE),
        ("/* hello */ BEGIN", StatementKind.BEGIN),
        ("begin;", StatementKind.BEGIN),
        ("START TRANSACTION", StatementKind.BEGIN),
        ("commit", StatementKind.COMMIT),
        ("DROP TABLE t", StatementKind.DEFINITION),
        ("SET autocommit=0", StatementKind.AUTOCOMMIT_OFF),
        ("SET AUTOCOMMIT = 1", StatementKind.AUTOCOMMIT_ON),
        ("SET NAMES utf8mb4", StatementKind.NO_OP),
    ],
)
def test_statement_kinds(text, kind):
    assert classify(text) is kind


@pytest.mark.parametrize(
    "text",
    [
        "",
        ";",
        "SELECT 1; DELETE FROM t",
        "INSERT INTO t VALUES (1); DELETE FROM t",
        "SELECT 1 /*!50000 FOR UPDATE */",
        "SET SESSION sql_mode = ''",
        "SET NAMES utf8mb4, autocommit = 0",
        "COMMIT AND CHAIN",
        "ROLLBACK TO a",
        "SELECT GET_LOCK('a', 1)",
        "INSERT INTO t VALUES (LAST_INSERT_ID())",
        "SELECT x INTO @a FROM t",
        "CREATE TEMPORARY TABLE t (a INT)",
        "LOCK TABLES t WRITE",
        "CALL group_fence(9)",
        "XA START 'a'",
        "HANDLER t OPEN",
        "SELECT FROM WHERE",
    ],
)
def test_refused_statements(text):
    with pytest.raises(LovageError) as caught:
        classify(text)
    assert caught.value.code is Code.STATEMENT_BAD


def test_a_literal_does_not_hide_a_lock():
    assert classify("SELECT 'a' FROM t") is StatementKind.READ
    assert classify("SELECT 'a' FROM t FOR SHARE") is StatementKind.WRITE


def test_marks_are_removed_from_the_text():
    marked = split_marks("/* lw token=T max_age=0.5 idempotent */ SELECT 1", {})
    assert marked.text == "SELECT 1"
    assert marked.marks == Marks(token="T", max_age_s=0.5, idempotent=True)


def test_marks_as_query_attributes():
    marked = split_marks("SELECT 1", {"lw_request": "7", "lw_once": "1", "other": "x"})
    assert marked.marks == Marks(request_id="7", once=True)


@pytest.mark.parametrize(
    "text",
    [
        "/* lw shout */ SELECT 1",
        "/* lw max_age=old */ SELECT 1",
        "/* lw max_age=-1 */ SELECT 1",
        "/* lw max_age=nan */ SELECT 1",
        "/* lw once */ INSERT INTO t VALUES (1)",
        "SELECT 1 /* lw token=T */",
        "/* lw request=" + "r" * 65 + " */ SELECT 1",
    ],
)
def test_invalid_marks_are_refused(text):
    with pytest.raises(LovageError) as caught:
        split_marks(text, {})
    assert caught.value.code is Code.STATEMENT_BAD
