"""Tests answers that only look complete, and statuses that are not final.

Workers in trouble answered an upload early and cut the connection, or sent
statuses that HTTP doesn't define.
"""

import itertools

import aiohttp
import pytest

from briarknot import schema
from briarknot.gateway.tests import _cut_replies, _support
from briarknot.gateway.tests import test_generation as generation

_Kind = schema.serving.RequestKind
_FIELDS = f'Request-Id: {{id}}\r\n{_support.SEAL}'
_STREAM_FIELDS = f'{_FIELDS}Content-Type: text/event-stream\r\n'
_BODY_BYTES = 4 << 20
_HANDLE = '{"kvHandle":"k1","tokens":10,"version":1}'


async def _send_chunks():
    """Yields a body of unknown length."""
    for _ in range(64):
        yield bytes(_BODY_BYTES // 64)


_UPLOADS = {
    'short': lambda: bytes(10),
    'long': lambda: bytes(_BODY_BYTES),
    'chunked': _send_chunks,
}


@pytest.mark.parametrize('kind', [_Kind.IDEMPOTENT, _Kind.NON_IDEMPOTENT])
@pytest.mark.parametrize(('name', 'then'), _cut_replies.WAYS)
async def test_answer_that_breaks_off_is_no_success(name, then, kind):
    """Its client got a part of the body as the whole one."""
    cut = _cut_replies.make_cut(name, then, 'part', fields=_FIELDS)
    worker = _support.ScriptedWorker([cut])
    route = _support.make_route(kind, max_attempts=1)
    async with _support.open_gateway(route, worker) as gateway:
        status, headers, body = await gateway.send(data=bytes(10))
    assert (status, body) == (502, b'')
    assert 'Server-Seal' not in headers


@pytest.mark.parametrize('pause_s', [0, 0.05, 0.5])
@pytest.mark.parametrize(
    ('upload', 'then'),
    [
        ('short', _support.RESET),
        *itertools.product(
            ('long', 'chunked'),
            (_support.RESET, _support.CLOSE, _support.HALF_CLOSE),
        ),
    ],
)
async def test_early_answer_to_an_upload_is_no_success(upload, then, pause_s):
    """The worker cut the connection while the upload was being written.

    Ten bytes arrive as a whole, so that a regular close is a regular end.
    """
    cut = _cut_replies.make_cut(
        'no_length', then, 'part', fields=_FIELDS, pause_s=pause_s
    )
    worker = _support.ScriptedWorker([_cut_replies.make_early(cut)])
    route = _support.make_route(_Kind.NON_IDEMPOTENT, max_attempts=1)
    async with _support.open_gateway(
        route, worker, body_bytes=_BODY_BYTES
    ) as gateway:
        status, headers, body = await gateway.send(data=_UPLOADS[upload]())
    assert (status, body) == (502, b'')
    assert 'Server-Seal' not in headers


@pytest.mark.parametrize(('name', 'then'), _cut_replies.WAYS)
async def test_kept_connection_that_breaks_off_is_no_success(name, then):
    """The part on a reused connection was taken for the whole answer."""
    whole = _support.make_reply(200, 'whole', _support.SEAL.strip())
    cut = _cut_replies.make_cut(name, then, 'part', fields=_FIELDS)
    worker = _support.ScriptedWorker([whole, cut])
    route = _support.make_route(_Kind.IDEMPOTENT, max_attempts=1)
    async with _support.open_gateway(route, worker) as gateway:
        assert (await gateway.send())[0] == 200
        status, _, body = await gateway.send()
    assert (status, body) == (502, b'')


async def test_answer_to_head_has_no_end_to_wait_for():
    """The gateway waited for the close of a kept connection."""
    reply = _support.Reply(f'HTTP/1.1 200 OK\r\n{_FIELDS}\r\n')
    worker = _support.ScriptedWorker([reply])
    route = _support.make_route(_Kind.IDEMPOTENT, max_attempts=1)
    async with _support.open_gateway(route, worker) as gateway:
        status, _, body = await gateway.send('HEAD')
    assert (status, body) == (200, b'')


async def test_unfinished_upload_is_not_followed_by_a_request():
    """The worker read the next request as the rest of the upload."""
    early = _support.make_reply(200, 'early', _support.SEAL.strip())
    whole = _support.make_reply(200, 'whole', _support.SEAL.strip())
    worker = _support.ScriptedWorker([_cut_replies.make_early(early), whole])
    route = _support.make_route(_Kind.IDEMPOTENT, max_attempts=1)
    async with _support.open_gateway(
        route, worker, body_bytes=_BODY_BYTES
    ) as gateway:
        await gateway.send(data=bytes(_BODY_BYTES))
        status, _, body = await gateway.send()
    assert (status, body) == (200, b'whole')


@pytest.mark.parametrize(('name', 'then'), _cut_replies.WAYS)
async def test_stream_that_breaks_off_is_no_success(name, then):
    """A stream that ended after a whole event seemed complete to its client."""
    event = 'id: 1\ndata: x\n\n'
    cut = _cut_replies.make_cut(name, then, event, fields=_STREAM_FIELDS)
    workers = generation.make_workers([_support.HANDLE], [cut])
    route = generation.make_stream_route(resumable=False, max_attempts=1)
    async with _support.open_gateway(route, *workers) as gateway:
        try:
            status, _, body = await gateway.send(headers=generation.PROMPT)
        except aiohttp.ClientPayloadError:
            return
    assert (status, body) == (502, b'')


@pytest.mark.parametrize(('name', 'then'), _cut_replies.WAYS)
async def test_prefill_that_breaks_off_is_not_used(name, then):
    """A stream was decoded from a cache that no whole answer named."""
    cut = _cut_replies.make_cut(name, then, _HANDLE, fields=_FIELDS)
    workers = generation.make_workers([cut], [_support.make_stream('x')])
    route = generation.make_stream_route(max_attempts=1)
    async with _support.open_gateway(route, *workers) as gateway:
        await gateway.send(headers=generation.PROMPT)
    assert not any('kv-source' in one for one in workers[1].requests)


@pytest.mark.parametrize('then', [_support.KEEP, _support.CLOSE])
@pytest.mark.parametrize('status', _cut_replies.STATUSES)
@pytest.mark.parametrize('kind', _Kind)
async def test_status_that_is_not_final_is_not_forwarded(kind, status, then):
    """Clients got a status that HTTP doesn't define as a response."""
    is_generation = kind == _Kind.GENERATION
    reply = _support.make_reply(status, 'x', _support.SEAL.strip(), then=then)
    workers = [_support.ScriptedWorker([reply])]
    if is_generation:
        workers = generation.make_workers([_support.HANDLE], [reply])
    route = _support.make_route(
        kind, max_attempts=1, timeout_s=1.5, resumable=False
    )
    async with _support.open_gateway(route, *workers) as gateway:
        answered, _, body = await gateway.send(
            headers=generation.PROMPT if is_generation else {}
        )
    assert answered in {502, 504}
    assert body == b''


@pytest.mark.parametrize('status', _cut_replies.STATUSES)
async def test_prefill_with_a_status_that_is_not_final_is_not_used(status):
    """A stream was decoded from a cache that no worker vouched for."""
    handle = _support.make_reply(status, _HANDLE, then=_support.CLOSE)
    workers = generation.make_workers([handle], [_support.make_stream('x')])
    route = generation.make_stream_route(max_attempts=1)
    async with _support.open_gateway(route, *workers) as gateway:
        await gateway.send(headers=generation.PROMPT)
    assert not any('kv-source' in one for one in workers[1].requests)
