"""Receives operators' bodies within the memory of the host."""

import asyncio
import contextlib
import typing

import attrs
from aiohttp import web

from briarknot import schema

#: Largest body in bytes. A document with 16,000 accounts takes about 4 MB, and form
#: encoding adds half of that.
MAX_BODY_BYTES = 32 << 20
#: Largest body of a caller who isn't known, which is a sign-in form of less than
#: 1 KB, and largest body that isn't counted.
_SMALL_BYTES = 16 << 10
#: Share of the memory. Forms are parsed one at a time; one of 5 MB, with a document
#: of 16,000 accounts, took 100 MB.
_SHARE = 0.125
_BYTES_PER_MB = 1_000_000
#: Retry-After of a body that was refused for its memory, in seconds.
_RETRY_AFTER_S = 5


@attrs.define(eq=False)
class Bodies:
    """Bodies of all open requests of a console."""

    _max_bytes: float
    _timeout_s: float
    _held_bytes: int = 0

    @contextlib.asynccontextmanager
    async def receive(
        self, request: web.Request, *, is_known: bool
    ) -> typing.AsyncIterator[None]:
        """Receives a body for the request's handler, and counts it until its end.

        :param request: the request; its body is then read from memory.
        :param is_known: whether the caller has signed in.
        """
        size = _check_size(request, is_known=is_known)
        counted = size if size > _SMALL_BYTES else 0
        if counted and self._held_bytes:
            self._check_room(counted)
        self._held_bytes += counted
        try:
            await self._read(request)
            yield
        finally:
            self._held_bytes -= counted

    def _check_room(self, size: int) -> None:
        if self._held_bytes + size > self._max_bytes:
            raise web.HTTPServiceUnavailable(
                headers={'Retry-After': str(_RETRY_AFTER_S)},
                text='Other requests take the memory of the console.',
            )

    async def _read(self, request: web.Request) -> None:
        try:
            async with asyncio.timeout(self._timeout_s):
                await request.read()
        except TimeoutError as error:
            raise web.HTTPRequestTimeout from error


def _check_size(request: web.Request, *, is_known: bool) -> int:
    """Returns the largest size that the body of a request can have."""
    if not request.body_exists:
        return 0
    if request.content_type == 'multipart/form-data':
        # It is parsed as it arrives, and no form of the console is sent in parts.
        raise web.HTTPUnsupportedMediaType
    max_bytes = MAX_BODY_BYTES if is_known else _SMALL_BYTES
    size = request.content_length
    if size is None and not is_known:
        raise web.HTTPLengthRequired
    if size is not None and size > max_bytes:
        raise web.HTTPRequestEntityTooLarge(max_bytes, size)
    return max_bytes if size is None else size


def make_bodies(settings: schema.settings.ConsoleSettings) -> Bodies:
    """Makes the bodies of a console, of which there are none yet.

    :param settings: settings of the console.
    """
    return Bodies(
        settings.memory_mb * _BYTES_PER_MB * _SHARE, settings.body_timeout_s
    )
