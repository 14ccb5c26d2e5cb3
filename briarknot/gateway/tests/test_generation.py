"""Tests streams: prefill, whole events, resumption and truncation."""

import asyncio
import time

import aiohttp
import pytest

from briarknot import schema
from briarknot.gateway.tests import _support

_Kind = schema.serving.RequestKind
PROMPT = {
    'Model': 'm',
    'Token-Counts': '9000,5',
    'Prompt-Prefix': 'aa:6000,bb:3000',
}


def make_workers(prefill, *decodes):
    """Makes a prefill worker and decode workers with the given scripts."""
    return [
        _support.ScriptedWorker(prefill, 'prefill'),
        *(_support.ScriptedWorker(script, 'decode') for script in decodes),
    ]


def make_stream_route(*, resumable=True, **changes):
    """Makes a route of generations."""
    return _support.make_route(_Kind.GENERATION, resumable=resumable, **changes)


def read_data(body):
    """Returns the data of a stream's events."""
    return [
        line.removeprefix('data: ')
        for line in body.decode().splitlines()
        if line.startswith('data: ')
    ]


async def test_prefill_and_decode_run_on_different_workers():
    """A decode worker would prefill the prompt at half the speed."""
    prefill, decode = make_workers(
        [_support.HANDLE], [_support.make_stream('x', 'y')]
    )
    async with _support.open_gateway(
        make_stream_route(), prefill, decode
    ) as gateway:
        status, _, body = await gateway.send(headers=PROMPT)
    assert (status, read_data(body)) == (200, ['x', 'y'])
    assert prefill.requests[0]['serving-stage'] == 'prefill'
    assert decode.requests[0]['kv-source'] == f'127.0.0.1:{prefill.port}/k1'
    assert decode.requests[0]['prompt-prefix'] == 'aa:6000,bb:3000'


async def test_broken_stream_resumes_after_its_last_whole_event():
    """Events would be lost or duplicated."""
    truncated = _support.make_stream('x', 'y', end=False)
    truncated = _support.Reply(
        f'{truncated.text}8\r\nid: 3\nda\r\n', _support.CLOSE, delay_s=0.05
    )
    rest = _support.make_stream('z', start=3)
    workers = make_workers(
        [_support.HANDLE, _support.HANDLE], [truncated], [rest]
    )
    route = make_stream_route()
    async with _support.open_gateway(route, *workers) as gateway:
        _support.get_worker_record(gateway.context, workers[2]).in_flight = 1
        status, _, body = await gateway.send(headers=PROMPT)
    assert (status, read_data(body)) == (200, ['x', 'y', 'z'])
    assert 'last-event-id' not in workers[1].requests[0]
    assert workers[2].requests[0]['last-event-id'] == '2'


async def test_stream_that_is_not_resumable_is_truncated():
    """A truncated answer would look complete to the client."""
    truncated = _support.make_stream('x', then=_support.CLOSE, end=False)
    workers = make_workers([_support.HANDLE], [truncated], [truncated])
    route = make_stream_route(resumable=False)
    async with _support.open_gateway(route, *workers) as gateway:
        with pytest.raises(aiohttp.ClientPayloadError):
            await gateway.send(headers=PROMPT)
    assert sum(len(worker.requests) for worker in workers[1:]) == 1


async def test_rejected_generation_keeps_its_cache():
    """A prompt would be prefilled again although its cache still exists."""
    script = [_support.REJECTED]
    good = [_support.make_stream('x')]
    workers = make_workers([_support.HANDLE], script, good)
    route = make_stream_route(resumable=False, max_attempts=1)
    async with _support.open_gateway(route, *workers, hosts=1) as gateway:
        _support.get_worker_record(gateway.context, workers[2]).in_flight = 1
        status, _, body = await gateway.send(headers=PROMPT)
    assert (status, read_data(body)) == (200, ['x'])
    assert len(workers[0].requests) == 1


async def test_cache_that_is_not_fetched_is_freed():
    """An unused cache would take memory from other prompts."""
    freed = _support.make_reply(200)
    workers = make_workers([_support.HANDLE, freed], [_support.REJECTED])
    async with _support.open_gateway(make_stream_route(), *workers) as gateway:
        status, _, _ = await gateway.send(headers=PROMPT)
        async with asyncio.timeout(2):
            await workers[0].wait_requests(2)
    assert status == 503
    assert workers[0].requests[1]['first'].startswith('DELETE /v1/kv-handle/k1')


async def test_disconnect_of_a_streaming_client_reaches_the_worker():
    """A worker would continue to generate for a disconnected client."""
    workers = make_workers(
        [_support.HANDLE], [_support.Reply('', _support.HANG)]
    )
    async with _support.open_gateway(make_stream_route(), *workers) as gateway:
        with pytest.raises(TimeoutError):
            await gateway.send(
                headers=PROMPT, timeout=aiohttp.ClientTimeout(total=0.2)
            )
        async with asyncio.timeout(2):
            await workers[1].disconnected.wait()


async def test_stream_of_a_silent_worker_resumes_on_another():
    """A stream waited for seconds for a worker that had stopped sending."""
    part = _support.make_stream('x', end=False)
    silent = _support.Reply(part.text, _support.SILENT)
    rest = _support.make_stream('y', start=2)
    workers = make_workers([_support.HANDLE, _support.HANDLE], [silent], [rest])
    async with _support.open_gateway(make_stream_route(), *workers) as gateway:
        _support.get_worker_record(gateway.context, workers[2]).in_flight = 1
        status, _, body = await gateway.send(headers=PROMPT)
    assert (status, read_data(body)) == (200, ['x', 'y'])
    assert workers[2].requests[0]['last-event-id'] == '1'


async def test_prompt_is_prefilled_again_if_its_cache_is_lost():
    """Each decode worker would reject a request whose cache is lost."""
    handles = [
        _support.make_reply(
            200, f'{{"kvHandle":"{name}","tokens":10,"version":1}}'
        )
        for name in ('k1', 'k2', 'k3', 'k4')
    ]
    rejected = [_support.REJECTED]
    workers = make_workers(
        handles, rejected, rejected, [_support.make_stream('x')]
    )
    async with _support.open_gateway(make_stream_route(), *workers) as gateway:
        for busy, decode in enumerate(workers[1:]):
            record = _support.get_worker_record(gateway.context, decode)
            record.in_flight = busy
            # Otherwise the workers would prefill the prompt themselves.
            record.failure_rate = 5
        status, _, body = await gateway.send(headers=PROMPT)
    assert (status, read_data(body)) == (200, ['x'])
    sources = [
        worker.requests[0].get('kv-source', '').rpartition('/')[2]
        for worker in workers[1:]
    ]
    assert sources[0] == sources[1] == 'k1'
    assert sources[2] != 'k1'


async def test_worker_that_lacked_the_cache_prefills_the_prompt_itself():
    """Caches that expired at once used up all workers that could run it."""
    rejected = _support.make_reply(
        503, '', 'Not-Executed: 1\r\nInstance-Load: 0,0,4'
    )
    freed = _support.make_reply(200)
    workers = make_workers(
        [_support.HANDLE, freed], [rejected, _support.make_stream('x')]
    )
    async with _support.open_gateway(make_stream_route(), *workers) as gateway:
        status, _, body = await gateway.send(headers=PROMPT)
    assert (status, read_data(body)) == (200, ['x'])
    assert 'kv-source' in workers[1].requests[0]
    assert 'kv-source' not in workers[1].requests[1]


async def test_prompt_counts_at_its_worker_only_until_its_prefill_ends():
    """A decode worker seemed busy with a prefill during the whole stream."""
    events = _support.make_stream('x', end=False)
    decode = _support.ScriptedWorker(
        [_support.Reply(events.text, _support.SILENT, 0.2)], 'decode'
    )
    async with _support.open_gateway(make_stream_route(), decode) as gateway:
        load = gateway.context.prompt_load
        sent = asyncio.ensure_future(gateway.send(headers=PROMPT))
        await decode.wait_requests(1)
        assert load.get_queued_work(decode.entry, time.monotonic())
        async with asyncio.timeout(2):
            while load.work.get_total(decode.entry.id, 0).tokens:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
        assert load.work.get_total(decode.entry.id, 0).streams == 1
        sent.cancel()
