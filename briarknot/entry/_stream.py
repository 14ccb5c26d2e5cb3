"""Reads token streams from engines."""

import asyncio
import collections.abc
import typing

import aiohttp
import attrs
import orjson
import prometheus_client

from briarknot import schema, sentinels

_DROPPED = prometheus_client.Counter(
    'briarknot_dropped_chunks',
    'Chunks that did not belong where they arrived.',
    ('reason',),
)
_DATA = b'data:'
_DONE = b'[DONE]'
#: A timeout is extended if less than this share of it remains.
_MIN_REMAINING_SHARE = 0.75


@attrs.frozen
class Delta:
    """Text that follows the text received before.

    :param offset: index of its first token.
    :param text: the text.
    """

    offset: int
    text: str


@attrs.frozen
class Finish:
    """End of a complete answer.

    :param reason: why the engine ended, such as ``stop`` or ``length``.
    :param usage: token counts of the engine.
    """

    reason: str
    usage: dict[str, int]


@attrs.frozen
class Broken(sentinels.Sentinel):
    """Sentinel for a stream that ended before the answer was complete.

    :param reason: what happened.
    :param is_silent: whether the connection stayed open without data.
    :param engine: engine that failed, if it is not the target itself.
    """

    reason: str
    is_silent: bool = False
    engine: str = ''


#: Receives the deltas of an answer in order, in one call for each read.
Deliver = collections.abc.Callable[
    [list[Delta]], collections.abc.Awaitable[None]
]


async def read_stream(
    body: aiohttp.StreamReader,
    request_id: str,
    start: int,
    timing: schema.settings.Timing,
    deliver: Deliver,
) -> Finish | Broken:
    """Reads a stream to its end and delivers its deltas.

    Chunks of other requests and tokens received before are dropped. A gap
    ends the stream as broken, so that no caller gets a text with a gap.

    :param body: body of the engine's answer, server-sent events.
    :param request_id: request that the chunks must belong to.
    :param start: offset of the first requested token.
    :param timing: timeouts of silence before and after the first token.
    :param deliver: called with deltas, in order.
    """
    assembly = _Assembly(request_id, start)
    silence_s = timing.prefill_silence_s
    try:
        async with asyncio.timeout(silence_s) as limit:
            while assembly.end is None:
                assembly.add(await body.readany(), is_end=body.at_eof())
                deltas = assembly.take_deltas()
                if deltas:
                    silence_s = timing.decode_silence_s
                    _extend(limit, silence_s)
                    await deliver(deltas)
    except TimeoutError:
        return Broken(f'silent for {silence_s:g} s', is_silent=True)
    except (aiohttp.ClientError, OSError) as error:
        return Broken(f'{type(error).__name__}: {error}')
    return assembly.end


def _extend(limit: asyncio.Timeout, silence_s: float) -> None:
    """Extends a timeout unless most of it remains.

    Extending it for each token took a quarter of the time spent on reading.
    As it is, silence is detected after three quarters of its timeout at the
    earliest.
    """
    now = asyncio.get_running_loop().time()
    remaining_s = limit.when() - now
    if (
        remaining_s > silence_s
        or remaining_s < silence_s * _MIN_REMAINING_SHARE
    ):
        limit.reschedule(now + silence_s)


@attrs.define(eq=False)
class _Assembly:
    """Assembles the deltas of one stream from its bytes."""

    _request_id: str
    _next_offset: int
    _partial_line: bytes = b''
    _deltas: list[Delta] = attrs.field(factory=list, init=False)
    _finish: Finish | None = attrs.field(default=None, init=False)
    _end: Finish | Broken | None = attrs.field(default=None, init=False)

    @property
    def end(self) -> Finish | Broken | None:
        """How the stream ended; None before its end."""
        return self._end

    def take_deltas(self) -> list[Delta]:
        """Removes and returns the deltas received so far."""
        deltas = self._deltas
        self._deltas = []
        return deltas

    def add(self, received: bytes, *, is_end: bool) -> None:
        """Adds received bytes.

        :param received: the next bytes of the stream.
        :param is_end: whether they are the last ones.
        """
        lines = (self._partial_line + received).split(b'\n')
        self._partial_line = lines.pop()
        for line in lines:
            if line.startswith(_DATA) and self._end is None:
                self._add_event(line.removeprefix(_DATA).strip())
        if is_end and self._end is None:
            self._end = Broken('the connection was closed')

    def _add_event(self, event: bytes) -> None:
        if event == _DONE:
            broken = Broken('[DONE] came without a last chunk')
            self._end = self._finish or broken
            return
        chunk = _parse_chunk(event, self._request_id)
        offset = chunk.get('offset', self._next_offset)
        if offset > self._next_offset:
            self._end = Broken(
                f'gap from token {self._next_offset} to {offset}'
            )
        elif offset < self._next_offset:
            _DROPPED.labels('repeated').inc()
        elif chunk.get('text'):
            self._deltas.append(Delta(offset, chunk['text']))
            self._next_offset += 1
        if chunk.get('finish_reason'):
            usage = chunk.get('usage', {})
            self._finish = Finish(chunk['finish_reason'], usage)


def _parse_chunk(event: bytes, request_id: str) -> dict[str, typing.Any]:
    """Returns a chunk; empty if it is invalid or of another request."""
    try:
        chunk = orjson.loads(event)
    except orjson.JSONDecodeError:
        _DROPPED.labels('undecodable').inc()
        return {}
    if not isinstance(chunk, dict) or chunk.get('request_id') != request_id:
        _DROPPED.labels('other_request').inc()
        return {}
    return chunk
