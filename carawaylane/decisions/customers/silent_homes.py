"""Homes that did not reply to an entry, and are not asked for a while."""

from __future__ import annotations

from attrs import Factory, define

# The time doubles, up to the maximum, if the home soon fails to reply again.
AVOIDANCE_S = 1.0
MAX_AVOIDANCE_S = 4.0


@define(kw_only=True, eq=False, repr=False)
class _Avoidance:
    until_s: float
    duration_s: float


@define(kw_only=True, eq=False, repr=False)
class SilentHomes:
    """Homes of quotas that this entry avoids.

    Load: one call for each home that fails to reply, however many requests
    wait for it.
    """

    _avoidances: dict[str, _Avoidance] = Factory(dict)

    def record_silence(self, home: str, now_s: float) -> float | None:
        """Avoid a home; return for how long, None if it is avoided already."""
        previous = self._avoidances.get(home)
        duration_s = AVOIDANCE_S
        if previous is not None:
            if now_s < previous.until_s:
                return None
            if now_s - previous.until_s < previous.duration_s:
                duration_s = min(MAX_AVOIDANCE_S, 2 * previous.duration_s)
        self._avoidances[home] = _Avoidance(
            until_s=now_s + duration_s, duration_s=duration_s
        )
        return duration_s

    def record_reply(self, home: str) -> None:
        """Ask a home again that has replied."""
        self._avoidances.pop(home, None)

    def is_avoided(self, home: str, now_s: float) -> bool:
        """Return whether a home is not to be asked at present."""
        avoidance = self._avoidances.get(home)
        return avoidance is not None and now_s < avoidance.until_s
