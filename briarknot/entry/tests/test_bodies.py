"""Guards against callers whose bodies never end."""

import asyncio

import pytest
from aiohttp import test_utils, web

from briarknot import platform, schema
from briarknot.entry import _bodies

_MB = 1 << 20


@pytest.fixture
async def upload():
    """Sends the start or the whole of a body; returns the status or cause."""
    bodies = _bodies.make_bodies(
        schema.settings.Limits(memory_mb=64, body_idle_s=3)
    )
    sent = asyncio.Event()

    async def answer(request):
        async with bodies.receive(request) as body:
            is_whole = isinstance(body, bytes)
            return web.Response(text=str(len(body)) if is_whole else body.cause)

    async def send(size, *, ends):
        async def make_parts():
            yield b'x' * size
            sent.set()
            if not ends:
                await asyncio.sleep(30)

        async with client.post('/', data=make_parts()) as response:
            return await response.text()

    app = web.Application(client_max_size=16 * _MB)
    app.router.add_post('/', answer)
    async with test_utils.TestClient(test_utils.TestServer(app)) as client:
        yield send, sent


async def test_body_that_stalls_makes_room(upload):
    """Bodies that never end kept the memory from other callers."""
    send, sent = upload
    stalled = asyncio.create_task(send(8 * _MB, ends=False))
    await sent.wait()
    # It counts as slow from then on.
    await asyncio.sleep(1.2)
    assert await send(7 * _MB, ends=True) == str(7 * _MB)
    assert await stalled == 'memory_limit'


async def test_body_without_progress_ends(upload):
    """A body that never ended was kept for ever."""
    send, _ = upload
    assert await send(_MB, ends=False) == 'body_timeout'


class _EvictedRequest:
    """A request whose second part arrives as its client is evicted."""

    body_exists = True
    remote = 'a'
    content_length = None
    client_max_size = 16 * _MB

    def __init__(self, bodies):
        self.content = self
        self._bodies = bodies
        self._parts = iter((b'x', b'y', b''))

    async def readany(self):
        part = next(self._parts)
        if part == b'y':
            client = next(iter(self._bodies._limits._clients))
            self._bodies._limits.evict(client, platform.Limit.MEMORY)
        return part


async def test_refused_body_is_not_received_further():
    """A part that had arrived undid the refusal of a body."""
    bodies = _bodies.make_bodies(schema.settings.Limits(memory_mb=64))
    async with bodies.receive(_EvictedRequest(bodies)) as body:
        assert body.cause == 'memory_limit'
