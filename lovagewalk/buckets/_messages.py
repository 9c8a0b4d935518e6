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
    """Requests tokens from the owner of a bucket, or from the leader.

    Attributes
    ----------
    region : str
        The sender's region, where buckets may be lent by region; empty elsewhere.
    """

    needs: tuple[TokenNeed, ...]
    region: str = ""


@dataclass(frozen=True, slots=True)
class ForwardedAsk:
    """Needs of one daemon that an owner forwards."""

    peer: str
    needs: tuple[TokenNeed, ...]


@dataclass(frozen=True, slots=True)
class TokenForward:
    """Needs that the sender's part of a bucket cannot admit in time.

    The receiver owns another part. It admits or denies the needs, answers their daemons
    directly, and forwards none of them again.

    Attributes
    ----------
    wants_answer : bool
        Whether the sender expects an empty `TokenAnswer`, as a sign of life.
    """

    asks: tuple[ForwardedAsk, ...]
    wants_answer: bool = False


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
    """The daemon that owns a customer's bucket; empty if the sender knows of none.

    Attributes
    ----------
    other : str
        The owner of another part, to be asked if `owner` is silent; empty for none.
    """

    customer: str
    owner: str
    other: str = ""


@dataclass(frozen=True, slots=True)
class PartOwner:
    """The daemon that owns the part of a bucket that is lent to a region."""

    owner: str
    region: str


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
    next_owners : tuple of BucketOwner
        Customers whose needs the sender has queued, and where to request tokens later.
    """

    admitted: tuple[TokenAdmission, ...] = ()
    denied: tuple[TokenDenial, ...] = ()
    is_leader: bool = True
    leader: str = ""
    owners: tuple[BucketOwner, ...] = ()
    next_owners: tuple[BucketOwner, ...] = ()


@dataclass(frozen=True, slots=True)
class BucketOffer:
    """Requests that a daemon report a customer, so that it can be lent the bucket."""

    customer: str
