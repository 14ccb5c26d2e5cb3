"""Guards against bodies that together exceed the memory of a console."""

import asyncio

import pytest
from aiohttp import test_utils, web

from briarknot import schema
from briarknot.console import _bodies

_KB = 1 << 10


@pytest.fixture
async def upload():
    """Sends bodies to a console with room for 1 MB."""
    bodies = _bodies.make_bodies(
        schema.settings.ConsoleSettings(memory_mb=8, body_timeout_s=5)
    )

    async def answer(request):
        send.started.set()
        async with bodies.receive(request, is_known=True):
            return web.Response(text=str(len(await request.read())))

    async def send(size, *, ends):
        async def make_parts():
            yield b'x' * size
            if not ends:
                await asyncio.sleep(30)

        headers = {'Content-Length': str(size if ends else size + 1)}
        async with client.post(
            '/', data=make_parts(), headers=headers
        ) as response:
            return response.status, await response.text()

    send.started = asyncio.Event()
    app = web.Application(client_max_size=_bodies.MAX_BODY_BYTES)
    app.router.add_post('/', answer)
    async with test_utils.TestClient(test_utils.TestServer(app)) as client:
        yield send


async def test_bodies_share_the_memory(upload):
    """Bodies of several operators had no bound together; one always has room."""
    assert await upload(2000 * _KB, ends=True) == (200, str(2000 * _KB))
    upload.started.clear()
    stalled = asyncio.create_task(upload(100 * _KB, ends=False))
    await upload.started.wait()
    status, _ = await upload(1000 * _KB, ends=True)
    assert status == 503
    assert (await upload(1000, ends=True))[0] == 200
    assert (await stalled)[0] == 408
    assert (await upload(1000 * _KB, ends=True))[0] == 200
