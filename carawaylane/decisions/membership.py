"""Which members are reachable, by pings, indirect pings and rumours.

Each node pings one member a period, in a shuffled round. A member that
answers neither directly nor through others is suspected, and down after a
while unless it refutes. Being down only steers traffic: what needs
certainty waits for the platform's list of hosts.
"""

from __future__ import annotations

from enum import IntEnum
from random import Random
from typing import TYPE_CHECKING

from attrs import Factory, define, frozen

if TYPE_CHECKING:
    from collections.abc import Iterable

DOWN_AFTER_S = 1.5
# Times that a rumour is passed on, per doubling of the fleet.
RUMOUR_REPEATS = 3
MAX_RUMOURS_PER_MESSAGE = 6


class Reach(IntEnum):
    """What is believed of a member."""

    ALIVE = 0
    SUSPECT = 1
    DOWN = 2


@frozen(kw_only=True)
class Rumour:
    """What some member believes of another at a refutation round."""

    member: str
    reach: Reach
    round: int


@define(kw_only=True)
class _View:
    reach: Reach = Reach.ALIVE
    round: int = 0
    since_s: float = 0.0


@define(kw_only=True)
class Membership:
    """One node's view of the other members."""

    own: str
    rng: Random
    views: dict[str, _View] = Factory(dict)
    order: list[str] = Factory(list)
    pending: dict[str, int] = Factory(dict)
    own_round: int = 0

    def set_members(self, names: Iterable[str]) -> None:
        """Follow the fleet log: who belongs to the fleet at all."""
        wanted = set(names) - {self.own}
        for name in wanted - set(self.views):
            self.views[name] = _View()
        for name in set(self.views) - wanted:
            del self.views[name]
            self.pending.pop(name, None)

    def next_ping(self) -> str | None:
        """Return the member to ping in this period."""
        while self.order:
            name = self.order.pop()
            if name in self.views:
                return name
        self.order = list(self.views)
        self.rng.shuffle(self.order)
        return self.order.pop() if self.order else None

    def helpers(self, target: str, count: int) -> list[str]:
        """Return members to ping `target` in this node's stead."""
        others = [
            name
            for name, view in self.views.items()
            if name != target and view.reach is Reach.ALIVE
        ]
        return self.rng.sample(others, min(count, len(others)))

    def heard(self, member: str, now_s: float) -> None:
        """Count a direct sign of life."""
        view = self.views.get(member)
        if view is not None and view.reach is not Reach.ALIVE:
            self._set(member, Reach.ALIVE, view.round, now_s)

    def missed(self, member: str, now_s: float) -> None:
        """Count a ping that nobody got an answer to."""
        view = self.views.get(member)
        if view is not None and view.reach is Reach.ALIVE:
            self._set(member, Reach.SUSPECT, view.round, now_s)

    def hear_rumours(self, rumours: Iterable[Rumour], now_s: float) -> None:
        """Take in what others believe, and refute what they say of us."""
        for rumour in rumours:
            if rumour.member == self.own:
                self._refute(rumour)
            else:
                self._hear(rumour, now_s)

    def tick(self, now_s: float) -> list[str]:
        """Return members that became down by now."""
        fallen = [
            name
            for name, view in self.views.items()
            if view.reach is Reach.SUSPECT
            and now_s - view.since_s >= DOWN_AFTER_S
        ]
        for name in fallen:
            self._set(name, Reach.DOWN, self.views[name].round, now_s)
        return fallen

    def down(self) -> set[str]:
        """Return members that are believed down."""
        return {
            name
            for name, view in self.views.items()
            if view.reach is Reach.DOWN
        }

    def rumours(self) -> list[Rumour]:
        """Return the rumours for the next message, newest first."""
        chosen = sorted(self.pending, key=lambda name: -self.pending[name])
        chosen = chosen[:MAX_RUMOURS_PER_MESSAGE]
        told = [self._rumour(name) for name in chosen]
        for name in chosen:
            self.pending[name] -= 1
            if not self.pending[name]:
                del self.pending[name]
        return [each for each in told if each is not None]

    def _rumour(self, name: str) -> Rumour | None:
        if name == self.own:
            return Rumour(member=name, reach=Reach.ALIVE, round=self.own_round)
        view = self.views.get(name)
        if view is None:
            return None
        return Rumour(member=name, reach=view.reach, round=view.round)

    def _refute(self, rumour: Rumour) -> None:
        if rumour.reach is Reach.ALIVE or rumour.round < self.own_round:
            return
        self.own_round = rumour.round + 1
        self.pending[self.own] = self._repeats()

    def _hear(self, rumour: Rumour, now_s: float) -> None:
        view = self.views.get(rumour.member)
        if view is None:
            return
        newer = rumour.round > view.round
        worse = rumour.round == view.round and rumour.reach > view.reach
        if newer or worse:
            self._set(rumour.member, rumour.reach, rumour.round, now_s)

    def _set(
        self, member: str, reach: Reach, round_: int, now_s: float
    ) -> None:
        view = self.views[member]
        if view.reach is not reach:
            view.since_s = now_s
        view.reach = reach
        view.round = round_
        self.pending[member] = self._repeats()

    def _repeats(self) -> int:
        return RUMOUR_REPEATS * max(1, len(self.views).bit_length())
