"""The rows of an endpoint's answer are bounded."""

import pytest

from lovagewalk.core import Code, LovageError
from lovagewalk.runtime import BoundedRows
from lovagewalk.runtime._rows import MAX_ANSWER_BYTES


@pytest.mark.parametrize("row", ["", "x" * 1000, "x" * 1024 * 1024])
def test_an_endless_answer_is_refused(row):
    """Guards against a result set that fills the memory of the daemon."""
    rows = BoundedRows()
    with pytest.raises(LovageError) as caught:
        for _ in range(MAX_ANSWER_BYTES):
            rows.append(row)
    assert caught.value.code is Code.STATEMENT_LARGE
    assert sum(map(len, rows.take())) <= MAX_ANSWER_BYTES


def test_the_bound_is_that_of_one_answer():
    """Guards against a connection that fails after many ordinary answers."""
    rows = BoundedRows()
    row = "x" * (MAX_ANSWER_BYTES // 2)
    for _ in range(10):
        rows.append(row)
        assert rows.take() == (row,)
