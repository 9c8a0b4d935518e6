"""Classifies SQL statements, and caches the kinds.

Texts that differ only in literals share a cache entry.

A statement that is not certainly a pure read is classified as a write: a read that
is classified as a write only adds load to the primary, while a write that is
classified as a read is lost.
"""

import re
from functools import lru_cache

import sqlglot
from sqlglot import exp

from lovagewalk.core import Code, LovageError
from lovagewalk.routing import StatementKind

# Number of cached statement texts; they take at most 16 MB.
CACHE_SIZE = 4096
# Longer texts are not cached, since they are seldom repeated.
MAX_CACHED_LENGTH = 4096
_KINDS_BY_TEXT = {
    "BEGIN": StatementKind.BEGIN,
    "BEGIN WORK": StatementKind.BEGIN,
    "START TRANSACTION": StatementKind.BEGIN,
    "START TRANSACTION READ WRITE": StatementKind.BEGIN,
    "START TRANSACTION READ ONLY": StatementKind.BEGIN,
    "COMMIT": StatementKind.COMMIT,
    "COMMIT WORK": StatementKind.COMMIT,
    "ROLLBACK": StatementKind.ROLLBACK,
    "ROLLBACK WORK": StatementKind.ROLLBACK,
    "SELECT LOVAGEWALK_TOKEN()": StatementKind.TOKEN,
    "SELECT LAST_INSERT_ID()": StatementKind.LAST_INSERT_ID,
}
_READ_VERBS = frozenset(("SELECT", "WITH"))
_WRITE_VERBS = frozenset(
    "INSERT UPDATE DELETE REPLACE SHOW EXPLAIN DESCRIBE DESC".split()
)
_DEFINITION_VERBS = frozenset("CREATE ALTER DROP TRUNCATE RENAME ANALYZE".split())
_KNOWN_VERBS = _READ_VERBS | _WRITE_VERBS | _DEFINITION_VERBS
_SET_AUTOCOMMIT = re.compile(r"SET (?:SESSION |@@SESSION\.|@@)?AUTOCOMMIT ?= ?(\w+)")
_SET_CHARSET = re.compile(r"SET (NAMES|CHARACTER SET) ")
_LITERALS = re.compile(r"'[^']*'|\b\d+(?:\.\d+)?\b")
# Texts whose literals stay: in a SET they decide the kind, and next to quotes, escapes
# or comments the pattern of literals may match something else.
_LITERALS_NOT_REPLACED = re.compile(r"^\s*SET\b|[\"`\\#]|/\*|--|''", re.IGNORECASE)
_CONDITIONAL_COMMENT = re.compile(r"/\*[!+M]")
_COMMENT = re.compile(r"/\*.*?\*/|(?:--\s|#)[^\n]*", re.DOTALL)
_SESSION_BOUND = re.compile(
    r"\b(GET_LOCK|RELEASE_LOCK|RELEASE_ALL_LOCKS|LAST_INSERT_ID|FOUND_ROWS"
    r"|ROW_COUNT|CONNECTION_ID|SLEEP)\s*\(|\bTEMPORARY\b|\bINTO\s+@|:=|(?<!@)@\w",
    re.IGNORECASE,
)
_STRINGS = re.compile(r"'(?:[^'\\]|\\.|'')*'|\"(?:[^\"\\]|\\.|\"\")*\"", re.DOTALL)
_PURE_FUNCTIONS = frozenset(
    "ABS AVG CEIL CHAR_LENGTH COALESCE CONCAT COUNT DATE FLOOR GREATEST IFNULL "
    "LEAST LEFT LENGTH LOWER MAX MIN MOD NULLIF RIGHT ROUND SUBSTRING SUM TRIM "
    "UPPER".split()
)


def classify(text: str) -> StatementKind:
    """Return the kind of one SQL statement.

    Raises
    ------
    LovageError
        ``STATEMENT_BAD`` if the text is empty, malformed or not supported, holds
        several statements, or depends on session state that pooled connections
        do not share.
    """
    if len(text) > MAX_CACHED_LENGTH:
        return _classify_uncached(text)
    if _LITERALS_NOT_REPLACED.search(text):
        return _classify_cached(text)
    return _classify_cached(_LITERALS.sub("1", text))


@lru_cache(maxsize=CACHE_SIZE)
def _classify_cached(text: str) -> StatementKind:
    return _classify_uncached(text)


def _classify_uncached(text: str) -> StatementKind:
    if _CONDITIONAL_COMMENT.search(text):
        raise LovageError(Code.STATEMENT_BAD, "conditional comments are not carried")
    normalised = " ".join(_COMMENT.sub(" ", text).strip().rstrip(";").upper().split())
    if not normalised:
        raise LovageError(Code.STATEMENT_BAD, "empty statement")
    kind = _KINDS_BY_TEXT.get(normalised)
    if kind is not None:
        return kind
    verb = normalised.lstrip("( ").split(" ", 1)[0]
    if verb == "SET":
        return _classify_set(normalised)
    if verb not in _KNOWN_VERBS:
        raise LovageError(Code.STATEMENT_BAD, "statement is not carried over")
    if _SESSION_BOUND.search(_STRINGS.sub("''", text)):
        raise LovageError(Code.STATEMENT_BAD, "statement depends on its connection")
    if verb in _READ_VERBS:
        return _classify_select(text)
    if ";" in text.strip().rstrip(";"):
        _parse_single(text)
    if verb in _DEFINITION_VERBS:
        return StatementKind.DEFINITION
    return StatementKind.WRITE


def _classify_set(normalised: str) -> StatementKind:
    match = _SET_AUTOCOMMIT.fullmatch(normalised)
    if match:
        enabled = match.group(1) in ("1", "ON", "TRUE")
        return StatementKind.AUTOCOMMIT_ON if enabled else StatementKind.AUTOCOMMIT_OFF
    if (
        _SET_CHARSET.match(normalised)
        and ";" not in normalised
        and "," not in normalised
    ):
        return StatementKind.NO_OP
    raise LovageError(Code.STATEMENT_BAD, "session settings are not carried over")


def _parse_single(text: str) -> exp.Expression:
    try:
        parsed = [
            tree for tree in sqlglot.parse(text, read="mysql") if tree is not None
        ]
    except sqlglot.errors.SqlglotError as exc:
        raise LovageError(Code.STATEMENT_BAD, "cannot parse the statement") from exc
    if len(parsed) != 1:
        raise LovageError(Code.STATEMENT_BAD, "several statements in one")
    return parsed[0]


def _classify_select(text: str) -> StatementKind:
    if _is_pure_read(_parse_single(text)):
        return StatementKind.READ
    return StatementKind.WRITE


def _is_pure_read(tree: exp.Expression) -> bool:
    if not isinstance(tree, exp.Query):
        return False
    return all(_is_pure_node(node) for node in tree.walk())


def _is_pure_node(node: exp.Expression) -> bool:
    if isinstance(node, (exp.Lock, exp.Into, exp.DML, exp.Anonymous)):
        return False
    if isinstance(node, (exp.Parameter, exp.SessionParameter)):
        return False
    if not isinstance(node, exp.Func):
        return True
    if isinstance(node, (exp.Binary, exp.Connector, exp.Cast, exp.Case, exp.If)):
        return True
    return any(name in _PURE_FUNCTIONS for name in type(node).sql_names())
