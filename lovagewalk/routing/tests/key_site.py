"""Harness: a site whose keys move between two customers.

Every statement that is sent is checked against the catalogue in force at the daemon.
"""

from lovagewalk import catalogue as cat
from lovagewalk.codec import decode, encode
from lovagewalk.control._messages import CatalogueUpdate
from lovagewalk.core import replace
from lovagewalk.routing import RunStatement
from lovagewalk.shares import Share

from .provider_site import CUSTOMER, GROUP, KEY, ROUTES, Site, route

OTHER, OTHER_KEY = "royalties", "other-digest"
OPEN_ROUTE = route("open", cat.Consistency.BOUNDED, route_class=cat.RouteClass.OPEN)


DELIVERIES = ("whole", "delta", "snapshot")


class KeySite(Site):
    """A site with two customers, which checks for whom each statement runs.

    Parameters
    ----------
    delivery : str
        How catalogues arrive: `whole`, as from the daemon's own log; or as a `delta` or
        a `snapshot` that was encoded and decoded.
    """

    def __init__(self, delivery="whole"):
        self.delivery = delivery
        self.held = None
        self.version = 1
        self.key_of_caller = {}
        super().__init__()
        share = Share(OTHER, 1e6, 1e6, 1e6, 0.0, 1e9)
        self.state = replace(self.state, shares=self.state.shares.set(OTHER, share))
        self.assign({KEY: CUSTOMER, OTHER_KEY: OTHER})

    def assign(self, holders):
        """Install a configuration in which customers hold these keys."""
        self.version += 1
        customers = (CUSTOMER, OTHER)
        self.change(
            cat.ReplaceConfiguration(
                self.version,
                (*ROUTES, OPEN_ROUTE),
                tuple(cat.CustomerEntry(c, "op", 1e6, 1e6) for c in customers),
                tuple(cat.KeyEntry(key, who, "") for key, who in holders.items()),
                (cat.GroupLimits(GROUP, 46),),
                idle_transaction_s=3.0,
            )
        )

    def change(self, command):
        """Change the catalogue; while changes are held, none arrives at the daemon."""
        if self.held is None:
            super().change(command)
        else:
            self.held.append(command)

    def release_held(self):
        """Let all changes that were held arrive as one."""
        commands, self.held = self.held, None
        catalogue = self.state.catalogue
        for command in commands:
            self.revision += 1
            proposal = cat.Proposal("", "test", 0.0, command)
            applied = cat.apply_proposal(catalogue, self.revision, proposal)
            assert applied.result.refusal is None, applied.result
            catalogue = applied.catalogue
        self.receive(catalogue)

    def receive(self, catalogue):
        if self.delivery != "whole":
            known = self.state.catalogue
            base = known if self.delivery == "delta" else cat.Catalogue()
            update = CatalogueUpdate(cat.diff_catalogues(base, catalogue))
            catalogue = cat.apply_delta(known, decode(encode(update)).delta)
        super().receive(catalogue)

    def connect(self, route_name, key=KEY):
        caller = super().connect(route_name, key)
        self.key_of_caller[caller] = key
        return caller

    def apply_step(self, step):
        super().apply_step(step)
        for effect in step.effects:
            if isinstance(effect, RunStatement) and effect.req in self.state.requests:
                self._check_customer(effect)

    def _check_customer(self, run):
        request = self.state.requests[run.req]
        session = self.state.sessions[request.caller]
        if session.key is None:
            return
        assert self.now < self.state.fresh_until, "runs after the lease"
        holder = self.state.catalogue.key(self.key_of_caller[request.caller])
        pool = self.state.pools[self.get_endpoint(run)]
        assert holder is not None, "runs with a withdrawn key"
        assert pool.connections[run.conn].customer == holder.customer
