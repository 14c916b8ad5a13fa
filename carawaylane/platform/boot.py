"""Parser of the boot file, in which the platform gives a node its settings."""

from __future__ import annotations

from json import loads
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, TypeVar

from attrs import evolve

from carawaylane.messages.outcomes import Problem
from carawaylane.settings.gateway import (
    Admission,
    Bounds,
    GatewaySettings,
    Placement,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

Choice = TypeVar('Choice', Admission, Placement)

# Environment variable that holds the path of the boot file.
BOOT_FILE_VARIABLE = 'CARAWAYLANE_BOOT'
# Settings of the fleet itself, from the deploy file.
ADMISSION_VARIABLE = 'CARAWAYLANE_ADMISSION'
PLACEMENT_VARIABLE = 'CARAWAYLANE_PLACEMENT'
PIPELINE_DEPTH_VARIABLE = 'CARAWAYLANE_PIPELINE_DEPTH'
DEFAULT_PIPELINE_DEPTH = 16
# Used if the limits of the machine do not name them.
DEFAULT_MEMORY_MB = 256
DEFAULT_LINK_MBPS = 100.0


def boot_file_path(env: Mapping[str, str]) -> str | None:
    """Return the path of the boot file, None if the variable is not set."""
    return env.get(BOOT_FILE_VARIABLE)


def parse_boot_file(
    text: str, env: Mapping[str, str] = MappingProxyType({})
) -> GatewaySettings | Problem:
    """Return the settings of a node, or what is wrong with them."""
    admission = _parse_choice(env, ADMISSION_VARIABLE, Admission)
    if isinstance(admission, Problem):
        return admission
    placement = _parse_choice(env, PLACEMENT_VARIABLE, Placement)
    if isinstance(placement, Problem):
        return placement
    pipeline_depth = _parse_count(
        env, PIPELINE_DEPTH_VARIABLE, DEFAULT_PIPELINE_DEPTH
    )
    if isinstance(pipeline_depth, Problem):
        return pipeline_depth
    try:
        return evolve(
            _parse_settings(loads(text)),
            admission=admission,
            placement=placement,
            pipeline_depth=pipeline_depth,
        )
    except KeyError as exc:
        return Problem(place=BOOT_FILE_VARIABLE, reason=f'{exc} is missing')
    except (
        ArithmeticError,
        AttributeError,
        IndexError,
        RecursionError,
        TypeError,
        ValueError,
    ) as exc:
        return Problem(place=BOOT_FILE_VARIABLE, reason=str(exc))


def _parse_choice(
    env: Mapping[str, str], variable: str, choices: type[Choice]
) -> Choice | Problem:
    """Return a setting, by default the first one that it may have."""
    text = env.get(variable, '')
    for choice in choices:
        if text in ('', choice.value):
            return choice
    allowed = ', '.join(choice.value for choice in choices)
    return Problem(place=variable, reason=f'{text!r} is none of {allowed}')


def _parse_count(
    env: Mapping[str, str], variable: str, default: int
) -> int | Problem:
    """Return a setting that is a whole number above 0."""
    text = env.get(variable, '')
    if not text:
        return default
    if not text.isdecimal() or int(text) == 0:
        return Problem(place=variable, reason=f'{text!r} is no count')
    return int(text)


def _parse_settings(fields: dict[str, Any]) -> GatewaySettings:
    listen = fields['listen']
    limits = fields['limits']
    return GatewaySettings(
        name=fields['node'],
        data_centre=fields['zone'],
        listen=listen['front'],
        ready_listen=listen['readiness_address'],
        peer_listen=listen['control'],
        metrics_port=int(fields['internal_port_range'][0]),
        seeds=tuple(fields.get('seeds') or ()),
        store_address=fields['platform']['address'],
        # `cpu_share` is a share of one core; `cores` is not a count, but the
        # speed of that core as a multiple of the reference core.
        cores=float(limits['cpu_share']) * float(limits.get('cores') or 1),
        max_fds=int(limits['max_fds']),
        bounds=_parse_bounds(fields.get('bounds') or {}),
        memory_bytes=int(limits.get('memory_mb') or DEFAULT_MEMORY_MB) << 20,
        link_mbps=float(limits.get('link_mbps') or DEFAULT_LINK_MBPS),
    )


def _parse_bounds(bounds: dict[str, Any]) -> Bounds:
    defaults = Bounds()
    return Bounds(
        config_propagation_s=bounds.get(
            'config_propagation_ms', defaults.config_propagation_s * 1000
        )
        / 1000,
        drain_s=bounds.get('drain_ms', defaults.drain_s * 1000) / 1000,
        grace_s=bounds.get('grace_s', defaults.grace_s),
        retry_ratio=bounds.get('retry_budget_ratio', defaults.retry_ratio),
        retry_window_s=bounds.get('budget_window_s', defaults.retry_window_s),
        retry_slack=bounds.get('budget_slack', defaults.retry_slack),
        floor_share=bounds.get('floor_share', defaults.floor_share),
        quota_window_s=bounds.get('quota_window_s', defaults.quota_window_s),
        quota_overshoot=bounds.get(
            'quota_overshoot', defaults.quota_overshoot
        ),
        quota_slack=bounds.get('quota_slack', defaults.quota_slack),
    )
