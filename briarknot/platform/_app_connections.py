"""Connections of an application, with bounds on their number and header sections.

Bodies and responses are not counted here.
"""

import asyncio
import functools
import resource
import time
import typing

from aiohttp import web

from briarknot import program, schema
from briarknot.platform import (
    _client_limits,
    _client_states,
    _connections,
    _http_server,
    _late_clients,
)

#: Part of the memory whose share holds header sections and connections; the rest is
#: for bodies.
_MEMORY_DIVISOR = 2
#: File descriptors of a process for which the system sets no limit; the value is
#: Linux's default for the largest limit (fs.nr_open).
_MANY_DESCRIPTORS = 1 << 20


class Connection(_http_server.Connection):
    """A connection that counts its header sections."""

    def __init__(
        self,
        manager: web.Server,
        limits: _client_limits.ClientLimits,
        **options: typing.Any,
    ) -> None:
        super().__init__(manager, **options)
        self._limits = limits
        self._client: _client_states.Client | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Counts the connection."""
        super().connection_made(transport)
        peer = transport.get_extra_info('peername') or ('',)
        self._client = self._limits.open(peer[0], time.monotonic(), self._evict)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Releases what the connection held."""
        super().connection_lost(exc)
        if self._client is not None:
            self._limits.close(self._client)

    def data_received(self, data: bytes) -> None:
        """Counts and parses received bytes."""
        client = self._client
        if client is None or client.evicted_by is not None:
            return
        received = self.parse(data)
        if received is _http_server.Received.REQUEST:
            if client.phase <= _client_states.Phase.HEAD:
                self._start_request()
            else:
                self._limits.record_ahead(client, len(data), time.monotonic())
        elif received is _http_server.Received.HEAD and data:
            self._limits.record_head(client, len(data), time.monotonic())

    async def finish_response(
        self, *options: typing.Any
    ) -> tuple[web.StreamResponse, bool]:
        """Writes the rest of a response, and ends its request."""
        try:
            return await super().finish_response(*options)
        finally:
            self._end_request()

    async def shutdown(self, *options: typing.Any) -> None:
        """Closes the connection after its open request, as the process ends.

        The library receives no more then, and would wait for the rest of a body
        until its time limit of 60 s.
        """
        body = self._last_body
        is_running = (
            self._client is not None
            and self._client.phase is _client_states.Phase.RUN
        )
        if is_running and body is not None and not body.is_eof():
            body.set_exception(
                web.HTTPServiceUnavailable(headers={'Retry-After': '1'})
            )
        await super().shutdown(*options)

    def _start_request(self) -> None:
        now = time.monotonic()
        self._limits.start_request(self._client, 0, now)
        # Its body is counted where it is read.
        self._client.start_phase(_client_states.Phase.RUN, now)

    def _end_request(self) -> None:
        if self._client is None:
            return
        self._limits.end_request(self._client, time.monotonic())
        if self._messages:
            self._start_request()

    def _evict(self, limit: _client_states.Limit) -> None:
        if self.transport is None:
            return
        phase = self._client.phase if self._client else None
        if phase is _client_states.Phase.HEAD:
            _connections.refuse_head(self, self._client, limit)
        else:
            self.transport.abort()


class LimitedRunner(web.AppRunner):
    """Runs an application whose connections are bounded.

    :param app: the application.
    :param limits: limits of its connections.
    :param options: options of a connection.
    """

    __slots__ = ('_checks', '_limits', '_options')

    def __init__(
        self,
        app: web.Application,
        limits: _client_limits.ClientLimits,
        **options: typing.Any,
    ) -> None:
        # The request ends when its caller disconnects.
        super().__init__(app, handler_cancellation=True)
        self._limits = limits
        self._options = {'access_log': None, **options}
        self._checks: asyncio.Task[None] | None = None

    @property
    def server(self) -> typing.Callable[[], Connection] | None:
        """Makes a connection; its requests go to the application's server."""
        server = super().server
        if server is None:
            return None
        return functools.partial(
            Connection,
            server,
            self._limits,
            loop=asyncio.get_running_loop(),
            **self._options,
        )

    async def setup(self) -> None:
        """Starts the application and the check of time limits."""
        await super().setup()
        self._checks = asyncio.create_task(
            program.run_background_task(
                'client_limits',
                _late_clients.LateClients(self._limits).close_late,
            )
        )

    async def cleanup(self) -> None:
        """Closes all connections, and ends the application."""
        if self._checks is not None:
            self._checks.cancel()
        await super().cleanup()


def make_limited_runner(
    app: web.Application,
    settings: schema.settings.Connections,
    memory_mb: int,
    **options: typing.Any,
) -> LimitedRunner:
    """Makes the runner of an application.

    :param app: the application.
    :param settings: limits of its connections.
    :param memory_mb: memory of the host.
    :param options: options of a connection.
    """
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        soft_limit = _MANY_DESCRIPTORS
    client_limits = schema.serving.ClientLimits(
        # A line that the parser accepts must fit the section.
        header_bytes=max(
            settings.header_section_bytes, options.get('max_line_size', 0)
        ),
        header_timeout_s=settings.header_timeout_s,
        idle_timeout_s=settings.idle_s,
    )
    limits = _client_limits.make_client_limits(
        memory_mb // _MEMORY_DIVISOR,
        settings.max_descriptors or soft_limit,
        lambda: client_limits,
    )
    return LimitedRunner(app, limits, **options)
