"""Guards against blaming a worker for a client that does not read."""

import asyncio
import unittest.mock

import pytest

from briarknot import serving
from briarknot.gateway import _stream

_EVENT = b'id: 1\ndata: x\n\n'
_BROKEN = serving.Failed(
    kind=serving.FailureKind.BROKEN, reason='cut off by the worker'
)


@pytest.mark.parametrize('pause_s', (0, 1.2))
async def test_unread_stream_is_the_clients_fault(pause_s):
    """A stream that nobody read counted as a silent or faulty worker."""
    responder = unittest.mock.AsyncMock()
    exchange = unittest.mock.AsyncMock()
    exchange.read_some.side_effect = (_EVENT, _BROKEN)

    async def send_events(data):
        await asyncio.sleep(pause_s)
        return True

    responder.send_events = send_events
    relay = _stream.make_relay(responder, '', max_silence_s=0.1)
    move = unittest.mock.Mock(is_accepted=False)
    assert await relay.run(exchange, move) is _BROKEN
    assert relay.was_unread == bool(pause_s)
