"""Tests of the HTTP interface as callers see it."""

from asyncio import gather

from tests.system.conftest import running_fleet


async def send(callers, method, path, **kwargs):
    """Send a request to a random node, or to `url`.

    Returns status, headers and body of the answer.
    """
    url = kwargs.pop('url', None) or callers.pick_entry_url()
    async with callers.session.request(method, url + path, **kwargs) as resp:
        return resp.status, resp.headers, await resp.text()


async def test_invalid_requests_reach_no_target():
    async with running_fleet(nodes=3, flags=('--max-body-bytes', '1000')) as (
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
            actual_status, headers, _ = await send(
                callers, method, path, **kwargs
            )
            assert actual_status == status, path
            assert headers['Carawaylane-Outcome'] == 'not-run'
            assert headers['Content-Type'].startswith(
                'application/problem+json'
            )
        assert await cluster.run_counts() == {}
        _, headers, _ = await send(
            callers,
            'POST',
            '/charges',
            headers={'Idempotency-Key': 'k', 'X-Timeout-Ms': 'soon'},
        )
        assert headers['Carawaylane-Outcome'] == 'unknown'


async def test_racing_resends_through_all_nodes_run_once():
    async with running_fleet() as (cluster, callers):
        for number in range(10):
            key = f'key-{number}'
            answers = await gather(
                *(
                    send(
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
            assert {status for status, _, _ in answers} == {200}
            assert len({text for _, _, text in answers}) == 1
        run_counts = await cluster.run_counts()
        assert set(run_counts.values()) == {1}


async def test_a_minted_key_runs_once():
    """A minted key is one that the fleet made at a caller's request."""
    async with running_fleet(nodes=3) as (cluster, callers):
        path = '/.well-known/carawaylane/keys?service=charges'
        status, _, text = await send(callers, 'POST', path)
        assert status == 201
        key = text.split('"')[3]
        for proc in cluster.nodes.values():
            status, headers, _ = await send(
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
    """HTTP clients may retry a PUT by themselves; nodes must not."""
    async with running_fleet(nodes=3) as (cluster, callers):
        for name in ('charge-1', 'charge-2'):
            proc = cluster.targets[name]
            await cluster.control(proc, faults={'truncate': True})
        answers = []
        for _ in range(5):
            answers.append(await send(callers, 'PUT', '/charges', data='x'))
        assert {
            headers['Carawaylane-Outcome'] for _, headers, _ in answers
        } == {'unknown'}
        assert set((await cluster.run_counts()).values()) == {1}


async def test_a_trace_is_passed_from_the_caller_to_the_target():
    trace_id = 'a' * 32
    async with running_fleet(nodes=3) as (cluster, callers):
        parent = f'00-{trace_id}-{"b" * 16}-01'
        for proc in cluster.nodes.values():
            await send(
                callers,
                'GET',
                '/stock/1',
                url=proc.url,
                headers={'traceparent': parent},
            )
        parents_at_targets = []
        for proc in cluster.targets.values():
            parents_at_targets += (await cluster.control(proc))['parents']
        assert len(parents_at_targets) == 3
        assert all(
            trace_id in target_parent and target_parent != parent
            for target_parent in parents_at_targets
        )


async def test_a_full_queue_refuses_requests_with_retry_after():
    async with running_fleet(nodes=3) as (cluster, callers):
        for name in ('stock-1', 'stock-2'):
            proc = cluster.targets[name]
            await cluster.control(proc, faults={'slow': 50})
        answers = await gather(
            *(send(callers, 'GET', '/stock/1') for _ in range(200))
        )
        refused = [answer for answer in answers if answer[0] == 503]
        assert refused
        for _, headers, _ in refused:
            assert headers['Carawaylane-Outcome'] == 'not-run'
            assert int(headers['Retry-After']) >= 1
