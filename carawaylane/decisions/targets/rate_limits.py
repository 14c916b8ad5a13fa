"""Rate limits that targets name for the requests of all nodes together.

A target in need names its limit in each answer. Entries pass on what they
hear to the homes that they ask, so that a home that replaces another one
knows the limits, too. A home spends the part of a limit that corresponds to
its share of the service's requests: the parts of homes beside each other add
up to the limit, although they do not know of each other.
"""

from __future__ import annotations

from copy import copy
from math import ceil
from typing import TYPE_CHECKING

from attrs import define, frozen

from carawaylane.decisions.targets.backpressure import MEMORY_S

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from random import Random

    from carawaylane.messages.dispatch import BackpressureNotice

# Requests that a limit allows may be sent up to this much later.
BURST_S = 1.0
# A target that takes no requests gets one at this rate all the same, since
# only an answer can lift its limit.
MIN_RATE_PER_S = 0.2
# A target that names a higher rate is not limited by it.
MAX_RATE_PER_S = 1e9


@define(kw_only=True, eq=False, repr=False)
class _LimitedTarget:
    """The limit of a target and the requests that it still allows.

    `rate_per_s` is None if the limit was lifted. `known_at_s` is when the
    answer that named the limit arrived, or when the request was sent whose
    answer lifted it.
    """

    rate_per_s: float | None
    known_at_s: float
    refilled_at_s: float
    # Requests that may be sent now.
    tokens: float
    # Requests granted since the usage was last read.
    granted: int = 0


@frozen(kw_only=True, eq=False, repr=False)
class RateLimitUsage:
    """What a home granted of a limit since the usage was last read."""

    target: str
    rate_per_s: float
    share: float
    granted: int


class SharedRateLimits:
    """Limits of the targets of a service, as one home keeps them.

    `share_at` returns the share of the service's requests that this home
    decides on, at a time.
    """

    def __init__(
        self, *, share_at: Callable[[float], float], rng: Random
    ) -> None:
        self._share_at = share_at
        self._rng = rng
        self._by_target: dict[str, _LimitedTarget] = {}

    def snapshot(self, share_at: Callable[[float], float]) -> SharedRateLimits:
        """Return a copy, of which reading changes nothing here."""
        limits = SharedRateLimits(share_at=share_at, rng=self._rng)
        limits._by_target = {
            name: copy(limited) for name, limited in self._by_target.items()
        }
        return limits

    def apply(self, notice: BackpressureNotice, now_s: float) -> None:
        """Take over what an entry heard, unless newer answers said else."""
        if not notice.names_rate:
            return
        sent_at_s = now_s - notice.sent_age_s
        heard_at_s = now_s - notice.heard_age_s
        limited = self._by_target.get(notice.target)
        if notice.rate_per_s is None:
            if limited is not None and sent_at_s >= limited.known_at_s:
                limited.rate_per_s = None
                limited.known_at_s = sent_at_s
            return
        if limited is None:
            self._by_target[notice.target] = _LimitedTarget(
                rate_per_s=notice.rate_per_s,
                known_at_s=heard_at_s,
                refilled_at_s=now_s,
                # A random part, so that homes that hear of a limit at the
                # same time do not all send at the same time.
                tokens=self._rng.random(),
            )
        elif heard_at_s > limited.known_at_s:
            self._refill(limited, now_s)
            limited.rate_per_s = notice.rate_per_s
            limited.known_at_s = heard_at_s

    def allows(self, target: str, now_s: float) -> bool:
        """Return whether a request may be sent to a target now."""
        limited = self._by_target.get(target)
        if limited is None or limited.rate_per_s is None:
            return True
        self._refill(limited, now_s)
        return limited.tokens >= 1

    def record_sent(self, target: str, now_s: float) -> None:
        """Count a request that is sent to a target."""
        limited = self._by_target.get(target)
        if limited is not None and limited.rate_per_s is not None:
            self._refill(limited, now_s)
            limited.tokens -= 1
            limited.granted += 1

    def rate_of(self, target: str, now_s: float) -> float:
        """Return the rate at which this home may send to a target."""
        limited = self._by_target.get(target)
        if limited is None or limited.rate_per_s is None:
            return float('inf')
        return self._own_rate(limited, now_s)

    def take_usage(self, now_s: float) -> list[RateLimitUsage]:
        """Return the use of each limit, and count anew."""
        usage = []
        for target, limited in self._by_target.items():
            if limited.rate_per_s is not None:
                usage.append(
                    RateLimitUsage(
                        target=target,
                        rate_per_s=limited.rate_per_s,
                        share=self._share_at(now_s),
                        granted=limited.granted,
                    )
                )
            limited.granted = 0
        return usage

    def forget_old(self, present: Iterable[str], now_s: float) -> None:
        """Forget old limits of targets that are gone."""
        for target in set(self._by_target).difference(present):
            if now_s - self._by_target[target].known_at_s > MEMORY_S:
                del self._by_target[target]

    def _own_rate(self, limited: _LimitedTarget, now_s: float) -> float:
        rate_per_s = max(MIN_RATE_PER_S, limited.rate_per_s or 0.0)
        return rate_per_s * self._share_at(now_s)

    def _refill(self, limited: _LimitedTarget, now_s: float) -> None:
        """Add what the limit has allowed since the last refill.

        Whole requests that were not sent within BURST_S are dropped, and the
        rest is kept: homes that each send seldom do not come to send at the
        same time.
        """
        own_rate_per_s = self._own_rate(limited, now_s)
        limited.tokens += own_rate_per_s * (now_s - limited.refilled_at_s)
        limited.refilled_at_s = now_s
        excess = limited.tokens - (1 + own_rate_per_s * BURST_S)
        if excess > 0:
            limited.tokens -= ceil(excess)
