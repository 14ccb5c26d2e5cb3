"""Tests requests whose worker reads them and closes without an answer."""

import itertools
import time

import pytest

from briarknot import schema, serving
from briarknot.gateway.tests import _support

_Kind = schema.serving.RequestKind
_METHODS = ('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'PATCH', 'POST')
_OK = _support.make_reply(200, 'done', 'Server-Seal: s')
_EMPTY = _support.make_reply(200, '', 'Server-Seal: s')
_CLOSED = _support.Reply('', _support.CLOSE)
_RESET = _support.Reply('', _support.RESET)


class EndingWorker(_support.ScriptedWorker):
    """Ends with each request: it closes and refuses further connections."""

    async def _take_reply(self, head, reader):
        self.script = [_CLOSED]
        self.server.close()
        return await super()._take_reply(head, reader)


def list_requests(*workers):
    """Lists the first lines of the requests that reached workers."""
    return [one['first'] for worker in workers for one in worker.requests]


@pytest.mark.parametrize('method', _METHODS)
@pytest.mark.parametrize('reply', [_CLOSED, _RESET], ids=('close', 'reset'))
async def test_request_that_may_run_once_is_sent_once(method, reply):
    """The HTTP client sent a PUT or DELETE again, and its worker ran it twice."""
    workers = [_support.ScriptedWorker([reply, _OK]) for _ in range(2)]
    route = _support.make_route(_Kind.NON_IDEMPOTENT)
    async with _support.open_gateway(route, *workers) as gateway:
        status, _, _ = await gateway.send(method)
    assert list_requests(*workers) == [f'{method} /r/x HTTP/1.1']
    assert status == 502


@pytest.mark.parametrize('method', _METHODS)
async def test_crash_in_a_run_is_no_refused_connection(method):
    """A PUT whose worker crashed ran at the next one, or got 503 for not run."""
    workers = [EndingWorker([]) for _ in range(3)]
    route = _support.make_route(_Kind.NON_IDEMPOTENT)
    async with _support.open_gateway(route, *workers) as gateway:
        status, _, _ = await gateway.send(method)
    assert list_requests(*workers) == [f'{method} /r/x HTTP/1.1']
    assert status == 502


@pytest.mark.parametrize('method', _METHODS)
@pytest.mark.parametrize('max_attempts', [1, 2])
async def test_lookup_on_a_closed_connection_is_served(method, max_attempts):
    """A lookup failed where the only worker had closed its kept connection."""
    worker = _support.ScriptedWorker([_EMPTY, _CLOSED, _EMPTY])
    route = _support.make_route(_Kind.IDEMPOTENT, max_attempts=max_attempts)
    async with _support.open_gateway(route, worker) as gateway:
        statuses = [(await gateway.send(method))[0] for _ in range(2)]
        budget = gateway.context.budget
        left = budget.count_remaining('s', time.monotonic())
        assert left < budget.count_remaining('other', time.monotonic())
    assert statuses == [200, 200]
    assert len(worker.requests) == 3


async def test_worker_that_closes_each_connection_gets_a_lookup_twice():
    """A worker that closes each time got the same lookup up to five times."""
    worker = _support.ScriptedWorker(itertools.repeat(_CLOSED, 5))
    route = _support.make_route(_Kind.IDEMPOTENT, max_attempts=5)
    async with _support.open_gateway(route, worker) as gateway:
        status, _, _ = await gateway.send('GET')
    assert status == 502
    assert len(worker.requests) == 2


async def test_lookup_without_an_answer_goes_to_another_worker_first():
    """A worker that loses answers got the lookup again, beside a sound one."""
    workers = [_support.ScriptedWorker([_CLOSED, _OK]) for _ in range(2)]
    route = _support.make_route(_Kind.IDEMPOTENT)
    async with _support.open_gateway(route, *workers) as gateway:
        await gateway.send('GET')
    assert [len(one.requests) for one in workers] == [1, 1]


@pytest.mark.parametrize('method', _METHODS)
@pytest.mark.parametrize('max_attempts', [1, 2, 5])
async def test_lookup_that_ends_workers_is_quarantined(method, max_attempts):
    """A lookup ended all workers, each time that it came, as not sent to any."""
    workers = [EndingWorker([]) for _ in range(8)]
    route = _support.make_route(_Kind.IDEMPOTENT, max_attempts=max_attempts)
    async with _support.open_gateway(route, *workers) as gateway:
        for _ in range(8):
            status, _, _ = await gateway.send(method)
    assert len(list_requests(*workers)) <= 3
    assert status == 503


async def test_kv_cache_is_freed_beside_a_closed_connection():
    """A KV cache kept its memory as its worker had closed the connection."""
    worker = _support.ScriptedWorker([_EMPTY, _CLOSED, _EMPTY])
    route = _support.make_route(_Kind.IDEMPOTENT)
    async with _support.open_gateway(route, worker) as gateway:
        await gateway.send('GET')
        source = serving.KvSource(worker=worker.entry, handle='k1', tokens=1)
        assert await gateway.context.calls.free(source, 1)
    sent = list_requests(worker)[1:]
    assert len(sent) == 2
    assert set(sent) == {'DELETE /v1/kv-handle/k1 HTTP/1.1'}
