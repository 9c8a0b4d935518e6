"""Callers of undivided buckets while all control VMs are lost or out of reach.

Each request then waited for a token until its time limit, although no token could come,
and was told that its customer had used up its rate.
"""

from lovagewalk.control import FollowState
from lovagewalk.core import Code, replace
from lovagewalk.routing._admit import CONTROL_SILENT_S
from lovagewalk.shares import Share

from .provider_site import CUSTOMER, Site

ELECTION_S = 0.8


class SilentControlSite(Site):
    """A daemon with a narrow link and no share of its customer's bucket."""

    def __init__(self, low_bandwidth=True):
        super().__init__()
        identity = replace(self.state.identity, low_bandwidth=low_bandwidth)
        follow = FollowState(("core",), "core", "boot", answered_at=self.now)
        self.state = replace(self.state, identity=identity, follow=follow)
        self.set_share(Share(CUSTOMER, on_demand=True))

    def set_share(self, share):
        shares = self.state.shares.set(CUSTOMER, share)
        self.state = replace(self.state, shares=shares)

    def is_waiting(self, req):
        return req in self.state.requests


def test_a_request_is_refused_at_once_while_control_is_lost():
    """Guards against requests that are held although nobody can admit them."""
    site = SilentControlSite()
    caller = site.connect("till")
    site.now += CONTROL_SILENT_S
    req = site.write(caller)
    refusal = site.answers[req].refusal
    assert refusal.code is Code.RATE_UNKNOWN and refusal.retry_after_s >= ELECTION_S
    assert not site.runs


def test_a_request_waits_through_an_election():
    """Guards against refusals while the next leader is being elected."""
    site = SilentControlSite()
    caller = site.connect("till")
    site.now += ELECTION_S
    assert site.is_waiting(site.write(caller))


def test_a_waiting_request_is_refused_once_control_is_lost():
    """Guards against requests from the time of the loss that wait to their limit."""
    site = SilentControlSite()
    caller = site.connect("till")
    site.now += CONTROL_SILENT_S - 0.1
    req = site.write(caller)
    site.sweep(0.05)
    assert site.is_waiting(req)
    site.sweep(0.05)
    assert site.answers[req].refusal.code is Code.RATE_UNKNOWN


def test_callers_do_not_return_together():
    """Guards against a wave of retries when all were refused at the same moment."""
    site = SilentControlSite()
    callers = [site.connect("till") for _ in range(8)]
    site.now += CONTROL_SILENT_S
    refusals = [site.answers[site.write(caller)].refusal for caller in callers]
    assert len({refusal.retry_after_s for refusal in refusals}) == len(callers)


def test_an_owner_is_asked_while_control_is_lost():
    """Guards against refusals where the owner of the bucket can still admit."""
    site = SilentControlSite()
    site.set_share(Share(CUSTOMER, owner="other-edge", on_demand=True))
    caller = site.connect("till")
    site.now += CONTROL_SILENT_S
    assert site.is_waiting(site.write(caller))


def test_vms_with_wide_links_wait_as_before():
    """Guards against a change on deployments that do not ask for one."""
    site = SilentControlSite(low_bandwidth=False)
    caller = site.connect("till")
    site.now += CONTROL_SILENT_S
    assert site.is_waiting(site.write(caller))
