"""Tests requests to plain services, and the handling of failed attempts."""

import asyncio
import contextlib
import socket

import aiohttp
import attrs
import pytest

from briarknot import schema, telemetry
from briarknot.gateway.tests import _support

_Kind = schema.serving.RequestKind
_OK = _support.make_reply(200, 'done', 'Server-Seal: s')
#: Time limit of a route. The gateway answers slightly before it, and must answer
#: at most half a second after it.
_TIMEOUT_S = 0.3
_ANSWER_MARGIN_S = 0.05
_MAX_ANSWER_S = 0.85
#: Time after which a lost SYN is retransmitted; a request must have been sent to
#: another worker by then.
_MAX_FAILOVER_S = 1.0
_FAILED = _support.make_reply(500, 'oops', 'Server-Seal: s')


def make_plain_route(kind, **changes):
    """Makes a route to a plain service."""
    return _support.make_route(kind, **changes)


def count_requests(*workers):
    """Counts the requests that reached workers."""
    return sum(len(worker.requests) for worker in workers)


async def test_request_and_answer_are_forwarded_unchanged():
    """A worker would run a request that differs from the client's."""
    worker = _support.ScriptedWorker([_OK])
    route = make_plain_route(_Kind.NON_IDEMPOTENT)
    async with _support.open_gateway(route, worker) as gateway:
        status, headers, body = await gateway.send(
            path='/r/a%2Fb/../c?x=%20y',
            data=b'body',
            headers={'X-Own': '1', 'Kv-Source': 'forged', 'TE': 'trailers'},
        )
    request = worker.requests[0]
    assert request['first'] == 'POST /r/a%2Fb/../c?x=%20y HTTP/1.1'
    assert request['body'] == b'body'
    assert request['x-own'] == '1'
    assert request['request-id'] == 'q1'
    assert request['expect-instance'] == worker.entry.id
    assert 0 < int(request['deadline-ms']) <= 4000
    assert not {'kv-source', 'te'} & set(request)
    assert (status, body) == (200, b'done')
    assert headers['Server-Seal'] == 's'


@pytest.mark.parametrize(
    'reply',
    [
        _support.Reply('', _support.CLOSE),
        _support.Reply('', _support.RESET),
        _support.Reply(
            'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf', 'close'
        ),
        _support.Reply('nonsense\r\n\r\n', _support.CLOSE),
        _support.make_reply(503),
        _support.make_reply(429),
    ],
    ids=('closed', 'reset', 'truncated', 'garbage', '503', '429'),
)
async def test_request_with_unknown_outcome_is_not_retried(reply):
    """A request that may have run would run twice, or be reported as not run."""
    workers = [_support.ScriptedWorker([reply]) for _ in range(2)]
    route = make_plain_route(_Kind.NON_IDEMPOTENT)
    async with _support.open_gateway(route, *workers) as gateway:
        status, _, _ = await gateway.send()
    assert count_requests(*workers) == 1
    assert status == 502


async def test_rejected_request_is_sent_to_another_worker():
    """A request that no worker has run would fail although others are free."""
    workers = [
        _support.ScriptedWorker([_support.REJECTED]),
        _support.ScriptedWorker([_OK]),
    ]
    route = make_plain_route(_Kind.NON_IDEMPOTENT, max_attempts=1)
    async with _support.open_gateway(route, *workers) as gateway:
        _support.get_worker_record(gateway.context, workers[1]).in_flight = 1
        status, _, body = await gateway.send()
    assert (status, body) == (200, b'done')
    assert count_requests(*workers) == 2


async def test_refusal_has_retry_after():
    """Clients retry only after a 503, which states that nothing has run."""
    worker = _support.ScriptedWorker([_support.REJECTED])
    route = make_plain_route(_Kind.NON_IDEMPOTENT)
    async with _support.open_gateway(route, worker) as gateway:
        status, headers, _ = await gateway.send()
    assert status == 503
    assert 0 < float(headers['Retry-After']) <= 4 / 3


async def test_failed_idempotent_request_is_retried():
    """One failure of a worker would fail an idempotent request."""
    workers = [
        _support.ScriptedWorker([_FAILED]),
        _support.ScriptedWorker([_OK]),
    ]
    route = make_plain_route(_Kind.IDEMPOTENT)
    async with _support.open_gateway(route, *workers) as gateway:
        _support.get_worker_record(gateway.context, workers[1]).in_flight = 1
        status, _, body = await gateway.send('GET')
    assert (status, body) == (200, b'done')
    assert count_requests(*workers) == 2


async def test_attempts_of_a_route_bound_retries():
    """More workers would run a request than its route allows."""
    workers = [_support.ScriptedWorker([_FAILED]) for _ in range(4)]
    route = make_plain_route(_Kind.IDEMPOTENT, max_attempts=2)
    async with _support.open_gateway(route, *workers) as gateway:
        status, _, body = await gateway.send('GET')
    assert (status, body) == (500, b'oops')
    assert count_requests(*workers) == 2


async def test_answer_of_another_request_is_rejected():
    """A late answer on a reused connection would reach the wrong client."""
    extra = _support.Reply(
        'HTTP/1.1 200 OK\r\nRequest-Id: old\r\nServer-Seal: s\r\n'
        'Content-Length: 5\r\n\r\nother'
    )
    workers = [
        _support.ScriptedWorker([extra]),
        _support.ScriptedWorker([_OK]),
    ]
    route = make_plain_route(_Kind.IDEMPOTENT)
    async with _support.open_gateway(route, *workers) as gateway:
        _support.get_worker_record(gateway.context, workers[1]).in_flight = 1
        status, _, body = await gateway.send('GET')
    assert (status, body) == (200, b'done')
    assert count_requests(*workers) == 2


@pytest.mark.parametrize('then', [_support.CLOSE, _support.RESET])
async def test_body_without_a_length_needs_an_orderly_close(then):
    """A connection reset was taken for the end of the body."""
    reply = _support.Reply(
        'HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: s\r\n\r\npart',
        then,
        delay_s=0.05,
    )
    worker = _support.ScriptedWorker([reply])
    route = make_plain_route(_Kind.NON_IDEMPOTENT)
    async with _support.open_gateway(route, worker) as gateway:
        status, _, body = await gateway.send()
    if then == _support.CLOSE:
        assert (status, body) == (200, b'part')
    else:
        assert status == 502


async def test_time_limit_of_the_route_is_enforced():
    """A request without an answer would be held past its time limit."""
    worker = _support.ScriptedWorker([_support.Reply('', _support.HANG)])
    route = make_plain_route(_Kind.NON_IDEMPOTENT, timeout_s=_TIMEOUT_S)
    async with _support.open_gateway(route, worker) as gateway:
        started_s = asyncio.get_running_loop().time()
        status, _, _ = await gateway.send()
        seconds = asyncio.get_running_loop().time() - started_s
        await worker.disconnected.wait()
    assert status == 504
    assert _TIMEOUT_S <= seconds + _ANSWER_MARGIN_S < _MAX_ANSWER_S


async def test_disconnect_of_the_client_reaches_the_worker():
    """A worker would continue for a client that has disconnected."""
    worker = _support.ScriptedWorker([_support.Reply('', _support.HANG)])
    route = make_plain_route(_Kind.NON_IDEMPOTENT)
    async with _support.open_gateway(route, worker) as gateway:
        with pytest.raises(TimeoutError):
            await gateway.send(timeout=aiohttp.ClientTimeout(total=0.2))
        async with asyncio.timeout(2):
            await worker.disconnected.wait()


async def test_unreachable_worker_costs_no_retry():
    """Crashed workers would use up the retry budget of the whole fleet."""
    down = _support.ScriptedWorker([])
    up = _support.ScriptedWorker([_OK])
    route = make_plain_route(_Kind.NON_IDEMPOTENT)
    async with _support.open_gateway(route, down, up, hosts=10**6) as gateway:
        entry = down.entry
        workers = tuple(
            one if one.id != entry.id else make_unreachable(entry)
            for one in gateway.context.fleet.workers
        )
        gateway.context.fleet.apply_workers(workers, 0, after_outage=False)
        status, _, _ = await gateway.send()
    assert status == 200
    assert not down.requests


def make_unreachable(entry):
    """Returns an entry whose port has no listener."""
    return schema.serving.Worker(
        id=entry.id,
        service=entry.service,
        address=f'127.0.0.1:{_support.find_port()}',
        domain=entry.domain,
        slots=entry.slots,
    )


async def test_late_request_of_a_stopping_gateway_is_refused():
    """A late request on an open connection was aborted when the process ended."""
    worker = _support.ScriptedWorker([_OK])
    route = make_plain_route(_Kind.NON_IDEMPOTENT)
    async with _support.open_gateway(route, worker) as gateway:
        first, _, _ = await gateway.send()
        gateway.ingress.set_closing()
        gateway.ingress.refuse_requests()
        await gateway.ingress.stop_listening()
        status, headers, _ = await gateway.send()
    assert (first, status) == (200, 503)
    assert float(headers['Retry-After']) > 0
    assert len(worker.requests) == 1


async def test_log_names_the_worker_of_a_request_that_timed_out(monkeypatch):
    """The log showed that a request had timed out, but not at which worker."""
    events = []
    monkeypatch.setattr(
        telemetry,
        'log_event',
        lambda name, **inputs: events.append((name, inputs)),
    )
    worker = _support.ScriptedWorker([_support.Reply('', _support.HANG)])
    route = _support.make_route(_Kind.NON_IDEMPOTENT, timeout_s=0.2)
    async with _support.open_gateway(route, worker) as gateway:
        status, _, _ = await gateway.send()
    assert status == 504
    cancelled = [
        inputs for name, inputs in events if name == 'attempt_cancelled'
    ]
    assert [one['worker'] for one in cancelled] == [worker.entry.id]
    assert cancelled[0]['request'] == 'q1'


async def test_request_fails_over_from_a_worker_that_accepts_no_connection():
    """A request waited for an unresponsive worker until it had no worth."""
    worker = _support.ScriptedWorker([_OK])
    route = _support.make_route(_Kind.NON_IDEMPOTENT)
    async with contextlib.AsyncExitStack() as stack:
        gateway = await stack.enter_async_context(
            _support.open_gateway(route, worker)
        )
        unresponsive = stack.enter_context(socket.socket())
        unresponsive.bind(('127.0.0.1', 0))
        unresponsive.listen(0)
        port = unresponsive.getsockname()[1]
        for _ in range(3):
            # A full accept queue leaves further connections unanswered.
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(('127.0.0.1', port))
        entry = attrs.evolve(
            worker.entry, id='unresponsive', address=f'127.0.0.1:{port}'
        )
        gateway.context.fleet.apply_changes((entry,), (), now=0)
        _support.get_worker_record(gateway.context, worker).in_flight = 1
        async with asyncio.timeout(_MAX_FAILOVER_S):
            status, _, _ = await gateway.send()
    assert status == 200
