"""Evacuations of zones of a group whose sessions state what their reads include."""

import pytest

from lovagewalk import catalogue as cat
from lovagewalk.core import Code, replace
from lovagewalk.daemon import SweepTick
from lovagewalk.pools import OpenConnection
from lovagewalk.routing import (
    Marks,
    RunStatement,
    StatementKind,
)
from lovagewalk.routing._evacuation import EVACUATION_WORK_S

from .fake_group import NAMES, Site, tick

MARKS_OF_OLD_READS = Marks(max_age_s=60.0)


class EvacuatedSite(Site):
    """A site with each instance in a zone of its own; db0 is the primary."""

    def __init__(self):
        super().__init__()
        for name in NAMES:
            endpoint = replace(
                self.state.catalogue.endpoints[name], zone=name, sequence=2
            )
            self.change(cat.AnnounceEndpoint(endpoint))
        self.state = replace(self.state, confirmed_at=self.now)

    def evacuate(self, *zones):
        for zone in zones:
            self.change(cat.SetZoneEvacuation(zone, True, True, self.revision))

    def deliver_next(self, effect_type, lost=False):
        types = [type(effect) for effect in self.pending_effects]
        self.deliver(types.index(effect_type), lost)

    def sent_to(self):
        """Return the endpoints that statements are to run at."""
        return {
            request.endpoint
            for request in self.state.requests.values()
            if request.endpoint
        }


@pytest.fixture
def site():
    return EvacuatedSite()


def test_reads_leave_a_zone_at_once(site):
    for name in ("db1", "db2"):
        site.replicate(name)
    for _ in range(3):
        tick(site, 0.05)
        site.deliver_all()
    site.send(site.connect(), StatementKind.READ, marks=MARKS_OF_OLD_READS)
    (used,) = site.sent_to()
    assert used in ("db1", "db2")
    site.deliver_all()
    site.evacuate(used)
    for _ in range(4):
        site.send(site.connect(), StatementKind.READ, marks=MARKS_OF_OLD_READS)
    assert site.sent_to() == {"db1", "db2"} - {used}


def test_writes_are_refused_when_the_time_of_the_primary_is_over(site):
    site.evacuate("db0")
    site.send(site.connect(), StatementKind.WRITE)
    assert site.sent_to() == {"db0"}
    site.now += EVACUATION_WORK_S + 0.1
    req = site.send(site.connect(), StatementKind.WRITE)
    assert site.answers[req].code is Code.NO_ENDPOINT
    site.feed(SweepTick(site.now))
    assert not site.sent_to()


def test_a_write_that_may_have_run_is_not_reported_as_not_run(site):
    """Guards against a repeated write whose first run is denied."""
    marks = Marks(idempotent=True)
    req = site.send(site.connect(), StatementKind.WRITE, marks=marks)
    site.deliver_next(OpenConnection)
    site.evacuate("db0")
    site.now += EVACUATION_WORK_S + 0.1
    site.deliver_next(RunStatement, lost=True)
    assert site.answers[req].code is Code.CONNECTION_LOST
