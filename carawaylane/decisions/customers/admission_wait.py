"""How long a request waits for a quota home that lacks rights.

After a home is lost, or many nodes have started at once, the rights of the
entries are not usable for up to a second. A customer below its limit has
requests refused then that could be admitted a moment later, and most callers
do not come back after a refusal.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from carawaylane.messages.quotas import OverQuota

# A customer that had fewer of its requests admitted in the last window than
# this share of its limit is refused for a lack of rights, not for its rate.
SHORTAGE_SHARE = 0.6
# Share of the latency objective that a request waits at most, so that its
# answer can still be in time.
MAX_WAIT_SHARE = 0.4
# Rights become usable within this time, whatever a home promises before.
ASK_AGAIN_S = 0.25
# Bounds the asks of a customer that is far above its limit, which a new home
# does not know yet.
MAX_ASKS = 4


@define(kw_only=True, repr=False)
class AdmissionWait:
    """Decides whether a request that was not admitted asks again, and when.

    Load: all requests of a fleet in the seconds after a takeover or a start.
    """

    objective_s: float
    started_at_s: float
    asks: int = 1

    def next_ask_s(
        self, verdict: OverQuota | None, now_s: float
    ) -> float | None:
        """Return after which time to ask again, None to refuse the request.

        `verdict` is None if no home could decide.
        """
        if self.asks >= MAX_ASKS or not is_shortage(verdict):
            return None
        pause_s = ASK_AGAIN_S
        if verdict is not None:
            pause_s = min(pause_s, verdict.retry_after_s)
        waited_s = now_s - self.started_at_s
        if waited_s + pause_s > MAX_WAIT_SHARE * self.objective_s:
            return None
        self.asks += 1
        return pause_s


def is_shortage(verdict: OverQuota | None) -> bool:
    """Return whether rights are lacking rather than the customer's quota."""
    return verdict is None or verdict.admitted < SHORTAGE_SHARE * verdict.limit
