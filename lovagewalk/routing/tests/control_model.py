"""Model: the control leader and an owner of buckets, as one daemon sees them."""

from lovagewalk.buckets import (
    BucketOwner,
    TokenAdmission,
    TokenAnswer,
    TokenAsk,
    TokenDenial,
)
from lovagewalk.consensus import SendToPeer
from lovagewalk.control import FollowState, PeerMessage
from lovagewalk.control._messages import FollowReply, FollowRequest, ShareGrant
from lovagewalk.control._state import OWNER_LEASE_S
from lovagewalk.core import replace

DAEMON, LEADER, OWNER = "edge", "c1", "e2"
# How a customer's tokens are lent: ample or short shares, the whole bucket to this
# daemon or to another one, or kept by the leader.
AMPLE, SHORT, OWNED_HERE, OWNED_ELSEWHERE, KEPT = (
    "ample",
    "short",
    "owned here",
    "owned elsewhere",
    "kept",
)
LENDINGS = (AMPLE, SHORT, OWNED_HERE, OWNED_ELSEWHERE, KEPT)
SHORT_RATE, SHORT_BURST, AMPLE_TOKENS = 8.0, 3.0, 1e6


class ControlModel:
    """Answers a daemon's reports and its requests for tokens.

    Before the first call of `lend`, the daemon does not report.
    """

    def __init__(self, world, customers):
        self._world = world
        self._lendings = dict.fromkeys(customers, AMPLE)
        self.is_active = False

    def lend(self, customer, lending):
        """Lend a customer's tokens in another way, from the next report on."""
        self._lendings[customer] = lending
        self._follow()
        self.is_active = True

    def lend_amply(self):
        self._lendings = dict.fromkeys(self._lendings, AMPLE)

    def restart_daemon(self):
        if self.is_active:
            self._follow()

    def _follow(self):
        world = self._world
        if world.state.follow is None:
            follow = FollowState((LEADER,), LEADER, "1")
            world.state = replace(world.state, follow=follow)

    def deliver(self, effect, outcome):
        """Deliver a message of the daemon; `lost` loses it, `busy` delays or denies."""
        if effect.peer == DAEMON:
            self._answer(DAEMON, effect.message)
        elif outcome != "lost" and isinstance(effect.message, FollowRequest):
            self._answer(LEADER, self._grant(effect.message))
        elif outcome != "lost" and isinstance(effect.message, TokenAsk):
            self._answer(effect.peer, self._decide(effect, outcome))

    def _answer(self, peer, message):
        self._world.feed(PeerMessage(self._world.now, peer, message))

    def _grant(self, report):
        grants = tuple(
            _GRANTS[lending](customer) for customer, lending in self._lendings.items()
        )
        revision = self._world.state.catalogue.revision
        return FollowReply(report.seq, "", True, revision, None, grants, 1)

    def _decide(self, effect, outcome):
        """Return the answer of the leader, or of an owner, to needs."""
        answer = TokenAnswer()
        for need in effect.message.needs:
            is_elsewhere = self._lendings[need.customer] == OWNED_ELSEWHERE
            if effect.peer == LEADER and is_elsewhere:
                owner = BucketOwner(need.customer, OWNER)
                answer = replace(answer, owners=answer.owners + (owner,))
            elif effect.peer == OWNER and not is_elsewhere:
                owner = BucketOwner(need.customer, "")
                answer = replace(answer, owners=answer.owners + (owner,))
            elif outcome == "busy":
                denial = TokenDenial(need.req, 0.1)
                answer = replace(answer, denied=answer.denied + (denial,))
            else:
                admission = TokenAdmission(need.req, need.customer, 1.0 - need.paid)
                answer = replace(answer, admitted=answer.admitted + (admission,))
        return answer


_GRANTS = {
    AMPLE: lambda name: ShareGrant(name, AMPLE_TOKENS, AMPLE_TOKENS, AMPLE_TOKENS),
    SHORT: lambda name: ShareGrant(name, SHORT_RATE, SHORT_BURST, 0.0),
    OWNED_HERE: lambda name: ShareGrant(
        name, SHORT_RATE, SHORT_BURST, 0.0, True, OWNER_LEASE_S
    ),
    OWNED_ELSEWHERE: lambda name: ShareGrant(name, 0.0, 0.0, 0.0, True),
    KEPT: lambda name: ShareGrant(name, 0.0, 0.0, 0.0, True),
}


def is_own_message(effect):
    """Whether an effect is a message of the daemon to itself."""
    return isinstance(effect, SendToPeer) and effect.peer == DAEMON
