"""The settings file of the platform."""

from __future__ import annotations

from json import loads
from typing import TYPE_CHECKING, Any

from carawaylane.messages.outcomes import Problem
from carawaylane.settings.gateway import Bounds, GatewaySettings

if TYPE_CHECKING:
    from collections.abc import Mapping

BOOT_FILE_VARIABLE = 'CARAWAYLANE_BOOT'


def boot_file_path(env: Mapping[str, str]) -> str | None:
    """Return where the settings file is, None off the platform."""
    return env.get(BOOT_FILE_VARIABLE)


def parse_boot_file(text: str) -> GatewaySettings | Problem:
    """Return the settings of a node, or what is wrong with the file."""
    try:
        return _settings(loads(text))
    except KeyError as exc:
        return Problem(place=BOOT_FILE_VARIABLE, reason=f'{exc} is missing')
    except (TypeError, ValueError, AttributeError) as exc:
        return Problem(place=BOOT_FILE_VARIABLE, reason=str(exc))


def _settings(row: dict[str, Any]) -> GatewaySettings:
    listen = row['listen']
    own = row['limits']
    return GatewaySettings(
        name=row['node'],
        data_centre=row['zone'],
        listen=listen['front'],
        ready_listen=listen['readiness_address'],
        peer_listen=listen['control'],
        metrics_port=int(row['internal_port_range'][0]),
        seeds=tuple(row.get('seeds') or ()),
        store_address=row['platform']['address'],
        # The share is of a core that is `cores` times as fast.
        cores=float(own['cpu_share']) * float(own.get('cores') or 1),
        max_fds=int(own['max_fds']),
        bounds=_bounds(row.get('bounds') or {}),
    )


def _bounds(row: dict[str, Any]) -> Bounds:
    base = Bounds()
    return Bounds(
        config_propagation_s=row.get(
            'config_propagation_ms', base.config_propagation_s * 1000
        )
        / 1000,
        drain_s=row.get('drain_ms', base.drain_s * 1000) / 1000,
        grace_s=row.get('grace_s', base.grace_s),
        retry_ratio=row.get('retry_budget_ratio', base.retry_ratio),
        retry_window_s=row.get('budget_window_s', base.retry_window_s),
        retry_slack=row.get('budget_slack', base.retry_slack),
        floor_share=row.get('floor_share', base.floor_share),
    )
