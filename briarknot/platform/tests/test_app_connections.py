"""Guards the callers of an application against those who hold connections."""

import asyncio
import contextlib
import resource

import pytest
from aiohttp import web

from briarknot import platform, program, schema
from briarknot_standins import launcher

_REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\n'
_CONNECTIONS = 9


async def _answer(request):
    body = await request.read()
    return web.Response(text=f'{len(body)}.')


@pytest.fixture
async def connect(request):
    """Opens connections to an application with room for nine."""
    settings = {'max_descriptors': 20, **getattr(request, 'param', {})}
    options = settings.pop('options', {})
    app = web.Application()
    app.router.add_route('*', '/', _answer)
    node = schema.settings.Node(listen='127.0.0.1')
    process = program.make_process('p', node)
    runner = platform.make_limited_runner(
        app,
        schema.settings.Connections(
            header_section_bytes=2048,
            header_timeout_s=1,
            idle_s=0.5,
            **settings,
        ),
        64,
        **options,
    )
    port = launcher.choose_port()
    await process.listen_with(runner, port)
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(process.close)

        async def open_connection():
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            stack.callback(writer.close)
            return reader, writer

        open_connection.end_process = process.close
        async with asyncio.timeout(20):
            yield open_connection


async def test_header_section_that_never_ends(connect):
    """Header sections that never ended were kept for ever."""
    reader, writer = await connect()
    writer.write(_REQUEST)
    assert (await reader.read()).startswith(b'HTTP/1.1 408')


async def test_long_header_section(connect):
    """Each connection could hold a header section of 2 MB."""
    reader, writer = await connect()
    writer.write(_REQUEST)
    for number in range(5):
        writer.write(b'X-%d: %s\r\n' % (number, b'x' * 1000))
        await asyncio.sleep(0.01)
    assert (await reader.read()).startswith(b'HTTP/1.1 431')


async def test_connections_that_send_nothing(connect):
    """Idle connections took all file descriptors."""
    idle = [await connect() for _ in range(2 * _CONNECTIONS)]
    await asyncio.sleep(0.7)
    reader, writer = await connect()
    writer.write(_REQUEST + b'\r\n')
    assert await reader.readuntil(b'0.')
    for one, _ in idle:
        with contextlib.suppress(ConnectionError):
            assert not await one.read()


async def test_ordinary_connection_is_reused(connect):
    """A body or a pipelined request must not count as a header section."""
    reader, writer = await connect()
    body = b'x' * 50000
    head = _REQUEST + b'Content-Length: 50000\r\n\r\n'
    for _ in range(3):
        writer.write(head + body[:100])
        await asyncio.sleep(0.01)
        writer.write(body[100:] + _REQUEST + b'\r\n')
        assert await reader.readuntil(b'50000.')
        assert await reader.readuntil(b'0.')


@pytest.mark.parametrize(
    'connect', [{'options': {'max_line_size': 100000}}], indirect=True
)
async def test_long_line_that_the_parser_accepts(connect):
    """A raised limit of lines had no effect on lines that came in parts."""
    reader, writer = await connect()
    writer.write(b'GET /?')
    for _ in range(9):
        writer.write(b'x' * 10000)
        await asyncio.sleep(0.01)
    writer.write(b' HTTP/1.1\r\nHost: h\r\n\r\n')
    assert (await reader.readuntil(b'0.')).startswith(b'HTTP/1.1 200')


@pytest.fixture
def unlimited(monkeypatch):
    """Lets the system set no limit of file descriptors."""
    endless = resource.RLIM_INFINITY
    monkeypatch.setattr(resource, 'getrlimit', lambda _: (endless, endless))


@pytest.mark.parametrize('connect', [{'max_descriptors': 0}], indirect=True)
async def test_system_without_a_limit_of_descriptors(unlimited, connect):
    """Infinity is -1, with which every connection was closed."""
    reader, writer = await connect()
    writer.write(_REQUEST + b'\r\n')
    assert await reader.readuntil(b'0.')


async def test_end_of_the_process_does_not_wait_for_bodies(connect):
    """A body that never ended delayed the end of the process by 60 s."""
    reader, writer = await connect()
    writer.write(_REQUEST + b'Content-Length: 5\r\n\r\nhe')
    await asyncio.sleep(0.1)
    await connect.end_process()
    assert (await reader.read()).startswith(b'HTTP/1.1 503')
