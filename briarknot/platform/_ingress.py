"""Front end for the platform's clients."""

import asyncio
import socket
import time
import typing

import attrs
from aiohttp import web

from briarknot import program, schema, serving, telemetry
from briarknot.platform import (
    _chunk_turns,
    _client_limits,
    _client_requests,
    _client_states,
    _connections,
    _current_client,
    _headers,
    _late_clients,
    _responder,
    _unanswered,
)

#: Largest start line and header; the platform's clients stay within the
#: manifest's limits, which are smaller.
_MAX_LINE_BYTES = 65536
_MAX_HEADERS = 256
#: The platform keeps idle connections for up to four fifths of a limit in the
#: manifest, which may grow; a server that closes none is always within it.
_KEEPALIVE_TIMEOUT_S = 3600.0
_BACKLOG = 1024
#: Connections that are accepted before surplus ones are closed.
_ACCEPTED_AT_ONCE = 32
#: Bytes of a body that are received ahead of its reading. A sixteenth of it bounds
#: the number of chunks that are parsed at once.
_READ_AHEAD_BYTES = 32 << 10
#: After a refusal, the rest of the request is dropped until nothing arrives for
#: the first time, and at most for the second, in seconds. Clients that write whole
#: bodies before they read need 3 Mbit/s for 4 MB; dropped connections are the first
#: to be closed where there are too many.
_DROP_QUIET_S = 1.0
_DROP_MAX_S = 10.0
#: Status of refusals with Retry-After; it promises that the request has not
#: run.
_SERVICE_UNAVAILABLE = 503
_REQUEST_TIMEOUT = 408
_TOO_LARGE = 413
#: Retry-After, in seconds, of a request that arrives while the process stops;
#: a new connection reaches another host.
_STOP_RETRY_AFTER_S = 0.1


Handler = typing.Callable[
    [serving.Call, _responder.Responder],
    typing.Coroutine[typing.Any, typing.Any, None],
]


@attrs.define(eq=False)
class Ingress:
    """Listens for clients and for the platform's readiness check."""

    _settings: schema.settings.GatewaySettings
    _handler: Handler
    _is_ready: typing.Callable[[], bool]
    _get_body_limit: typing.Callable[[], int]
    _limits: _client_limits.ClientLimits
    _listener: socket.socket | None = None
    _closing: bool = False
    _refusing: bool = False
    _open_requests: int = 0
    _idle: asyncio.Event = attrs.field(factory=asyncio.Event)
    _runners: list[web.ServerRunner] = attrs.field(factory=list)
    _sites: list[web.BaseSite] = attrs.field(factory=list)
    _turns: _chunk_turns.ChunkTurns = attrs.field(
        factory=_chunk_turns.ChunkTurns
    )
    _checks: asyncio.Task[None] | None = None

    @property
    def open_requests(self) -> int:
        """Requests whose answer is not complete yet."""
        return self._open_requests

    async def start(self) -> None:
        """Opens the listeners."""
        self._idle.set()
        options = {
            'access_log': None,
            'keepalive_timeout': _KEEPALIVE_TIMEOUT_S,
            'max_line_size': _MAX_LINE_BYTES,
            'max_field_size': _MAX_LINE_BYTES,
            'max_headers': _MAX_HEADERS,
            'auto_decompress': False,
        }
        check = web.Server(
            self._answer_check, handler_cancellation=True, **options
        )
        front = _connections.Server(
            self._answer,
            self._limits,
            read_bufsize=_READ_AHEAD_BYTES,
            **options,
        )
        await self._listen(check, self._settings.readiness_address, None)
        await self._listen(front, self._settings.front_address, self._listener)
        self._checks = asyncio.create_task(
            program.run_background_task(
                'client_limits',
                _late_clients.LateClients(self._limits).close_late,
            )
        )

    async def _listen(
        self, server: web.Server, address: str, listener: socket.socket | None
    ) -> None:
        runner = web.ServerRunner(server)
        await runner.setup()
        if listener is None:
            host, _, port = address.rpartition(':')
            listener = socket.create_server((host, int(port)))
        site = web.SockSite(runner, listener, backlog=_ACCEPTED_AT_ONCE)
        await site.start()
        # Sets only the queue of the kernel.
        listener.listen(_BACKLOG)
        self._runners.append(runner)
        self._sites.append(site)

    def set_closing(self) -> None:
        """Closes connections after their current request."""
        self._closing = True

    def refuse_requests(self) -> None:
        """Refuses all further requests.

        Without the refusal, a request that arrived late in a stop was cut off
        when the process exited.
        """
        self._refusing = True

    async def stop_listening(self) -> None:
        """Accepts no new client connections."""
        await self._sites[-1].stop()

    async def wait_idle(self, timeout_s: float) -> None:
        """Waits until no request is open.

        :param timeout_s: longest wait in seconds.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            telemetry.log_event(
                'requests_left_open', open_requests=self._open_requests
            )

    async def close(self) -> None:
        """Closes all listeners and connections."""
        if self._checks is not None:
            self._checks.cancel()
        for runner in reversed(self._runners):
            await runner.cleanup()

    async def _answer_check(self, request: web.BaseRequest) -> web.Response:
        return web.Response(
            status=200 if self._is_ready() else _SERVICE_UNAVAILABLE
        )

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        received_s = time.monotonic()
        connection = request.protocol
        _current_client.current.set((self._limits, connection.client))
        responder = _responder.Responder(request, self._closing)
        self._open_requests += 1
        self._idle.clear()
        try:
            await self._answer_open(request, responder, received_s)
        finally:
            self._end_request(connection)
        if connection.is_refused:
            # Parsing the rest could cost more than serving it.
            missing = (
                request.content_length or 0
            ) - request.content.total_bytes
            await connection.drop_input(
                max(0, missing), _DROP_QUIET_S, _DROP_MAX_S
            )
            request.content.feed_eof()
        return responder.result

    def _end_request(self, connection: _connections.Connection) -> None:
        connection.end_request()
        self._open_requests -= 1
        if not self._open_requests:
            self._idle.set()

    async def _answer_open(
        self,
        request: web.BaseRequest,
        responder: _responder.Responder,
        received_s: float,
    ) -> None:
        """Serves a request, and writes its answer.

        :param request: the request.
        :param responder: answers it.
        :param received_s: monotonic time at which it was received.
        :raises asyncio.CancelledError: where its connection is closed without
            an answer.
        """
        try:
            await self._serve(request, responder, received_s)
            await responder.write_rest()
        except asyncio.CancelledError:
            reason = _explain_cancellation(request)
            if reason == 'client_left' and request.protocol.is_evicted:
                reason = 'client_limited'
            if reason != 'cancelled_wait':
                _unanswered.log_unanswered(request, responder, reason)
                raise
            _unanswered.fail_request(request, responder, reason)
        except Exception:
            if request.transport is None:
                # The body of a request whose client has left can't be read.
                _unanswered.log_unanswered(request, responder, 'client_left')
                raise
            _unanswered.fail_request(request, responder, 'error')
        if responder.missing_answer == 'no_result':
            _unanswered.fail_request(
                request, responder, responder.missing_answer
            )
        if responder.missing_answer:
            _unanswered.log_unanswered(
                request, responder, responder.missing_answer
            )
        if responder.result is None:
            raise asyncio.CancelledError

    async def _serve(
        self,
        request: web.BaseRequest,
        responder: _responder.Responder,
        received_s: float,
    ) -> None:
        timeout_s = _client_requests.decode_timeout(
            request.headers.get(_headers.DEADLINE_MS, '')
        )
        try:
            async with asyncio.timeout(timeout_s):
                await _client_requests.send_continue(request)
                body = await _client_requests.read_body(
                    request, self._get_body_limit(), self._turns
                )
        except TimeoutError:
            _unanswered.refuse_body(request, responder, _REQUEST_TIMEOUT)
            return
        except _connections.Evicted as evicted:
            is_late = evicted.limit is _client_states.Limit.BODY_TIME
            status = _REQUEST_TIMEOUT if is_late else _SERVICE_UNAVAILABLE
            _unanswered.refuse_body(request, responder, status)
            return
        if body is None:
            responder.close_after_answer()
            request.protocol.is_refused = True
            responder.refuse(_TOO_LARGE, _client_requests.get_id(request))
            return
        request.protocol.end_body()
        call = _client_requests.decode_call(
            request, body, received_s, timeout_s
        )
        if self._refusing:
            telemetry.log_event('request_refused_at_stop', request=call.id)
            responder.refuse(_SERVICE_UNAVAILABLE, call.id, _STOP_RETRY_AFTER_S)
        else:
            await self._handler(call, responder)


def _explain_cancellation(request: web.BaseRequest) -> str:
    """Returns why the task of a request was cancelled.

    Only the loss of its connection and the end of the process cancel the task
    itself. A wait on something that was cancelled elsewhere raises the same
    exception.

    :param request: the request.
    """
    task = asyncio.current_task()
    if task is not None and not task.cancelling():
        return 'cancelled_wait'
    return 'client_left' if request.transport is None else 'process_end'


def make_ingress(
    settings: schema.settings.GatewaySettings,
    handler: Handler,
    is_ready: typing.Callable[[], bool],
    get_body_limit: typing.Callable[[], int],
    listener: socket.socket | None = None,
    get_limits: typing.Callable[
        [], schema.serving.ClientLimits
    ] = schema.serving.ClientLimits,
) -> Ingress:
    """Makes the front end.

    :param settings: addresses.
    :param handler: serves one request and answers it through the responder.
    :param is_ready: whether the platform may send new connections.
    :param get_body_limit: returns the largest body in bytes.
    :param listener: socket that already listens for clients; None opens one.
    :param get_limits: returns the limits of the header section and of times; 0
        stands for none.
    """
    return Ingress(
        settings,
        handler,
        is_ready,
        get_body_limit,
        _client_limits.make_client_limits(
            settings.memory_mb, settings.max_descriptors, get_limits
        ),
        listener,
    )
