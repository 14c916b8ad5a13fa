"""Compares the cost of decoding sound entries with that of another version.

    git archive fa660c0 | tar -x -C /tmp/before
    python -m bench.decoding_cost /tmp/before

Both versions run in processes of their own, which take turns. The figure is
the processor time of the best round of each: a list of entries is read from
its pages, and each entry is decoded.
"""

from __future__ import annotations

import sys
from asyncio import run
from json import dumps, loads
from pathlib import Path
from subprocess import PIPE, Popen
from time import process_time
from typing import Any

ENTRIES = 23_000
PAGE_ENTRIES = 500
ROUNDS = 15


def make_pages() -> list[bytes]:
    """Return the pages of a list of targets."""
    items = [
        {
            'metadata': {
                'name': f'i-{number:010x}',
                'revision': number + 2,
                'created': 1_700_000_000_000 + number,
                'finalizers': [],
                'is_deleting': False,
            },
            'spec': {
                'service': f'service-{number % 40}',
                'address': f'10.{number >> 16}.{number >> 8 & 255}.'
                f'{number & 255}:{10_000 + number % 50_000}',
                'zone': f'zone-{number % 3}',
                'version': 'v17',
                'slots': 1 + number % 8,
                'state': 'ready',
                'warmup_left_ms': 0,
                'seq': number % 100,
                'born': 1_700_000_000_000 + number,
            },
            'status': {},
        }
        for number in range(ENTRIES)
    ]
    return [
        dumps(
            {
                'items': items[start : start + PAGE_ENTRIES],
                'more': start + PAGE_ENTRIES < ENTRIES,
                'current_rev': ENTRIES + 9,
            }
        ).encode()
        for start in range(0, ENTRIES, PAGE_ENTRIES)
    ]


async def read_list(pages: list[bytes]) -> int:
    """Return how many entries of a list are targets."""
    from carawaylane.messages.platform_objects import TargetSpec
    from carawaylane.messages.stored_objects import ObjectKind
    from carawaylane.platform import objects
    from carawaylane.platform.documents import decode_target

    left = list(pages)

    class Client(objects.ObjectStoreClient):
        async def _call(self, _method: str, path: str, **_: Any) -> Any:
            body = left.pop(0)
            if hasattr(objects, '_decode_body'):
                return 200, await objects._decode_body(path, body), 1
            return 200, body, 1

    delta = await Client(address='127.0.0.1:1').list_all(ObjectKind.TARGETS)
    decoded = [decode_target(item.name, item.data) for item in delta.items]
    return sum(isinstance(item, TargetSpec) for item in decoded)


def serve() -> None:
    """Time a round for each line of the input."""
    pages = make_pages()
    for _ in sys.stdin:
        started_s = process_time()
        count = run(read_list(pages))
        took_s = process_time() - started_s
        print(dumps({'count': count, 'took_s': took_s}), flush=True)


def main(other: Path) -> None:
    """Print the figures of both versions."""
    script = Path(__file__).resolve()
    versions = {'before': other, 'now': script.parents[1]}
    procs = {
        name: Popen(
            [sys.executable, str(script), '--serve'],
            env={'PYTHONPATH': str(root)},
            cwd=root,
            stdin=PIPE,
            stdout=PIPE,
            text=True,
        )
        for name, root in versions.items()
    }
    best = dict.fromkeys(procs, float('inf'))
    for _ in range(ROUNDS):
        for name, proc in procs.items():
            assert proc.stdin is not None
            assert proc.stdout is not None
            proc.stdin.write('round\n')
            proc.stdin.flush()
            result = loads(proc.stdout.readline())
            assert result['count'] == ENTRIES
            best[name] = min(best[name], result['took_s'])
    for name, proc in procs.items():
        assert proc.stdin is not None
        proc.stdin.close()
        proc.wait()
        print(f'{name}: {best[name] * 1000:.1f} ms')
    print(f'now / before: {best["now"] / best["before"]:.3f}')


if __name__ == '__main__':
    if sys.argv[1:] == ['--serve']:
        serve()
    else:
        main(Path(sys.argv[1]))
