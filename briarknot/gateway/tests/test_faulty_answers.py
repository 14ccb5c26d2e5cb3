"""Tests answers of faulty workers that operators of similar systems reported."""

import aiohttp
import attrs
import pytest

from briarknot import schema
from briarknot.gateway.tests import _support
from briarknot.gateway.tests import test_generation as generation

_Kind = schema.serving.RequestKind
_HEAD = 'HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: s\r\n'
_STREAM_HEAD = f'{_HEAD}Content-Type: text/event-stream\r\n'
_PROMPT = {
    'Model': 'm',
    'Token-Counts': '9000,5',
    'Prompt-Prefix': 'aa:6000,bb:3000',
}


@pytest.mark.parametrize('status', [500, 503, 404, 204])
async def test_error_of_the_next_worker_is_not_part_of_the_stream(status):
    """Clients found an error's text in the middle of their stream."""
    begun = _support.make_stream('x', then=_support.CLOSE, end=False)
    error = _support.make_reply(status, '' if status == 204 else 'error text')
    workers = generation.make_workers(
        [_support.HANDLE, _support.HANDLE, _support.HANDLE],
        [begun],
        [error],
        [error],
    )
    route = generation.make_stream_route(max_attempts=3)
    received = []
    async with _support.open_gateway(route, *workers) as gateway:
        for busy, decode in enumerate(workers[1:]):
            record = _support.get_worker_record(gateway.context, decode)
            record.in_flight = busy
        with pytest.raises(aiohttp.ClientPayloadError):
            async with gateway.session.post(
                f'{gateway.url}/r/x',
                headers={'Request-Id': 'q1', 'Deadline-Ms': '4000', **_PROMPT},
            ) as response:
                async for part in response.content.iter_any():
                    received.append(part)
    assert b''.join(received) == b'id: 1\ndata: x\n\n'


_CUT_HEADS = {
    'in_a_name': f'{_HEAD}Content-Le',
    'in_a_value': f'{_HEAD}Content-Length: 1',
    'before_the_empty_line': f'{_HEAD}Content-Length: 4\r\n',
    'in_the_status_line': 'HTTP/1.1 200 O',
}


@pytest.mark.parametrize('text', _CUT_HEADS.values(), ids=_CUT_HEADS)
@pytest.mark.parametrize('kind', _Kind)
async def test_head_that_breaks_off_is_no_success(kind, text):
    """Clients got a 200 with an empty body for an answer without a body."""
    cut = _support.Reply(text, _support.CLOSE)
    stage = 'decode' if kind == _Kind.GENERATION else 'none'
    worker = _support.ScriptedWorker([cut], stage)
    route = _support.make_route(kind, max_attempts=1)
    async with _support.open_gateway(route, worker) as gateway:
        status, headers, body = await gateway.send(
            headers=_PROMPT if kind == _Kind.GENERATION else {}
        )
    assert (status, body) == (502, b'')
    assert 'Server-Seal' not in headers


@pytest.mark.parametrize(
    'framing',
    ['\r\n', 'Transfer-Encoding: chunked\r\n\r\n'],
    ids=('no_length', 'chunked'),
)
async def test_stream_that_ends_inside_an_event_is_resumed(framing):
    """A stream that had broken off reached the client as a complete one."""
    events = 'id: 1\ndata: x\n\n', 'id: 2\nda'
    text = ''.join(events)
    if 'chunked' in framing:
        text = ''.join(f'{len(one):x}\r\n{one}\r\n' for one in (*events, ''))
    cut = _support.Reply(f'{_STREAM_HEAD}{framing}{text}', _support.CLOSE)
    rest = _support.make_stream('y', start=2)
    handles = [_support.HANDLE, _support.HANDLE]
    workers = generation.make_workers(handles, [cut], [rest])
    async with _support.open_gateway(
        generation.make_stream_route(), *workers
    ) as gateway:
        _support.get_worker_record(gateway.context, workers[2]).in_flight = 1
        status, _, body = await gateway.send(headers=_PROMPT)
    assert (status, generation.read_data(body)) == (200, ['x', 'y'])
    assert workers[2].requests[0]['last-event-id'] == '1'


async def test_stream_without_a_length_is_complete_at_its_end():
    """A stream that ends with its connection was resumed, or cut off."""
    text = 'id: 1\ndata: x\n\nid: 2\ndata: y\n\n'
    whole = _support.Reply(f'{_STREAM_HEAD}\r\n{text}', _support.CLOSE)
    workers = generation.make_workers([_support.HANDLE], [whole])
    async with _support.open_gateway(
        generation.make_stream_route(), *workers
    ) as gateway:
        status, _, body = await gateway.send(headers=_PROMPT)
    assert (status, body.decode()) == (200, text)


_STALE_BODY = '{"kvHandle":"stale","tokens":10,"version":1}'
_STALE_ANSWERS = {
    f'{status}{name}': (
        f'HTTP/1.1 {status} X\r\n{header}'
        f'Content-Length: {len(_STALE_BODY)}\r\n\r\n{_STALE_BODY}'
    )
    for status in (200, 404, 500)
    for name, header in (('', ''), ('_digest', _support.SEAL))
}


def make_answers(first, second, stale):
    """Makes two answers, and bytes that arrive between them.

    They arrive on the kept connection after the second request has been sent.
    """
    return [
        attrs.evolve(first, later=(stale,), pause_s=0.2),
        attrs.evolve(second, delay_s=0.5),
    ]


@pytest.mark.parametrize(
    'stale', _STALE_ANSWERS.values(), ids=_STALE_ANSWERS.keys()
)
async def test_bytes_after_an_answer_are_not_the_next_one(stale):
    """The next client on the connection got bytes that name no request."""
    answer = _support.make_reply(200, 'done', _support.SEAL.strip())
    worker = _support.ScriptedWorker(make_answers(answer, answer, stale))
    route = _support.make_route(_Kind.IDEMPOTENT, max_attempts=1)
    async with _support.open_gateway(route, worker) as gateway:
        assert (await gateway.send('GET'))[0] == 200
        status, _, body = await gateway.send(
            'GET', headers={'Request-Id': 'q2'}
        )
    assert len(worker.requests) == 2
    assert (status, body) == (502, b'')


async def test_bytes_after_an_answer_are_not_a_kv_cache():
    """A stream fetched a KV cache that its prefill worker had not made."""
    stale = _STALE_ANSWERS['200']
    handles = make_answers(_support.HANDLE, _support.HANDLE, stale)
    stream = _support.make_stream('x')
    workers = generation.make_workers(
        [*handles, _support.HANDLE], [stream, stream]
    )
    route = generation.make_stream_route()
    async with _support.open_gateway(route, *workers) as gateway:
        for number in range(2):
            headers = {**_PROMPT, 'Request-Id': f'q{number}'}
            await gateway.send(headers=headers)
    sources = [one.get('kv-source', '') for one in workers[1].requests]
    assert sources
    assert not any('stale' in one for one in sources)


@pytest.mark.parametrize('kind', _Kind)
async def test_success_without_a_digest_is_not_forwarded(kind):
    """Clients got a success that no worker vouched for."""
    stage, reply = 'none', _support.make_reply(200, 'x')
    if kind == _Kind.GENERATION:
        text = _support.make_stream('x').text.replace(_support.SEAL, '')
        stage, reply = 'decode', _support.Reply(text)
    worker = _support.ScriptedWorker([reply], stage)
    route = _support.make_route(kind, max_attempts=1)
    async with _support.open_gateway(route, worker) as gateway:
        status, _, body = await gateway.send(
            headers=_PROMPT if kind == _Kind.GENERATION else {}
        )
    assert (status, body) == (502, b'')
