"""State of nodes on the users' machines, from their metrics."""

from __future__ import annotations

from asyncio import gather
from typing import TYPE_CHECKING, Any

from aiohttp import ClientError, ClientSession, ClientTimeout
from attrs import frozen
from prometheus_client.parser import text_string_to_metric_families

from carawaylane.commands.show import NODE_TIMEOUT_S
from carawaylane.gateway.status import METRICS_PATH
from carawaylane.telemetry.metrics import PREFIX

if TYPE_CHECKING:
    from collections.abc import Iterable

    from prometheus_client.samples import Sample

# Columns of a row, and the gauge that fills each.
GAUGES = {
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
class Silent:
    """A node that gave no metrics, and why."""

    address: str
    reason: str


Row = dict[str, Any]


async def ask_gateways(addresses: Iterable[str]) -> list[Row | Silent]:
    """Return a row for each node, in their order."""
    timeout = ClientTimeout(total=NODE_TIMEOUT_S)
    async with ClientSession(timeout=timeout) as session:
        return await gather(*(_ask(session, each) for each in addresses))


async def _ask(session: ClientSession, address: str) -> Row | Silent:
    try:
        async with session.get(f'http://{address}{METRICS_PATH}') as resp:
            if resp.status != 200:
                return Silent(address=address, reason=f'HTTP {resp.status}')
            return gateway_row(address, await resp.text())
    except (ClientError, OSError, ValueError) as exc:
        reason = f'{type(exc).__name__} {exc}'.strip()
        return Silent(address=address, reason=reason)


def gateway_row(address: str, page: str) -> Row:
    """Return what a page of metrics says of a node.

    Raises ValueError if it is none.
    """
    samples = [
        sample
        for family in text_string_to_metric_families(page)
        for sample in family.samples
        if sample.name.startswith(PREFIX)
    ]
    if not samples:
        raise ValueError('no metrics of a node')
    values = {each.name.removeprefix(PREFIX): each.value for each in samples}
    row: Row = {'node': address, 'ready': values.get('ready') == 1}
    for column, gauge in GAUGES.items():
        value = values.get(gauge, '')
        whole = isinstance(value, float) and value.is_integer()
        row[column] = int(value) if whole else value
    row['requests'] = _by_label(samples, 'requests_total', 'status')
    row['exchanges'] = _by_label(samples, 'exchanges_total', 'result')
    return row


def _by_label(
    samples: Iterable[Sample], name: str, label: str
) -> dict[str, int]:
    return {
        each.labels[label]: int(each.value)
        for each in samples
        if each.name == PREFIX + name and label in each.labels
    }
