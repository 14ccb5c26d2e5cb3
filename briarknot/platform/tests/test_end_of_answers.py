"""Tests the end of answers that have no length."""

import asyncio

import attrs

from briarknot import serving
from briarknot.platform import _chunk_turns, _worker_calls


@attrs.define
class _Content:
    """A body whose end has been read."""

    async def readany(self):
        """Reads nothing more."""
        return b''


@attrs.define
class _Response:
    """A response whose connection is still open."""

    closed_connection: asyncio.Future
    status: int = 200
    is_dense: bool = False
    headers: dict = attrs.field(factory=dict)
    content: _Content = attrs.field(factory=_Content)


async def test_time_limit_does_not_cancel_the_wait_of_others():
    """The next wait was cancelled, which counted as the client's leaving."""
    closed = asyncio.get_running_loop().create_future()
    answer = serving.Answer(status=200, headers=())
    exchange = _worker_calls.Exchange(
        answer, _Response(closed), _chunk_turns.ChunkTurns()
    )
    try:
        async with asyncio.timeout(0.01):
            await exchange.read_some()
    except TimeoutError:
        pass
    closed.set_result(None)
    assert await exchange.read_some() == b''
