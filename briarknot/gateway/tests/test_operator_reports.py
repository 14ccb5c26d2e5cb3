"""Tests faults that operators of similar systems have reported.

Each test names the report. Slow and stalled streams are in
``test_stalled_streams.py``, planned stops over real processes in the soak.
"""

import asyncio
import contextlib

import aiohttp
import pytest

from briarknot import schema
from briarknot.gateway.tests import (
    _support,
)
from briarknot.gateway.tests import (
    test_generation as generation,
)
from briarknot.gateway.tests import (
    test_store_sync as stores,
)

_Kind = schema.serving.RequestKind
_PROMPT = {
    'Model': 'm',
    'Token-Counts': '9000,5',
    'Prompt-Prefix': 'aa:6000,bb:3000',
}


def make_handle(name, request_id='{id}'):
    """Makes the answer to a prefill, with the id of a request."""
    body = f'{{"kvHandle":"{name}","tokens":10,"version":1}}'
    return (
        f'HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n{body}'
    )


@pytest.mark.parametrize('pause_s', [0, 0.3], ids=('at_once', 'late'))
async def test_second_copy_of_a_prefill_reaches_no_other_request(pause_s):
    """The next request would be generated from the KV cache of another one.

    The copy arrives on a connection that has been returned to the pool, before
    or after the next request is sent on it.
    """
    copy = make_handle('old', 'q1')
    first = _support.Reply(make_handle('k1'), later=(copy,), pause_s=pause_s)
    others = [_support.Reply(make_handle(name)) for name in ('k2', 'k3', 'k4')]
    prefill = _support.ScriptedWorker([first, *others], 'prefill')
    decode = _support.ScriptedWorker(
        [_support.make_stream('x'), _support.make_stream('y')], 'decode'
    )
    route = generation.make_stream_route()
    async with _support.open_gateway(route, prefill, decode) as gateway:
        await gateway.send(headers={**_PROMPT, 'Request-Id': 'q1'})
        await asyncio.sleep(0.1)
        status, _, _ = await gateway.send(
            headers={**_PROMPT, 'Request-Id': 'q2'}
        )
    sources = [
        request['kv-source'].rpartition('/')[2]
        for request in decode.requests
        if request.get('request-id') == 'q2' and 'kv-source' in request
    ]
    assert status == 200
    assert 'old' not in sources
    assert 'k1' not in sources


@pytest.mark.parametrize(
    ('text', 'then'),
    [
        ('Content-Length: 9\r\n\r\nhalf', _support.CLOSE),
        ('Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n', _support.CLOSE),
        ('Transfer-Encoding: chunked\r\n\r\n4\r\nha', _support.RESET),
        ('\r\nhalf', _support.RESET),
    ],
    ids=('short', 'no_last_chunk', 'in_a_chunk', 'no_length'),
)
@pytest.mark.parametrize('kind', [_Kind.IDEMPOTENT, _Kind.NON_IDEMPOTENT])
async def test_half_an_answer_is_no_success(kind, text, then):
    """An answer that broke off reached the caller as a complete one."""
    head = 'HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: s\r\n'
    worker = _support.ScriptedWorker(
        [_support.Reply(head + text, then, delay_s=0.05)]
    )
    route = _support.make_route(kind, max_attempts=1)
    async with _support.open_gateway(route, worker) as gateway:
        status, headers, body = await gateway.send()
    assert status == 502
    assert 'Server-Seal' not in headers
    assert not body


@pytest.mark.parametrize('then', [_support.CLOSE, _support.RESET])
async def test_lost_answer_of_a_stream_is_not_run_again(then):
    """A stream that may not be repeated ran twice, or counted as not run."""
    lost = [_support.Reply('', then)]
    workers = generation.make_workers(
        [_support.HANDLE, _support.HANDLE], lost, list(lost)
    )
    route = generation.make_stream_route(resumable=False, max_attempts=2)
    async with _support.open_gateway(route, *workers) as gateway:
        status, headers, _ = await gateway.send(headers=_PROMPT)
    runs = sum(len(worker.requests) for worker in workers[1:])
    assert (status, runs) == (502, 1)
    assert 'Retry-After' not in headers


async def test_worker_that_left_stays_away_after_a_restart():
    """A restarted process used a worker that an outdated update still named."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(stores.open_store())
        await store.put('servers', 'w2', stores._WORKER)
        contexts = await stack.enter_async_context(
            stores.run_gateways(store, 'g1')
        )
        first = contexts[0]
        await stores.wait_until(lambda: len(first.fleet.workers) == 2)
        outdated = schema.messages.FleetUpdate(
            host='g9',
            manifest_version=1,
            workers_digest=first.fleet.workers_digest,
            list_version=1,
            changed=first.fleet.workers,
        )
        await store.remove('servers', 'w2')
        contexts = await stack.enter_async_context(
            stores.run_gateways(store, 'g2')
        )
        restarted = contexts[0]
        await stores.wait_until(lambda: restarted.is_ready)
        for _ in range(20):
            restarted.fleet_update = outdated
            restarted.fleet_update_received.set()
            await asyncio.sleep(0.05)
            names = {one.id for one in restarted.fleet.workers}
            assert names == {'w1'}


async def test_request_accepted_during_a_stop_is_answered():
    """A request that had just been accepted was cut off without an answer."""
    answer = _support.make_reply(200, 'done', _support.SEAL.strip())
    slow = _support.Reply(answer.text, delay_s=1)
    worker = _support.ScriptedWorker([slow, slow, slow])
    route = _support.make_route(_Kind.NON_IDEMPOTENT)
    async with _support.open_gateway(route, worker) as gateway:
        sent = [asyncio.ensure_future(gateway.send()) for _ in range(3)]
        await worker.wait_requests(3)
        gateway.ingress.set_closing()
        gateway.ingress.refuse_requests()
        await gateway.ingress.stop_listening()
        assert gateway.ingress.open_requests == 3
        await gateway.ingress.wait_idle(5)
        results = await asyncio.gather(*sent)
        assert [status for status, _, _ in results] == [200, 200, 200]
        with pytest.raises(aiohttp.ClientConnectionError):
            async with aiohttp.ClientSession() as session:
                await session.get(gateway.url)
