"""Reads the state of gateway nodes from their metrics pages.

Gateway nodes (`carawaylane.gateway.daemon`) run on the users' hosts.
"""

from __future__ import annotations

from asyncio import gather
from typing import TYPE_CHECKING, Any, TypeVar

from aiohttp import ClientError, ClientSession, ClientTimeout
from attrs import frozen
from prometheus_client.parser import text_string_to_metric_families

from carawaylane.commands.show import NODE_TIMEOUT_S
from carawaylane.gateway.status import METRICS_PATH
from carawaylane.telemetry.metrics import PREFIX

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from prometheus_client.samples import Sample

# The gauge that fills each column of a row.
GAUGE_BY_COLUMN = {
    'version': 'plan_version',
    'plan_age_s': 'copy_age_seconds_plan',
    'members': 'members',
    'targets': 'targets',
    'doubted': 'targets_doubted',
    'queue': 'queue',
    'p99_ms': 'request_p99_ms',
    'log_dropped': 'log_dropped',
}


@frozen(kw_only=True)
class NoMetrics:
    """A node whose metrics could not be read, and why."""

    address: str
    reason: str


Row = dict[str, Any]
Parsed = TypeVar('Parsed')


async def fetch_gateways(addresses: Iterable[str]) -> list[Row | NoMetrics]:
    """Return a row for each node, in the order of the addresses."""
    return await _fetch(addresses, row_from_metrics)


async def fetch_rejected(
    addresses: Iterable[str],
) -> list[list[Row] | NoMetrics]:
    """Return a row for each entry that a node rejects, by node."""
    return await _fetch(addresses, rejected_from_metrics)


async def _fetch(
    addresses: Iterable[str], parse: Callable[[str, str], Parsed]
) -> list[Parsed | NoMetrics]:
    timeout = ClientTimeout(total=NODE_TIMEOUT_S)
    async with ClientSession(timeout=timeout) as session:
        return await gather(
            *(_fetch_page(session, address, parse) for address in addresses)
        )


async def _fetch_page(
    session: ClientSession,
    address: str,
    parse: Callable[[str, str], Parsed],
) -> Parsed | NoMetrics:
    try:
        async with session.get(f'http://{address}{METRICS_PATH}') as resp:
            if resp.status != 200:
                return NoMetrics(address=address, reason=f'HTTP {resp.status}')
            return parse(address, await resp.text())
    except (ClientError, OSError, ValueError) as exc:
        reason = f'{type(exc).__name__} {exc}'.strip()
        return NoMetrics(address=address, reason=reason)


def row_from_metrics(address: str, page: str) -> Row:
    """Make the row of a node from its metrics page.

    Raises ValueError if the page holds no metrics of a node.
    """
    samples = _samples(page)
    values = {
        sample.name.removeprefix(PREFIX): sample.value for sample in samples
    }
    row: Row = {'node': address, 'ready': values.get('ready') == 1}
    for column, gauge in GAUGE_BY_COLUMN.items():
        value = values.get(gauge, '')
        is_whole = isinstance(value, float) and value.is_integer()
        row[column] = int(value) if is_whole else value
    row['requests'] = _counts_by_label(samples, 'requests_total', 'status')
    row['exchanges'] = _counts_by_label(samples, 'exchanges_total', 'result')
    return row


def rejected_from_metrics(address: str, page: str) -> list[Row]:
    """Make a row for each entry that a node rejects, and why.

    Raises ValueError if the page holds no metrics of a node.
    """
    return [
        {'node': address, **sample.labels, 'revision': int(sample.value)}
        for sample in _samples(page)
        if sample.name == f'{PREFIX}entry_rejected'
    ]


def _samples(page: str) -> list[Sample]:
    samples = [
        sample
        for family in text_string_to_metric_families(page)
        for sample in family.samples
        if sample.name.startswith(PREFIX)
    ]
    if not samples:
        raise ValueError('the page holds no metrics of a node')
    return samples


def _counts_by_label(
    samples: Iterable[Sample], name: str, label: str
) -> dict[str, int]:
    return {
        sample.labels[label]: int(sample.value)
        for sample in samples
        if sample.name == PREFIX + name and label in sample.labels
    }
