"""Every log record names its subject, and none has a field for a secret."""

import pytest

from lovagewalk.core._registry import _performers
from lovagewalk.records import get_record_format, record_types
from lovagewalk.records._registry import _formats
from lovagewalk.runtime import Ports

# Fields by which a line is traced to its request, its caller or the state behind it.
IDENTIFYING_FIELDS = {
    "request",
    "caller",
    "endpoint",
    "group",
    "version",
    "term",
    "after",
    "target",
    "zone",
}
SECRET_WORDS = ("key", "secret", "token", "text", "password", "digest")


@pytest.mark.parametrize("record_type", record_types())
def test_a_record_identifies_its_subject(record_type):
    assert IDENTIFYING_FIELDS & set(_formats[record_type].field_names)


@pytest.mark.parametrize("record_type", record_types())
def test_a_record_has_no_field_for_a_secret(record_type):
    for name in _formats[record_type].field_names:
        assert not any(word in name for word in SECRET_WORDS), name


@pytest.mark.parametrize("record_type", record_types())
def test_a_record_is_performed(record_type):
    assert Ports is not None, "importing the runtime registers the performers"
    assert record_type in _performers


def test_messages_are_unique_within_a_part():
    formats = [_formats[record_type] for record_type in record_types()]
    assert len({(item.part, item.message) for item in formats}) == len(formats)


def test_a_record_has_the_format_of_its_type():
    record_type = record_types()[0]
    record = record_type(*("" for _ in _formats[record_type].field_names))
    assert get_record_format(record).message == "request answered"
