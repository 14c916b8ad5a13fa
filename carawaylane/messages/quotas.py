"""Messages about quotas between an entry and the home of a quota.

An entry lends its right, its share of the quotas of a shard of customers, to
one home at a time, which then decides on the requests of these customers.
"""

from __future__ import annotations

from attrs import define, frozen

OVER_QUOTA_REASON = 'the customer exceeds its quota'


@frozen(kw_only=True, repr=False)
class Limits:
    """The quota of a customer: a rate, and how far requests may exceed it."""

    rate_per_s: float
    burst: float


@frozen(kw_only=True, repr=False)
class Stamp:
    """A time of a home's clock; `run` identifies the run of the home."""

    run: int
    at_ms: int


@frozen(kw_only=True, repr=False)
class Loan:
    """What an entry lends to a home.

    The loan ends a fixed time after `echo`, the newest stamp that the entry
    has from the home; without it there is no loan. The right may be used after
    `delay_s`, as another home may use it until then. `advance` is the part of
    the entry's share of the slack that the home may spend meanwhile.
    """

    echo: Stamp | None = None
    delay_s: float = 0.0
    advance: float = 0.0


@frozen(kw_only=True, repr=False)
class Waited:
    """A request that waited for capacity after it was admitted.

    `counted_at` is when the home counted it, None if it is not counted. It is
    about to run, or goes on waiting, and is not counted until it runs.
    """

    customer: str
    counted_at: Stamp | None
    runs: bool


@frozen(kw_only=True, repr=False)
class QuotaAsk:
    """An entry asks to admit a request, or only renews a loan.

    A renewal has no customer; it may be about a request that waited, which a
    home of an older build admits. The limits are set if the home has said that
    it does not know the customer.
    """

    ticket: int
    shard: str
    loan: Loan = Loan()
    customer: str = ''
    limits: Limits | None = None
    waited: Waited | None = None
    # A renewal that needs no reply.
    one_way: bool = False


@frozen(kw_only=True, repr=False)
class Admitted:
    """The request may run; also the reply to a renewal."""


@frozen(kw_only=True, repr=False)
class OverQuota:
    """The request may not run; it would be admitted after a delay."""

    retry_after_s: float
    # Requests that were admitted in the last window, and their limit.
    admitted: int = 0
    limit: float = 0.0


@frozen(kw_only=True, repr=False)
class UnknownCustomer:
    """The home's configuration does not have the customer."""


@frozen(kw_only=True, repr=False)
class Leaving:
    """The home is about to stop, and has given up all loans for good."""


Verdict = Admitted | OverQuota | UnknownCustomer | Leaving


@frozen(kw_only=True, repr=False)
class QuotaReply:
    """A home's reply to a QuotaAsk, with the time at which it decided.

    `ended_earlier_runs` says that no earlier run of the entry lends its right
    to this home; homes of older builds don't say it.
    """

    ticket: int
    shard: str
    stamp: Stamp
    verdict: Verdict
    ended_earlier_runs: bool = False


@frozen(kw_only=True, repr=False)
class QuotaReturn:
    """An admitted request has not run and never will.

    `counted_at` is when a home counted it as run, None if it is not counted.
    """

    shard: str
    customer: str
    admitted_at: Stamp
    counted_at: Stamp | None = None


@define(kw_only=True, eq=False, repr=False)
class QuotaAdmission:
    """A token for a request, and the home that gave it.

    `checked_at_s` is when the entry learned last that the request may run.
    """

    home: str
    token: QuotaReturn
    checked_at_s: float


@frozen(kw_only=True, repr=False)
class QuotaRefusal:
    """A customer exceeds its quota; its request may be sent again later."""

    retry_after_s: float
    reason: str
