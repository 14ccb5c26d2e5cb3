"""Tests streams of slow workers, of stalled ones, and of hopeless prompts."""

import time

import aiohttp
import pytest

from briarknot import platform, schema
from briarknot.gateway.tests import _support
from briarknot.gateway.tests import test_generation as generation

_PROMPT = {
    'Model': 'm',
    'Token-Counts': '9000,5',
    'Prompt-Prefix': 'aa:6000,bb:3000',
}
_CHUNK = '1\r\n:\r\n'
_MAX_SILENCE_S = 1.0


def make_route(**changes):
    """Makes a route whose clients abandon silent streams."""
    return generation.make_stream_route(
        max_silence_s=_MAX_SILENCE_S, timeout_s=20.0, **changes
    )


async def test_stalled_stream_that_sends_bytes_ends():
    """A byte now and then kept a stream open until its route's time limit."""
    first = _support.make_stream('x', end=False)
    stalled = _support.Reply(
        first.text, _support.SILENT, later=(_CHUNK,) * 50, pause_s=0.2
    )
    workers = generation.make_workers([_support.HANDLE], [stalled])
    route = make_route(resumable=False)
    async with _support.open_gateway(route, *workers) as gateway:
        started_s = time.monotonic()
        with pytest.raises(aiohttp.ClientPayloadError):
            await gateway.send(headers={**_PROMPT, 'Deadline-Ms': '20000'})
        seconds = time.monotonic() - started_s
    assert _MAX_SILENCE_S <= seconds < _MAX_SILENCE_S + 3


async def test_stalled_stream_resumes_on_another_worker():
    """The client left a stream that another worker could have completed."""
    first = _support.make_stream('x', end=False)
    stalled = _support.Reply(
        first.text, _support.SILENT, later=(_CHUNK,) * 50, pause_s=0.2
    )
    rest = _support.make_stream('y', start=2)
    workers = generation.make_workers(
        [_support.HANDLE, _support.HANDLE], [stalled], [rest]
    )
    async with _support.open_gateway(make_route(), *workers) as gateway:
        _support.get_worker_record(gateway.context, workers[2]).in_flight = 1
        status, _, body = await gateway.send(headers=_PROMPT)
    assert (status, generation.read_data(body)) == (200, ['x', 'y'])
    assert workers[2].requests[0]['last-event-id'] == '1'


@pytest.mark.parametrize('resumable', [False, True])
async def test_slow_stream_is_not_cut(resumable):
    """A stream with sound but long gaps was ended before its last event."""
    first = _support.make_stream('a', end=False)
    events = [f'id: {number}\ndata: b\n\n' for number in (2, 3, 4)]
    later = [f'{len(event):x}\r\n{event}\r\n' for event in events]
    slow = _support.Reply(first.text, later=(*later, '0\r\n\r\n'), pause_s=0.8)
    workers = generation.make_workers([_support.HANDLE], [slow])
    route = make_route(resumable=resumable)
    async with _support.open_gateway(route, *workers) as gateway:
        status, _, body = await gateway.send(
            headers={**_PROMPT, 'Deadline-Ms': '20000'}
        )
    assert (status, generation.read_data(body)) == (200, ['a', 'b', 'b', 'b'])
    assert len(workers[1].requests) == 1


async def test_prompt_that_its_client_would_abandon_is_refused():
    """It waited in vain, and the prompts behind it became late too."""
    workers = generation.make_workers([], [])
    async with _support.open_gateway(make_route(), *workers) as gateway:
        for worker in workers:
            gateway.context.prompt_load.work.add(
                worker.entry.id, tokens=500_000
            )
        started_s = time.monotonic()
        status, headers, _ = await gateway.send(headers=_PROMPT)
        assert time.monotonic() - started_s < _MAX_SILENCE_S
    assert status == 503
    assert float(headers['Retry-After']) > 0
    assert not any(worker.requests for worker in workers)


def test_silence_that_clients_bear_follows_the_route():
    """Streams with long allowed gaps were given up after two seconds."""
    tree = {
        'version': 1,
        'services': [],
        'limits': {
            'maxHeaderBytes': 1,
            'maxBodyBytes': 1,
            'headerTimeoutMs': 1,
            'idleTimeoutMs': 1,
        },
        'routes': [
            {
                'name': 'r',
                'host': 'h',
                'pathPrefix': '/',
                'kind': kind,
                'timeoutMs': 9000,
                'targetLatencyMs': target_ms,
                'gapTargetMs': gap_ms,
                'service': 's',
            }
            for kind, target_ms, gap_ms in (
                ('streaming', 400, 100),
                ('streaming', 600, 100),
                ('streaming', 400, 400),
                ('idempotent', 4000, 0),
            )
        ],
    }
    manifest = platform.decode_manifest(tree)
    assert isinstance(manifest, schema.serving.Manifest)
    silences = [route.max_silence_s for route in manifest.routes]
    assert silences == pytest.approx([2, 2.4, 3.2, 0])
