"""Guards against requests that are lost between a client and the front end."""

import asyncio
import contextlib
import socket

import pytest

from briarknot import schema, serving
from briarknot.platform import _ingress

_HEAD = b'POST /r HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n'
_EMPTY = b'GET /r HTTP/1.1\r\nHost: h\r\n\r\n'
_KB_64 = 1 << 16


@pytest.fixture
async def open_front():
    """Starts a front end; it answers with a body's length once it may."""
    async with contextlib.AsyncExitStack() as stack:

        async def start(**settings):
            may_answer = asyncio.Event()

            async def answer(call, responder):
                await may_answer.wait()
                responder.send_answer(
                    serving.Answer(
                        status=200, headers=(), body=b'%d' % len(call.body)
                    )
                )

            listener = socket.create_server(('127.0.0.1', 0))
            ingress = _ingress.make_ingress(
                schema.settings.GatewaySettings(
                    readiness_address='127.0.0.1:0', **settings
                ),
                answer,
                lambda: True,
                lambda: 4 << 20,
                listener,
                lambda: schema.serving.ClientLimits(header_bytes=16384),
            )
            await ingress.start()
            start.ingress = ingress
            stack.push_async_callback(ingress.close)
            reader, writer = await asyncio.open_connection(
                *listener.getsockname()
            )
            stack.callback(writer.close)
            return may_answer, reader, writer

        yield start


async def test_refusal_reaches_a_client_that_writes_first(open_front):
    """A refusal was lost to a client that writes its body before it reads."""
    _, reader, writer = await open_front(memory_mb=1)
    writer.write(_HEAD % (16 * _KB_64))
    for _ in range(16):
        writer.write(b'x' * _KB_64)
        await writer.drain()
        await asyncio.sleep(0.1)
    assert (await reader.read()).startswith(b'HTTP/1.1 503')


async def test_refusal_of_a_header_section_reaches_its_client(open_front):
    """A refusal was lost to a client that still wrote its header section."""
    _, reader, writer = await open_front()
    writer.write(_EMPTY[:-2])
    for number in range(80):
        writer.write(b'X-%d: %s\r\n' % (number, b'x' * 1000))
        await writer.drain()
        await asyncio.sleep(0.005)
    assert (await reader.read()).startswith(b'HTTP/1.1 431')


async def test_end_of_the_process_does_not_wait_for_dropped_bodies(open_front):
    """Clients that send without end must not delay the end of the process."""
    _, _, writer = await open_front(memory_mb=1)
    writer.write(_HEAD % (64 * _KB_64))

    async def send():
        for _ in range(8):
            writer.write(b'x' * _KB_64)
            await asyncio.sleep(0.05)
        for _ in range(1000):
            writer.write(b'x')
            await asyncio.sleep(0.02)

    sending = asyncio.create_task(send())
    await asyncio.sleep(1)
    # The rest of a body is dropped for up to 10 s.
    async with asyncio.timeout(6):
        await open_front.ingress.close()
    sending.cancel()


async def test_end_of_the_process_with_a_later_refusal(open_front):
    """A body that was refused while the process ended delayed it by 10 s."""
    _, _, writer = await open_front()
    writer.write(
        _HEAD.replace(b'\r\n\r\n', b'\r\nDeadline-Ms: 1000\r\n\r\n') % _KB_64
    )

    async def send():
        for _ in range(1000):
            writer.write(b'x')
            await asyncio.sleep(0.02)

    sending = asyncio.create_task(send())
    await asyncio.sleep(0.5)
    async with asyncio.timeout(6):
        await open_front.ingress.close()
    sending.cancel()


async def test_pipelined_body_is_no_header_section(open_front):
    """A body that was sent ahead closed the connection of a request that ran."""
    may_answer, reader, writer = await open_front()
    size = 4 * _KB_64
    writer.write(_EMPTY)
    await asyncio.sleep(0.1)
    writer.write(_HEAD % size + b'x' * size)
    await asyncio.sleep(0.3)
    may_answer.set()
    async with asyncio.timeout(10):
        assert await reader.readuntil(b'\r\n\r\n0')
        assert await reader.readuntil(b'\r\n\r\n%d' % size)


async def test_pipelined_header_section_is_bounded(open_front):
    """Header sections behind a request that runs must not fill the memory."""
    _, reader, writer = await open_front()
    writer.write(_EMPTY + b'GET /r HTTP/1.1\r\n')
    async with asyncio.timeout(20):
        with contextlib.suppress(ConnectionError):
            for number in range(200):
                writer.write(b'X-%d: %s\r\n' % (number, b'x' * 1000))
                await writer.drain()
                await asyncio.sleep(0.001)
            assert not await reader.read()
