"""Reads token streams of engines."""

import asyncio
import collections.abc
import typing

import aiohttp
import attrs
import orjson
import prometheus_client

from briarknot import schema

_DROPPED = prometheus_client.Counter(
    'briarknot_dropped_chunks',
    'Chunks that did not belong where they arrived.',
    ('reason',),
)
_DATA = b'data:'
_DONE = b'[DONE]'


@attrs.frozen
class Piece:
    """Text of one or more tokens.

    :param offset: index of the first token.
    :param text: the text.
    """

    offset: int
    text: str


@attrs.frozen
class Finish:
    """End of a whole answer.

    :param reason: why the engine ended, such as ``stop`` or ``length``.
    :param usage: token counts of the engine.
    """

    reason: str
    usage: dict[str, int]


@attrs.frozen
class Broken:
    """Sentinel for a stream that ended before the whole answer.

    :param reason: what happened.
    :param is_silent: whether the connection stayed open without data.
    :param engine: engine that failed, where it is not the target itself.
    """

    reason: str
    is_silent: bool = False
    engine: str = ''

    def __bool__(self) -> bool:
        """Counts as false, so that callers can test for it."""
        return False


#: Takes the pieces of an answer in order.
Deliver = collections.abc.Callable[[Piece], collections.abc.Awaitable[None]]


async def read_stream(
    body: aiohttp.StreamReader,
    request_id: str,
    start: int,
    timing: schema.settings.Timing,
    deliver: Deliver,
) -> Finish | Broken:
    """Reads a stream to its end and delivers its pieces.

    Chunks of another request and tokens that were already seen are dropped.
    A gap ends the stream as broken, so that no caller gets a text with a hole.

    :param body: body of the engine's answer, server-sent events.
    :param request_id: request that the chunks must belong to.
    :param start: offset of the first wanted token.
    :param timing: limits of silence before and after the first token.
    :param deliver: called with each piece.
    """
    expected = start
    finish: Finish | None = None
    silence_s = timing.prefill_silence_s
    while True:
        line = await _read_line(body, silence_s)
        if isinstance(line, Broken):
            return line
        if line == _DONE:
            return finish or Broken('[DONE] came without a last chunk')
        chunk = _read_chunk(line, request_id)
        offset = chunk.get('offset', expected)
        if offset > expected:
            return Broken(f'gap from token {expected} to {offset}')
        if offset < expected:
            _DROPPED.labels('repeated').inc()
        elif chunk.get('text'):
            await deliver(Piece(expected, chunk['text']))
            expected += 1
            silence_s = timing.decode_silence_s
        if chunk.get('finish_reason'):
            finish = Finish(chunk['finish_reason'], chunk.get('usage', {}))


async def _read_line(
    body: aiohttp.StreamReader, silence_s: float
) -> bytes | Broken:
    """Returns the data of the next event."""
    try:
        async with asyncio.timeout(silence_s):
            return await _read_data(body)
    except TimeoutError:
        return Broken(f'silent for {silence_s:g} s', is_silent=True)
    except (aiohttp.ClientError, OSError, ValueError) as error:
        return Broken(f'{type(error).__name__}: {error}')


async def _read_data(body: aiohttp.StreamReader) -> bytes | Broken:
    while True:
        line = await body.readline()
        if line.startswith(_DATA):
            return line[len(_DATA) :].strip()
        if not line:
            return Broken('the connection was closed')


def _read_chunk(line: bytes, request_id: str) -> dict[str, typing.Any]:
    """Returns a chunk, or an empty one where it belongs elsewhere."""
    try:
        chunk = orjson.loads(line)
    except orjson.JSONDecodeError:
        _DROPPED.labels('undecodable').inc()
        return {}
    if not isinstance(chunk, dict) or chunk.get('request_id') != request_id:
        _DROPPED.labels('other_request').inc()
        return {}
    return chunk
