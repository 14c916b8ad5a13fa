"""Failure detection among members, by the SWIM protocol.

Each node pings one member per period, in random order. A member that
answers neither the ping nor the indirect pings of others is suspected; it
counts as down after a while unless it refutes the suspicion. States spread
as rumours on pings and their replies.

Being down only steers traffic and takeovers, as a member that is cut off looks
the same. What needs a member to be dead for certain waits until the platform
no longer lists its host.
"""

from __future__ import annotations

from enum import IntEnum
from random import Random
from typing import TYPE_CHECKING

from attrs import Factory, define, frozen

if TYPE_CHECKING:
    from collections.abc import Iterable

# A suspected member counts as down after this long.
DOWN_AFTER_S = 1.5
# How often a node sends a rumour, per doubling of the number of members.
RUMOUR_REPEATS = 3
MAX_RUMOURS_PER_MESSAGE = 6


class MemberState(IntEnum):
    """Whether a member is believed to be reachable."""

    ALIVE = 0
    SUSPECT = 1
    DOWN = 2


@frozen(kw_only=True)
class Rumour:
    """The state of a member as some node believes it.

    The member increments its incarnation number to refute a suspicion; a
    rumour with a higher number overrides those with lower ones.
    """

    member: str
    state: MemberState
    incarnation: int


@define(kw_only=True)
class _MemberView:
    state: MemberState = MemberState.ALIVE
    incarnation: int = 0
    state_since_s: float = 0.0


@define(kw_only=True)
class MembershipView:
    """The view that the node `own` has of which other members are reachable.

    `ping_order` holds the members that are left to ping in this round,
    `pending_sends` how often the rumour about a member is still to be sent.
    """

    own: str
    rng: Random
    views: dict[str, _MemberView] = Factory(dict)
    ping_order: list[str] = Factory(list)
    pending_sends: dict[str, int] = Factory(dict)
    own_incarnation: int = 0

    def set_members(self, names: Iterable[str]) -> None:
        """Set the members as the fleet log lists them."""
        others = set(names) - {self.own}
        for name in others - set(self.views):
            self.views[name] = _MemberView()
        for name in set(self.views) - others:
            del self.views[name]
            self.pending_sends.pop(name, None)

    def next_ping(self) -> str | None:
        """Return the member to ping in this period."""
        while self.ping_order:
            name = self.ping_order.pop()
            if name in self.views:
                return name
        self.ping_order = list(self.views)
        self.rng.shuffle(self.ping_order)
        return self.ping_order.pop() if self.ping_order else None

    def choose_helpers(self, member: str, count: int) -> list[str]:
        """Return members that ping a member on behalf of this node."""
        candidates = [
            name
            for name, view in self.views.items()
            if name != member and view.state is MemberState.ALIVE
        ]
        return self.rng.sample(candidates, min(count, len(candidates)))

    def record_reply(self, member: str, now_s: float) -> None:
        """Record that a member answered a direct or an indirect ping."""
        view = self.views.get(member)
        if view is not None and view.state is not MemberState.ALIVE:
            self._set_state(member, MemberState.ALIVE, view.incarnation, now_s)

    def record_missed_ping(self, member: str, now_s: float) -> None:
        """Suspect a member that answered neither direct nor indirect pings."""
        view = self.views.get(member)
        if view is not None and view.state is MemberState.ALIVE:
            self._set_state(
                member, MemberState.SUSPECT, view.incarnation, now_s
            )

    def apply_rumours(self, rumours: Iterable[Rumour], now_s: float) -> None:
        """Apply rumours about other members and refute those about this one.

        Only a rumour that this node is suspected or down is refuted.
        """
        for rumour in rumours:
            if rumour.member == self.own:
                self._refute(rumour)
            else:
                self._apply_rumour(rumour, now_s)

    def expire_suspects(self, now_s: float) -> list[str]:
        """Mark members down that were suspected long enough; return them."""
        expired = [
            name
            for name, view in self.views.items()
            if view.state is MemberState.SUSPECT
            and now_s - view.state_since_s >= DOWN_AFTER_S
        ]
        for name in expired:
            self._set_state(
                name, MemberState.DOWN, self.views[name].incarnation, now_s
            )
        return expired

    def down_members(self) -> set[str]:
        """Return members that are believed to be down."""
        return {
            name
            for name, view in self.views.items()
            if view.state is MemberState.DOWN
        }

    def take_rumours(self) -> list[Rumour]:
        """Return the rumours for the next message, the least sent first.

        Each is counted as sent once more.
        """
        chosen = sorted(
            self.pending_sends, key=lambda name: -self.pending_sends[name]
        )
        chosen = chosen[:MAX_RUMOURS_PER_MESSAGE]
        rumours = [self._rumour_about(name) for name in chosen]
        for name in chosen:
            self.pending_sends[name] -= 1
            if not self.pending_sends[name]:
                del self.pending_sends[name]
        return [rumour for rumour in rumours if rumour is not None]

    def _rumour_about(self, name: str) -> Rumour | None:
        if name == self.own:
            return Rumour(
                member=name,
                state=MemberState.ALIVE,
                incarnation=self.own_incarnation,
            )
        view = self.views.get(name)
        if view is None:
            return None
        return Rumour(
            member=name, state=view.state, incarnation=view.incarnation
        )

    def _refute(self, rumour: Rumour) -> None:
        if (
            rumour.state is MemberState.ALIVE
            or rumour.incarnation < self.own_incarnation
        ):
            return
        self.own_incarnation = rumour.incarnation + 1
        self.pending_sends[self.own] = self._repeats()

    def _apply_rumour(self, rumour: Rumour, now_s: float) -> None:
        view = self.views.get(rumour.member)
        if view is None:
            return
        newer = rumour.incarnation > view.incarnation
        worse = (
            rumour.incarnation == view.incarnation
            and rumour.state > view.state
        )
        if newer or worse:
            self._set_state(
                rumour.member, rumour.state, rumour.incarnation, now_s
            )

    def _set_state(
        self, member: str, state: MemberState, incarnation: int, now_s: float
    ) -> None:
        view = self.views[member]
        if view.state is not state:
            view.state_since_s = now_s
        view.state = state
        view.incarnation = incarnation
        self.pending_sends[member] = self._repeats()

    def _repeats(self) -> int:
        return RUMOUR_REPEATS * max(1, len(self.views).bit_length())
