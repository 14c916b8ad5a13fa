"""Whether this node is cut off from the targets, and which peers are not.

A target that a node can't connect to may be down, or the node may be cut off.
Other targets tell the two apart, or a peer, if this node reaches no target.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from attrs import Factory, define

if TYPE_CHECKING:
    from collections.abc import Iterable

# A peer that could not send a request is passed over for this time.
PEER_AVOIDANCE_S = 3.0
# A peer that reached a target is asked first for this time, while there are
# MIN_PROVEN_PEERS of them, so that the requests are spread.
PEER_PROVEN_S = 5.0
MIN_PROVEN_PEERS = 3


@define(kw_only=True, eq=False, repr=False)
class TargetPaths:
    """What a node knows of its paths to the targets.

    `cut_off_at_s` is when it found that it reaches no target although peers
    do, None while it is not cut off.
    """

    cut_off_at_s: float | None = None
    _reached_at_s: float = float('-inf')

    @property
    def cut_off(self) -> bool:
        """Whether the node reaches no target although peers do."""
        return self.cut_off_at_s is not None

    def record_reached(self, now_s: float) -> None:
        """Record that a target answered or accepted a connection."""
        self._reached_at_s = now_s

    def record_check(
        self, *, reached: bool, reached_by_peer: bool, now_s: float
    ) -> bool:
        """Record whether this node, or a peer, could connect to targets.

        Returns whether that changes `cut_off`.
        """
        was_cut_off = self.cut_off
        if reached:
            self._reached_at_s = now_s
            self.cut_off_at_s = None
        elif reached_by_peer and not was_cut_off:
            self.cut_off_at_s = now_s
        return self.cut_off != was_cut_off

    def silent_since(self, at_s: float) -> bool:
        """Return whether no target has been reached since a time."""
        return self._reached_at_s < at_s


@define(kw_only=True, eq=False, repr=False)
class RelayPeers:
    """Chooses the peers that send requests for a node that is cut off."""

    rng: Random
    _avoided_until_s: dict[str, float] = Factory(dict)
    _proven_until_s: dict[str, float] = Factory(dict)

    def choose(
        self, members: Iterable[str], tried: set[str], now_s: float
    ) -> str | None:
        """Return a peer to ask, or None if all have been tried.

        After a peer that could not send, any proven one is asked first.
        """
        candidates = [member for member in members if member not in tried]
        usable = [
            member
            for member in candidates
            if self._avoided_until_s.get(member, 0.0) <= now_s
        ]
        proven = [
            member
            for member in usable
            if self._proven_until_s.get(member, 0.0) > now_s
        ]
        if len(proven) >= (1 if tried else MIN_PROVEN_PEERS):
            return self.rng.choice(proven)
        return self.rng.choice(usable or candidates) if candidates else None

    def record_result(self, member: str, now_s: float, *, sent: bool) -> None:
        """Record whether a peer could send a request to a target."""
        if sent:
            self._avoided_until_s.pop(member, None)
            self._proven_until_s[member] = now_s + PEER_PROVEN_S
        else:
            self._proven_until_s.pop(member, None)
            self._avoided_until_s[member] = now_s + PEER_AVOIDANCE_S
