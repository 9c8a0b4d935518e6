"""Requests for evacuations: order, repetition, unknown zones, and stored bytes."""

import base64

import pytest

from lovagewalk import catalogue as cat
from lovagewalk.codec import decode, encode
from lovagewalk.consensus import PersistEntries, SnapshotRequest
from lovagewalk.control._messages import CatalogueUpdate
from lovagewalk.core import Code

ZONE = "zone-a"
# Encoded by the version before evacuations (ca72655): an entry, a snapshot, a delta.
STORED = (
    """kwOuUGVyc2lzdEVudHJpZXOBp2VudHJpZXORg6VpbmRleAKkdGVybQGocHJvcG9zYWyEqnJlcXVlc3Rf
    aWSicDKob3BlcmF0b3Kib3CrcHJvcG9zZWRfYXTLP/gAAAAAAACnY29tbWFuZIKoZW5kcG9pbnSKpG5h
    bWWjaS0xpWdyb3VwoWekaG9zdKgxMC4wLjAuMaRwb3J0zQzqpHpvbmWmem9uZS1hpnJlZ2lvbqR3ZXN0
    q2Nvbm5lY3Rpb25zAKdsZWF2aW5nwqhzZXF1ZW5jZQGkYm9ybk2lX3R5cGWwQW5ub3VuY2VFbmRwb2lu
    dA==""",
    """kwOkemxpYsUCC3hedVJNbtNAFHaarhBLDsAFgghlj5CaRYUqKiMhdWVNxi/OkPGMmffsxqygCxaAqgY4
    QFv810RNJbgAQuwQF2HFERi7TeoNtuSxv/f85vuZT93LZ4pFONbkwssYkN5mBCbs5EL5MN2YN4vXQEWi
    7YrH55wRkzqI4agykAgUWm2e8xhJh3W9MDomwNlhDopM+iFTLISyAXtBrg8UmDMd5YFFotNg0RQ8Lhli
    /mSwP9hujVpwrVAggeJpuefu7D529y9DNvXQMgAFiB7+cq6vbxYkCO2mHokQ7FhbfPT3qrrQwxfASSTQ
    +qOKjNBGUOoUkYGRmJ7kHqURzN2a06Bmv1bYySaQWvGg/EgLRTh71wj7Inr9lZZsrJGq/v179d3PIm3o
    9+0/2SutoKgfPVYYCKxd2YF1uhanak5Wo1NKYIlQwY8K6xwUh0421EbtFo1POHvf7HYaNPE4pWUeMpOe
    rEIprHhDeLxkUmobEPhNaE4+qmc5FwhE0oJXn/OQKRY0XlV77tPnO9sDt03nzgWminsGIik4Q2dpqZLR
    0rs+AkvGeW3+kBEfA74uExu81dGtfM3jeuzPW6u3u1vlWEvfNrzJwA/AytJU+iIRPvizfCI0Tr4KX4JH
    hilkjSGtkEoDGEvCzx/Pov7hOo+uxUcxMvnd4g9u8I02vvWf/oc3+Oa6P7dGK9/5B8wHS9g=""",
    """kwOkemxpYsUBs3heTVFLbhQxEO0oLFlyjUGZEyBEZhGhKFFLIGVleborjcFtG1dNJ80OloDQjLhAAv1L
    RplIcAO2iItklSNQ9oQwtmRVPZer3nv+un39TJLUtpjBC5dLgvdtDprkl2YqEZLBQ6VQWfOgr8CHYPuH
    yjUI8tKgzIgRgb+Tu7XKrCFvtagscfn8Ipsh2TKEnbczAlx8aIFL6s+NkSX0ERwVrT0x4L9Z1xaMuPNi
    GS9EpiVi+3xyNNndaLXkKaiQwGR1f5ju7T9Nj65LeSqQlYABxA1KPxkkKHmoIFUCt+XLJ7drwks7fQ0s
    ooKNF4PzynpFddI5D8fq9KwVVDu4TAOnSWB/b8tW8wZq1gkmd1YZwsXHKOy7Go3/aWleWaRhvPM47HHj
    rKc/D2+ad9ZAF46R7DwUbGRzAkhBnAmcWGPSa5CVMsWvAeHtjPXCVjO13ux30SdcfIrTzouG7S6TnpmX
    0tdn3Z3/HYv3hPOV1Npm7EMuYmF7HHolVwhEmsF1ellKI4vo1XCYHrzc252km3QeXWFtMuHBaZVJTFYF
    sxf/v3gZ8/U/zy9iEt1Z191bNP8LypAGUQ==""",
)


class Log:
    """A catalogue with the number of the last entry."""

    def __init__(self):
        self.catalogue = cat.Catalogue()
        self.index = 0

    def apply(self, command):
        self.index += 1
        proposal = cat.Proposal("", "op", 0.0, command)
        applied = cat.apply_proposal(self.catalogue, self.index, proposal)
        self.catalogue = applied.catalogue
        return applied.result

    def request(self, evacuated, seen=None, zone=ZONE, in_settings=True):
        """Apply a request; by default its VM has seen all entries before it."""
        seen = self.index if seen is None else seen
        return self.apply(cat.SetZoneEvacuation(zone, evacuated, in_settings, seen))

    @property
    def is_evacuated(self):
        return ZONE in self.catalogue.evacuated_zones


@pytest.fixture
def log():
    return Log()


def test_the_last_accepted_request_is_in_force(log):
    """Guards against a second evacuation that counts as a copy of the first."""
    for evacuated in (True, True, False, False, True):
        assert log.request(evacuated).refusal is None
        assert log.is_evacuated == evacuated


def test_a_withdrawal_without_an_evacuation_is_acknowledged(log):
    assert log.request(False).refusal is None
    assert not log.is_evacuated


@pytest.mark.parametrize("evacuated", [True, False])
def test_a_delayed_copy_does_not_undo_a_later_request(log, evacuated):
    """Guards against a copy that a broken link held up until the opposite request."""
    log.request(not evacuated)
    seen = log.index
    log.request(evacuated, seen)
    log.request(not evacuated)
    assert log.request(evacuated, seen).refusal.code is Code.CONFIG_STALE
    assert log.is_evacuated != evacuated


def test_a_delayed_copy_of_the_request_in_force_is_acknowledged(log):
    """Guards against a request that was accepted, and refused when it was resent."""
    log.request(True)
    assert log.request(True, seen=0).refusal is None


def test_a_repeated_request_counts_for_the_order(log):
    """Guards against an old withdrawal that follows a repeated evacuation."""
    log.request(True)
    seen = log.index
    log.request(True)
    assert log.request(False, seen).refusal.code is Code.CONFIG_STALE
    assert log.is_evacuated


def test_an_unknown_zone_is_refused(log):
    for evacuated in (True, False):
        result = log.request(evacuated, in_settings=False)
        assert result.refusal.code is Code.CHANGE_BAD
    assert log.catalogue == cat.Catalogue(revision=log.index)


def test_a_zone_of_an_endpoint_is_known_after_the_endpoint_has_left(log):
    """Guards against a resend at a VM whose settings do not name the zone."""
    log.apply(cat.AnnounceEndpoint(cat.Endpoint("i", "g", "10.0.0.1", 1, ZONE, "r", 0)))
    assert log.request(True, in_settings=False).refusal is None
    log.apply(cat.ForgetEndpoint("i"))
    assert log.request(True, in_settings=False).refusal is None
    assert log.request(False, in_settings=False).refusal is None
    assert log.request(False, in_settings=False).refusal is None


@pytest.mark.parametrize("zone", ["", "z" * 257, "\ud800"])
def test_a_zone_that_the_log_cannot_hold_is_refused(zone):
    refusal = cat.check_command(cat.SetZoneEvacuation(zone, True))
    assert refusal.code is Code.CHANGE_BAD


def test_followers_get_evacuations_and_withdrawals(log):
    """Guards against a change that is not pushed, or that a delta leaves out."""
    log.request(False)
    before = log.catalogue
    follower = cat.apply_delta(
        cat.Catalogue(), cat.diff_catalogues(cat.Catalogue(), before)
    )
    for evacuated in (True, False):
        log.request(evacuated)
        assert not cat.is_equal_for_followers(before, log.catalogue)
        update = CatalogueUpdate(cat.diff_catalogues(before, log.catalogue))
        assert decode(encode(update)) == update
        follower = cat.apply_delta(follower, update.delta)
        assert follower.evacuated_zones == log.catalogue.evacuated_zones
        before = log.catalogue


def test_a_snapshot_keeps_evacuations_and_their_order(log):
    log.request(True)
    log.request(True, zone="zone-b")
    log.request(False, zone="zone-b")
    message = SnapshotRequest(1, 2, 1, (), log.catalogue, 0)
    assert decode(encode(message)) == message


@pytest.mark.parametrize("text", STORED, ids=["entry", "snapshot", "delta"])
def test_bytes_of_the_version_before_are_read_and_written_alike(text):
    """Guards against data folders that an upgraded daemon cannot load.

    The bytes are also written alike, so that nothing changes without evacuations.
    """
    data = base64.b64decode(text)
    message = decode(data)
    assert encode(message) == data
    if isinstance(message, SnapshotRequest):
        assert message.catalogue.evacuated_zones == frozenset()
    if isinstance(message, PersistEntries):
        assert message.entries[0].proposal.command.endpoint.zone == ZONE
