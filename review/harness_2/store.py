"""Stand-in of the platform's store, as a process of its own.

It is the project's stand-in with a page `/control`, on which a script writes
objects for the operator, or has the store taken away. It can also come back
from an older copy of its objects, under the next era.
"""

from __future__ import annotations

import sys

from aiohttp import web

from standins.store import Store


def main() -> None:
    """Serve on the port of the first argument."""
    store = Store()
    copies = [store.copy()]

    async def control(req: web.Request) -> web.Response:
        order = await req.json()
        if order['do'] == 'put':
            store.put(order['kind'], order['name'], order['spec'])
        elif order['do'] == 'remove':
            store.remove(order['kind'], order['name'])
        elif order['do'] == 'copy':
            copies.append(store.copy())
        elif order['do'] == 'restore':
            store.fault = ''
            store.restore(copies[-1])
        elif order['do'] == 'fault':
            store.fault = order['fault']
            store.wake_watches()
        return web.json_response(
            {'revision': store.revision, 'calls': dict(store.calls)}
        )

    app = store.app()
    app.router.add_post('/control', control)
    web.run_app(
        app,
        host='127.0.0.1',
        port=int(sys.argv[1]),
        print=None,
        access_log=None,
    )


if __name__ == '__main__':
    main()
