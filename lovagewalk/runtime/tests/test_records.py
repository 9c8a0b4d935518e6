"""Every record can be traced, and none can hold a secret."""

import pytest

from lovagewalk.core._registry import _performers
from lovagewalk.records import get_record_format, record_types
from lovagewalk.records._registry import _formats
from lovagewalk.runtime import Ports

# What leads from a line to a request, a caller, or to the belief behind it.
IDS = {"request", "caller", "endpoint", "group", "version", "term", "after", "target"}
SECRETS = ("key", "secret", "token", "text", "password", "digest")


@pytest.mark.parametrize("record_type", record_types())
def test_a_record_names_what_it_is_about(record_type):
    assert IDS & set(_formats[record_type].field_names)


@pytest.mark.parametrize("record_type", record_types())
def test_a_record_has_no_field_for_a_secret(record_type):
    for name in _formats[record_type].field_names:
        assert not any(secret in name for secret in SECRETS), name


@pytest.mark.parametrize("record_type", record_types())
def test_a_record_is_performed(record_type):
    assert Ports is not None, "the performers are registered with the runtime"
    assert record_type in _performers


def test_sentences_are_told_apart():
    formats = [_formats[record_type] for record_type in record_types()]
    assert len({(item.part, item.message) for item in formats}) == len(formats)


def test_a_record_knows_its_kind():
    record_type = record_types()[0]
    blank = record_type(*("" for _ in _formats[record_type].field_names))
    assert get_record_format(blank).message == "request answered"
