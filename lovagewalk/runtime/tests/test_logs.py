"""Structured logs that are bounded and never block."""

import json
import logging
import os

import pytest

from lovagewalk.runtime import BoundedHandler, JsonFormatter
from lovagewalk.runtime._logs import MAX_BUFFERED_BYTES


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def _build_logger(writer, **limits):
    handler = BoundedHandler(writer, **limits)
    handler.setFormatter(JsonFormatter())
    logger = logging.Logger("lovagewalk.test")
    logger.addHandler(handler)
    return logger, handler


def _read_bytes(reader):
    os.set_blocking(reader, False)
    data = b""
    while True:
        try:
            data += os.read(reader, 1 << 20)
        except BlockingIOError:
            return data


def _read_lines(reader):
    return [json.loads(line) for line in _read_bytes(reader).splitlines()]


def test_a_line_holds_the_extra_fields(pipe):
    logger, _ = _build_logger(pipe[1])
    logger.info("request answered", extra={"request": "5c0e", "attempts": 2})
    (line,) = _read_lines(pipe[0])
    assert line["message"] == "request answered" and line["part"] == "test"
    assert (line["request"], line["attempts"]) == ("5c0e", 2)


def test_a_stalled_reader_does_not_block_the_logger(pipe):
    logger, handler = _build_logger(pipe[1], lines_per_s=1e9, burst=1e9)
    for number in range(20000):
        logger.info("line", extra={"number": number, "padding": "x" * 100})
    assert handler.dropped > 0
    assert len(handler._buffer) <= MAX_BUFFERED_BYTES
    data = _read_bytes(pipe[0])
    logger.info("after")
    while handler._buffer:
        data += _read_bytes(pipe[0])
        handler.flush()
    data += _read_bytes(pipe[0])
    lines = [json.loads(line) for line in data.splitlines()]
    assert [line["number"] for line in lines[:-1]] == list(range(len(lines) - 1))
    assert lines[-1]["message"] == "after"
    assert lines[-1]["dropped_before"] == 20000 - (len(lines) - 1)


def test_lines_beyond_the_budget_are_dropped_and_counted(pipe):
    logger, handler = _build_logger(pipe[1], lines_per_s=0.0, burst=3)
    for number in range(10):
        logger.info("line", extra={"number": number})
    logger.error("fault")
    lines = _read_lines(pipe[0])
    assert [line.get("number") for line in lines] == [0, 1, 2, None]
    assert lines[-1]["dropped_before"] == 7


def test_a_closed_reader_raises_no_error():
    reader, writer = os.pipe()
    os.close(reader)
    logger, handler = _build_logger(writer)
    logger.info("line")
    assert handler._buffer == b""
    os.close(writer)
