"""Messages about tokens of buckets that are not divided."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TokenNeed:
    """A request that waits for a token.

    Attributes
    ----------
    req : int
        Number of the request at its daemon.
    wait_s : float
        How long it may wait for the token, in seconds.
    paid : float
        Part of the token that its daemon has set aside.
    priority : int
        Priority of its route; 0 is served first.
    """

    req: int
    customer: str
    wait_s: float
    paid: float = 0.0
    priority: int = 0


@dataclass(frozen=True, slots=True)
class TokenAsk:
    """Requests tokens from the owner of a bucket, or from the leader."""

    needs: tuple[TokenNeed, ...]


@dataclass(frozen=True, slots=True)
class TokenAdmission:
    """A request that is granted a token.

    Attributes
    ----------
    tokens : float
        Part of the token that is granted; its daemon had set aside the rest.
    """

    req: int
    customer: str
    tokens: float = 1.0


@dataclass(frozen=True, slots=True)
class TokenDenial:
    """A request that will get no token within its waiting time.

    Attributes
    ----------
    retry_after_s : float
        Time until a token will be free, in seconds.
    """

    req: int
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class BucketOwner:
    """The daemon that owns a customer's bucket; empty if the sender knows of none."""

    customer: str
    owner: str


@dataclass(frozen=True, slots=True)
class TokenAnswer:
    """The answer to a `TokenAsk`, or to a part of it.

    Attributes
    ----------
    is_leader : bool
        Whether the sender leads or owns the buckets; if not, it has queued nothing.
    leader : str
        Control VM to request tokens from instead; empty if unknown.
    owners : tuple of BucketOwner
        Customers whose needs the sender has not queued, and where to request tokens.
    """

    admitted: tuple[TokenAdmission, ...] = ()
    denied: tuple[TokenDenial, ...] = ()
    is_leader: bool = True
    leader: str = ""
    owners: tuple[BucketOwner, ...] = ()


@dataclass(frozen=True, slots=True)
class BucketOffer:
    """Requests that a daemon report a customer, so that it can be lent the bucket."""

    customer: str
