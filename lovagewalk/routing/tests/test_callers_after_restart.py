"""Callers that reconnect to a daemon that has just started, as after a power loss."""

from dataclasses import replace

import pytest

from lovagewalk.control import DrainRequested
from lovagewalk.core import Code, reduce
from lovagewalk.daemon import SweepTick
from lovagewalk.routing import (
    AcceptCaller,
    CallerConnected,
    CallerDisconnected,
    CloseCaller,
)
from lovagewalk.routing._callers import FIRST_LEASE_WAIT_S

from .provider_site import KEY, Site


class RestartedDaemon:
    """A daemon that has neither a catalogue nor a lease yet."""

    def __init__(self):
        self.site = Site()
        self.catalogue = self.site.state.catalogue
        self.fresh_until = self.site.state.fresh_until
        self.site.state = replace(
            self.site.state, catalogue=type(self.catalogue)(), fresh_until=0.0
        )
        self.accepted = []
        self.refused = {}
        self.last_caller = 0

    def feed(self, event):
        step = reduce(self.site.state, event)
        self.site.state = step.state
        for effect in step.effects:
            if isinstance(effect, AcceptCaller):
                self.accepted.append(effect.caller)
            elif isinstance(effect, CloseCaller):
                self.refused[effect.caller] = effect.refusal.code

    def connect(self, key=KEY):
        self.last_caller += 1
        self.feed(CallerConnected(self.site.now, self.last_caller, key, "till"))
        return self.last_caller

    def gain_lease(self):
        self.site.state = replace(
            self.site.state, catalogue=self.catalogue, fresh_until=self.fresh_until
        )

    def sweep(self, seconds):
        end = self.site.now + seconds
        while self.site.now < end:
            self.site.now += 0.02
            self.feed(SweepTick(self.site.now))


@pytest.fixture
def daemon():
    return RestartedDaemon()


def test_callers_that_come_before_the_first_lease_are_accepted_with_it(daemon):
    """All callers reconnect at once; a refusal costs each of them a retry."""
    callers = [daemon.connect() for _ in range(20)]
    daemon.sweep(0.7)
    assert not daemon.accepted and not daemon.refused
    daemon.gain_lease()
    daemon.sweep(0.04)
    assert daemon.accepted == callers


def test_callers_are_refused_if_no_lease_comes(daemon):
    """The VM cannot reach control; those that come later are refused at once."""
    waiting = daemon.connect()
    daemon.sweep(FIRST_LEASE_WAIT_S + 0.04)
    assert daemon.refused == {waiting: Code.CONFIG_STALE}
    late = daemon.connect()
    assert daemon.refused[late] is Code.CONFIG_STALE


def test_callers_that_wait_are_refused_at_once_when_the_daemon_drains(daemon):
    waiting = daemon.connect()
    daemon.feed(DrainRequested(daemon.site.now))
    daemon.sweep(0.04)
    assert waiting in daemon.refused


def test_a_key_that_the_first_catalogue_does_not_hold_is_refused(daemon):
    caller = daemon.connect(key="unknown")
    daemon.gain_lease()
    daemon.sweep(0.04)
    assert daemon.refused == {caller: Code.KEY_UNKNOWN}


def test_a_caller_that_leaves_before_the_first_lease_is_forgotten(daemon):
    caller = daemon.connect()
    daemon.feed(CallerDisconnected(daemon.site.now, caller))
    daemon.gain_lease()
    daemon.sweep(0.04)
    assert not daemon.accepted and not daemon.refused


def test_a_lease_that_is_lost_later_holds_no_caller(daemon):
    daemon.gain_lease()
    daemon.sweep(0.04)
    daemon.site.state = replace(daemon.site.state, fresh_until=daemon.site.now)
    caller = daemon.connect()
    assert daemon.refused == {caller: Code.CONFIG_STALE}
