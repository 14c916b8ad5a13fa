"""How long ago the callers of a route made their first attempt."""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING

from attrs import Factory, define

from carawaylane.messages.dispatch import AttemptKind

if TYPE_CHECKING:
    from carawaylane.messages.dispatch import SlotRequest

# Time constant at which the longest time left of a route is forgotten.
TIME_LEFT_MEMORY_S = 30.0
# A caller waits at least 0.05 s before it comes back.
MIN_RETURN_AGE_S = 0.05
# Callers are taken to come back if more than this share of the requests of
# about the last RETURN_MEMORY_S are from such callers. The share rests on
# about MIN_REQUESTS requests.
RETURN_SHARE = 0.05
RETURN_MEMORY_S = 2.0
MIN_REQUESTS = 20.0


@define(kw_only=True, eq=False, repr=False)
class CallerAges:
    """Derives the age of requests from the time that their callers have left.

    A caller that comes back after a refusal has less time left than one that
    comes for the first time, whose time is the longest of the route.
    """

    # By route: the longest time left of a request, and when it was seen.
    _longest_left_s: dict[str, tuple[float, float]] = Factory(dict)
    # Requests of callers that came back and all requests, both decaying.
    _returned: float = 0.0
    _requests: float = 0.0
    _requests_at_s: float = 0.0

    def record_request(self, request: SlotRequest, now_s: float) -> None:
        """Learn how much time new requests of a route have."""
        if request.attempt is AttemptKind.FIRST:
            longest_s = self._longest_at(request.route, now_s)
            self._longest_left_s[request.route] = (
                max(longest_s, request.left_s),
                now_s,
            )
            kept = exp((self._requests_at_s - now_s) / RETURN_MEMORY_S)
            has_returned = self.age_s(request, now_s) >= MIN_RETURN_AGE_S
            self._returned = self._returned * kept + has_returned
            self._requests = self._requests * kept + 1
            self._requests_at_s = now_s

    def callers_return(self) -> bool:
        """Return whether callers come back after a refusal."""
        return self._returned > RETURN_SHARE * max(
            MIN_REQUESTS, self._requests
        )

    def age_s(self, request: SlotRequest, now_s: float) -> float:
        """Return how long ago the caller made its first attempt."""
        return self._longest_at(request.route, now_s) - request.left_s

    def _longest_at(self, route: str, now_s: float) -> float:
        longest_s, at_s = self._longest_left_s.get(route, (0.0, now_s))
        return longest_s * exp((at_s - now_s) / TIME_LEFT_MEMORY_S)
