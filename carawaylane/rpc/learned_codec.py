"""Conversion of what entries learned to and from protobuf."""

from __future__ import annotations

from carawaylane.messages.learned import (
    LearnedDigest,
    LearnedRoute,
    LearnedTarget,
)
from carawaylane.rpc.fleet_pb2 import Learned

# Far beyond all logarithms that are learned, so that no number overflows. NaN
# is in no range.
MAX_LOG = 20.0


def pack_learned(digest: LearnedDigest) -> Learned:
    """Return the protobuf message of a digest."""
    return Learned(
        routes=[
            Learned.Route(
                route=route.route,
                log_mean=route.log_mean,
                log_sd=route.log_sd,
                answers=route.answers,
            )
            for route in digest.routes
        ],
        targets=[
            Learned.Target(
                target=target.target,
                slowness=target.slowness,
                answers=target.answers,
            )
            for target in digest.targets
        ],
    )


def unpack_learned(msg: Learned) -> LearnedDigest:
    """Return the digest in a protobuf message, without what is not sound."""
    return LearnedDigest(
        routes=tuple(
            LearnedRoute(
                route=route.route,
                log_mean=route.log_mean,
                log_sd=route.log_sd,
                answers=route.answers,
            )
            for route in msg.routes
            if abs(route.log_mean) <= MAX_LOG and 0 <= route.log_sd <= MAX_LOG
        ),
        targets=tuple(
            LearnedTarget(
                target=target.target,
                slowness=target.slowness,
                answers=target.answers,
            )
            for target in msg.targets
            if abs(target.slowness) <= MAX_LOG
        ),
    )
