"""What callers see over HTTP at the edges of the interface."""

from asyncio import gather

from tests.system.conftest import fleet


async def ask(callers, method, path, **kwargs):
    url = kwargs.pop('url', None) or callers.pick_entry_url()
    async with callers.session.request(method, url + path, **kwargs) as resp:
        return resp.status, resp.headers, await resp.text()


async def test_requests_that_cannot_be_served_reach_no_target():
    async with fleet(nodes=3, flags=('--max-body-bytes', '1000')) as (
        cluster,
        callers,
    ):
        cases = [
            (404, 'GET', '/nowhere', {}),
            (413, 'POST', '/charges', {'data': b'x' * 1001}),
            (400, 'GET', '/stock/1', {'headers': {'X-Timeout-Ms': 'soon'}}),
            (400, 'GET', '/stock/1', {'headers': {'X-Timeout-Ms': '0'}}),
            (
                400,
                'POST',
                '/charges',
                {'headers': {'Idempotency-Key': 'k' * 201}},
            ),
        ]
        for status, method, path, kwargs in cases:
            found, headers, _ = await ask(callers, method, path, **kwargs)
            assert found == status, path
            assert headers['Carawaylane-Outcome'] == 'not-run'
            assert headers['Content-Type'].startswith(
                'application/problem+json'
            )
        assert await cluster.run_counts() == {}
        _, headers, _ = await ask(
            callers,
            'POST',
            '/charges',
            headers={'Idempotency-Key': 'k', 'X-Timeout-Ms': 'soon'},
        )
        assert headers['Carawaylane-Outcome'] == 'unknown'


async def test_resends_that_race_through_all_nodes_run_once():
    async with fleet() as (cluster, callers):
        for number in range(10):
            key = f'key-{number}'
            found = await gather(
                *(
                    ask(
                        callers,
                        'POST',
                        '/charges',
                        url=proc.url,
                        data=key,
                        headers={'Idempotency-Key': key},
                    )
                    for proc in list(cluster.nodes.values()) * 3
                )
            )
            assert {status for status, _, _ in found} == {200}
            assert len({text for _, _, text in found}) == 1
        runs = await cluster.run_counts()
        assert set(runs.values()) == {1}


async def test_a_minted_key_runs_once():
    async with fleet(nodes=3) as (cluster, callers):
        path = '/.well-known/carawaylane/keys?service=charges'
        status, _, text = await ask(callers, 'POST', path)
        assert status == 201
        key = text.split('"')[3]
        for proc in cluster.nodes.values():
            status, headers, _ = await ask(
                callers,
                'POST',
                '/charges',
                url=proc.url,
                headers={'Idempotency-Key': key},
            )
            assert status == 200
        assert headers['Carawaylane-Replayed'] == 'true'
        assert await cluster.run_counts() == {key: 1}


async def test_an_unsafe_put_on_a_broken_connection_runs_once():
    async with fleet(nodes=3) as (cluster, callers):
        for name in ('charge-1', 'charge-2'):
            proc = cluster.targets[name]
            await cluster.control(proc, faults={'truncate': True})
        told = []
        for _ in range(5):
            told.append(await ask(callers, 'PUT', '/charges', data='x'))
        assert {headers['Carawaylane-Outcome'] for _, headers, _ in told} == {
            'unknown'
        }
        assert set((await cluster.run_counts()).values()) == {1}


async def test_a_trace_goes_from_the_caller_to_the_target():
    trace = 'a' * 32
    async with fleet(nodes=3) as (cluster, callers):
        parent = f'00-{trace}-{"b" * 16}-01'
        for proc in cluster.nodes.values():
            await ask(
                callers,
                'GET',
                '/stock/1',
                url=proc.url,
                headers={'traceparent': parent},
            )
        seen = []
        for proc in cluster.targets.values():
            seen += (await cluster.control(proc))['parents']
        assert len(seen) == 3
        assert all(trace in each and each != parent for each in seen)


async def test_a_full_queue_is_refused_with_when_to_come_back():
    async with fleet(nodes=3) as (cluster, callers):
        for name in ('stock-1', 'stock-2'):
            proc = cluster.targets[name]
            await cluster.control(proc, faults={'slow': 50})
        found = await gather(
            *(ask(callers, 'GET', '/stock/1') for _ in range(200))
        )
        refused = [row for row in found if row[0] == 503]
        assert refused
        for _, headers, _ in refused:
            assert headers['Carawaylane-Outcome'] == 'not-run'
            assert int(headers['Retry-After']) >= 1
