"""Guards against clients that exhaust the memory or descriptors of a process.

Clients that didn't keep the limits held all memory of a process, so that it ended,
or kept it so busy that other requests had no response.
"""

import fcntl
import pathlib
import tempfile

import pytest

from briarknot.gateway.tests import _crowd

pytestmark = pytest.mark.timeout(400)
_CHUNKED = _crowd.make_head('POST', 10, 'Transfer-Encoding: chunked')
_KB_64 = 1 << 16
_TINY = b'1\r\nx\r\n'


@pytest.fixture(autouse=True)
def _one_at_a_time():
    path = pathlib.Path(tempfile.gettempdir(), 'briarknot-crowd.lock')
    with path.open('wb') as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


async def test_unfinished_bodies():
    """Bodies in large chunks that stop short of their end filled the memory."""
    chunk = b'10000\r\n' + b'x' * _KB_64 + b'\r\n'
    chunks = _crowd.MAX_BODY_BYTES // _KB_64
    async with _crowd.open_host() as host:
        await host.send_crowd(60, _CHUNKED + chunk * (chunks - 1))
        await host.check()


async def test_unfinished_bodies_in_tiny_chunks():
    """Chunks of one byte kept the process busy, and cost many times their size."""
    async with _crowd.open_host() as host:
        await host.send_crowd(60, _CHUNKED + _TINY * (1 << 20))
        await host.check()


async def test_header_sections_that_never_end():
    """Header sections that never end took descriptors for ever."""
    lines = [f'X-{number}: {"x" * 2000}' for number in range(30)]
    head = _crowd.make_head('GET', 10, *lines).removesuffix(b'\r\n')
    async with _crowd.open_host() as host:
        await host.send_crowd(300, head)
        await host.check()


async def test_clients_that_read_no_response():
    """Responses that nobody reads filled the memory."""
    head = _crowd.make_head('GET', _crowd.MAX_BODY_BYTES)
    async with _crowd.open_host() as host:
        await host.send_crowd(40, head)
        await host.check()


async def test_one_body_in_tiny_chunks_is_served():
    """Bounds on small chunks must not refuse a request within the limits."""
    head = _crowd.make_head(
        'POST', 10, 'Transfer-Encoding: chunked', 'Connection: close'
    )
    async with _crowd.open_host() as host:
        response = await host.fetch(head, 256, _TINY * 16384, b'0\r\n\r\n')
        assert response.endswith(b'\r\n\r\n' + b'x' * 10)


async def test_clients_without_progress_are_cut_off():
    """Connections without progress stayed open for an hour."""
    body = _CHUNKED + b'5\r\nhello\r\n'
    async with _crowd.open_host(headerTimeoutMs=300, idleTimeoutMs=500) as host:
        head = _crowd.make_head('GET', 10)
        assert (await host.fetch(body)).startswith(b'HTTP/1.1 408')
        assert (await host.fetch(head[:40])).startswith(b'HTTP/1.1 408')
        # Answered, and closed once it is idle.
        assert (await host.fetch(head)).startswith(b'HTTP/1.1 200')
        await host.check()
