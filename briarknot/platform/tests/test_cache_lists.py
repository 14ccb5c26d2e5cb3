"""Tests the call that reads what an engine's KV cache holds."""

import asyncio
import contextlib
import time

import orjson
import pytest

from briarknot import platform, schema

_HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'


def make_answer(body, status=200):
    """Makes a whole answer."""
    return f'HTTP/1.1 {status} X\r\nContent-Length: {len(body.encode())}\r\n\r\n{body}'


async def read_list(answer, *, is_endless=False):
    """Reads a list; returns the result and the heads of all requests."""
    requests = []
    closed = asyncio.Event()

    async def serve(reader, writer):
        requests.append((await reader.readuntil(b'\r\n\r\n')).decode())
        writer.write(answer.encode())
        with contextlib.suppress(ConnectionError):
            while is_endless:
                writer.write(b'1000\r\n' + b' ' * 0x1000 + b'\r\n')
                await writer.drain()
            await reader.read()
        writer.close()
        closed.set()

    async with await asyncio.start_server(serve, '127.0.0.1') as server:
        port = server.sockets[0].getsockname()[1]
        engine = schema.serving.Worker(id='i-1', address=f'127.0.0.1:{port}')
        lists = platform.make_cache_lists()
        contents = await lists.read(engine)
        await lists.close()
        await closed.wait()
    return contents, requests


async def test_malformed_entries_are_left_out():
    """One entry of another kind would cost the whole list."""
    body = (
        '{"epoch": 3, "next": 120, "held": [["", "k", 800, "m"],'
        ' ["", "l", 0, "m"], ["", "n", true, "m"], ["", "o", 5, "other"],'
        ' ["scope", "p", 5, "m"], ["", 7, 5, "m"], ["", "q", 9], null,'
        ' ["", "r", 4294967296, "m"], ["", "s", 20, "m"]]}'
    )
    contents, requests = await read_list(make_answer(body))
    held = {one.part: one.tokens for one in contents.parts}
    assert held == {'k': 800, 's': 20}
    assert contents.left_out == 8
    assert requests[0].startswith('GET /v1/kv-list ')
    assert 'expect-instance: i-1' in requests[0].lower()


async def test_long_ids_are_left_out():
    """The list would exceed a datagram, and no other process would get it."""
    part_ids = ['k' * 201, 'ž' * 101, 'k' * 200]
    held = [['', part_id, 800, 'm'] for part_id in part_ids]
    contents, _ = await read_list(
        make_answer(orjson.dumps({'held': held}).decode())
    )
    assert [one.part for one in contents.parts] == part_ids[2:]


@pytest.mark.parametrize(
    'answer',
    [
        make_answer('', 429),
        make_answer('', 421),
        make_answer('{"held": {}}'),
        make_answer('{"held": [["", "k", 8'),
        make_answer('[]'),
        make_answer('\x00'),
        f'{_HEAD}Content-Length: 100\r\n\r\n{{"held": []}}',
        'no HTTP\r\n\r\n',
    ],
)
async def test_unreadable_list_is_reported(answer):
    """The task that reads all lists would fail, or ask the engine again."""
    started_s = time.monotonic()
    contents, requests = await read_list(answer)
    assert isinstance(contents, platform.Unreported)
    assert len(requests) == 1
    assert time.monotonic() - started_s < 1


async def test_endless_list_is_given_up():
    """An answer without an end would fill the memory of the gateway."""
    contents, requests = await read_list(
        f'{_HEAD}Transfer-Encoding: chunked\r\n\r\n', is_endless=True
    )
    assert isinstance(contents, platform.Unreported)
    assert len(requests) == 1


async def test_silent_engine_is_given_up():
    """The next process would ask while the call of this one is under way."""
    started_s = time.monotonic()
    contents, _ = await read_list('')
    assert isinstance(contents, platform.Unreported)
    assert time.monotonic() - started_s < 1
