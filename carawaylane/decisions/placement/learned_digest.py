"""What a successor of a home should know of the targets and of the work.

It is built for services of up to some hundred targets, each of which answers
an entry some times a minute. A digest holds the routes and targets with the
most answers, so that it stays below a bound in bytes.
"""

from __future__ import annotations

from heapq import nlargest
from math import log
from typing import TYPE_CHECKING, TypeVar

from attrs import Factory, define

from carawaylane.decisions.placement.failure_estimate import (
    MIN_LATENCY_S,
    LatencyModel,
)
from carawaylane.messages.learned import (
    LearnedDigest,
    LearnedRoute,
    LearnedTarget,
)

if TYPE_CHECKING:
    from carawaylane.decisions.placement.target_pool import TargetPool
    from carawaylane.messages.dispatch import SlotRequest

# With names of 30 bytes and the framing of protobuf, a digest has at most
# 3 KB.
MAX_ROUTES, MAX_TARGETS = 12, 48
# Answers of a route before it is in a digest.
MIN_ROUTE_ANSWERS = 5
# A digest counts as at most this number of answers, so that an entry which
# lives long does not outweigh the others.
MAX_ANSWERS = 20
# Weight of the mean speed, in answers: few answers of a target say little.
PRIOR_ANSWERS = 5
# Limit of the slowness that a digest tells.
MAX_SLOWNESS = 1.5
# Weight of an answer in the slowness that an entry observes.
MIN_GAIN = 0.06
# Routes and targets of which an entry keeps what it observes.
MAX_KEPT = 512

T = TypeVar('T')


@define(kw_only=True, eq=False, repr=False)
class _Slowness:
    value: float = 0.0
    answers: int = 0


@define(kw_only=True, eq=False, repr=False)
class ObservedService:
    """What an entry observes of one service, whoever is its home."""

    _routes: dict[str, LatencyModel] = Factory(dict)
    _targets: dict[str, _Slowness] = Factory(dict)

    def record(
        self, route: str, target: str, duration_s: float, objective_s: float
    ) -> None:
        """Record the duration of an answer."""
        model = _kept(
            self._routes, route, LatencyModel.for_objective(objective_s)
        )
        slowness = _kept(self._targets, target, _Slowness())
        deviation = log(max(MIN_LATENCY_S, duration_s)) - model.log_mean
        model.record_latency(duration_s)
        slowness.answers += 1
        gain = max(MIN_GAIN, 1 / slowness.answers)
        slowness.value += gain * (_bounded(deviation) - slowness.value)

    def digest(self) -> LearnedDigest:
        """Return what a home without any state should know."""
        return LearnedDigest(
            routes=tuple(
                LearnedRoute(
                    route=name,
                    log_mean=model.log_mean,
                    log_sd=model.log_sd,
                    answers=min(MAX_ANSWERS, model.answer_count),
                )
                for name, model in nlargest(
                    MAX_ROUTES,
                    self._routes.items(),
                    key=lambda item: item[1].answer_count,
                )
                if model.answer_count >= MIN_ROUTE_ANSWERS
            ),
            targets=tuple(
                LearnedTarget(
                    target=name,
                    slowness=slowness.value,
                    answers=min(MAX_ANSWERS, slowness.answers),
                )
                for name, slowness in nlargest(
                    MAX_TARGETS,
                    self._targets.items(),
                    key=lambda item: item[1].answers,
                )
            ),
        )


@define(kw_only=True, eq=False, repr=False)
class Observations:
    """What an entry observes of all services, and which homes know it."""

    _services: dict[str, ObservedService] = Factory(dict)
    # By service: the homes that got a digest.
    _told: dict[str, set[str]] = Factory(dict)

    def record(
        self,
        service: str,
        request: SlotRequest,
        target: str,
        duration_s: float,
    ) -> None:
        """Record the duration of an answer."""
        _kept(self._services, service, ObservedService()).record(
            request.route, target, duration_s, request.objective_s
        )

    def digest_for(self, service: str, member: str) -> LearnedDigest | None:
        """Return a digest if a home is asked for the first time."""
        told = self._told.setdefault(service, set())
        if member in told:
            return None
        told.add(member)
        observed = self._services.get(service)
        return observed.digest() if observed is not None else None

    def forget_home(self, member: str) -> None:
        """Record that a home may have restarted without state."""
        for told in self._told.values():
            told.discard(member)


def apply_digest(
    pool: TargetPool, digest: LearnedDigest, objective_s: float
) -> None:
    """Add the answers of which an entry tells to those the home knows.

    Own answers outweigh them as soon as there are as many.
    """
    for learned in digest.routes:
        model = pool.latency_models.get(learned.route)
        if model is None:
            model = LatencyModel.for_objective(objective_s)
            pool.latency_models[learned.route] = model
        model.add_learned(
            learned.log_mean, learned.log_sd, min(MAX_ANSWERS, learned.answers)
        )
    for entry in digest.targets:
        target = pool.targets.get(entry.target)
        if target is not None:
            target.estimate.add_learned_slowness(
                _bounded(entry.slowness),
                min(MAX_ANSWERS, entry.answers),
                PRIOR_ANSWERS,
            )


def _bounded(slowness: float) -> float:
    return max(-MAX_SLOWNESS, min(MAX_SLOWNESS, slowness))


def _kept(kept: dict[str, T], name: str, new: T) -> T:
    """Return an item, added in place of the oldest if there are too many."""
    if name not in kept:
        if len(kept) >= MAX_KEPT:
            del kept[next(iter(kept))]
        kept[name] = new
    return kept[name]
