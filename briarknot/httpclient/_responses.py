"""Responses that know whether their body is whole."""

import asyncio
import fcntl
import functools
import struct
import termios

import aiohttp
from aiohttp import client_proto, hdrs

#: Statuses of answers without a body, which end with their head.
_NO_BODY_STATUSES = frozenset((204, 304))


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
    """A connection that reports a close before its request was received.

    The server may end an answer without a length early. Where it has not
    received the whole request, the end of the connection is not that of the
    answer.
    """

    def eof_received(self) -> None:
        """Marks the connection as broken if a part of the request is left."""
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


class Connector(aiohttp.TCPConnector):
    """Opens connections that report a close before a request was received."""

    #: Class of the connections.
    protocol_class: type[client_proto.ResponseHandler] = Protocol

    def __init__(self, **options: object) -> None:
        super().__init__(**options)
        self._factory = functools.partial(self.protocol_class, loop=self._loop)


class Response(aiohttp.ClientResponse):
    """A response that knows how its connection ended.

    The parser takes a reset for the end of a body without a length.
    """

    #: Set when the connection is closed, with an exception after a reset.
    closed_connection: asyncio.Future | None = None

    async def start(
        self, connection: aiohttp.connector.Connection
    ) -> aiohttp.ClientResponse:
        """Waits for the head of the answer."""
        # The connection of a short answer is released once its head is read,
        # so the future is obtained before.
        if connection.protocol is not None:
            self.closed_connection = connection.protocol.closed
        if self.closed_connection is not None:
            # Only a body without a length awaits this future; otherwise
            # asyncio would log its exception as never retrieved.
            self.closed_connection.add_done_callback(_retrieve_exception)
        return await super().start(connection)

    @property
    def ends_with_connection(self) -> bool:
        """Whether the end of the connection is the end of the body."""
        coding = self.headers.get(hdrs.TRANSFER_ENCODING, '')
        return (
            self.method != hdrs.METH_HEAD
            and self.status not in _NO_BODY_STATUSES
            and hdrs.CONTENT_LENGTH not in self.headers
            and 'chunked' not in coding.lower()
        )

    async def check_end(self) -> None:
        """Raises an error unless the body that was read is the whole one."""
        if not self.ends_with_connection:
            return
        if self.closed_connection is None:
            raise aiohttp.ClientPayloadError('end of the body is not known')
        try:
            # A time limit must not cancel the future, which others may await.
            await asyncio.shield(self.closed_connection)
        except aiohttp.ClientConnectionError as error:
            raise aiohttp.ClientPayloadError(str(error)) from error

    async def read(self) -> bytes:
        """Reads the whole body."""
        body = await super().read()
        await self.check_end()
        return body


def _retrieve_exception(closed: asyncio.Future) -> None:
    if not closed.cancelled():
        closed.exception()
