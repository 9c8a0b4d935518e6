"""Session tokens issued by a daemon whose catalogue is newer than this one's."""

from lovagewalk.core import replace
from lovagewalk.groups import Position
from lovagewalk.routing import NO_MARKS, StatementKind
from lovagewalk.sessions import sign_token

from .fake_group import GROUP, Site


def _read_with_token(site, position):
    caller = site.connect()
    token = sign_token(b"secret", "c", GROUP, position)
    marks = replace(NO_MARKS, token=token)
    site.send(caller, StatementKind.READ, "read", marks)
    site.deliver_all()
    return caller


def test_a_read_from_a_newer_term_waits_for_that_term():
    """The daemon is suspended during a failover and the old primary still answers."""
    site = Site()
    site.promote("db1", ["db1", "db2"], install=False)
    caller = _read_with_token(site, Position(2, len(site.primary.log)))
    assert not site.is_idle(caller), "the replaced primary may lack the session's rows"
    site.install()
    site.deliver_all()
    assert site.is_idle(caller)


def test_a_read_from_the_same_term_is_served():
    site = Site()
    caller = _read_with_token(site, Position(1, 0))
    assert site.is_idle(caller)
