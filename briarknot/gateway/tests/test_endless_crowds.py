"""Guards against workers that exhaust a process by answers without end.

A faulty worker sent bytes that were no answer, until its caller closed. The caller kept
what it had parsed of the answers to many requests, and ran out of memory.

The forms follow the states of a parser of HTTP/1.1. Each is sent in answer to all
requests of a crowd, as fast as it is read.
"""

import asyncio
import fcntl
import pathlib
import tempfile

import pytest

from briarknot.gateway.tests import _crowd

pytestmark = pytest.mark.timeout(400)
_REQUESTS = 60
#: Time for which each form is sent.
_SEND_S = 3
_BLOCK = 16384
_HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: q\r\nServer-Seal: s\r\n'
_CHUNKED = _HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
_TEXT = b'x' * _BLOCK
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_EMPTY = _HEAD + b'Content-Length: 0\r\n\r\n'
_HEADS = {
    'before the status line': (b'', b'\r\n' * 8192),
    'in the status line': (b'HTTP/1.1 200 ', _TEXT),
    'in the name of a header': (_HEAD, _TEXT),
    'in a header': (_HEAD + b'X-Long: ', _TEXT),
    'in a folded header': (_HEAD + b'X-Long: x\r\n', b' x\r\n' * 4096),
    'between headers': (_HEAD, b'X-Many: 1\r\n' * 1000),
    'between short headers': (_HEAD, b'a:\r\n' * 4096),
    'in a length': (_HEAD + b'Content-Length: 1', b'0' * _BLOCK),
    'informational responses': (b'', _CONTINUE * 650),
    'informational responses with headers': (
        b'',
        (b'HTTP/1.1 103 Early Hints\r\n' + b'a:b\r\n' * 100 + b'\r\n') * 30,
    ),
    'after switching protocols': (
        b'HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n'
        b'Connection: upgrade\r\n\r\n',
        _TEXT,
    ),
}
_BODIES = {
    'of a length': (_HEAD + b'Content-Length: 9999999999\r\n\r\n', _TEXT),
    'until the connection ends': (_HEAD + b'\r\n', _TEXT),
    'in chunks': (_CHUNKED, b'4000\r\n%s\r\n' % _TEXT),
    'in tiny chunks': (_CHUNKED, b'1\r\nx\r\n' * 2700),
    'in a chunk': (_CHUNKED + b'ffffffff\r\n', _TEXT),
    'in the size of a chunk': (_CHUNKED, b'0' * _BLOCK),
    'in an extension of a chunk': (_CHUNKED + b'1;', _TEXT),
    'in extensions of chunks': (_CHUNKED, b'1;%s\r\nx\r\n' % (b'x' * 4000)),
    'after a chunk': (_CHUNKED + b'1\r\nx', _TEXT),
    'in a trailer': (_CHUNKED + b'0\r\nX-Long: ', _TEXT),
    'between trailers': (_CHUNKED + b'0\r\n', b'a:\r\n' * 4096),
    'after the end': (_EMPTY, _EMPTY * 200),
    'after a status without a body': (
        _HEAD.replace(b'200 OK', b'204 No Content') + b'\r\n',
        _TEXT,
    ),
    'of a refusal': (
        _HEAD.replace(b'200 OK', b'503 Busy')
        + b'Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n',
        b'4000\r\n%s\r\n' % _TEXT,
    ),
    'of a misdirected request': (
        _CHUNKED.replace(b'200 OK', b'421 Misdirected Request'),
        b'4000\r\n%s\r\n' % _TEXT,
    ),
    'of another request': (
        _CHUNKED.replace(b'Request-Id: q', b'Request-Id: other'),
        b'4000\r\n%s\r\n' % _TEXT,
    ),
}
_EVENTS = {
    'in an event': (_CHUNKED, b'4000\r\n%s\r\n' % _TEXT),
    'in lines of an event': (_CHUNKED, b'4000\r\n%s\r\n' % (b'a:b\n' * 4096)),
    'in tiny chunks of an event': (_CHUNKED, b'1\r\nx\r\n' * 2700),
    'in events': (
        _CHUNKED,
        b'8000\r\n%s\r\n' % (b'id: 1\ndata: x\n\n\n' * 2048),
    ),
    'in tiny events': (_CHUNKED, b'3\r\nx\n\n\r\n' * 2048),
}


@pytest.fixture(autouse=True)
def _one_at_a_time():
    path = pathlib.Path(tempfile.gettempdir(), 'briarknot-crowd.lock')
    with path.open('wb') as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


async def send_forms(forms, route):
    """Sends each form to a crowd of requests, and checks the process after it."""
    head = _crowd.make_head('GET', 1, 'Deadline-Ms: 30000', route=route)
    async with _crowd.open_host() as host:
        for name, (start, block) in forms.items():
            host.faulty.start = start
            host.faulty.block = block
            sent = host.faulty.sent_bytes
            await host.send_crowd(_REQUESTS, head)
            await asyncio.sleep(_SEND_S)
            assert host.faulty.sent_bytes > sent, name
            print(name)
            await host.check()
            host.close_crowd()


async def test_heads_without_end():
    """Informational responses and headers filled the memory."""
    await send_forms(_HEADS, 'faulty')


async def test_bodies_without_end():
    """Bodies and what follows them filled the memory, or took the processor."""
    await send_forms(_BODIES, 'faulty')


async def test_streams_without_end():
    """Events without an end filled the memory, or took the processor."""
    await send_forms(_EVENTS, 'faulty-engine')


async def test_heads_of_streams_without_end():
    """Heads filled the memory where a stream was waited for."""
    await send_forms(_HEADS, 'faulty-engine')
