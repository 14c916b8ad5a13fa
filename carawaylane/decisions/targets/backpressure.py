"""What targets ask of this node in their answers, and what it may send them.

A target may name a rate limit for all nodes together, ask this node for a
pause, or say that it is leaving. Limits are kept by homes, see `rate_limits`;
pauses and leaving targets bind the node itself, whichever home it asked and
whatever the store says of the target.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define, frozen

from carawaylane.messages.dispatch import BackpressureNotice
from carawaylane.messages.outcomes import InvalidNumber

if TYPE_CHECKING:
    from collections.abc import Container

    from carawaylane.messages.outcomes import Backpressure

# What no answer has said for this long is forgotten: a limit that still holds
# is named more often, and a target that left is gone.
MEMORY_S = 600.0
# An entry repeats the limits that it knows to a home at this interval.
REPORT_PERIOD_S = 1.0
# A longer pause is more likely an error of the target than its wish, and the
# target would not be used again for as long.
MAX_PAUSE_S = 600.0
# A node may hear of a restart this much later than the target answers: changes
# of the store's entries have reached all nodes after it.
NEWS_S = 3.0
# Starts of a target whose wishes are remembered.
MAX_STARTS = 4
NEVER_S = float('-inf')


@frozen(kw_only=True, eq=False, repr=False)
class _HeardLimit:
    """A limit, and when the last answer that named it was asked and came."""

    rate_per_s: float
    sent_at_s: float
    heard_at_s: float


@define(kw_only=True, eq=False, repr=False)
class _Wishes:
    """What an incarnation of a target said of further requests.

    They may be those of a later incarnation that started at the Unix time
    `started_until_ms` or before.
    """

    paused_until_s: float = NEVER_S
    leaving: bool = False
    started_until_ms: int = 0
    heard_at_s: float = NEVER_S


@define(kw_only=True, eq=False, repr=False)
class _HeardTarget:
    """What the answers of a target said.

    The wishes are kept by the start of the incarnation, the last heard ones
    last. `new_at_s` is when an answer last said something new.
    """

    service: str
    limit: _HeardLimit | None = None
    wishes: dict[int | None, _Wishes] = Factory(dict)
    heard_at_s: float = NEVER_S
    new_at_s: float = NEVER_S


@frozen(kw_only=True, repr=False)
class TargetIdentity:
    """The incarnation of a target to which a request was sent.

    `started_ms` identifies it: it is what the target registered as the Unix
    time of its start, by the clock of its host, 0 if it registered none, and
    None if the request may have reached another incarnation. `now_ms` is the
    Unix time of the answer, 0 if a later incarnation is known not to have
    given it.
    """

    name: str
    service: str = ''
    started_ms: int | None = 0
    now_ms: int = 0


@define(kw_only=True, eq=False, repr=False)
class HeardBackpressure:
    """What targets said in the answers that one node got."""

    _by_target: dict[str, _HeardTarget] = Factory(dict)
    # By service: when an answer of its targets last said something new.
    _new_at_s: dict[str, float] = Factory(dict)
    # By home and service: when the home was last told of everything.
    _reported_at_s: dict[tuple[str, str], float] = Factory(dict)

    def rate_of(self, target: str) -> float | None:
        """Return the limit of a target, or None if it has named none."""
        heard = self._by_target.get(target)
        if heard is None or heard.limit is None:
            return None
        return heard.limit.rate_per_s

    def withheld(
        self, target: str, started_ms: int, now_s: float
    ) -> str | None:
        """Return why no request may be sent to a target; None if one may.

        What an incarnation said applies to it only. For a short time it also
        applies to one that may have given the answer, as its start was not
        known yet.
        """
        heard = self._by_target.get(target)
        if heard is None:
            return None
        for known_ms, wishes in heard.wishes.items():
            if started_ms != known_ms and (
                started_ms > wishes.started_until_ms
                or now_s >= wishes.heard_at_s + NEWS_S
            ):
                continue
            if wishes.leaving:
                return 'the target is leaving'
            if now_s < wishes.paused_until_s:
                return 'the target asked for a pause'
        return None

    def record_answer(
        self,
        target: TargetIdentity,
        backpressure: Backpressure,
        sent_at_s: float,
        now_s: float,
        *,
        may_lift: bool = True,
    ) -> BackpressureNotice | None:
        """Record what an answer said; return the notice for the home, if any.

        An answer without a limit lifts it only with `may_lift`, and if the
        request was sent after the limit was named: answers may overtake each
        other. An answer never ends a pause, or that a target is leaving.
        """
        limit = backpressure.rate_limit
        pause_s = backpressure.pause_s
        if isinstance(pause_s, InvalidNumber):
            pause_s = 0.0
        names_rate = not isinstance(limit, InvalidNumber) and (
            limit is not None or may_lift
        )
        heard = self._by_target.get(target.name)
        if heard is None and (
            pause_s > 0
            or backpressure.leaving
            or (names_rate and limit is not None)
        ):
            heard = _HeardTarget(service=target.service)
            self._by_target[target.name] = heard
        if heard is not None:
            heard.heard_at_s = now_s
            if names_rate and not isinstance(limit, InvalidNumber):
                self._record_limit(heard, limit, sent_at_s, now_s)
            self._record_wishes(
                heard, target, pause_s, backpressure.leaving, now_s
            )
        if not (names_rate or pause_s > 0 or backpressure.leaving):
            return None
        wishes = heard.wishes.get(target.started_ms) if heard else None
        return BackpressureNotice(
            target=target.name,
            rate_per_s=limit if isinstance(limit, float) else None,
            sent_age_s=now_s - sent_at_s,
            names_rate=names_rate,
            pause_left_s=min(pause_s, MAX_PAUSE_S),
            leaving=backpressure.leaving,
            started_ms=target.started_ms,
            started_until_ms=wishes.started_until_ms if wishes else 0,
        )

    def _record_limit(
        self,
        heard: _HeardTarget,
        rate_per_s: float | None,
        sent_at_s: float,
        now_s: float,
    ) -> None:
        if rate_per_s is not None:
            if heard.limit is None or heard.limit.rate_per_s != rate_per_s:
                self._mark_new(heard, now_s)
            heard.limit = _HeardLimit(
                rate_per_s=rate_per_s, sent_at_s=sent_at_s, heard_at_s=now_s
            )
        elif heard.limit is not None and sent_at_s >= heard.limit.heard_at_s:
            heard.limit = None

    def _record_wishes(
        self,
        heard: _HeardTarget,
        target: TargetIdentity,
        pause_s: float,
        leaving: bool,
        now_s: float,
    ) -> None:
        """Record a pause, and that a target is leaving."""
        if not (leaving or pause_s > 0):
            return
        wishes = heard.wishes.pop(target.started_ms, None) or _Wishes()
        heard.wishes[target.started_ms] = wishes
        if len(heard.wishes) > MAX_STARTS:
            del heard.wishes[next(iter(heard.wishes))]
        wishes.started_until_ms = max(
            wishes.started_until_ms, target.started_ms or 0, target.now_ms
        )
        wishes.heard_at_s = now_s
        paused_until_s = now_s + min(pause_s, MAX_PAUSE_S)
        if leaving > wishes.leaving or (
            pause_s > 0 and paused_until_s > wishes.paused_until_s
        ):
            self._mark_new(heard, now_s)
        wishes.leaving = wishes.leaving or leaving
        if pause_s > 0:
            wishes.paused_until_s = max(wishes.paused_until_s, paused_until_s)

    def _mark_new(self, heard: _HeardTarget, now_s: float) -> None:
        heard.new_at_s = now_s
        self._new_at_s[heard.service] = now_s

    def report_to(
        self, home: str, now_s: float, service: str = ''
    ) -> tuple[BackpressureNotice, ...]:
        """Return what a home has to be told of the targets of a service now.

        Limits are repeated; the rest is told once, and again after
        `forget_reports_to`.
        """
        key = (home, service)
        reported_at_s = self._reported_at_s.get(key, NEVER_S)
        newest_s = self._new_at_s.get(service, NEVER_S)
        if newest_s == NEVER_S or not (
            now_s - reported_at_s >= REPORT_PERIOD_S
            or newest_s > reported_at_s
        ):
            return ()
        self._reported_at_s[key] = now_s
        return tuple(
            notice
            for target, heard in self._by_target.items()
            if heard.service == service
            and (heard.limit is not None or heard.new_at_s > reported_at_s)
            and (
                notice := self._notice(
                    target,
                    heard,
                    [start for start in heard.wishes if start is not None],
                    now_s,
                )
            )
            is not None
        )

    def notice_of(
        self, target: str, now_s: float
    ) -> BackpressureNotice | None:
        """Return what is known of a target, None if nothing is.

        The home that granted the request that was answered last knows which
        incarnation that was, if this node doesn't.
        """
        heard = self._by_target.get(target)
        if heard is None:
            return None
        return self._notice(target, heard, list(heard.wishes), now_s)

    def _notice(
        self,
        target: str,
        heard: _HeardTarget,
        starts: list[int | None],
        now_s: float,
    ) -> BackpressureNotice | None:
        """Return the limit, and the wishes of the last one of some starts."""
        limit = heard.limit
        started_ms = starts[-1] if starts else None
        wishes = heard.wishes[started_ms] if starts else _Wishes()
        pause_left_s = max(0.0, wishes.paused_until_s - now_s)
        if limit is None and not (wishes.leaving or pause_left_s > 0):
            return None
        return BackpressureNotice(
            target=target,
            rate_per_s=limit.rate_per_s if limit else None,
            sent_age_s=now_s - limit.sent_at_s if limit else 0.0,
            heard_age_s=now_s - limit.heard_at_s if limit else 0.0,
            names_rate=limit is not None,
            pause_left_s=pause_left_s,
            leaving=wishes.leaving,
            started_ms=started_ms,
            started_until_ms=wishes.started_until_ms,
        )

    def forget_reports_to(self, home: str) -> None:
        """Tell a home everything again: it may have restarted."""
        for key in [key for key in self._reported_at_s if key[0] == home]:
            del self._reported_at_s[key]

    def forget_old(self, present: Container[str], now_s: float) -> None:
        """Forget targets that are gone and limits that are not named any more.

        What a target that is still listed said of leaving is kept.
        """
        for target, heard in list(self._by_target.items()):
            if now_s - heard.heard_at_s <= MEMORY_S:
                continue
            heard.limit = None
            if target not in present or not any(
                wishes.leaving for wishes in heard.wishes.values()
            ):
                del self._by_target[target]
