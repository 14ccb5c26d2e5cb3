"""Connections of clients, which keep the limits of the process."""

import asyncio
import functools
import sys
import time
import typing

from aiohttp import streams, web

from briarknot import httpclient
from briarknot.platform import (
    _client_limits,
    _client_states,
    _http_server,
)

#: Answers to a header section that is too long or too slow.
_HEAD_REFUSALS = {
    _client_states.Limit.HEADER_BYTES: (
        b'HTTP/1.1 431 Request Header Fields Too Large'
    ),
    _client_states.Limit.HEADER_TIME: b'HTTP/1.1 408 Request Timeout',
}
_HEAD_REFUSAL_END = b'\r\nContent-Length: 0\r\nConnection: close\r\n\r\n'
#: Time for which the rest of a refused header section is dropped, in seconds; the
#: manifest's 16 KB take 0.13 s at 1 Mbit/s.
_HEAD_DROP_S = 1.0
#: A body is in small chunks where it has a line end per so many bytes; a chunk has
#: two line ends.
_TINY_BYTES = 24
_MIN_TINY_LINES = 1024
#: Bytes that a connection receives at once. With asyncio's 256 KB, 200 bodies of 4 MB
#: took a process of 96 MB to 107 MB.
_RECEIVE_BYTES = 64 << 10
_LINE_END = b'\r\n'


class Evicted(Exception):
    """Ends the reading of a body.

    :param limit: the limit that was exceeded.
    """

    def __init__(self, limit: _client_states.Limit) -> None:
        super().__init__(limit.value)
        self.limit = limit


class Connection(_http_server.Connection):
    """A connection of a client, which counts what it receives."""

    def __init__(
        self,
        manager: web.Server,
        limits: _client_limits.ClientLimits,
        **options: typing.Any,
    ) -> None:
        super().__init__(manager, **options)
        self.limits = limits
        self.client: _client_states.Client | None = None
        #: Whether its request was refused before its end.
        self.is_refused = False
        self._body: streams.StreamReader | None = None
        self._is_discarding = False
        self._dropped = asyncio.Event()
        self._missing = 0
        self._is_ending = False
        self._is_chunked = False
        self._received = 0
        self._lines = 0

    @property
    def is_evicted(self) -> bool:
        """Whether its request was refused, or it was closed, for a limit."""
        return self.client is not None and self.client.evicted_by is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Counts the connection."""
        super().connection_made(transport)
        # All connections may receive as much before any of it is read.
        transport.max_size = _RECEIVE_BYTES
        peer = transport.get_extra_info('peername') or ('',)
        self.client = self.limits.open(peer[0], time.monotonic(), self._evict)
        self.client.count_unsent = functools.partial(
            httpclient.count_unsent_bytes, transport
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Releases what the connection held."""
        super().connection_lost(exc)
        if self.client is not None:
            self.limits.close(self.client)

    def data_received(self, data: bytes) -> None:
        """Counts and parses received bytes."""
        client = self.client
        if self._is_discarding or client is None:
            self._missing -= len(data)
            self._dropped.set()
            return
        phase = client.phase
        is_body = phase is _client_states.Phase.BODY
        if is_body and self._body is None and self.is_evicted:
            return
        received = self.parse(data)
        if phase <= _client_states.Phase.HEAD and self._messages:
            self._start_request(data)
        elif is_body:
            self._count_chunks(data)
        elif received is _http_server.Received.HEAD and data:
            # Also the start of the next request, before the response to this one.
            self.limits.record_head(client, len(data), time.monotonic())
        else:
            self.limits.record_ahead(client, len(data), time.monotonic())

    def start_body(self, body: streams.StreamReader) -> None:
        """Lets the body be refused while it is read.

        :param body: the body.
        """
        self._body = body
        if self.is_evicted:
            body.set_exception(Evicted(self.client.evicted_by))

    def end_body(self) -> None:
        """Ends the reading of a body, which is complete."""
        self._body = None
        if self.client is not None:
            self.client.start_phase(_client_states.Phase.RUN, time.monotonic())

    def record_body(self, size: int) -> None:
        """Counts a part of the body that was read."""
        if self.client is not None:
            self.limits.record_body(self.client, size, time.monotonic())

    def start_write(self) -> None:
        """Begins to write a part of the response."""
        if self.client is not None:
            self.client.start_phase(
                _client_states.Phase.RESPONSE, time.monotonic()
            )
            self.client.is_unread = True

    def end_write(self) -> None:
        """Ends writing a part of the response; there is room for the next."""
        if self.client is not None:
            self.client.is_unread = False

    async def drop_input(
        self, missing: int, quiet_s: float, max_s: float
    ) -> None:
        """Drops all further input without parsing it, after a refusal.

        A connection that is closed while its client writes is reset, and the client
        may lose the refusal.

        :param missing: bytes that the client has yet to send; 0 if not known.
        :param quiet_s: time without input after which the client has ended.
        :param max_s: longest time.
        """
        self._is_discarding = True
        self._missing = missing or sys.maxsize
        if self.client is not None:
            self.client.is_dropped = True
        self.resume_reading(resume_parser=False)
        try:
            async with asyncio.timeout(max_s):
                await self._wait_for_end(quiet_s)
        except TimeoutError:
            return

    async def _wait_for_end(self, quiet_s: float) -> None:
        while self._missing > 0 and not self._is_ending:
            self._dropped.clear()
            async with asyncio.timeout(quiet_s):
                await self._dropped.wait()

    async def shutdown(self, *options: typing.Any) -> None:
        """Closes the connection after its open request, as the process ends."""
        self._is_ending = True
        self._dropped.set()
        await super().shutdown(*options)

    def end_request(self) -> None:
        """Releases what the request held, after its response."""
        self._body = None
        if self.client is None:
            return
        self.limits.end_request(self.client, time.monotonic())
        if self._messages:
            self._start_request(b'')

    def _start_request(self, data: bytes) -> None:
        message = self._messages[0][0]
        headers = getattr(message, 'headers', {})
        length = headers.get('Content-Length', '')
        self._is_chunked = getattr(message, 'chunked', False)
        self._received = 0
        self._lines = 0
        self.limits.start_request(
            self.client,
            int(length) if length.isdecimal() else 0,
            time.monotonic(),
        )
        self._count_chunks(data)

    def _count_chunks(self, data: bytes) -> None:
        if not self._is_chunked:
            return
        self._received += len(data)
        self._lines += data.count(_LINE_END)
        if (
            self._lines > _MIN_TINY_LINES
            and self._lines * _TINY_BYTES > self._received
        ):
            self.limits.record_tiny_chunks(self.client, time.monotonic())

    def _evict(self, limit: _client_states.Limit) -> None:
        transport = self.transport
        if transport is None:
            return
        phase = self.client.phase if self.client else None
        if phase is _client_states.Phase.BODY:
            if self._body is not None:
                self._body.set_exception(Evicted(limit))
        elif phase is _client_states.Phase.HEAD:
            self._is_discarding = True
            refuse_head(self, self.client, limit)
        else:
            transport.abort()


def refuse_head(
    connection: _http_server.Connection,
    client: _client_states.Client,
    limit: _client_states.Limit,
) -> None:
    """Refuses an incomplete header section, and closes its connection.

    It is closed with a delay, since a client that still writes would lose the
    refusal by a reset.

    :param connection: the connection, which drops further input.
    :param client: its client.
    :param limit: the limit that was exceeded.
    """
    refusal = _HEAD_REFUSALS.get(limit)
    if refusal is None:
        connection.transport.abort()
        return
    connection.transport.write(refusal + _HEAD_REFUSAL_END)
    client.is_dropped = True
    asyncio.get_running_loop().call_later(_HEAD_DROP_S, connection.force_close)


class Server(web.Server):
    """Makes the connections of clients."""

    def __init__(
        self,
        handler: typing.Any,
        limits: _client_limits.ClientLimits,
        **options: typing.Any,
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self._limits = limits
        self._options = options

    def __call__(self) -> Connection:
        """Makes a connection."""
        return Connection(
            self,
            self._limits,
            loop=asyncio.get_running_loop(),
            **self._options,
        )
