"""Whether the store was down, and until when its removals may be lapses.

Objects may expire while the store is down, although their writers are alive
and write them again once it is back. So a removal that follows an outage is
no proof that its object is gone.
"""

from __future__ import annotations

from attrs import Factory, define

# The store lets an object expire after three intervals of silence, and the
# last heartbeat was up to one interval before the outage. A shorter outage
# expires nothing.
OUTAGE_S = 3.2
# By the platform's protocol, objects that expired in an outage are back about
# 2 s after it; one that is still missing is gone.
LAPSE_GRACE_S = 2.3
# One node that gets no answers may be cut off from the store.
FAILED_WATCHERS = 2
NEVER_S = float('-inf')


@define(kw_only=True, eq=False, repr=False)
class StoreOutages:
    """Decides by the answers of the store to this node and to its peers.

    `answered_at_s` is when the store last answered any node of the fleet, as
    far as this one knows, or the start of this node.
    """

    name: str
    answered_at_s: float
    # When calls of a node last failed, unless the store has answered since.
    _failed_at_s: dict[str, float] = Factory(dict)
    # End of the last time without known answers, whatever its cause.
    _heard_again_at_s: float = NEVER_S
    # The same if calls failed meanwhile: the store was down.
    _back_at_s: float = NEVER_S
    _era: int = 0

    def record_failure(self, node: str, now_s: float) -> None:
        """Record that the store did not answer a node, maybe this one."""
        self._failed_at_s[node] = now_s

    def record_answer(self, at_s: float) -> bool:
        """Record that the store answered a node; return if it was down."""
        if at_s <= self.answered_at_s:
            return False
        was_silent = at_s - self.answered_at_s > OUTAGE_S
        was_down = was_silent and (
            self.name in self._failed_at_s
            or len(self._failed_at_s) >= FAILED_WATCHERS
        )
        self.answered_at_s = at_s
        self._failed_at_s = {
            node: failed_at_s
            for node, failed_at_s in self._failed_at_s.items()
            if failed_at_s > at_s
        }
        if was_silent:
            self._heard_again_at_s = at_s
        if was_down:
            self._back_at_s = at_s
        return was_down

    def record_restore(self, era: int, now_s: float) -> None:
        """Record that the store came back from an older copy.

        Nodes learn of an era with each kind of object.
        """
        if era > self._era:
            self._era = era
            self._heard_again_at_s = now_s

    def may_be_lapses(self, now_s: float) -> bool:
        """Return whether removals that the store shows now may be lapses."""
        return now_s < self._back_at_s + LAPSE_GRACE_S

    def grace_left_s(self, now_s: float) -> float:
        """Return for how long an object that has lapsed is still kept.

        Another node may have taken its own loss of contact for an outage, so
        this is 0 if this node had news of the store all the time.
        """
        return max(0.0, self._heard_again_at_s + LAPSE_GRACE_S - now_s)
