"""What operators look at: documents, status and explanations."""

from __future__ import annotations

from asyncio import gather
from typing import TYPE_CHECKING, Any

from aiohttp import ClientError, ClientSession, ClientTimeout

from carawaylane.commands.store import load_config, load_fleet
from carawaylane.config.documents import to_json
from carawaylane.storage.driver import Unavailable

if TYPE_CHECKING:
    from carawaylane.storage.driver import PlatformDriver

NODE_TIMEOUT_S = 2.0
Rows = list[dict[str, Any]]


async def get_documents(
    driver: PlatformDriver, kind: str, name: str
) -> Rows | Unavailable:
    """Return the documents of a kind, or the one of a name."""
    found = await load_config(driver)
    if isinstance(found, Unavailable):
        return found
    state, _ = found
    return [
        {**to_json(doc), 'version': state.last_changed_seq.get(key, 0)}
        for key, doc in sorted(state.docs.items())
        if key[0] == kind and name in ('', key[1])
    ]


async def node_addresses(
    driver: PlatformDriver, given: list[str]
) -> list[str] | Unavailable:
    """Return the administration addresses of all nodes."""
    if given:
        return given
    fleet = await load_fleet(driver)
    if isinstance(fleet, Unavailable):
        return fleet
    return sorted(each.admin for each in fleet.members.values())


async def ask_node(
    address: str, path: str, params: dict[str, str] | None = None
) -> dict[str, Any]:
    """Return a node's reply; `error` is set if there is none."""
    timeout = ClientTimeout(total=NODE_TIMEOUT_S)
    try:
        async with (
            ClientSession(timeout=timeout) as session,
            session.get(f'http://{address}{path}', params=params) as resp,
        ):
            return await resp.json()
    except (TimeoutError, ClientError, OSError) as exc:
        return {'error': type(exc).__name__, 'admin': address}


async def ask_nodes(addresses: list[str], path: str) -> Rows:
    """Return the replies of many nodes, in their order."""
    replies = await gather(*(ask_node(each, path) for each in addresses))
    return [
        {**reply, 'admin': address}
        for address, reply in zip(addresses, replies, strict=True)
    ]


def node_rows(replies: Rows) -> Rows:
    """Return one row for each node."""
    return [
        {
            'host': row.get('host', ''),
            'data_centre': row.get('data_centre', ''),
            'admin': row['admin'],
            'ready': row.get('ready', False),
            'config': row.get('config_seq', ''),
            'fleet': row.get('fleet_seq', ''),
            'platform': row.get('platform_reachable', ''),
            'shards': sum(x['owned'] for x in row.get('shards', ())),
            'error': row.get('error', ''),
        }
        for row in replies
    ]


def target_rows(replies: Rows) -> Rows:
    """Return one row for each target, as its home sees it."""
    rows = [
        target
        for reply in replies
        for shard in reply.get('shards', ())
        if shard['owned']
        for target in shard['targets']
    ]
    return sorted(rows, key=lambda row: (row['service'], row['target']))


def service_rows(replies: Rows) -> Rows:
    """Return one row for each shard of each service."""
    rows = [
        {
            'service': shard['shard'][0],
            'shard': shard['shard'][1],
            'home': reply['host'],
            'epoch': shard['epoch'],
            'proven': shard['proven'],
            'keys': shard['keys'],
            'free': shard['free_slots'],
            'waiting': shard['waiting'],
            'floor': shard['floor_slots'],
            'serving': sum(x['limit'] for x in shard['targets']),
        }
        for reply in replies
        for shard in reply.get('shards', ())
        if shard['owned']
    ]
    return sorted(rows, key=lambda row: (row['service'], row['shard']))


def in_force(replies: Rows) -> str:
    """Return on how many nodes the newest configuration is in force."""
    seqs = [row['config_seq'] for row in replies if 'config_seq' in row]
    if not seqs:
        return 'no node answered'
    newest = max(seqs)
    count = sum(seq == newest for seq in seqs)
    return f'version {newest} in force on {count} of {len(replies)} nodes'
