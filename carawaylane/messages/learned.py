"""What an entry tells a home that it asks for the first time."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True, repr=False)
class LearnedRoute:
    """Log-normal model of a route's latency, from some answers."""

    route: str
    log_mean: float
    log_sd: float
    answers: int


@frozen(kw_only=True, repr=False)
class LearnedTarget:
    """Logarithm of how much slower a target is than the mean."""

    target: str
    slowness: float
    answers: int


@frozen(kw_only=True, repr=False)
class LearnedDigest:
    """What an entry observed of the routes and targets of a service."""

    routes: tuple[LearnedRoute, ...] = ()
    targets: tuple[LearnedTarget, ...] = ()
