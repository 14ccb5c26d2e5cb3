"""Tests requests whose worker reads them and closes without an answer."""

import pytest

from briarknot import schema
from briarknot.gateway.tests import _support

_Kind = schema.serving.RequestKind
_METHODS = ('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'PATCH', 'POST')
_OK = _support.make_reply(200, 'done', 'Server-Seal: s')
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
