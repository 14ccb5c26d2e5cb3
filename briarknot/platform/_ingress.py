"""Front end for the platform's clients."""

import asyncio
import socket
import time
import traceback
import typing

import attrs
import prometheus_client
from aiohttp import web

from briarknot import schema, serving, telemetry
from briarknot.platform import (
    _client_requests,
    _headers,
    _http_server,
    _responder,
)

#: Largest start line and header; the platform's clients stay within the
#: manifest's limits, which are smaller.
_MAX_LINE_BYTES = 65536
_MAX_HEADERS = 256
#: The platform keeps idle connections for up to four fifths of a limit in the
#: manifest, which may grow; a server that closes none is always within it.
_KEEPALIVE_TIMEOUT_S = 3600.0
_BACKLOG = 1024
#: Status of refusals with Retry-After; it promises that the request has not
#: run.
_SERVICE_UNAVAILABLE = 503
_REQUEST_TIMEOUT = 408
_TOO_LARGE = 413
_BAD_GATEWAY = 502
#: Longest text of a traceback in a log line; its end names the fault.
_MAX_TRACEBACK = 2000
#: Retry-After, in seconds, of a request that arrives while the process stops;
#: a new connection reaches another host.
_STOP_RETRY_AFTER_S = 0.1
_UNANSWERED = prometheus_client.Counter(
    'briarknot_platform_unanswered',
    'Requests that ended without a whole answer, or failed, by reason.',
    ('reason',),
)


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
    _listener: socket.socket | None = None
    _closing: bool = False
    _refusing: bool = False
    _open_requests: int = 0
    _idle: asyncio.Event = attrs.field(factory=asyncio.Event)
    _runners: list[web.ServerRunner] = attrs.field(factory=list)
    _sites: list[web.BaseSite] = attrs.field(factory=list)

    @property
    def open_requests(self) -> int:
        """Requests whose answer is not complete yet."""
        return self._open_requests

    async def start(self) -> None:
        """Opens the listeners."""
        self._idle.set()
        for address, handler, listener in (
            (self._settings.readiness_address, self._answer_check, None),
            (self._settings.front_address, self._answer, self._listener),
        ):
            server = _http_server.Server(
                handler,
                handler_cancellation=True,
                access_log=None,
                keepalive_timeout=_KEEPALIVE_TIMEOUT_S,
                max_line_size=_MAX_LINE_BYTES,
                max_field_size=_MAX_LINE_BYTES,
                max_headers=_MAX_HEADERS,
                auto_decompress=False,
            )
            runner = web.ServerRunner(server)
            await runner.setup()
            site = _make_site(runner, address, listener)
            await site.start()
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
        for runner in reversed(self._runners):
            await runner.cleanup()

    async def _answer_check(self, request: web.BaseRequest) -> web.Response:
        return web.Response(
            status=200 if self._is_ready() else _SERVICE_UNAVAILABLE
        )

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        received_s = time.monotonic()
        responder = _responder.Responder(request, self._closing)
        self._open_requests += 1
        self._idle.clear()
        try:
            await self._answer_open(request, responder, received_s)
        finally:
            self._open_requests -= 1
            if not self._open_requests:
                self._idle.set()
        return responder.result

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
            if reason != 'cancelled_wait':
                _log_unanswered(request, responder, reason)
                raise
            _fail(request, responder, reason)
        except Exception:
            if request.transport is None:
                # The body of a request whose client has left can't be read.
                _log_unanswered(request, responder, 'client_left')
                raise
            _fail(request, responder, 'error')
        if responder.missing_answer == 'no_result':
            _fail(request, responder, responder.missing_answer)
        if responder.missing_answer:
            _log_unanswered(request, responder, responder.missing_answer)
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
                    request, self._get_body_limit()
                )
        except TimeoutError:
            telemetry.log_event(
                'body_incomplete', request=_client_requests.get_id(request)
            )
            responder.close_after_answer()
            responder.refuse(_REQUEST_TIMEOUT, _client_requests.get_id(request))
            return
        if body is None:
            responder.refuse(_TOO_LARGE, _client_requests.get_id(request))
            return
        call = _client_requests.decode_call(
            request, body, received_s, timeout_s
        )
        if self._refusing:
            telemetry.log_event('request_refused_at_stop', request=call.id)
            responder.refuse(_SERVICE_UNAVAILABLE, call.id, _STOP_RETRY_AFTER_S)
        else:
            await self._handler(call, responder)


def _make_site(
    runner: web.ServerRunner, address: str, listener: socket.socket | None
) -> web.BaseSite:
    if listener is not None:
        return web.SockSite(runner, listener, backlog=_BACKLOG)
    host, _, port = address.rpartition(':')
    return web.TCPSite(
        runner, host, int(port), backlog=_BACKLOG, reuse_address=True
    )


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


def _log_unanswered(
    request: web.BaseRequest, responder: _responder.Responder, reason: str
) -> None:
    """Logs and counts a request that ends without a whole answer or a refusal.

    :param request: the request.
    :param responder: answers it.
    :param reason: reason from a small set.
    """
    _UNANSWERED.labels(reason).inc()
    telemetry.log_event(
        'closed_unanswered',
        request=_client_requests.get_id(request),
        reason=reason,
        started=responder.has_started,
    )


def _fail(
    request: web.BaseRequest, responder: _responder.Responder, reason: str
) -> None:
    """Ends a request at which the code has failed, and logs why.

    :param request: the request.
    :param responder: answers it; the answer promises nothing, as the request may
        have run.
    :param reason: reason from a small set.
    """
    _UNANSWERED.labels(reason).inc()
    telemetry.log_event(
        'request_failed',
        request=_client_requests.get_id(request),
        reason=reason,
        started=responder.has_started,
        traceback=traceback.format_exc()[-_MAX_TRACEBACK:],
    )
    if responder.has_started:
        responder.abort()
    elif responder.result is None:
        responder.refuse(_BAD_GATEWAY, _client_requests.get_id(request))


def make_ingress(
    settings: schema.settings.GatewaySettings,
    handler: Handler,
    is_ready: typing.Callable[[], bool],
    get_body_limit: typing.Callable[[], int],
    listener: socket.socket | None = None,
) -> Ingress:
    """Makes the front end.

    :param settings: addresses.
    :param handler: serves one request and answers it through the responder.
    :param is_ready: whether the platform may send new connections.
    :param get_body_limit: returns the largest body in bytes.
    :param listener: socket that already listens for clients; None opens one.
    """
    return Ingress(settings, handler, is_ready, get_body_limit, listener)
