"""SQL statements: their kinds and marks."""

from ._classify import classify
from ._marks import MarkedStatement, split_marks

__all__ = ["MarkedStatement", "classify", "split_marks"]
