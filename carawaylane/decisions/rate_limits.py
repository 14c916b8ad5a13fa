"""Rate limits that targets name for the requests of all nodes together."""

from __future__ import annotations

from attrs import Factory, define, frozen

# A limit that no answer has named again for this long is forgotten.
HEARD_S = 30.0


@frozen(kw_only=True)
class _HeardLimit:
    """A limit, and when the last answer that named it arrived."""

    rate_per_s: float
    heard_at_s: float


@define(kw_only=True)
class HeardRateLimits:
    """Limits in the answers that one entry got from the targets."""

    _by_target: dict[str, _HeardLimit] = Factory(dict)

    def rate_of(self, target: str, now_s: float) -> float | None:
        """Return the limit of a target, or None if it named none."""
        heard = self._by_target.get(target)
        if heard is None:
            return None
        if now_s - heard.heard_at_s > HEARD_S:
            del self._by_target[target]
            return None
        return heard.rate_per_s

    def record_answer(
        self,
        target: str,
        rate_per_s: float | None,
        sent_at_s: float,
        now_s: float,
    ) -> None:
        """Record what an answer said of the limit of its target.

        An answer without a limit lifts it only if the request was sent after
        the limit was named: answers may overtake each other.
        """
        heard = self._by_target.get(target)
        if rate_per_s is not None:
            self._by_target[target] = _HeardLimit(
                rate_per_s=rate_per_s, heard_at_s=now_s
            )
        elif heard is not None and sent_at_s >= heard.heard_at_s:
            del self._by_target[target]
