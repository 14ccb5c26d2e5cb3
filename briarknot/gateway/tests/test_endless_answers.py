"""Tests answers that never end: heads, bodies and events without limit.

A worker or the store may send bytes until its peer closes the connection. Each
case must cost bounded memory and time, and end with a cause.
"""

import asyncio
import contextlib
import time

import aiohttp
import attrs
import psutil
import pytest

from briarknot import platform, schema
from briarknot.gateway import _context
from briarknot.gateway.tests import _support

_Kind = schema.serving.RequestKind
_HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nServer-Seal: s\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
_BLOCK = 16384
#: Memory that one endless answer may cost; the smallest hosts have 200 MB.
_MAX_GROWTH_BYTES = 48 << 20
#: The time limit of the route is 8 s; an endless answer ends well before it.
_TIMEOUT_S = 8.0
_MAX_SECONDS = 6.0
#: Start and repeated part of each endless answer.
_ANSWERS = {
    'status_line': (b'HTTP/1.1 200 ', b'x' * _BLOCK),
    'header_line': (b'%sX-Long: ' % _HEAD, b'x' * _BLOCK),
    'header_lines': (_HEAD, b'X-Many: 1\r\n' * 1000),
    'interim_answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 500),
    'body_without_length': (b'%s\r\n' % _HEAD, b'x' * _BLOCK),
    'chunks': (
        b'%s%s' % (_HEAD, _CHUNKED),
        b'%x\r\n%s\r\n' % (_BLOCK, b'x' * _BLOCK),
    ),
    'chunk_extension': (b'%s%s1;' % (_HEAD, _CHUNKED), b'x' * _BLOCK),
    'trailers': (b'%s%s0\r\n' % (_HEAD, _CHUNKED), b'X-Many: 1\r\n' * 1000),
}
_EVENT = (b'%s%sb\r\nid: 1\ndata:\r\n' % (_HEAD, _CHUNKED), b'4\r\nabcd\r\n')


@attrs.define(eq=False)
class EndlessServer:
    """Sends a start and then repeats a block until its peer closes."""

    start: bytes
    block: bytes
    stage: str = 'none'
    port: int = 0
    server: asyncio.Server | None = None
    sent_bytes: int = 0
    closed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def entry(self):
        """Its entry in the fleet."""
        return schema.serving.Worker(
            id=f'i-{self.port}',
            service='s',
            address=f'127.0.0.1:{self.port}',
            domain='a',
            slots=4,
            stage=schema.serving.Stage(self.stage),
        )

    async def answer(self, reader, writer):
        """Serves one connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(self.start)
            while True:
                writer.write(self.block)
                self.sent_bytes += len(self.block)
                await writer.drain()
        self.closed.set()
        writer.close()


@contextlib.asynccontextmanager
async def limit_memory():
    """Fails if the memory of this process grows too much meanwhile."""
    process = psutil.Process()
    start = process.memory_info().rss
    peaks = [start]

    async def sample():
        while True:
            peaks.append(process.memory_info().rss)
            await asyncio.sleep(0.02)

    task = asyncio.create_task(sample())
    yield
    task.cancel()
    growth = max(peaks) - start
    print(f'memory grew by {growth / 1e6:.1f} MB')
    assert growth < _MAX_GROWTH_BYTES


@pytest.mark.parametrize('name', _ANSWERS)
async def test_endless_answer_of_a_worker_ends(name):
    """It was read into memory until the time limit of the route."""
    worker = EndlessServer(*_ANSWERS[name])
    route = _support.make_route(
        _Kind.IDEMPOTENT, max_attempts=1, timeout_s=_TIMEOUT_S
    )
    async with _support.open_gateway(route, worker) as gateway:
        started_s = time.monotonic()
        async with limit_memory():
            status, headers, _ = await gateway.send(
                headers={'Deadline-Ms': '20000'}
            )
        seconds = time.monotonic() - started_s
        async with asyncio.timeout(2):
            await worker.closed.wait()
    assert status in {502, 504}
    assert 'Retry-After' not in headers
    assert seconds < _MAX_SECONDS


def count_foreign():
    """Counts the answers that were none."""
    attempts = next(iter(_context.ATTEMPTS.collect()))
    broken = next(iter(_context.BROKEN_ANSWERS.collect()))
    return sum(
        sample.value
        for sample in (*attempts.samples, *broken.samples)
        if sample.name.endswith('_total')
        and 'foreign answer' in sample.labels.values()
    )


@pytest.mark.parametrize('name', ['interim_answers', 'chunk_extension'])
async def test_endless_answer_is_that_of_its_worker(name):
    """It counted as a lost connection, and its request as one that had not run."""
    worker = EndlessServer(*_ANSWERS[name])
    route = _support.make_route(
        _Kind.NON_IDEMPOTENT, max_attempts=3, timeout_s=_TIMEOUT_S
    )
    before = count_foreign()
    async with _support.open_gateway(route, worker) as gateway:
        status, _, _ = await gateway.send(headers={'Deadline-Ms': '20000'})
        record = gateway.context.worker_records.get(worker.entry.id)
    assert status == 502
    assert count_foreign() == before + 1
    assert record.failure_rate > 0


async def test_worker_of_endless_answers_is_avoided():
    """It kept getting as many requests as a sound one."""
    faulty = EndlessServer(*_ANSWERS['interim_answers'])
    replies = [
        _support.make_reply(200, 'x', 'Server-Seal: s') for _ in range(20)
    ]
    sound = _support.ScriptedWorker(replies)
    route = _support.make_route(
        _Kind.IDEMPOTENT, max_attempts=2, timeout_s=_TIMEOUT_S
    )
    before = count_foreign()
    async with _support.open_gateway(route, faulty, sound) as gateway:
        for _ in range(20):
            await gateway.send(headers={'Deadline-Ms': '20000'})
    assert count_foreign() - before <= 5


async def test_endless_event_of_a_stream_ends():
    """The start of an event was kept until its end, which never came."""
    prefill = _support.ScriptedWorker(
        [_support.HANDLE, _support.make_reply(200)], 'prefill'
    )
    decode = EndlessServer(*_EVENT, stage='decode')
    route = _support.make_route(
        _Kind.GENERATION, max_attempts=1, timeout_s=_TIMEOUT_S
    )
    prompt = {'Token-Counts': '9000,5', 'Prompt-Prefix': 'aa:6000,bb:3000'}
    async with _support.open_gateway(route, prefill, decode) as gateway:
        started_s = time.monotonic()
        async with limit_memory():
            with contextlib.suppress(aiohttp.ClientPayloadError):
                status, _, _ = await gateway.send(
                    headers={'Deadline-Ms': '20000', **prompt}
                )
                assert status == 502
        assert time.monotonic() - started_s < _MAX_SECONDS
        async with asyncio.timeout(2):
            await decode.closed.wait()


@pytest.mark.parametrize('name', _ANSWERS)
async def test_endless_answer_of_the_store_ends(name):
    """One read of the store could take all memory of a host."""
    server = EndlessServer(*_ANSWERS[name])
    listener = await asyncio.start_server(server.answer, '127.0.0.1')
    port = listener.sockets[0].getsockname()[1]
    async with listener, platform.make_store_session() as session:
        client = platform.make_client(
            session, f'http://127.0.0.1:{port}', _TIMEOUT_S
        )
        started_s = time.monotonic()
        async with limit_memory():
            page = await client.read_table('servers')
        assert time.monotonic() - started_s < _MAX_SECONDS
        async with asyncio.timeout(2):
            await server.closed.wait()
    assert isinstance(page, platform.Unavailable)
