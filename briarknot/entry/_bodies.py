"""Receives callers' bodies within the memory of the host."""

import asyncio
import contextlib
import sys
import time
import typing

import attrs
from aiohttp import web

from briarknot import outcomes, platform, schema

#: Retry-After of a body that was refused for its memory, in seconds.
_RETRY_AFTER_S = 1.0


@attrs.define(eq=False)
class Bodies:
    """Bodies of all open requests of a process."""

    _limits: platform.ClientLimits
    _idle_s: float

    @contextlib.asynccontextmanager
    async def receive(
        self, request: web.Request
    ) -> typing.AsyncIterator[bytes | outcomes.Refusal]:
        """Receives a body, and counts it until the context ends.

        :param request: the request.
        """
        if not request.body_exists:
            yield b''
            return
        loop = asyncio.get_running_loop()
        scope = asyncio.timeout(self._idle_s)
        client = self._limits.open(
            request.remote or '',
            time.monotonic(),
            lambda limit: scope.reschedule(loop.time()),
        )
        try:
            yield await self._receive(request, client, scope)
        finally:
            self._limits.close(client)

    async def _receive(
        self,
        request: web.Request,
        client: typing.Any,
        scope: asyncio.Timeout,
    ) -> bytes | outcomes.Refusal:
        length = request.content_length or 0
        self._limits.start_request(client, length, time.monotonic())
        try:
            async with scope:
                return await self._read(request, client, scope)
        except TimeoutError:
            if client.evicted_by is None:
                return outcomes.make_refusal(
                    'body_timeout', f'no part of the body for {self._idle_s} s'
                )
            return outcomes.make_refusal(
                'memory_limit',
                f'{client.received} bytes were received',
                retry_after_s=_RETRY_AFTER_S,
            )
        finally:
            client.start_phase(platform.Phase.RUN, time.monotonic())

    async def _read(
        self,
        request: web.Request,
        client: typing.Any,
        scope: asyncio.Timeout,
    ) -> bytes | outcomes.Refusal:
        loop = asyncio.get_running_loop()
        max_bytes = request.client_max_size
        body = bytearray()
        while part := await request.content.readany():
            if client.evicted_by is not None:
                # The part arrived before the end of the scope was noticed.
                raise TimeoutError
            scope.reschedule(loop.time() + self._idle_s)
            if len(body) + len(part) > max_bytes:
                return outcomes.make_refusal(
                    'too_large', f'body: longer than {max_bytes} bytes'
                )
            body += part
            self._limits.record_body(client, len(part), time.monotonic())
        return bytes(body)


def make_bodies(limits: schema.settings.Limits) -> Bodies:
    """Makes the bodies of a process, of which there are none yet.

    :param limits: limits of callers' input.
    """
    return Bodies(
        # Connections are not counted here.
        platform.make_client_limits(limits.memory_mb, sys.maxsize),
        limits.body_idle_s,
    )
