"""Front end for the platform's clients."""

import asyncio
import socket
import time
import traceback
import typing

import attrs
import prometheus_client
from aiohttp import http, web

from briarknot import schema, serving, telemetry
from briarknot.platform import _headers

_MS_PER_S = 1000
#: Time limit of a request without a deadline; its route's timeout is shorter.
_DEFAULT_TIMEOUT_S = 60.0
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


@attrs.define(eq=False)
class Responder:
    """Answers one request of a client."""

    _request: web.BaseRequest
    _closing: bool
    _response: web.StreamResponse | None = None
    _result: web.StreamResponse | None = None
    _is_aborted: bool = False
    _is_disconnected: bool = False

    @property
    def missing_answer(self) -> str:
        """Why the client gets no whole answer; empty where it gets one."""
        if self._is_disconnected:
            return 'client_left'
        if self._is_aborted:
            return 'cut_off'
        return '' if self._result is not None else 'no_result'

    @property
    def has_started(self) -> bool:
        """Whether a part of an answer was sent to the client."""
        return self._response is not None

    @property
    def result(self) -> web.StreamResponse | None:
        """Response that the connection's task has to send."""
        return self._result

    def close_after_answer(self) -> None:
        """Closes the connection after the answer."""
        self._closing = True

    def send_answer(self, answer: serving.Answer) -> None:
        """Sends a worker's whole answer.

        :param answer: status, headers, and body.
        """
        response = web.Response(status=answer.status, body=answer.body)
        _copy_headers(response, answer.headers)
        self._finish(response)

    def refuse(
        self, status: int, request_id: str, retry_after_s: float = 0
    ) -> None:
        """Refuses the request on behalf of the system itself.

        :param status: HTTP status.
        :param request_id: id of the client's attempt.
        :param retry_after_s: time after which a retry can help; 0 for none.
        """
        response = web.Response(status=status)
        if request_id:
            response.headers[_headers.REQUEST_ID] = request_id
        if retry_after_s:
            response.headers[_headers.RETRY_AFTER] = f'{retry_after_s:.2f}'
        self._finish(response)

    async def start_stream(self, answer: serving.Answer) -> bool:
        """Starts a stream with the head of a worker's answer.

        :param answer: status and headers.
        :returns: whether the client is still connected.
        """
        response = web.StreamResponse(status=answer.status)
        _copy_headers(response, answer.headers)
        self._response = response
        if self._closing:
            response.force_close()
        try:
            await response.prepare(self._request)
        except ConnectionError:
            self._is_disconnected = True
            return False
        self._result = response
        return True

    async def send_events(self, data: bytes) -> bool:
        """Sends events.

        :param data: complete events.
        :returns: whether the client is still connected.
        """
        try:
            await self._response.write(data)
        except ConnectionError:
            self._is_disconnected = True
            return False
        return True

    async def write_rest(self) -> None:
        """Writes what is left of the answer, so that a stop waits for it."""
        if self.missing_answer:
            return
        self._response = self._result
        try:
            await self._result.prepare(self._request)
            await self._result.write_eof()
        except ConnectionError:
            self._is_disconnected = True

    def abort(self) -> None:
        """Closes the connection, so that the answer does not look complete."""
        self._is_aborted = True
        if self._request.transport is not None:
            self._request.transport.close()

    def _finish(self, response: web.Response) -> None:
        if self._closing:
            response.force_close()
        self._result = response


Handler = typing.Callable[
    [serving.Call, Responder], typing.Coroutine[typing.Any, typing.Any, None]
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
            server = web.Server(
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
        responder = Responder(request, self._closing)
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
        responder: Responder,
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
        responder: Responder,
        received_s: float,
    ) -> None:
        timeout_s = _decode_timeout(
            request.headers.get(_headers.DEADLINE_MS, '')
        )
        try:
            async with asyncio.timeout(timeout_s):
                await _send_continue(request)
                body = await _read_body(request, self._get_body_limit())
        except TimeoutError:
            telemetry.log_event('body_incomplete', request=_get_id(request))
            responder.close_after_answer()
            responder.refuse(_REQUEST_TIMEOUT, _get_id(request))
            return
        if body is None:
            responder.refuse(_TOO_LARGE, _get_id(request))
            return
        call = _decode_call(request, body, received_s, timeout_s)
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
    request: web.BaseRequest, responder: Responder, reason: str
) -> None:
    """Logs and counts a request that ends without a whole answer or a refusal.

    :param request: the request.
    :param responder: answers it.
    :param reason: reason from a small set.
    """
    _UNANSWERED.labels(reason).inc()
    telemetry.log_event(
        'closed_unanswered',
        request=_get_id(request),
        reason=reason,
        started=responder.has_started,
    )


def _fail(request: web.BaseRequest, responder: Responder, reason: str) -> None:
    """Ends a request at which the code has failed, and logs why.

    :param request: the request.
    :param responder: answers it; the answer promises nothing, as the request may
        have run.
    :param reason: reason from a small set.
    """
    _UNANSWERED.labels(reason).inc()
    telemetry.log_event(
        'request_failed',
        request=_get_id(request),
        reason=reason,
        started=responder.has_started,
        traceback=traceback.format_exc()[-_MAX_TRACEBACK:],
    )
    if responder.has_started:
        responder.abort()
    elif responder.result is None:
        responder.refuse(_BAD_GATEWAY, _get_id(request))


def _get_id(request: web.BaseRequest) -> str:
    return request.headers.get(_headers.REQUEST_ID, '')


async def _send_continue(request: web.BaseRequest) -> None:
    """Asks for the body where the client waits before it sends it."""
    expected = request.headers.get('Expect', '').lower()
    if expected == '100-continue' and request.version == http.HttpVersion11:
        await request.writer.write(b'HTTP/1.1 100 Continue\r\n\r\n')
        # The interim answer is no part of the answer.
        request.writer.output_size = 0


async def _read_body(request: web.BaseRequest, limit: int) -> bytes | None:
    parts = []
    size = 0
    async for part in request.content.iter_any():
        size += len(part)
        if size > limit:
            return None
        parts.append(part)
    return b''.join(parts)


def _decode_call(
    request: web.BaseRequest,
    body: bytes,
    received_s: float,
    timeout_s: float,
) -> serving.Call:
    headers = request.headers
    dropped = _headers.CONNECTION_HEADERS | _headers.SYSTEM_HEADERS
    for named in headers.getall('Connection', ()):
        dropped |= {name.strip().lower() for name in named.split(',')}
    return serving.Call(
        id=headers.get(_headers.REQUEST_ID, ''),
        host=headers.get('Host', '').partition(':')[0].lower(),
        method=request.method,
        path=request.raw_path,
        headers=tuple(
            (name, value)
            for name, value in headers.items()
            if name.lower() not in dropped
        ),
        body=body,
        received_s=received_s,
        timeout_s=timeout_s,
        prompt=_decode_prompt(headers),
        last_event=headers.get(_headers.LAST_EVENT, ''),
        resumes=headers.get(_headers.RESUMES, ''),
    )


def _decode_timeout(text: str) -> float:
    try:
        return max(0.001, float(text) / _MS_PER_S)
    except ValueError:
        if text:
            telemetry.log_event('deadline_malformed', value=text[:100])
        return _DEFAULT_TIMEOUT_S


def _decode_prompt(
    headers: typing.Mapping[str, str],
) -> serving.Prompt | None:
    counts = headers.get(_headers.TOKEN_COUNTS)
    if counts is None:
        return None
    try:
        tokens, output_tokens = (int(part) for part in counts.split(','))
        parts = tuple(
            _decode_part(part)
            for part in headers.get(_headers.PROMPT_PARTS, '').split(',')
            if part.strip()
        )
    except ValueError:
        # The worker validates the header; without it no worker is preferred.
        telemetry.log_event('prompt_malformed', token_counts=counts[:100])
        return None
    return serving.Prompt(
        parts=parts, tokens=tokens, output_tokens=output_tokens
    )


def _decode_part(text: str) -> schema.serving.PromptPart:
    part_id, _, tokens = text.strip().partition(':')
    return schema.serving.PromptPart(id=part_id, tokens=int(tokens))


def _copy_headers(
    response: web.StreamResponse, headers: tuple[serving.Header, ...]
) -> None:
    for name, value in headers:
        response.headers.add(name, value)
    if 'Content-Type' not in response.headers:
        response.content_type = 'application/octet-stream'


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
