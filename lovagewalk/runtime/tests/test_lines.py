"""Splitting of byte streams into lines, however they arrive."""

from hypothesis import given
from hypothesis import strategies as st

from lovagewalk.runtime import LineSplitter

MAX_BYTES = 64
LINES = st.lists(st.text("ab\r\n é", max_size=12).filter(lambda t: "\r\n" not in t))


def _feed_pieces(splitter, data, cuts):
    lines = []
    positions = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    for start, end in zip(positions, positions[1:], strict=False):
        lines += splitter.feed(data[start:end])
    return lines


@given(LINES, st.lists(st.integers(0, 1000), max_size=20))
def test_pieces_give_the_same_lines_as_the_whole(lines, cuts):
    """Guards against a line end that is missed because it arrives in two pieces."""
    data = "".join(f"{line}\r\n" for line in lines).encode()
    expected = data.decode().split("\r\n")[:-1]
    splitter = LineSplitter(MAX_BYTES)
    assert _feed_pieces(splitter, data, cuts) == expected
    assert splitter.held_bytes == 0


@given(LINES, st.binary(max_size=20).filter(lambda data: b"\n" not in data))
def test_held_bytes_are_those_without_a_line(lines, rest):
    """Guards against received bytes that the client budget does not see."""
    data = "".join(f"{line}\r\n" for line in lines).encode()
    splitter = LineSplitter(MAX_BYTES)
    splitter.append(data + rest)
    assert splitter.held_bytes == len(data) + len(rest)
    while splitter.next_line() is not None:
        pass
    assert splitter.held_bytes == len(rest)
