"""Placing, queueing and refusing the requests of one service.

The load this answers: few slots per target, most of them busy at the peak,
and at any moment some targets that swallow what they are sent. Requests go
where they are least likely to be lost; one that finds only doubtful slots
waits a little for a better one; one that can't be served in time is refused
at once.
"""

from __future__ import annotations

from statistics import NormalDist
from typing import TYPE_CHECKING

from attrs import define

from carawaylane.decisions.failure_estimate import (
    FAILING_LOSS_SHARE,
    FailureEstimate,
    LatencyModel,
    Result,
)
from carawaylane.decisions.quarantine import Quarantine
from carawaylane.decisions.retry_window import RetryWindow
from carawaylane.decisions.target_state import InFlightRequest, TargetState
from carawaylane.decisions.usage_floor import UNTRIED_S, UsageFloor
from carawaylane.messages.dispatch import (
    AttemptKind,
    Grant,
    Queued,
    Refusal,
    SlotReply,
    SlotRequest,
    Ticket,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaylane.messages.platform_objects import TargetSpec
    from carawaylane.settings.gateway import Bounds

# Costs of a choice, in units of a lost request.
COST_BUSY = 0.1
COST_SLOW = 0.12
COST_COLD = 0.08
COST_SHED = 0.15
COST_FAR = 0.04
# A new connection costs a round trip and a share of a slot's time.
COST_CONNECT = 0.035
# A target that has joined gets its first request before long, so that its
# capacity is known when it is needed.
GAIN_UNTRIED = 0.3
UNTRIED_AFTER_S = 1.0
# An idempotent request that is lost can be sent again.
IDEMPOTENT_RISK = 0.4
# A request takes this risk at once, and any risk after a share of its
# latency objective. One that would otherwise be refused takes a chance that
# still serves about every other one. The first is above the long-run chance
# of a target nobody has tried lately.
RISK_AT_ONCE = 0.32
RISK_AT_ONCE_IDEMPOTENT = 0.5
PICKY_SHARE = 0.3
RISK_LAST = 0.7
HEDGE_RISK = 0.6
# A hedge that waits is placed ahead of requests that came this much before
# it, since its own came before it, too. Virtual time, full service: 0 had
# 0.860 served, 1 had 0.866.
HEDGE_LEAD_S = 1.0
# Time for which a target is avoided by an entry that could not reach it.
PATH_S = 4.0
# An entry's report is late by this much at most, beyond its deadline.
REPORT_SLACK_S = 1.0
# Mean exchanges after which a lost entry's work is taken to have ended.
LOST_HOLDS = 3.0
# A target that fails work is still counted as capacity below this chance.
USABLE_RISK = 0.5
# Share of a mean exchange that must remain when a request is granted.
MIN_WORK_SHARE = 0.7
# Share of the latency objective that the wait and the mean work may take. With
# more, a full service spends its slots on answers that come late: in virtual
# time (bench/dispatch_sim.py), 1.0 had 0.49 in time and 0.5 had 0.61.
QUEUE_SHARE = 0.5
# Work older than this quantile of its route is taken to be stuck.
STUCK_Z = 2.5
# A hedge is due once the target is more likely stuck than not, but never
# before this share of well answers has come, nor after that one. Virtual
# time, TIGHT with lasting spells: 0.02 had 0.938 in time, 0.08 had 0.958.
HEDGE_EARLIEST, HEDGE_LATEST = 0.4, 0.08
# Turns in which another target has received the request.
REPEATS = (AttemptKind.REPEAT, AttemptKind.HEDGE)
RETRY_AFTER_MIN_S = 0.05
NO_TARGET_RETRY_S = 0.5
POISON_RETRY_S = 60.0
# A target that can't be reached this soon after an exchange broke off has
# crashed; a request is held after it crashed this many.
CRASH_S = 2.0
MAX_VICTIMS = 3
FIRST_HOLD_S = 0.2
HOLD_STEP = 0.05


@define(kw_only=True)
class _QueuedRequest:
    ask: SlotRequest
    # When it began to wait; of a hedge, its lead before that.
    at_s: float
    deadline_s: float


class Dispatcher:
    """All targets of a service, its queue and its budgets."""

    def __init__(self, *, service: str, bounds: Bounds) -> None:
        self.service = service
        self.targets: dict[str, TargetState] = {}
        self.models: dict[str, LatencyModel] = {}
        self.in_flight: dict[Ticket, InFlightRequest] = {}
        self.quarantine = Quarantine(max_victims=MAX_VICTIMS)
        self._floor = UsageFloor(share=bounds.floor_share)
        self._queue: list[_QueuedRequest] = []
        self._hold_s = FIRST_HOLD_S
        # Slots that serve those who wait, as of a time.
        self._slots, self._slots_s = 1, float('-inf')
        self._retry_window = RetryWindow(
            window_s=bounds.retry_window_s,
            ratio=bounds.retry_ratio,
            slack=bounds.retry_slack,
        )

    # Targets

    def update_targets(
        self, entries: Iterable[TargetSpec], now_s: float
    ) -> None:
        """Take in the targets that are known now."""
        listed = {each.name: each for each in entries}
        for name in set(self.targets) - set(listed):
            del self.targets[name]
        for name, entry in listed.items():
            known = self.targets.get(name)
            if known is None or known.spec.started_ms != entry.started_ms:
                self.targets[name] = TargetState(
                    spec=entry,
                    estimate=FailureEstimate(at_s=now_s),
                    first_seen_s=now_s,
                )
                continue
            if known.spec != entry:
                known.replaced = known.replaced and (
                    known.spec.address == entry.address
                )
                known.first_seen_s = now_s
                known.spec = entry

    def failure_risk(self, known: TargetState, now_s: float) -> float:
        """Return the chance that a target is failing, by all evidence."""
        if known.cached_risk_at_s == now_s:
            return known.cached_risk
        for flight in known.in_flight.values():
            model = self._model(flight.ask)
            flight.observation.ratio = model.likelihood_ratio(
                flight.waited_s(now_s)
            )
        known.cached_risk, known.cached_risk_at_s = (
            known.estimate.probability_at(now_s),
            now_s,
        )
        return known.cached_risk

    # Asks

    def request_slot(self, ask: SlotRequest, now_s: float) -> SlotReply:
        """Return a grant, a place in the queue, or a refusal."""
        refusal = self._barred(ask, now_s)
        if refusal is not None:
            return refusal
        if ask.attempt is AttemptKind.FIRST:
            self._retry_window.record_first_attempt(now_s)
        ahead = self._ahead(ask.priority)
        # Those ahead may be waiting only for a slot that is less doubtful.
        if not ahead or ask.idempotent:
            grant = self._grant(ask, now_s, waited_s=0.0)
            if grant is not None:
                return grant
        if ask.attempt is AttemptKind.HEDGE:
            return self._queue_hedge(ask, now_s)
        wait_s = self._wait_s(ahead, now_s)
        limit_s = min(ask.left_s, self._queue_limit_s(ask, ahead))
        if wait_s + MIN_WORK_SHARE * self._hold_s > limit_s:
            return self._last_chance(ask, ahead, wait_s, now_s)
        return self._enqueue(ask, now_s, now_s, wait_s)

    def _queue_hedge(self, ask: SlotRequest, now_s: float) -> SlotReply:
        """Return a place in the queue, as its request came earlier."""
        rank_s = now_s - HEDGE_LEAD_S
        wait_s = self._wait_s(self._ahead(ask.priority, rank_s), now_s)
        if wait_s + MIN_WORK_SHARE * self._hold_s > ask.left_s:
            return self._refuse(ask, 0.0, 'no free slot for a hedge')
        return self._enqueue(ask, rank_s, now_s, wait_s)

    def _enqueue(
        self, ask: SlotRequest, rank_s: float, now_s: float, wait_s: float
    ) -> Queued:
        queued = _QueuedRequest(
            ask=ask, at_s=rank_s, deadline_s=now_s + ask.left_s
        )
        self._queue.append(queued)
        self._queue.sort(key=lambda each: (each.ask.priority, each.at_s))
        return Queued(ticket=ask.ticket, expected_wait_s=wait_s)

    def cancel_queued(self, ticket: Ticket) -> None:
        """Forget an ask that waits."""
        self._queue = [
            each for each in self._queue if each.ask.ticket != ticket
        ]

    def confirm_in_flight(self, ticket: Ticket, now_s: float) -> None:
        """Note that an entry still waits for a target."""
        flight = self.in_flight.get(ticket)
        if flight is not None:
            flight.heard_s = now_s
            known = self.targets.get(flight.target)
            if known is not None:
                known.cached_risk_at_s = float('-inf')

    def drop_entry(self, entry: str) -> None:
        """Forget asks of an entry that is gone; its work may go on."""
        self._queue = [each for each in self._queue if each.ask.entry != entry]
        for flight in self.in_flight.values():
            if flight.ask.entry == entry:
                flight.lost = True

    def serve_queue(self, now_s: float) -> list[tuple[SlotRequest, SlotReply]]:
        """Return grants and refusals for those who wait."""
        self._expire(now_s)
        found: list[tuple[SlotRequest, SlotReply]] = []
        kept: list[_QueuedRequest] = []
        for queued in self._queue:
            verdict = self._serve(queued, len(kept), now_s)
            if verdict is None:
                kept.append(queued)
            else:
                found.append((queued.ask, verdict))
        self._queue = kept
        return found

    def queue_length(self) -> int:
        """Return how many asks wait."""
        return len(self._queue)

    def suspect_count(self, now_s: float) -> int:
        """Return how many targets are more likely failing than not."""
        return sum(
            self.failure_risk(each, now_s) >= USABLE_RISK
            for each in self.targets.values()
        )

    # Results

    def record_result(
        self, ticket: Ticket, result: Result, took_s: float, now_s: float
    ) -> None:
        """Take in how a granted request ended."""
        flight = self.in_flight.pop(ticket, None)
        if flight is None:
            return
        known = self.targets.get(flight.target)
        if known is not None:
            known.in_flight.pop(ticket, None)
            self._learn(known, flight, result, took_s, now_s)
        if result not in (Result.CANCELLED, Result.UNUSED):
            self._floor.record_result(
                now_s, lost=result is not Result.ANSWERED
            )

    def _learn(
        self,
        known: TargetState,
        flight: InFlightRequest,
        result: Result,
        took_s: float,
        now_s: float,
    ) -> None:
        model = self._model(flight.ask)
        belief = known.estimate
        known.cached_risk_at_s = float('-inf')
        if result is Result.ANSWERED:
            known.record_connection(flight.ask.entry, now_s)
            belief.record_latency(took_s, model)
            if belief.slowness < 1:
                model.record_latency(took_s)
            self._hold_s += HOLD_STEP * (took_s - self._hold_s)
        known.replaced = known.replaced or result is Result.MISDIRECTED
        if result in (Result.UNREACHED, Result.BROKEN):
            known.avoided_until_s[flight.ask.entry] = now_s + PATH_S
        if result is Result.OVERDUE:
            known.avoided_until_s[flight.ask.entry] = flight.at_s + PATH_S
        belief.record_result(
            result,
            now_s,
            flight.observation,
            unanswered_ratio=model.likelihood_ratio(took_s),
            weight=self._weight(known, result, now_s),
        )
        if result is Result.ANSWERED:
            model.record_hang(0.0)
        elif result in (Result.OVERDUE, Result.CANCELLED):
            # By now later answers may tell that the target was well.
            well = 1 - self.failure_risk(known, now_s)
            model.record_hang(well * model.hang_probability(took_s))
        if result is Result.BROKEN and flight.ask.digest:
            known.broken_at_s[flight.ask.digest] = now_s
        if result is Result.UNREACHED:
            self._note_crash(known, now_s)

    def _weight(
        self, known: TargetState, result: Result, now_s: float
    ) -> float:
        """Return less than 1 where the path may be at fault instead."""
        answered = now_s - known.estimate.last_answer_s < 1.0
        return 0.4 if result is Result.UNREACHED and answered else 1.0

    def _note_crash(self, known: TargetState, now_s: float) -> None:
        """Blame requests that broke off just before a target was down."""
        for digest, at_s in known.broken_at_s.items():
            if now_s - at_s < CRASH_S:
                self.quarantine.record_crash(
                    str(digest), known.spec.name, int(now_s * 1000)
                )
        known.broken_at_s.clear()

    # Choices

    def _barred(self, ask: SlotRequest, now_s: float) -> Refusal | None:
        held = ask.digest and self.quarantine.contains(
            str(ask.digest), int(now_s * 1000)
        )
        if held:
            return self._refuse(
                ask, POISON_RETRY_S, 'the request crashes targets'
            )
        if not any(each.is_open() for each in self.targets.values()):
            return self._refuse(ask, NO_TARGET_RETRY_S, 'no target is known')
        if ask.attempt in REPEATS and not self._retry_window.allows_retry(
            now_s
        ):
            return self._refuse(ask, 1.0, 'the retry budget is spent')
        return None

    def _grant(
        self,
        ask: SlotRequest,
        now_s: float,
        waited_s: float,
        least: float = 0.0,
    ) -> Grant | None:
        found = self._choose_target(ask, now_s)
        if found is None:
            return None
        known, risk = found
        if risk > max(least, self._accepted_risk(ask, waited_s)):
            return None
        if ask.attempt in REPEATS:
            # Others may have spent the budget while this one waited.
            if not self._retry_window.allows_retry(now_s):
                return None
            self._retry_window.record_retry(now_s)
        known.estimate.last_sent_s = now_s
        self._floor.record_sent(now_s)
        hedge_after_s = self._hedge_s(ask, risk)
        self._fly(known, ask, now_s, hedge_after_s)
        return Grant(
            ticket=ask.ticket,
            target=known.spec.name,
            address=known.spec.address,
            hedge_after_s=hedge_after_s,
            risk=risk,
        )

    def _fly(
        self,
        known: TargetState,
        ask: SlotRequest,
        at_s: float,
        hedge_after_s: float,
    ) -> None:
        flight = InFlightRequest(
            ask=ask,
            target=known.spec.name,
            at_s=at_s,
            heard_s=at_s,
            hedge_after_s=hedge_after_s,
            observation=known.estimate.record_sent(at_s),
        )
        known.in_flight[ask.ticket] = flight
        self.in_flight[ask.ticket] = flight

    def _accepted_risk(self, ask: SlotRequest, waited_s: float) -> float:
        if ask.attempt is AttemptKind.HEDGE:
            return HEDGE_RISK
        least = RISK_AT_ONCE
        if ask.idempotent:
            least = RISK_AT_ONCE_IDEMPOTENT
        share = waited_s / (PICKY_SHARE * ask.objective_s)
        return least + share * (1 - least)

    def _choose_target(
        self, ask: SlotRequest, now_s: float
    ) -> tuple[TargetState, float] | None:
        near = [
            each
            for each in self.targets.values()
            if each.is_open()
            and each.has_free_slot()
            and each.spec.name not in ask.avoided_targets
        ]
        reached = [
            each for each in near if self._reached(each, ask.entry, now_s)
        ]
        near = self._due(reached or near, now_s)
        best: tuple[float, float, TargetState] | None = None
        for each in near:
            risk = self.failure_risk(each, now_s)
            cost = self._cost(each, ask, risk, now_s)
            if best is None or cost < best[0]:
                best = (cost, risk, each)
        return (best[2], best[1]) if best else None

    def _reached(self, known: TargetState, entry: str, now_s: float) -> bool:
        """Return whether an entry has no reason to doubt its path."""
        return known.avoided_until_s.get(entry, 0.0) <= now_s and not any(
            flight.ask.entry == entry and self._stuck(flight, now_s)
            for flight in known.in_flight.values()
        )

    def _cost(
        self, known: TargetState, ask: SlotRequest, risk: float, now_s: float
    ) -> float:
        cost = risk * (IDEMPOTENT_RISK if ask.idempotent else 1.0)
        cost += COST_BUSY * len(known.in_flight) / known.spec.slots
        cost += COST_SLOW * max(0.0, known.estimate.slowness_at(now_s))
        cost += COST_SHED * known.estimate.shed_share
        if known.is_warming_up(now_s):
            cost += COST_COLD
        if known.spec.data_centre != ask.data_centre:
            cost += COST_FAR
        if not known.has_connection(ask.entry, now_s):
            cost += COST_CONNECT
        untried = known.estimate.last_sent_s == float('-inf')
        if untried and now_s - known.first_seen_s > UNTRIED_AFTER_S:
            cost -= GAIN_UNTRIED
        return cost

    def _due(self, near: list[TargetState], now_s: float) -> list[TargetState]:
        """Return those that the floor wants tried, while it binds."""
        stuck = sum(
            self._stuck(flight, now_s) for flight in self.in_flight.values()
        )
        limit = self._floor.risk_limit(now_s, len(self.targets), stuck)
        if not limit:
            return near
        well = [
            each
            for each in self.targets.values()
            if each.is_open() and self.failure_risk(each, now_s) < limit
        ]
        untried = {
            each.spec.name
            for each in well
            if now_s - each.estimate.last_sent_s >= UNTRIED_S
        }
        if self._floor.is_met(len(well), len(untried)):
            return near
        return [each for each in near if each.spec.name in untried] or near

    def _stuck(self, flight: InFlightRequest, now_s: float) -> bool:
        limit_s = self._model(flight.ask).quantile_s(STUCK_Z)
        return flight.waited_s(now_s) > limit_s

    def _hedge_s(self, ask: SlotRequest, risk: float) -> float:
        """Return the age at which the target is more likely stuck."""
        odds = (1 - risk) / risk
        hangs = self._model(ask).hang_share
        share = (FAILING_LOSS_SHARE - odds * hangs) / max(
            0.01, odds * (1 - hangs) - (1 - FAILING_LOSS_SHARE)
        )
        if odds * (1 - hangs) <= 1 - FAILING_LOSS_SHARE:
            share = HEDGE_EARLIEST
        share = max(HEDGE_LATEST, min(HEDGE_EARLIEST, share))
        z = NormalDist().inv_cdf(1 - share)
        return self._model(ask).quantile_s(z)

    # Queue

    def _serve(
        self, queued: _QueuedRequest, ahead: int, now_s: float
    ) -> SlotReply | None:
        ask = queued.ask
        left_s = queued.deadline_s - now_s
        grant = self._grant(ask, now_s, now_s - queued.at_s)
        if grant is not None:
            return grant
        wait_s = self._wait_s(ahead, now_s)
        if left_s < wait_s + MIN_WORK_SHARE * self._hold_s:
            return self._last_chance(ask, ahead, wait_s, now_s)
        return None

    def _last_chance(
        self, ask: SlotRequest, ahead: int, wait_s: float, now_s: float
    ) -> SlotReply:
        """Return a doubtful slot if nobody ahead wants it, or a refusal."""
        if not ahead:
            grant = self._grant(ask, now_s, waited_s=0.0, least=RISK_LAST)
            if grant is not None:
                return grant
        return self._refuse(ask, wait_s, 'no slot in time')

    def _queue_limit_s(self, ask: SlotRequest, ahead: int) -> float:
        """Return how long an ask behind others may have to wait and run."""
        share = QUEUE_SHARE if ahead else 1.0
        return share * ask.objective_s

    def _ahead(self, priority: int, rank_s: float = float('inf')) -> int:
        return sum(
            (each.ask.priority, each.at_s) <= (priority, rank_s)
            for each in self._queue
        )

    def _wait_s(self, ahead: int, now_s: float) -> float:
        """Return how long one waits behind a number of others."""
        if self._slots_s != now_s:
            self._slots, self._slots_s = self._usable_slots(now_s), now_s
        return (ahead + 1) * self._hold_s / self._slots

    def _usable_slots(self, now_s: float) -> int:
        """Return how many slots serve those who wait, at least 1."""
        slots = 0
        for each in self.targets.values():
            if not each.is_open():
                continue
            stuck = sum(
                self._stuck(flight, now_s)
                for flight in each.in_flight.values()
            )
            if self.failure_risk(each, now_s) < USABLE_RISK:
                slots += max(0, each.spec.slots - stuck)
        return max(1, slots)

    def _refuse(
        self, ask: SlotRequest, retry_after_s: float, reason: str
    ) -> Refusal:
        return Refusal(
            ticket=ask.ticket,
            retry_after_s=max(RETRY_AFTER_MIN_S, retry_after_s),
            reason=reason,
        )

    def _expire(self, now_s: float) -> None:
        """Drop requests whose entry will not report any more."""
        for ticket, flight in list(self.in_flight.items()):
            end_s = flight.at_s + flight.ask.left_s + REPORT_SLACK_S
            if flight.lost:
                end_s = flight.at_s + LOST_HOLDS * self._hold_s
            if now_s > end_s:
                # A silent entry says nothing of the target.
                self.record_result(ticket, Result.UNUSED, 0.0, now_s)

    def _model(self, ask: SlotRequest) -> LatencyModel:
        found = self.models.get(ask.route)
        if found is None:
            found = LatencyModel.for_objective(ask.objective_s)
            self.models[ask.route] = found
        return found
