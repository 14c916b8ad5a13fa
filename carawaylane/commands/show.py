"""Fetches documents and the status of nodes, and makes rows to show."""

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
    """Return the documents of a kind, or only the one with a name."""
    loaded = await load_config(driver)
    if isinstance(loaded, Unavailable):
        return loaded
    state, _ = loaded
    return [
        {**to_json(doc), 'version': state.last_changed_seq.get(key, 0)}
        for key, doc in sorted(state.docs.items())
        if key[0] == kind and name in ('', key[1])
    ]


async def node_addresses(
    driver: PlatformDriver, addresses: list[str]
) -> list[str] | Unavailable:
    """Return the given administration addresses, or those of all members."""
    if addresses:
        return addresses
    fleet = await load_fleet(driver)
    if isinstance(fleet, Unavailable):
        return fleet
    return sorted(member.admin for member in fleet.members.values())


async def fetch_from_node(
    address: str, path: str, params: dict[str, str] | None = None
) -> dict[str, Any]:
    """Return a node's JSON answer, or its address and an `error`."""
    timeout = ClientTimeout(total=NODE_TIMEOUT_S)
    try:
        async with (
            ClientSession(timeout=timeout) as session,
            session.get(f'http://{address}{path}', params=params) as resp,
        ):
            return await resp.json()
    except (TimeoutError, ClientError, OSError) as exc:
        return {'error': type(exc).__name__, 'admin': address}


async def fetch_from_nodes(addresses: list[str], path: str) -> Rows:
    """Return the answers of many nodes in the order of their addresses."""
    replies = await gather(
        *(fetch_from_node(address, path) for address in addresses)
    )
    return [
        {**reply, 'admin': address}
        for address, reply in zip(addresses, replies, strict=True)
    ]


def node_rows(replies: Rows) -> Rows:
    """Return one row for each node that was asked."""
    return [
        {
            'host': reply.get('host', ''),
            'data_centre': reply.get('data_centre', ''),
            'admin': reply['admin'],
            'ready': reply.get('ready', False),
            'config': reply.get('config_seq', ''),
            'fleet': reply.get('fleet_seq', ''),
            'platform': reply.get('platform_reachable', ''),
            'shards': sum(shard['owned'] for shard in reply.get('shards', ())),
            'error': reply.get('error', ''),
        }
        for reply in replies
    ]


def target_rows(replies: Rows) -> Rows:
    """Return one row for each target and shard, as seen by its home."""
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
            'serving': sum(target['limit'] for target in shard['targets']),
        }
        for reply in replies
        for shard in reply.get('shards', ())
        if shard['owned']
    ]
    return sorted(rows, key=lambda row: (row['service'], row['shard']))


def describe_rollout(replies: Rows) -> str:
    """Return a sentence on how many nodes run the newest configuration."""
    seqs = [reply['config_seq'] for reply in replies if 'config_seq' in reply]
    if not seqs:
        return 'no node answered'
    newest = max(seqs)
    count = sum(seq == newest for seq in seqs)
    return f'version {newest} in force on {count} of {len(replies)} nodes'
