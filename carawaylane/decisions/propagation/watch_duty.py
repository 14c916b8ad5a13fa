"""Whether a node watches the store for its data centre.

Watchers send heartbeats. A node watches if it hears too few heartbeats of
nodes that rank better, so that neither the list of members nor the state of
the store has to say which nodes are alive.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

if TYPE_CHECKING:
    from collections.abc import Sequence

# Period of the heartbeats of a node that watches.
HEARTBEAT_PERIOD_S = 0.6
# A watcher from which nothing is heard for this long has stopped.
SILENCE_S = 1.0
# The same while the store does not answer it: up to MOST_OUTAGE_WATCHERS send
# heartbeats then.
OUTAGE_HEARTBEAT_PERIOD_S = 2.4
OUTAGE_SILENCE_S = 3.0
# Twice as many nodes may take over after each further step, so that dead
# nodes that rank first delay a takeover by few steps only.
TAKEOVER_STEP_S = 0.1
# Nodes per data centre that try while the store answers none of them. It may
# turn away some nodes and serve others, so there are more of them with time.
OUTAGE_WATCHERS = 3
OUTAGE_STEP_S = 1.0
MOST_OUTAGE_WATCHERS = 12
# A call that is answered this late is announced as not answered, so that other
# nodes try; the call goes on, as a slow store is still used.
LATE_ANSWER_S = 0.35
# Time from that announcement until a node that ranks behind up to 15 others
# has the answer to its own call, and from then until all nodes have it.
TAKEOVER_S = 0.6
SPREAD_S = 0.4
# How long a watch waits at most, whatever the bound, and at least: more calls
# would cost more than a change that is late beside a fault.
MOST_WATCH_WAIT_S = 2.0
LEAST_WATCH_WAIT_S = 0.5
NEVER_S = float('-inf')


def watch_wait_s(bound_s: float) -> float:
    """Return how long a watch may wait so that changes are in force in time.

    A store that falls silent as a watch begins is noticed once the watch has
    waited and its answer is late.
    """
    wait_s = bound_s - LATE_ANSWER_S - TAKEOVER_S - SPREAD_S
    return min(max(wait_s, LEAST_WATCH_WAIT_S), MOST_WATCH_WAIT_S)


@define(kw_only=True, eq=False, repr=False)
class WatchDuty:
    """Decides by the heartbeats of the watchers of the data centre.

    `started_at_s` is when the node may first have heard heartbeats.
    """

    name: str
    started_at_s: float
    _answered_at_s: dict[str, float] = Factory(dict)
    _unanswered_at_s: dict[str, float] = Factory(dict)
    # When a watcher of the data centre last had answers from the store.
    _last_answered_at_s: float | None = None
    # When enough watchers that rank better were last heard.
    _covered_at_s: float | None = None

    def record_heartbeat(
        self, watcher: str, store_answers: bool, now_s: float
    ) -> None:
        """Record that a watcher is alive, and whether it has answers.

        It may be this node.
        """
        if store_answers:
            self._answered_at_s[watcher] = now_s
            self._unanswered_at_s.pop(watcher, None)
            self._last_answered_at_s = now_s
        else:
            self._unanswered_at_s[watcher] = now_s
            self._answered_at_s.pop(watcher, None)

    def is_due(self, ranked: Sequence[str], now_s: float) -> bool:
        """Return whether this node has to watch.

        `ranked` are the names of the members of the data centre, best first.
        """
        rank = ranked.index(self.name) if self.name in ranked else len(ranked)
        if self._is_covered(ranked[:rank], now_s):
            self._covered_at_s = now_s
            return False
        if self._covered_at_s is None:
            self._covered_at_s = self.started_at_s + SILENCE_S
        delay_s = TAKEOVER_STEP_S * rank.bit_length()
        return rank == 0 or now_s - self._covered_at_s >= delay_s

    def hears_answered(self, now_s: float) -> bool:
        """Return whether another watcher gets answers from the store."""
        return any(
            now_s - heard_at_s <= SILENCE_S
            for name, heard_at_s in self._answered_at_s.items()
            if name != self.name
        )

    def _is_covered(self, better: Sequence[str], now_s: float) -> bool:
        """Return whether enough nodes that rank better watch."""
        heard_since_s = now_s - SILENCE_S
        if any(
            self._answered_at_s.get(name, NEVER_S) >= heard_since_s
            for name in better
        ):
            return True
        if self._answered_at_s.get(self.name, NEVER_S) >= heard_since_s:
            return False
        trying = sum(
            self._unanswered_at_s.get(name, NEVER_S)
            >= now_s - OUTAGE_SILENCE_S
            for name in better
        )
        answered_at_s = self._last_answered_at_s
        if answered_at_s is None:
            answered_at_s = self.started_at_s
        steps = max(0, int((heard_since_s - answered_at_s) / OUTAGE_STEP_S))
        return trying >= min(
            OUTAGE_WATCHERS * (1 + steps), MOST_OUTAGE_WATCHERS
        )
