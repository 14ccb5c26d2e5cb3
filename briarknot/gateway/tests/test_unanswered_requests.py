"""Tests requests that end with neither a whole answer nor a refusal."""

import asyncio
import contextlib
import time
import types

import aiohttp
import attrs
import pytest

from briarknot import schema, telemetry
from briarknot.gateway import _requests
from briarknot.gateway.tests import _support
from briarknot.gateway.tests import test_generation as generation

_Kind = schema.serving.RequestKind
#: Longest time in which an event reaches a client in another region, with a
#: packet that is lost and sent again.
_MAX_DELAY_S = 0.3
_DIGEST = _support.SEAL.strip()
_HANGING = _support.Reply('', _support.HANG)
_PROMPT = {
    'Model': 'm',
    'Token-Counts': '9000,5',
    'Prompt-Prefix': 'aa:6000,bb:3000',
}


@attrs.define
class _Recorder:
    """Log lines of requests that end without a whole answer or a refusal."""

    lines: list = attrs.field(factory=list)
    arrived: asyncio.Event = attrs.field(factory=asyncio.Event)

    def record(self, event, **fields):
        """Records a log line."""
        if event in ('closed_unanswered', 'request_failed'):
            self.lines.append(
                (fields['request'], fields['reason'], fields['started'])
            )
            self.arrived.set()

    async def wait(self):
        """Waits for the first line; returns all."""
        async with asyncio.timeout(5):
            await self.arrived.wait()
        return self.lines


@pytest.fixture(name='recorder')
def record_lines(monkeypatch):
    """Records the log lines."""
    recorder = _Recorder()
    monkeypatch.setattr(telemetry, 'log_event', recorder.record)
    return recorder


async def test_answered_request_is_not_logged_as_unanswered(recorder):
    """Operators would look for losses that did not happen."""
    worker = _support.ScriptedWorker([_support.make_reply(200, 'x', _DIGEST)])
    route = _support.make_route(_Kind.NON_IDEMPOTENT)
    async with _support.open_gateway(route, worker) as gateway:
        assert (await gateway.send())[0] == 200
        assert (await gateway.send(path='/unknown'))[0] == 404
    assert not recorder.lines


async def test_client_that_leaves_is_logged(recorder):
    """The log did not distinguish it from a request that was lost."""
    worker = _support.ScriptedWorker([_HANGING])
    route = _support.make_route(_Kind.NON_IDEMPOTENT)
    async with _support.open_gateway(route, worker) as gateway:
        sent = asyncio.ensure_future(gateway.send())
        await worker.wait_requests(1)
        sent.cancel()
    assert await recorder.wait() == [('q1', 'client_left', False)]


async def test_stream_that_is_cut_off_is_logged(recorder):
    """The log had a line of the failed attempt only."""
    begun = _support.make_stream('x', then=_support.CLOSE, end=False)
    workers = generation.make_workers([_support.HANDLE], [begun])
    route = generation.make_stream_route(resumable=False)
    async with _support.open_gateway(route, *workers) as gateway:
        with pytest.raises(aiohttp.ClientPayloadError):
            await gateway.send(headers=_PROMPT)
    assert await recorder.wait() == [('q1', 'cut_off', True)]


@pytest.mark.parametrize(
    ('outcome', 'reason'),
    [
        (asyncio.CancelledError(), 'cancelled_wait'),
        (RuntimeError('Connection closed.'), 'error'),
    ],
)
async def test_fault_of_the_code_is_answered_and_logged(
    recorder, monkeypatch, outcome, reason
):
    """A cancelled wait counted as the client's leaving, an error as nothing."""
    worker = _support.ScriptedWorker([])
    route = _support.make_route(_Kind.NON_IDEMPOTENT)
    async with _support.open_gateway(route, worker) as gateway:

        async def fail(*_arguments, **_options):
            raise outcome

        monkeypatch.setattr(type(gateway.context.calls), 'run', fail)
        status, headers, _ = await gateway.send()
    assert (status, headers['Request-Id']) == (502, 'q1')
    assert await recorder.wait() == [('q1', reason, False)]


async def test_handler_without_a_result_is_answered(recorder, monkeypatch):
    """The connection was closed as if its client had left."""

    async def do_nothing(*_arguments):
        pass

    handlers = types.SimpleNamespace(get=lambda _kind: do_nothing)
    monkeypatch.setattr(_requests, 'HANDLERS', handlers)
    route = _support.make_route(_Kind.NON_IDEMPOTENT)
    async with _support.open_gateway(route) as gateway:
        status, _, _ = await gateway.send()
    assert status == 502
    assert await recorder.wait() == [('q1', 'no_result', False)]


_HEAD = 'HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: s\r\n'
_CHUNKED_HEAD = f'{_HEAD}Transfer-Encoding: chunked\r\n\r\n'
_EVENT = 'id: 1\ndata: x\n\n'
_CHUNK = f'{len(_EVENT):x}\r\n{_EVENT}\r\n'
_BAD_CHUNK = 'zz\r\nno chunk\r\n'


def make_damaged_reply(then):
    """Makes an answer whose framing is damaged after its first chunk."""
    text = f'{_CHUNKED_HEAD}{_CHUNK}'
    return _support.Reply(text, then, later=(_BAD_CHUNK,), pause_s=0.1)


@pytest.mark.parametrize('then', [_support.CLOSE, _support.SILENT])
@pytest.mark.parametrize('kind', [_Kind.IDEMPOTENT, _Kind.NON_IDEMPOTENT])
async def test_damaged_body_is_refused_at_once(kind, then):
    """Its client waited until the time limit of its request."""
    worker = _support.ScriptedWorker([make_damaged_reply(then)])
    route = _support.make_route(kind, max_attempts=1)
    async with _support.open_gateway(route, worker) as gateway:
        started_s = time.monotonic()
        status, _, _ = await gateway.send()
        assert time.monotonic() - started_s < 2
    assert status == 502


@pytest.mark.parametrize('then', [_support.CLOSE, _support.SILENT])
async def test_stream_with_a_damaged_body_is_resumed(recorder, then):
    """An exception closed the connection, and no line named the request."""
    handles = [_support.HANDLE, _support.HANDLE]
    rest = _support.make_stream('y', start=2)
    workers = generation.make_workers(
        handles, [make_damaged_reply(then)], [rest]
    )
    route = generation.make_stream_route()
    async with _support.open_gateway(route, *workers) as gateway:
        _support.get_worker_record(gateway.context, workers[2]).in_flight = 1
        status, _, body = await gateway.send(headers=_PROMPT)
    assert (status, generation.read_data(body)) == (200, ['x', 'y'])
    assert not recorder.lines


def make_paused_workers(*decodes):
    """Makes workers of which one is silent in the middle of its stream."""
    begun = _support.make_stream('x', end=False)
    rest = _support.make_stream('y', start=2).text.partition('\r\n\r\n')[2]
    paused = _support.Reply(begun.text, later=(rest,), pause_s=1.8)
    handles = [_support.HANDLE, _support.HANDLE]
    return generation.make_workers(handles, [paused], *decodes)


async def test_silent_worker_is_kept_where_no_other_one_is_left(recorder):
    """A sound worker paused for a second or so, and its stream was cut off."""
    workers = make_paused_workers()
    route = generation.make_stream_route(max_silence_s=3.0)
    async with _support.open_gateway(route, *workers) as gateway:
        status, _, body = await gateway.send(headers=_PROMPT)
    assert (status, generation.read_data(body)) == (200, ['x', 'y'])
    assert not recorder.lines


async def test_silent_worker_is_kept_where_the_other_one_has_rejected(recorder):
    """The stream was cut off for a worker that is not tried again."""
    workers = make_paused_workers([_support.REJECTED])
    route = generation.make_stream_route(max_silence_s=3.0)
    async with _support.open_gateway(route, *workers) as gateway:
        record = _support.get_worker_record(gateway.context, workers[1])
        record.in_flight = 1
        status, _, body = await gateway.send(headers=_PROMPT)
    assert (status, generation.read_data(body)) == (200, ['x', 'y'])
    assert len(workers[2].requests) == 1
    assert not recorder.lines


async def test_silent_worker_is_kept_until_another_one_accepts(recorder):
    """Streams were cut off as the other worker was full, though both were sound."""
    workers = make_paused_workers([_support.REJECTED])
    route = generation.make_stream_route(max_silence_s=3.0)
    async with _support.open_gateway(route, *workers) as gateway:
        # It is idle, so that only its answer shows that it takes nothing.
        own = _support.get_worker_record(gateway.context, workers[2])
        own.in_flight = 1
        sent = asyncio.ensure_future(gateway.send(headers=_PROMPT))
        await workers[1].wait_requests(1)
        own.in_flight = 0
        status, _, body = await sent
    assert (status, generation.read_data(body)) == (200, ['x', 'y'])
    assert len(workers[2].requests) == 1
    assert not recorder.lines


async def test_worker_that_goes_on_before_another_one_accepts_is_kept(recorder):
    """Its stream was given up for a worker whose queue it then waited in."""
    workers = make_paused_workers([_HANGING])
    route = generation.make_stream_route(max_silence_s=9.0)
    async with _support.open_gateway(route, *workers) as gateway:
        own = _support.get_worker_record(gateway.context, workers[2])
        own.in_flight = 1
        status, _, body = await gateway.send(headers=_PROMPT)
        async with asyncio.timeout(5):
            await workers[2].disconnected.wait()
        record = _support.get_worker_record(gateway.context, workers[1])
        assert not record.is_blocked(time.monotonic())
        assert (own.in_flight, record.in_flight) == (1, 0)
    assert (status, generation.read_data(body)) == (200, ['x', 'y'])
    assert len(workers[2].requests) == 1
    assert not recorder.lines


async def test_silent_worker_is_kept_where_no_retry_is_left(recorder):
    """The stream was cut off as the retry budget allowed no resumption."""
    workers = make_paused_workers([])
    route = generation.make_stream_route(max_silence_s=3.0)
    async with _support.open_gateway(route, *workers) as gateway:
        _support.get_worker_record(gateway.context, workers[2]).in_flight = 1
        gateway.context.budget.set_limits(0, 1, 10)
        status, _, body = await gateway.send(headers=_PROMPT)
    assert (status, generation.read_data(body)) == (200, ['x', 'y'])
    assert not recorder.lines


async def test_stream_is_not_ended_before_its_client_leaves():
    """A client counts from when an event reached it, later than a gateway."""
    begun = _support.make_stream('x', end=False)
    silent = _support.Reply(begun.text, _support.SILENT)
    workers = generation.make_workers([_support.HANDLE], [silent])
    # The gateway checks every 0.3 s, here also just after this time.
    max_silence_s = 0.9
    route = generation.make_stream_route(
        resumable=False, max_silence_s=max_silence_s
    )
    async with _support.open_gateway(route, *workers) as gateway:
        async with gateway.session.post(
            f'{gateway.url}/r/x', headers={'Request-Id': 'q1', **_PROMPT}
        ) as response:
            await response.content.readany()
            started_s = time.monotonic()
            with pytest.raises(aiohttp.ClientPayloadError):
                await response.content.read()
            seconds = time.monotonic() - started_s
    assert seconds > max_silence_s + _MAX_DELAY_S


@pytest.mark.parametrize('status', [204, 304])
@pytest.mark.parametrize('then', [_support.KEEP, _support.SILENT])
async def test_answer_without_a_body_is_sent_at_once(status, then):
    """It was held until its idle connection to the worker was closed."""
    reply = _support.Reply(
        f'HTTP/1.1 {status} X\r\nRequest-Id: {{id}}\r\n{_support.SEAL}\r\n',
        then,
    )
    worker = _support.ScriptedWorker([reply])
    route = _support.make_route(_Kind.IDEMPOTENT)
    async with _support.open_gateway(route, worker) as gateway:
        started_s = time.monotonic()
        answer = await gateway.send()
        assert time.monotonic() - started_s < 1
    assert (answer[0], answer[2]) == (status, b'')


@contextlib.asynccontextmanager
async def open_connection(gateway):
    """Opens a connection to a gateway."""
    host, _, port = gateway.url.removeprefix('http://').partition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        yield reader, writer
    finally:
        writer.close()


async def test_request_is_open_until_its_answer_is_written():
    """A stop ended the process while the last answer was being written."""
    size = 8 << 20
    body = 'x' * (size - 1)
    worker = _support.ScriptedWorker([_support.make_reply(200, body, _DIGEST)])
    route = _support.make_route(_Kind.NON_IDEMPOTENT)
    async with _support.open_gateway(route, worker) as gateway:
        async with open_connection(gateway) as (reader, writer):
            writer.write(b'GET /r/x HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n')
            head = await reader.readuntil(b'\r\n\r\n')
            assert b'200 OK' in head
            await gateway.ingress.wait_idle(0.3)
            assert gateway.ingress.open_requests == 1
            await reader.readexactly(len(body))
            await gateway.ingress.wait_idle(5)
            assert not gateway.ingress.open_requests


async def wait_open(gateway):
    """Waits until a gateway has read the head of a request."""
    for _ in range(500):
        if gateway.ingress.open_requests:
            return
        await asyncio.sleep(0.01)


_POST = b'POST /r/x HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: q1\r\n'


@pytest.mark.parametrize(
    ('framing', 'body'),
    [
        (b'Content-Length: 5\r\n\r\n', b'hi'),
        (b'Transfer-Encoding: chunked\r\n\r\n', b'2\r\nhi\r\nzz\r\n'),
    ],
    ids=['incomplete', 'damaged'],
)
async def test_request_without_its_whole_body_is_refused(framing, body):
    """It stayed open without an answer, and a planned stop waited for it."""
    route = _support.make_route(_Kind.NON_IDEMPOTENT)
    async with _support.open_gateway(route) as gateway:
        async with open_connection(gateway) as (reader, writer):
            writer.write(_POST + b'Deadline-Ms: 300\r\n' + framing)
            await wait_open(gateway)
            writer.write(body)
            async with asyncio.timeout(5):
                head = await reader.readuntil(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 408 ')
        assert b'Request-Id: q1\r\n' in head
        assert b'Connection: close\r\n' in head
        assert not gateway.ingress.open_requests


async def test_streams_of_a_silent_worker_do_not_use_each_others_retries(
    recorder,
):
    """All of them were given up, and the budget allowed none to be resumed."""
    begun = _support.make_stream('x', end=False)
    rest = _support.make_stream('y', start=2)
    paused = _support.Reply(
        begun.text, later=(rest.text.partition('\r\n\r\n')[2],), pause_s=1.8
    )
    late = attrs.evolve(_support.HANDLE, delay_s=0.5)
    handles = [_support.HANDLE, _support.HANDLE, late, late]
    workers = generation.make_workers(handles, [paused, paused], [rest, rest])
    route = generation.make_stream_route(max_silence_s=3.0)
    async with _support.open_gateway(route, *workers) as gateway:
        _support.get_worker_record(gateway.context, workers[2]).in_flight = 9
        gateway.context.budget.set_limits(0, 3, 10)
        sent = []
        for number in range(2):
            headers = {**_PROMPT, 'Request-Id': f'q{number}'}
            sent.append(asyncio.ensure_future(gateway.send(headers=headers)))
            await workers[1].wait_requests(number + 1)
        answers = await asyncio.gather(*sent)
    for status, _, body in answers:
        assert (status, generation.read_data(body)) == (200, ['x', 'y'])
    assert len(workers[2].requests) == 1
    assert not recorder.lines


async def test_log_names_the_time_limits_of_a_stream_that_is_cut(monkeypatch):
    """It was unknown which limit had ended a stream beside a new manifest."""
    ended = []

    def record(event, **fields):
        if event == 'request_ended':
            ended.append(fields)

    monkeypatch.setattr(telemetry, 'log_event', record)
    begun = _support.make_stream('x', end=False)
    silent = _support.Reply(begun.text, _support.SILENT)
    workers = generation.make_workers([_support.HANDLE], [silent])
    route = generation.make_stream_route(resumable=False, timeout_s=0.5)
    async with _support.open_gateway(route, *workers) as gateway:
        with pytest.raises(aiohttp.ClientPayloadError):
            await gateway.send(headers=_PROMPT)
    fields = ended[0]
    assert fields['outcome'] == 'endpoint_timeout'
    names = ('client_limit_s', 'route_limit_s', 'newest_limit_s', 'stopping')
    assert [fields[name] for name in names] == [4, 0.5, 0.5, False]


_LIMIT_S = 1.0


@pytest.mark.parametrize('resumable', [False, True])
async def test_stream_is_not_cut_before_its_time_limit(resumable):
    """Its client saw a lost request where it was about to leave itself."""
    begun = _support.make_stream('x', end=False)
    silent = _support.Reply(begun.text, _support.SILENT)
    workers = generation.make_workers([_support.HANDLE], [silent])
    route = generation.make_stream_route(
        resumable=resumable, timeout_s=_LIMIT_S
    )
    async with _support.open_gateway(route, *workers) as gateway:
        started_s = time.monotonic()
        with pytest.raises(aiohttp.ClientPayloadError):
            await gateway.send(headers=_PROMPT)
        seconds = time.monotonic() - started_s
    assert seconds >= _LIMIT_S


async def test_stream_that_ends_after_its_time_limit_is_not_resumed():
    """A worker got a request whose time was over."""
    begun = _support.make_stream('x', end=False)
    late = _support.Reply(
        begun.text, _support.CLOSE, later=(':\n',), pause_s=_LIMIT_S + 0.05
    )
    handles = [_support.HANDLE, _support.HANDLE]
    workers = generation.make_workers(handles, [late], [])
    route = generation.make_stream_route(timeout_s=_LIMIT_S)
    async with _support.open_gateway(route, *workers) as gateway:
        _support.get_worker_record(gateway.context, workers[2]).in_flight = 9
        with pytest.raises(aiohttp.ClientPayloadError):
            await gateway.send(headers=_PROMPT)
        record = _support.get_worker_record(gateway.context, workers[1])
    assert not record.failure_rate
    methods = [one['first'].split()[0] for one in workers[0].requests]
    assert methods.count('POST') == 1
    assert not workers[2].requests


async def test_client_that_waits_to_send_its_body_is_asked_for_it():
    """It waited for an interim answer that the gateway never sent."""
    worker = _support.ScriptedWorker([_support.make_reply(200, 'x', _DIGEST)])
    route = _support.make_route(_Kind.NON_IDEMPOTENT)
    async with _support.open_gateway(route, worker) as gateway:
        async with open_connection(gateway) as (reader, writer):
            writer.write(
                _POST + b'Expect: 100-continue\r\nContent-Length: 2\r\n\r\n'
            )
            async with asyncio.timeout(5):
                interim = await reader.readuntil(b'\r\n\r\n')
                writer.write(b'hi')
                head = await reader.readuntil(b'\r\n\r\n')
    assert interim == b'HTTP/1.1 100 Continue\r\n\r\n'
    assert head.startswith(b'HTTP/1.1 200 OK\r\n')
    assert worker.requests[0]['body'] == b'hi'
    assert 'expect' not in worker.requests[0]


async def test_interim_status_is_no_final_answer():
    """Its client waited for the answer that follows a 101."""
    reply = _support.Reply(
        'HTTP/1.1 101 Switching Protocols\r\nRequest-Id: {id}\r\n\r\n'
    )
    worker = _support.ScriptedWorker([reply])
    route = _support.make_route(_Kind.NON_IDEMPOTENT)
    async with _support.open_gateway(route, worker) as gateway:
        status, _, _ = await gateway.send()
    assert status == 502


async def test_client_that_closes_its_side_counts_as_left(recorder):
    """Clients leave by closing; one that only ends sending looks the same."""
    worker = _support.ScriptedWorker([_HANGING])
    route = _support.make_route(_Kind.NON_IDEMPOTENT)
    async with _support.open_gateway(route, worker) as gateway:
        async with open_connection(gateway) as (_, writer):
            writer.write(_POST + b'Content-Length: 2\r\n\r\nhi')
            await worker.wait_requests(1)
            writer.write_eof()
            assert await recorder.wait() == [('q1', 'client_left', False)]


@pytest.mark.parametrize('kind', _Kind)
async def test_request_outlives_its_route_service_and_worker(recorder, kind):
    """A newer manifest, or list of workers, ended what was being answered."""
    is_stream = kind == _Kind.GENERATION
    stage, whole, end = 'none', _support.make_reply(200, 'x', _DIGEST), b'x'
    if is_stream:
        stage, whole, end = 'decode', _support.make_stream('x', 'y'), b'y\n\n'
    reply = attrs.evolve(whole, delay_s=0.3)
    worker = _support.ScriptedWorker([reply], stage)
    route = _support.make_route(kind, max_attempts=1)
    async with _support.open_gateway(route, worker) as gateway:
        sent = asyncio.ensure_future(
            gateway.send(headers=_PROMPT if is_stream else {})
        )
        await worker.wait_requests(1)
        fleet = gateway.context.fleet
        fleet.apply_manifest(
            attrs.evolve(fleet.manifest, version=2, routes=(), services=())
        )
        fleet.apply_workers((), time.monotonic(), after_outage=False)
        gateway.context.worker_records.remove(worker.entry.id)
        gateway.context.prompt_load.remove_worker(worker.entry.id)
        status, _, body = await sent
        assert (await gateway.send())[0] == 404
    assert status == 200
    assert body.endswith(end)
    assert not recorder.lines
