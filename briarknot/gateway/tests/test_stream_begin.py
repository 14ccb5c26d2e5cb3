"""Tests what happens before the first event of a stream is forwarded."""

import asyncio

import attrs

from briarknot import serving
from briarknot.gateway import _stream


@attrs.define(eq=False)
class _Exchange:
    """An answer that brings one event, and then nothing."""

    answer: None = None
    _parts: list[bytes] = attrs.field(factory=lambda: [b'id: 1\ndata: x\n\n'])

    async def read_some(self):
        """Reads the event."""
        if self._parts:
            return self._parts.pop()
        return await asyncio.Future()

    def close(self):
        """Does nothing."""


@attrs.define(eq=False)
class _Move:
    """A move of the stream that no worker has accepted yet."""

    is_accepted: bool = False
    is_leaving: bool = True

    def start_if_leaving(self):
        """Starts nothing by itself."""

    def start_if_silent(self):
        """Starts nothing by itself."""

    def record_bytes(self):
        """Records nothing."""

    async def settle(self):
        """Has settled."""


@attrs.define(eq=False)
class _Responder:
    """Counts what is forwarded."""

    sent: list[bytes] = attrs.field(factory=list)

    async def start_stream(self, answer):
        """Starts the stream."""
        return True

    async def send_events(self, events):
        """Takes events."""
        self.sent.append(events)
        return True


async def test_stream_that_is_moved_before_its_first_event_is_not_begun():
    """Its first event came from two workers, as others confirmed its origin."""
    responder = _Responder()
    relay = _stream.make_relay(responder, '')

    async def begin():
        # A leaving worker's stream is asked for at another one meanwhile.
        assert not relay.hold()

    relay.on_begin = begin
    failure = await relay.run(_Exchange(), _Move())
    assert failure.kind == serving.FailureKind.UNCONFIRMED
    assert not responder.sent
