"""Measures the slopes and writes docs/CAPACITY.md and its plots."""

from __future__ import annotations

import asyncio
from pathlib import Path
from string import Template

import matplotlib as mpl

mpl.use('Agg')

from matplotlib.pyplot import close, subplots  # noqa: E402

from bench.gossip_sim import GossipRun, simulate_gossip  # noqa: E402
from bench.node_cost import NodeCost, measure_node_cost  # noqa: E402
from bench.slopes import (  # noqa: E402
    Slope,
    change_ms,
    config,
    fleet,
    journal_bytes,
    kinds,
    ledger_bytes,
    lookup_us,
    measure,
    membership_us,
    memory_of,
    ping_bytes,
    push_bytes,
    review_us,
    services,
    targets,
)
from carawaylane.decisions.compiled_config import CompiledConfig  # noqa: E402
from carawaylane.decisions.traffic_kinds import TrafficKindTable  # noqa: E402

ROOT = Path(__file__).parent.parent
PAGE = ROOT / 'docs' / 'CAPACITY.md'
PLOTS = ROOT / 'docs' / 'plots'
TEMPLATE = Path(__file__).parent / 'capacity_page.md'

# The size to come, from the users' letter.
NODES = 1400
TARGETS = 23_000
SERVICES = 660
ROUTES = 11_000
REQUESTS_PER_S = 89_000
CHANGES_PER_DAY = 7_300
RESTARTS_PER_DAY = 8_000
HOST_FAILURES_PER_DAY = 56
DATA_CENTRES = 12
WATCHERS = 2
DAY_S = 86_400
# Bounds from the letter and the brief.
CONTROL_CORE = 0.011
CONTROL_MB = 256
CONTROL_BYTES_PER_S = 4000
IN_FORCE_S = 3.0
PLATFORM_READS_PER_S = 2000
PLATFORM_WRITES_PER_S = 300
# Shape of the load that the letter leaves open.
UNSAFE_SHARE = 0.25
RESEND_WINDOW_S = 600
SHARDS = SERVICES * 3
SEEDS = 20
MB = 1 << 20


def slopes() -> dict[str, Slope]:
    """Measure every slope."""
    rows = [
        measure('route look-up', 'µs', (1100, 3300, 11_000), lookup_us),
        measure('following a change', 'ms', (2300, 7700, 23_000), change_ms),
        measure('one ping period', 'µs', (140, 470, 1400), membership_us),
        measure('review of shards', 'µs', (198, 660, 1980), review_us),
        measure('ledger', 'bytes', (1000, 4000, 16_000), ledger_bytes),
        measure('journal', 'bytes', (1000, 4000, 16_000), journal_bytes),
        measure('ping', 'bytes', (0, 3, 6), ping_bytes),
        measure('push', 'bytes', (1, 3, 10), push_bytes),
        measure(
            'routes',
            'bytes',
            (1100, 3300, 11_000),
            lambda n: memory_of(lambda: TrafficKindTable.build(kinds(n)))[1],
        ),
        measure(
            'targets',
            'bytes',
            (2300, 7700, 23_000),
            lambda n: memory_of(lambda: _catalogue(n))[1],
        ),
        measure(
            'members and owners',
            'bytes',
            (140, 470, 1400),
            lambda n: memory_of(lambda: fleet(n))[1],
        ),
    ]
    return {row.name: row for row in rows}


def _catalogue(count: int) -> tuple[object, CompiledConfig]:
    state = config([*services(SERVICES), *targets(count)])
    catalogue = CompiledConfig()
    catalogue.rebuild(state)
    return state, catalogue


def spreads(nodes: int) -> list[GossipRun]:
    """Spread a change from several seeds."""
    return [
        simulate_gossip(
            nodes=nodes,
            data_centres=DATA_CENTRES,
            watchers=WATCHERS,
            push_loss=0.02,
            seed=seed,
        )
        for seed in range(1, SEEDS + 1)
    ]


def table(found: dict[str, Slope]) -> str:
    """Return the slopes as a table."""
    lines = ['| Cost | Unit | Sizes | Measured | Per piece |']
    lines.append('| --- | --- | --- | --- | --- |')
    for row in found.values():
        sizes = ', '.join(f'{size:,}' for size in row.sizes)
        costs = ', '.join(f'{cost:,.4g}' for cost in row.costs)
        lines.append(
            f'| {row.name} | {row.unit} | {sizes} | {costs} | '
            f'{row.per_piece:.4g} |'
        )
    return '\n'.join(lines)


def figures(
    found: dict[str, Slope], cost: NodeCost, spread_rows: list[GossipRun]
) -> dict[str, str]:
    """Work out the figures of the page from what was measured."""
    fleet_changes = (
        2 * RESTARTS_PER_DAY
        + 2 * RESTARTS_PER_DAY * SHARDS / NODES
        + HOST_FAILURES_PER_DAY * 2
    )
    changes_per_s = (CHANGES_PER_DAY + fleet_changes) / DAY_S
    per_node = sum(x.messages_per_node for x in spread_rows) / SEEDS
    push = found['push'].costs[0]
    ping = found['ping'].costs[1]
    joins_per_s = RESTARTS_PER_DAY / DAY_S
    standby_pings = joins_per_s * SHARDS / NODES
    bytes_per_s = 2 * ping * (1 + standby_pings)
    bytes_per_s += 2 * per_node * push * changes_per_s
    keys = REQUESTS_PER_S * UNSAFE_SHARE / NODES * RESEND_WINDOW_S
    ledger_mb = keys * found['ledger'].per_piece / MB
    journal_mb = keys * found['journal'].per_piece / MB
    config_mb = (found['routes'].costs[-1] + found['targets'].costs[-1]) / MB
    fleet_mb = found['members and owners'].costs[-1] / MB
    base_mb = cost.idle_rss_bytes / MB
    control_mb = base_mb + config_mb + fleet_mb
    follow = found['following a change'].costs[-1] / 1000
    review = found['review of shards'].costs[-1] / 1e6
    period = found['one ping period'].costs[-1] / 1e6
    grown = (
        period
        + review * (changes_per_s + 0.5)
        + follow * CHANGES_PER_DAY / DAY_S
    )
    core = cost.idle_cores + grown
    data_mb = control_mb + ledger_mb + journal_mb
    watch_calls = 2 * WATCHERS * DATA_CENTRES / 30 + changes_per_s * (
        WATCHERS * DATA_CENTRES
    )
    writes = changes_per_s
    slowest = max(x.seconds for x in spread_rows)
    per_request = cost.cpu_ms_per_request
    rate = REQUESTS_PER_S / NODES
    values = {
        'changes_per_s': changes_per_s,
        'messages_per_node': per_node,
        'by_push': min(x.push_coverage for x in spread_rows) * 100,
        'spread_s': slowest,
        'bytes_per_s': bytes_per_s,
        'bytes_factor': bytes_per_s / CONTROL_BYTES_PER_S,
        'keys': keys,
        'ledger_mb': ledger_mb,
        'journal_mb': journal_mb,
        'config_mb': config_mb,
        'fleet_mb': fleet_mb,
        'base_mb': base_mb,
        'control_mb': control_mb,
        'control_mb_factor': control_mb / CONTROL_MB,
        'data_mb': data_mb,
        'data_mb_factor': data_mb / CONTROL_MB,
        'idle_core': cost.idle_cores * 100,
        'grown_core': grown * 100,
        'core': core * 100,
        'core_factor': core / CONTROL_CORE,
        'reads': watch_calls,
        'writes': writes,
        'waiting': 2 * WATCHERS * DATA_CENTRES,
        'request_ms': per_request,
        'rate': rate,
        'request_core': per_request * rate / 10,
        'top_rate': 1000 / per_request,
        'core_at': 0.0,
        'lookup_us': found['route look-up'].costs[-1],
        'follow_ms': found['following a change'].costs[-1],
        'period_us': found['one ping period'].costs[-1],
        'fence_messages': 2 * (NODES - 1),
        'fence_per_s': 2
        * (NODES - 1)
        * HOST_FAILURES_PER_DAY
        * SHARDS
        / NODES
        / DAY_S
        / NODES,
        'start_mb': config_mb / 4,
    }
    texts = {name: f'{value:,.3g}' for name, value in values.items()}
    texts['core_at'] = ', '.join(
        f'{share * 100:.1f} % at {rate}/s'
        for rate, share in cost.cores_by_rate.items()
    )
    texts['slopes'] = table(found)
    return texts


def plot(found: dict[str, Slope]) -> None:
    """Write the growth of every cost as one picture."""
    PLOTS.mkdir(exist_ok=True)
    rows = list(found.values())
    fig, axes = subplots(3, 4, figsize=(14, 9))
    for axis, row in zip(axes.flat, rows, strict=False):
        axis.plot(row.sizes, row.costs, marker='o')
        axis.set_title(row.name)
        axis.set_ylabel(row.unit)
        axis.set_ylim(bottom=0)
    for axis in axes.flat[len(rows) :]:
        axis.set_visible(False)
    fig.tight_layout()
    fig.savefig(PLOTS / 'capacity.png', dpi=70)
    close(fig)


def main() -> None:
    """Measure and write."""
    found = slopes()
    cost = asyncio.run(measure_node_cost())
    texts = figures(found, cost, spreads(NODES))
    plot(found)
    page = Template(TEMPLATE.read_text(encoding='utf-8'))
    PAGE.write_text(page.substitute(texts), encoding='utf-8')
    print(texts['slopes'])
    for name in (
        'core_factor',
        'control_mb_factor',
        'data_mb_factor',
        'bytes_factor',
        'spread_s',
        'request_ms',
        'core_at',
        'idle_core',
    ):
        print(name, texts[name])


if __name__ == '__main__':
    main()
