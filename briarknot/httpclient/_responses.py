"""Responses that know whether their body is whole."""

import asyncio

import aiohttp
from aiohttp import hdrs

#: Statuses of answers without a body, which end with their head.
_NO_BODY_STATUSES = frozenset((204, 304))


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
