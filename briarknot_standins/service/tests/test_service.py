"""Checks the run counters by which tests detect calls that ran twice."""

import asyncio
import contextlib

import aiohttp
import pytest

from briarknot_standins import service, serving

_CONFIG = service.ServiceConfig(name='fieldapp', run_s=0)
_HEADERS = {'X-Request-Id': 'r', 'Idempotency-Key': 'k'}


@contextlib.asynccontextmanager
async def open_service(crash=service.exit_process):
    """Serves one worker and opens a client."""
    async with serving.serve(service.make_app(_CONFIG, crash)) as url:
        async with aiohttp.ClientSession(url, headers=_HEADERS) as client:
            yield client


async def send(client, path, **members):
    """Posts JSON and returns the status and the body."""
    async with client.post(path, json=members) as response:
        return response.status, await response.json()


async def get_runs(client):
    """Reads the run counters."""
    async with client.get('/runs') as response:
        return await response.json()


async def wait_count(client, path, name):
    """Waits until a counter is above zero."""
    while True:
        async with client.get(path) as response:
            body = await response.json()
        if body[name]:
            return
        await asyncio.sleep(0.01)


async def test_runs_are_counted_and_answers_name_their_call():
    """Guards against a second run or a swapped answer that goes unnoticed."""
    async with open_service() as client:
        for _ in range(2):
            async with client.put('/parts/7?n=2', data=b'order') as response:
                body = await response.json()
        runs = await get_runs(client)
    expected = service.expected_answer('PUT', '/parts/7?n=2', b'order')
    assert body['answer'] == expected
    assert (body['run'], body['request_id']) == (2, 'r')
    assert runs['by_request_id'] == {'r': 2}
    assert runs['by_idempotency_key'] == {'k': 2}
    assert runs['by_answer'] == {expected: 2}


async def test_call_runs_although_its_caller_disconnects():
    """Guards against a call that stops when its caller disconnects.

    It would hide calls whose outcome is unknown to the caller.
    """
    async with open_service() as client:
        await send(client, '/faults', delay_s=0.1)
        caller = asyncio.create_task(send(client, '/bookings'))
        await wait_count(client, '/load', 'running')
        caller.cancel()
        await wait_count(client, '/runs', 'total')


@pytest.mark.parametrize(
    ('fault', 'ran'), [('crash_before_run', 0), ('crash_after_run', 1)]
)
async def test_crash_is_before_or_after_the_run(fault, ran):
    """Guards against a crash on the wrong side of the run.

    Only a call that has not run may be retried.
    """
    seen = []
    async with open_service(lambda: seen.append('crash')) as client:
        await send(client, '/faults', crash_marker='bad', **{fault: True})
        await send(client, '/bookings', kind='good')
        assert not seen
        runs_before = (await get_runs(client))['total']
        await send(client, '/bookings', kind='bad')
        assert seen == ['crash']
    assert runs_before == 1


@pytest.mark.parametrize('after_run', [False, True])
async def test_error_status_may_follow_a_run(after_run):
    """Guards against an error status that reveals whether the call ran."""
    async with open_service() as client:
        await send(
            client, '/faults', error_status=502, error_after_run=after_run
        )
        status, _ = await send(client, '/bookings')
        runs = await get_runs(client)
    assert (status, runs['total']) == (502, int(after_run))


async def test_silence_affects_open_connections_only():
    """Guards against a silence fault that affects new connections.

    It could not be distinguished from a paused process.
    """
    async with open_service() as client:
        await send(client, '/bookings')
        await send(client, '/faults', silence_open=True)
        timeout = aiohttp.ClientTimeout(total=0.1)
        with pytest.raises(TimeoutError):
            await client.post('/bookings', timeout=timeout)
        async with aiohttp.ClientSession(client._base_url) as other:
            assert (await send(other, '/bookings'))[0] == 200
