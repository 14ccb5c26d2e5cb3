"""Guards against requests that the HTTP library sends more than once."""

import ast
import asyncio
import contextlib
import pathlib

import aiohttp
import attrs
import pytest

import briarknot
from briarknot import httpclient

_METHODS = ('GET', 'HEAD', 'OPTIONS', 'TRACE', 'PUT', 'DELETE', 'PATCH', 'POST')
_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'


@attrs.define(eq=False)
class _Server:
    """Reads requests, and closes instead of answering some.

    :param answers: whether it answers each request; it answers none after these.
    :param is_reset: whether it resets the connection.
    :param is_crash: whether it takes no connection afterwards.
    """

    answers: tuple = ()
    is_reset: bool = False
    is_crash: bool = False
    heads: list = attrs.field(factory=list)
    connections: int = 0
    listener: asyncio.Server | None = None

    @property
    def url(self):
        """Its address."""
        host, port = self.listener.sockets[0].getsockname()
        return f'http://{host}:{port}/x'

    async def serve(self, reader, writer):
        """Serves one connection."""
        self.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                if b'Content-Length: 4' in head:
                    await reader.readexactly(4)
                self.heads.append(head.split(b' ')[0].decode())
                if not any(self.answers[len(self.heads) - 1 : len(self.heads)]):
                    break
                writer.write(_ANSWER)
        if self.is_crash:
            self.listener.close()
        if self.is_reset:
            writer.transport.abort()
        writer.close()


@contextlib.asynccontextmanager
async def _run_server(**options):
    server = _Server(**options)
    server.listener = await asyncio.start_server(server.serve, '127.0.0.1')
    async with server.listener:
        yield server


def _list_bodies(method):
    return (b'body',) if method in {'PUT', 'POST', 'PATCH'} else (None, b'body')


@pytest.mark.parametrize('method', _METHODS)
@pytest.mark.parametrize('is_kept', [False, True])
@pytest.mark.parametrize('is_reset', [False, True])
async def test_unanswered_request_is_sent_once(method, is_kept, is_reset):
    """A request that may run once ran twice, as aiohttp sent it again."""
    for body in _list_bodies(method):
        async with (
            _run_server(answers=(True,) * is_kept, is_reset=is_reset) as server,
            httpclient.make_session() as session,
        ):
            url = server.url
            if is_kept:
                async with session.request('GET', url):
                    """The connection returns to its pool."""
            with pytest.raises(httpclient.ConnectionLostError):
                await session.request(method, url, data=body)
            assert server.heads[int(is_kept) :] == [method]
            assert server.connections == 1


@pytest.mark.parametrize('method', _METHODS)
async def test_crash_is_not_taken_for_a_refused_connection(method):
    """A lookup that crashed its server was reported as not sent."""
    async with (
        _run_server(is_crash=True) as server,
        httpclient.make_session() as session,
    ):
        with pytest.raises(httpclient.ConnectionLostError):
            await session.request(method, server.url)
        assert server.heads == [method]


async def test_refused_connection_is_told_apart():
    """A request of which no byte was sent may go to another server."""
    async with _run_server() as server:
        url = server.url
    async with httpclient.make_session() as session:
        with pytest.raises(aiohttp.ClientConnectorError):
            await session.request('PUT', url, data=b'body')


@pytest.mark.parametrize('method', _METHODS)
async def test_read_on_a_stale_connection_is_answered(method):
    """A read failed as the server had closed the kept connection meanwhile."""
    async with (
        _run_server(answers=(True, False, True)) as server,
        httpclient.make_session(repeats_reads=True) as session,
    ):
        url = server.url
        async with session.get(url):
            """The connection returns to its pool."""
        if method == 'GET':
            async with session.get(url) as response:
                assert response.status == 200
            assert server.connections == 2
            return
        with pytest.raises(httpclient.ConnectionLostError):
            await session.request(method, url)
        assert server.heads == ['GET', method]


async def test_read_is_repeated_once():
    """A server that closes each connection got the same read without end."""
    async with (
        _run_server() as server,
        httpclient.make_session(repeats_reads=True) as session,
    ):
        with pytest.raises(httpclient.ConnectionLostError):
            await session.get(server.url)
        assert server.heads == ['GET', 'GET']


def test_all_programs_make_their_sessions_here():
    """A session that is made elsewhere repeats requests by itself."""
    root = pathlib.Path(briarknot.__file__).parent
    found = {
        path.relative_to(root).as_posix()
        for path in root.rglob('*.py')
        if 'tests' not in path.parts
        for node in ast.walk(ast.parse(path.read_text(encoding='utf-8')))
        if isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and node.func.attr == 'ClientSession'
    }
    assert found == {'httpclient/_sessions.py'}
