"""Tests answers of faulty workers that operators of similar systems reported."""

import aiohttp
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
