"""Tests refusals that a faulty worker writes a second time."""

import pytest

from briarknot import schema
from briarknot.gateway.tests import _support
from briarknot.gateway.tests import test_generation as generation

_Kind = schema.serving.RequestKind
_PROMPT = {
    'Model': 'm',
    'Token-Counts': '9000,5',
    'Prompt-Prefix': 'aa:6000,bb:3000',
}
_REFUSALS = {
    'other_request': 'Request-Id: q1\r\nNot-Executed: 1\r\n',
    'no_request': 'Not-Executed: 1\r\n',
}


def make_refusal(header, status=503):
    """Makes a refusal without a body."""
    return f'HTTP/1.1 {status} X\r\n{header}Content-Length: 0\r\n\r\n'


@pytest.mark.parametrize('pause_s', [0, 0.2], ids=('at_once', 'late'))
@pytest.mark.parametrize('header', _REFUSALS.values(), ids=_REFUSALS)
@pytest.mark.parametrize('status', [503, 421])
async def test_second_copy_of_a_refusal_is_no_promise(status, header, pause_s):
    """Clients were told that a request that a worker ran had not run.

    The worker writes its refusal once more on the kept connection, before or
    after it gets the next request.
    """
    original = make_refusal('Request-Id: q1\r\nNot-Executed: 1\r\n', status)
    first = _support.Reply(
        original, later=(make_refusal(header, status),), pause_s=pause_s
    )
    answer = _support.make_reply(200, 'done', _support.SEAL.strip()).text
    worker = _support.ScriptedWorker(
        [first, _support.Reply(answer, delay_s=0.4)]
    )
    route = _support.make_route(_Kind.IDEMPOTENT, max_attempts=1)
    async with _support.open_gateway(route, worker) as gateway:
        status, _, _ = await gateway.send(headers={'Request-Id': 'q1'})
        assert status == 503
        status, headers, _ = await gateway.send(headers={'Request-Id': 'q2'})
    sent = [fields['request-id'] for fields in worker.requests]
    assert sent == ['q1', 'q2']
    assert status in {200, 502}
    assert 'Retry-After' not in headers


async def test_second_copy_of_a_refusal_starts_no_second_run():
    """A stream ran at a second worker, as it counted as refused by the first.

    The prefill is refused, and the refusal is written once more when the same
    worker gets the same request to run.
    """
    refusal = make_refusal('Request-Id: {id}\r\nNot-Executed: 1\r\n')
    copied = _support.Reply(
        make_refusal(
            'Request-Id: {id}\r\nNot-Executed: 1\r\nInstance-Load: 0,0,4\r\n'
        ),
        later=(refusal,),
        pause_s=0.2,
    )
    slow = _support.make_stream('x')
    workers = generation.make_workers(
        [_support.HANDLE, _support.make_reply(200)],
        [copied, _support.Reply(slow.text, delay_s=0.4)],
    )
    route = generation.make_stream_route(max_attempts=1)
    async with _support.open_gateway(route, *workers) as gateway:
        status, _, body = await gateway.send(headers=_PROMPT)
    assert status == 200
    assert generation.read_data(body) == ['x']
    assert len(workers[1].requests) == 2
