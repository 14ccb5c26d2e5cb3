"""Connections that end answers without end, and report how requests ended."""

import asyncio
import fcntl
import functools
import struct
import termios
import typing

import aiohttp
from aiohttp import client_proto, http_exceptions

from briarknot.httpclient import _answer_limits

#: Bytes that a connection receives at once. What they are parsed into exists at the
#: same time for all connections, and other requests wait until it is done.
_RECEIVE_BYTES = 16 << 10
#: Longest answer with its framing. A sound answer, or a stream within its time
#: limit, is far shorter.
_MAX_ANSWER_BYTES = 64 << 20


def count_unsent_bytes(transport: asyncio.Transport) -> int:
    """Returns how many written bytes the other side has not acknowledged.

    :param transport: the connection.
    :returns: their number; bytes in the kernel are left out where it doesn't report them.
    """
    buffered = transport.get_write_buffer_size()
    connection = transport.get_extra_info('socket')
    if connection is None or connection.fileno() < 0:
        return buffered
    try:
        packed = fcntl.ioctl(
            connection.fileno(), termios.TIOCOUTQ, struct.pack('i', 0)
        )
    except OSError:
        return buffered
    return buffered + struct.unpack('i', packed)[0]


class Protocol(client_proto.ResponseHandler):
    """A connection that bounds answers, and reports unreceived requests.

    It also ends a body that can't be parsed further: the base class reports
    the error to the reader of the next head only, so that the reader of the
    body would wait for nothing.

    :param loop: the running loop.
    :param max_answer_bytes: longest body with its framing; 0 for no limit.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, max_answer_bytes: int
    ) -> None:
        super().__init__(loop)
        self._limits = _answer_limits.make_answer_limits(max_answer_bytes)

    @property
    def failure(self) -> str:
        """Why the answer is not sound; empty as long as it may be."""
        return self._limits.failure

    @property
    def is_dense(self) -> bool:
        """Whether most bytes of the answer frame its body."""
        return self._limits.is_dense

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bounds what the connection receives at once."""
        if hasattr(transport, 'max_size'):
            transport.max_size = _RECEIVE_BYTES
        super().connection_made(transport)

    def set_response_params(self, **parameters: typing.Any) -> None:
        """Starts counting the bytes of the next answer."""
        self._limits.begin()
        super().set_response_params(**parameters)

    def data_received(self, data: bytes) -> None:
        """Counts and parses received bytes."""
        if not self.upgraded:
            body = self._payload
            size = 0 if body is None else body.total_bytes
            self._limits.record_received(len(data), size)
        if not self._limits.failure:
            super().data_received(data)
            self._report_error()
        if self._limits.failure:
            self._fail(self._limits.failure)

    def feed_data(
        self,
        data: tuple[aiohttp.http.RawResponseMessage, aiohttp.StreamReader],
        size: int = 0,
    ) -> None:
        """Queues the head of the answer; others are dropped."""
        if self._limits.take_message(data[0].code):
            super().feed_data(data, size)

    def eof_received(self) -> None:
        """Marks the connection as broken if a part of the request is left.

        The server may end an answer without a length early. Where it has not
        received the whole request, the end of the connection is not that of the
        answer.
        """
        super().eof_received()
        # The end of the answer acknowledges all bytes that have arrived.
        if self.transport is None or not count_unsent_bytes(self.transport):
            return
        closed = self.closed
        if closed is not None and not closed.done():
            closed.set_exception(
                aiohttp.ClientConnectionError('closed before the request ended')
            )
            # Otherwise asyncio would log it where no response awaits it.
            closed.exception()

    def _report_error(self) -> None:
        """Reports an error of the parser to the reader of the body."""
        error = self.exception()
        body = self._payload
        if error is None or body is None or body.is_eof() or body.exception():
            return
        body.set_exception(aiohttp.ClientPayloadError(str(error)))

    def _fail(self, reason: str) -> None:
        """Ends an answer that is not sound, and its connection.

        A body that is complete can still be read.
        """
        error = http_exceptions.BadHttpMessage(reason)
        body = self._payload
        if body is not None and not body.is_eof():
            body.set_exception(aiohttp.ClientPayloadError(reason))
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


class Connector(aiohttp.TCPConnector):
    """Opens connections that bound answers.

    :param max_answer_bytes: longest body with its framing; 0 for no limit, where
        the body is passed on as it arrives.
    :param options: options of the base class.
    """

    def __init__(
        self, max_answer_bytes: int = _MAX_ANSWER_BYTES, **options: typing.Any
    ) -> None:
        super().__init__(**options)
        self._factory = functools.partial(
            Protocol, self._loop, max_answer_bytes
        )
