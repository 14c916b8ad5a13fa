"""Targets of a service, the requests in flight at them, and their choice.

A request gets the free target of lowest cost: mostly the one that is least
likely to lose it.
"""

from __future__ import annotations

from collections import defaultdict
from math import exp, log
from typing import TYPE_CHECKING

from carawaylane.decisions.placement.answer_sizes import AnswerSizes
from carawaylane.decisions.placement.choice_by_cost import CHOICES
from carawaylane.decisions.placement.crowding import Crowding
from carawaylane.decisions.placement.failure_estimate import (
    MIN_LATENCY_S,
    FailureEstimate,
    LatencyModel,
)
from carawaylane.decisions.placement.target_state import (
    MAX_TIME_FACTOR,
    FreeTargets,
    InFlightRequest,
    TargetState,
    speed_factor,
)
from carawaylane.decisions.placement.usage_floor import UNTRIED_S, UsageFloor
from carawaylane.decisions.placement.work_models import WorkModels
from carawaylane.decisions.targets.withheld_targets import WithheldTargets
from carawaylane.settings.gateway import Placement

if TYPE_CHECKING:
    from collections.abc import Container, Iterable, Iterator

    from carawaylane.decisions.targets.rate_limits import SharedRateLimits
    from carawaylane.messages.dispatch import (
        BackpressureNotice,
        SlotRequest,
        Ticket,
    )
    from carawaylane.messages.platform_objects import TargetSpec

# Without new evidence the risk of a target changes over seconds, so it is not
# evaluated anew for each of the hundreds of requests in a second.
RISK_TTL_S = 0.02
# A target below this failure probability counts as capacity.
USABLE_RISK = 0.5


class TargetPool:
    """The targets of one service and the requests in flight at them."""

    def __init__(
        self, *, floor_share: float, rate_limits: SharedRateLimits
    ) -> None:
        self.targets: dict[str, TargetState] = {}
        self.latency_models: dict[str, LatencyModel] = {}
        # The oldest request first, here and at each target.
        self.in_flight: dict[Ticket, InFlightRequest] = {}
        self.floor = UsageFloor(share=floor_share)
        self.rate_limits = rate_limits
        self._in_flight_by_entry: dict[str, dict[Ticket, InFlightRequest]] = (
            defaultdict(dict)
        )
        self.withheld = WithheldTargets()
        self.answer_sizes = AnswerSizes()
        self.work_models = WorkModels(routes=self.latency_models)
        self.crowding = Crowding()
        # Set by the home: RISK unless the configuration calls for COST.
        self.placement = Placement.RISK
        self._choices = {
            placement: choice_class(pool=self)
            for placement, choice_class in CHOICES.items()
        }
        # Targets that changed since an index of them was last used.
        self.changed: set[str] = set()
        # Cached for one point in time; None after a change.
        self._free: FreeTargets | None = None

    def update(self, specs: Iterable[TargetSpec], now_s: float) -> None:
        """Update the list of targets; those that remain keep their state."""
        self._free = None
        for placement_choice in self._choices.values():
            placement_choice.forget_targets()
        spec_by_name = {spec.name: spec for spec in specs}
        for name in set(self.targets) - set(spec_by_name):
            del self.targets[name]
        self.rate_limits.forget_old(spec_by_name, now_s)
        self.withheld.forget_old(spec_by_name, now_s)
        for name, spec in spec_by_name.items():
            target = self.targets.get(name)
            if target is None or target.spec.started_ms != spec.started_ms:
                # Late results of an earlier start count for nothing.
                for ticket in list(target.in_flight) if target else ():
                    self.end_in_flight(ticket)
                self.targets[name] = TargetState(
                    spec=spec,
                    estimate=FailureEstimate(at_s=now_s),
                    updated_at_s=now_s,
                    leaving=self.withheld.is_leaving(spec),
                )
                continue
            if target.spec != spec:
                # A replaced target is open again once it has a new address.
                target.replaced = target.replaced and (
                    target.spec.address == spec.address
                )
                target.updated_at_s = now_s
                target.spec = spec

    def add_in_flight(
        self,
        target: TargetState,
        request: SlotRequest,
        now_s: float,
        hedge_after_s: float,
    ) -> None:
        """Add a request that is sent to a target now."""
        time_factor = 1.0
        if self.placement is Placement.COST:
            time_factor = self.crowding.factor(
                target.occupancy()
            ) * speed_factor(target, now_s)
            time_factor = max(1.0, min(MAX_TIME_FACTOR, time_factor))
        granted = InFlightRequest(
            request=request,
            target=target.spec.name,
            granted_at_s=now_s,
            confirmed_at_s=now_s,
            hedge_after_s=hedge_after_s,
            model=self.latency_model(request),
            occupancy=target.occupancy(),
            time_factor=time_factor,
            warmup_factor=target.warmup_factor(now_s),
            observation=target.estimate.record_sent(now_s),
        )
        self.rate_limits.record_sent(target.spec.name, now_s)
        self.insert(target, granted)

    def insert(self, target: TargetState, granted: InFlightRequest) -> None:
        """Count a request in flight at a target."""
        self._free = None
        self.changed.add(target.spec.name)
        ticket, entry = granted.request.ticket, granted.request.entry
        target.in_flight[ticket] = self.in_flight[ticket] = granted
        self._in_flight_by_entry[entry][ticket] = granted

    def apply_notice(
        self, notice: BackpressureNotice, entry: str, now_s: float
    ) -> None:
        """Take over what a target asked of an entry."""
        self._free = None
        self.changed.add(notice.target)
        self.rate_limits.apply(notice, now_s)
        target = self.targets.get(notice.target)
        self.withheld.apply(
            notice, entry, target.spec if target else None, now_s
        )
        if target is not None:
            target.leaving = self.withheld.is_leaving(target.spec)

    def has_open_target(
        self, avoided_targets: Container[str] = frozenset()
    ) -> bool:
        """Return whether a target other than some takes new requests."""
        return any(
            name not in avoided_targets and target.is_open()
            for name, target in self.targets.items()
        )

    def pause_left_s(self, request: SlotRequest, now_s: float) -> float:
        """Return how long all targets want nothing from an entry.

        It is 0 if the entry may send to one that it has not tried.
        """
        if not self.withheld.is_pausing(request.entry, now_s):
            return 0.0
        return self.withheld.shortest_pause_s(
            request.entry,
            (
                target.spec
                for target in self.targets.values()
                if target.is_open()
                and target.spec.name not in request.avoided_targets
            ),
            now_s,
        )

    def confirm(self, ticket: Ticket, now_s: float) -> None:
        """Record that an entry still waits for the answer of a target."""
        if (granted := self.in_flight.get(ticket)) is not None:
            granted.confirmed_at_s = now_s
            self._free = None
            self.changed.add(granted.target)
            if (target := self.targets.get(granted.target)) is not None:
                # The risk depends on the age up to which there is no answer.
                target.cached_risk_at_s = float('-inf')

    def end_in_flight(self, ticket: Ticket) -> InFlightRequest | None:
        """Remove a request in flight and return it."""
        granted = self.in_flight.pop(ticket, None)
        if granted is None:
            return None
        self._free = None
        self.changed.add(granted.target)
        entry = granted.request.entry
        del self._in_flight_by_entry[entry][ticket]
        if not self._in_flight_by_entry[entry]:
            del self._in_flight_by_entry[entry]
        target = self.targets.get(granted.target)
        if target is not None:
            target.in_flight.pop(ticket, None)
        return granted

    def drop_entry(self, entry: str) -> None:
        """Record that an entry is lost; its requests may still be running."""
        for granted in self._in_flight_by_entry.get(entry, {}).values():
            granted.entry_lost = True

    def failure_risk(self, target: TargetState, now_s: float) -> float:
        """Return the probability that a target is failing.

        It is evaluated again after new evidence, and after RISK_TTL_S.
        """
        if now_s - target.cached_risk_at_s < RISK_TTL_S:
            return target.cached_risk
        for granted in target.in_flight.values():
            granted.observation.ratio = granted.model.likelihood_ratio(
                granted.unanswered_s(now_s) / granted.time_factor
            )
        target.cached_risk = target.estimate.probability_at(now_s)
        target.cached_risk_at_s = now_s
        return target.cached_risk

    def suspect_count(self, now_s: float) -> int:
        """Return how many targets are more likely failing than not."""
        return sum(
            self.failure_risk(target, now_s) >= USABLE_RISK
            for target in self.targets.values()
        )

    def count_usable_slots(
        self, now_s: float, mean_exchange_s: float
    ) -> float:
        """Return how many slots can serve the queue, 1 if there is none.

        A target with a rate limit counts as many slots as the limit keeps
        busy.
        """
        slots = 0.0
        for target in self.targets.values():
            if not target.is_open():
                continue
            stuck = len(list(self._stuck(target.in_flight, now_s)))
            if self.failure_risk(target, now_s) < USABLE_RISK:
                slots += min(
                    max(0, target.spec.slots - stuck),
                    self.rate_limits.rate_of(target.spec.name, now_s)
                    * mean_exchange_s,
                )
        return slots or 1.0

    def is_stuck(self, granted: InFlightRequest, now_s: float) -> bool:
        """Return whether a request is unanswered for an unusual time."""
        limit_s = granted.model.stuck_after_s * granted.time_factor
        # The first comparison is cheap, and false for most requests.
        return (
            now_s - granted.granted_at_s > limit_s
            and granted.unanswered_s(now_s) > limit_s
        )

    def latency_model(self, request: SlotRequest) -> LatencyModel:
        """Return the model of a request's route or, by cost, of its class."""
        if self.placement is Placement.COST:
            return self.work_models.predict(request)
        model = self.latency_models.get(request.route)
        if model is None:
            model = LatencyModel.for_objective(request.objective_s)
            self.latency_models[request.route] = model
        return model

    def learn_work(
        self, target: TargetState, granted: InFlightRequest, duration_s: float
    ) -> None:
        """Update the models with the duration of an answered request."""
        estimate = target.estimate
        if self.placement is not Placement.COST:
            estimate.record_latency(duration_s, granted.model)
            # Slow targets do not change the latency model of the route.
            if estimate.slowness < 1:
                granted.model.record_latency(duration_s)
            return
        # Otherwise a target would count as slow for long after its start.
        duration_s /= granted.warmup_factor
        crowd_factor = self.crowding.factor(granted.occupancy)
        estimate.record_latency(duration_s / crowd_factor, granted.model)
        if estimate.slowness - estimate.lasting_slowness < 1:
            work_s = max(MIN_LATENCY_S, duration_s) * exp(
                -estimate.lasting_slowness
            )
            self.crowding.record(
                granted.occupancy, log(work_s) - granted.model.log_mean
            )
            self.work_models.learn(granted.request).record_latency(
                work_s / crowd_factor
            )

    def choose(
        self, request: SlotRequest, now_s: float
    ) -> tuple[TargetState, float] | None:
        """Return the free target of lowest cost and its failure risk."""
        return self._choices[self.placement].choose(request, now_s)

    def lowest_free_risk(self, now_s: float) -> float:
        """Return the lowest failure risk of a free target, inf if none is."""
        known = self._choices[self.placement].lowest_free_risk(now_s)
        if known is not None:
            return known
        free = self.free_targets(now_s)
        if free.lowest_risk is None:
            free.lowest_risk = min(
                (self.failure_risk(target, now_s) for target in free.all),
                default=float('inf'),
            )
        return free.lowest_risk

    def free_targets(self, now_s: float) -> FreeTargets:
        """Return the targets with a free slot, the same until one changes."""
        free = self._free
        if free is None or free.at_s != now_s:
            all_free = [
                target
                for target in self.targets.values()
                if target.is_open()
                and target.has_free_slot()
                and self.rate_limits.allows(target.spec.name, now_s)
            ]
            due = self.names_due_for_floor(now_s)
            free = FreeTargets(
                at_s=now_s,
                all=all_free,
                due=[target for target in all_free if target.spec.name in due],
            )
            self._free = free
        return free

    def names_due_for_floor(self, now_s: float) -> set[str]:
        """Return the targets that are due while the usage floor is not met."""
        stuck = len(list(self._stuck(self.in_flight, now_s)))
        risk_limit = self.floor.risk_limit(now_s, len(self.targets), stuck)
        if not risk_limit:
            return set()
        healthy = [
            target
            for target in self.targets.values()
            if target.is_open()
            and self.failure_risk(target, now_s) < risk_limit
            and self.rate_limits.allows(target.spec.name, now_s)
        ]
        untried = {
            target.spec.name
            for target in healthy
            if now_s - target.estimate.last_sent_s >= UNTRIED_S
        }
        if self.floor.is_met(len(healthy), len(untried)):
            return set()
        return untried

    def targets_where_stuck(self, entry: str, now_s: float) -> set[str]:
        """Return the targets where a request of an entry is stuck.

        The entry may not reach them.
        """
        in_flight = self._in_flight_by_entry.get(entry, {})
        return {granted.target for granted in self._stuck(in_flight, now_s)}

    def _shortest_stuck_s(self) -> float:
        """Return the age below which no request is stuck."""
        if self.placement is Placement.COST:
            return self.work_models.shortest_stuck_s()
        return min(
            (model.stuck_after_s for model in self.latency_models.values()),
            default=0.0,
        )

    def _stuck(
        self, in_flight: dict[Ticket, InFlightRequest], now_s: float
    ) -> Iterator[InFlightRequest]:
        """Yield the requests that are stuck; the oldest must come first."""
        limit_s = self._shortest_stuck_s()
        for granted in in_flight.values():
            if now_s - granted.granted_at_s <= limit_s:
                break
            if self.is_stuck(granted, now_s):
                yield granted
