"""The explanation of a request's outcome from log lines."""

import json

import pytest

from lovagewalk.core import Code
from lovagewalk.explain import explain, parse_log
from lovagewalk.routing._recovery import EVACUATED_DETAIL


def _line(time, part, message, vm="", **fields):
    prefix = f"  1.0 {vm} " if vm else ""
    raw = {"time": time, "level": "INFO", "part": part, "message": message, **fields}
    return prefix + json.dumps(raw)


def _answer(code, vm="edge-1", time="12:00:09", **fields):
    outcome = code.label if isinstance(code, Code) else code
    return _line(
        time,
        "decisions",
        "request answered",
        vm,
        request="5c0e",
        outcome=outcome,
        **fields,
    )


def _explain(*lines):
    return explain("5c0e", parse_log("file", lines))


def test_lines_of_several_vms_are_sorted_by_time():
    explanation = _explain(
        _answer(Code.NO_ENDPOINT, phase="primary", elapsed_ms=900),
        _line("12:00:08", "groups", "promotion begins", "core-1", primary="i-1"),
        _line("12:00:10", "groups", "primary installed", "core-1"),
        _line("12:00:07", "follow", "lease lost", "edge-2"),
        "no JSON at all",
        '{"broken": ',
    )
    assert [line.vm for line in explanation.lines] == ["edge-1"]
    assert [line.message for line in explanation.context] == ["promotion begins"]
    assert "i-1" in explanation.cause and "replaced" in explanation.cause


@pytest.mark.parametrize(
    ("code", "fields", "phrase"),
    [
        ("ok", {"elapsed_ms": 12, "endpoint": "i-1", "attempts": 2}, "12 ms by i-1"),
        (Code.RATE_EXCEEDED, {"customer": "kiosk"}, "kiosk had used up its rate"),
        (Code.RATE_UNKNOWN, {"customer": "kiosk"}, "no answer of control"),
        (Code.CONFIG_STALE, {}, "had no lease"),
        (Code.KEY_WITHDRAWN, {"version": 7}, "version 7 does not admit"),
        (Code.OVERLOADED, {"phase": "backoff", "attempts": 9}, "sent 9 times"),
        (Code.NO_ENDPOINT, {"detail": EVACUATED_DETAIL}, "in evacuated zones"),
        (
            Code.CONNECTION_LOST,
            {"endpoint": "i-1", "kind": "write"},
            "i-1 may have run",
        ),
        (Code.NO_ENDPOINT, {"phase": "primary", "term": 3}, "the primary of term 3"),
        (Code.TRANSACTION_LOST, {"endpoint": "i-1"}, "at i-1 was rolled back"),
        (Code.DRAINING, {}, "being stopped"),
        (Code.STATEMENT_BAD, {"detail": "LW1301"}, "Refused: LW1301"),
    ],
)
def test_each_code_has_a_cause(code, fields, phrase):
    assert phrase in _explain(_answer(code, **fields)).cause


def test_saturated_endpoint_is_named_until_it_recovers():
    saturation = _line(
        "12:00:01", "routing", "endpoint is full", "edge-1", endpoint="i-1", strikes=4
    )
    recovery = _line(
        "12:00:02", "routing", "endpoint has room again", "edge-1", endpoint="i-1"
    )
    other_saturation = _line(
        "12:00:03", "routing", "endpoint is full", "edge-1", endpoint="i-2", strikes=9
    )
    answer = _answer(Code.OVERLOADED, phase="connection", endpoint="i-1")
    explanation = _explain(answer, saturation, other_saturation)
    assert "i-1, which had been full since 12:00:01" in explanation.cause
    assert (
        "full since"
        not in _explain(answer, saturation, recovery, other_saturation).cause
    )


def test_request_without_lines_and_request_without_answer():
    assert explain("other", parse_log("x", [_answer("ok")])) is None
    failed = _line(
        "12:00:01",
        "routing",
        "statement failed at an endpoint",
        "edge-1",
        request="5c0e",
        failure="lost",
    )
    assert "No answer was logged" in _explain(failed).cause
