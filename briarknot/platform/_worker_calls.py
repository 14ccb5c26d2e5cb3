"""Calls to workers: runs, prefills, and handles."""

import asyncio
import errno
import time

import aiohttp
import attrs
import orjson
import yarl

from briarknot import httpclient, schema, serving, telemetry
from briarknot.platform import (
    _answer_headers,
    _chunk_turns,
    _current_client,
    _headers,
    _sessions,
)

_OK = 200
#: Statuses of final responses. A client would wait for another answer after a
#: lower one; higher ones are not part of HTTP.
_FINAL_STATUSES = range(200, 600)
_MISDIRECTED = 421
#: Statuses of answers without a body, which end with their head.
_NO_BODY_STATUSES = frozenset((204, 304))
#: Statuses that imply that a request has not run. They are trusted only with
#: the worker's own statement that it did not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_MS_PER_S = 1000
#: Longest body of an answer that is not a stream. Several are held at a time
#: by hosts with 200 MB.
_MAX_BODY_BYTES = 8 << 20
#: Time without being read after which a worker is not blamed for a broken answer;
#: workers cut off what stays unread for some seconds.
_UNREAD_S = 1.0
#: Urgency levels of a worker for each rank of a route; prompts that another
#: worker needs come first within their rank.
_URGENCIES_PER_RANK = 3
_LEAST_URGENT = 9
#: Time limit of checking whether a worker's process has ended, in seconds: the
#: same as that of opening a connection for a request.
_CHECK_TIMEOUT_S = 0.5
#: How an attempt failed, by the first error that matches. Errors while a
#: connection is opened come before any byte of the request is sent.
_KINDS_BY_ERROR = (
    (aiohttp.ClientConnectorError, serving.FailureKind.NOT_SENT),
    (aiohttp.ConnectionTimeoutError, serving.FailureKind.NOT_SENT),
    (httpclient.ConnectionLostError, serving.FailureKind.DISCONNECTED),
    (aiohttp.ClientResponseError, serving.FailureKind.FOREIGN),
    (ValueError, serving.FailureKind.FOREIGN),
)
#: Failures that a worker which acknowledges no bytes causes too.
_LOST_KINDS = frozenset(
    (serving.FailureKind.DISCONNECTED, serving.FailureKind.BROKEN)
)


@attrs.define(eq=False)
class Exchange:
    """A worker's answer whose body has not been read yet."""

    _answer: serving.Answer
    _response: _sessions.Response
    _turns: _chunk_turns.ChunkTurns
    _unread_s: float = 0

    @property
    def was_unread(self) -> bool:
        """Whether the worker was not read for long, as there was no room."""
        return self._unread_s > _UNREAD_S

    @property
    def answer(self) -> serving.Answer:
        """Status and headers."""
        return self._answer

    @property
    def is_proven(self) -> bool:
        """Whether the answer is no success, or has the worker's digest.

        An answer to a prefill needs none; it is not for the client.
        """
        headers = self._response.headers
        return not self._response.ok or _headers.SEAL in headers

    async def read_whole(self) -> bytes | serving.Failed:
        """Reads the whole body, up to the longest one that is accepted."""
        parts = []
        size = 0
        length = self._response.content_length or 0
        await self.reserve(min(length, _MAX_BODY_BYTES))
        while size <= _MAX_BODY_BYTES:
            part = await self.read_some()
            if isinstance(part, serving.Failed):
                return part
            if not part:
                return b''.join(parts)
            parts.append(part)
            size += len(part)
            await self.reserve(size)
        return serving.Failed(
            kind=serving.FailureKind.FOREIGN,
            reason=f'body longer than {_MAX_BODY_BYTES} bytes',
        )

    async def read_some(self) -> bytes | serving.Failed:
        """Reads the available part of the body; empty at its regular end.

        Bodies of which most is framing are parsed in turns.
        """
        if self._response.is_dense:
            await self._turns.take()
        try:
            part = await self._response.content.readany()
        except (aiohttp.ClientError, ConnectionError, OSError) as error:
            kind = serving.FailureKind.BROKEN
            if self._response.is_unsound:
                kind = serving.FailureKind.FOREIGN
            return _make_failure(kind, error)
        if part or not self._ends_with_connection:
            return part
        return await self._check_end()

    async def reserve(self, size: int) -> None:
        """Waits until there is room for a part of the body.

        :param size: bytes that are kept.
        """
        started_s = time.monotonic()
        await _current_client.reserve_response(size)
        self._unread_s += time.monotonic() - started_s

    def complete(self, body: bytes) -> serving.Answer:
        """Returns the answer with its body.

        :param body: the whole body.
        """
        return attrs.evolve(self._answer, body=body)

    def close(self) -> None:
        """Ends the exchange; the worker drops a request that still runs."""
        self._response.close()

    def close_connection(self) -> None:
        """Ends the exchange and closes its connection."""
        self._response.close_connection()

    def release(self) -> None:
        """Returns the connection to its pool after the whole body was read."""
        self._response.release()

    @property
    def _ends_with_connection(self) -> bool:
        headers = self._response.headers
        return (
            self._response.status not in _NO_BODY_STATUSES
            and 'Content-Length' not in headers
            and 'chunked' not in headers.get('Transfer-Encoding', '').lower()
        )

    async def _check_end(self) -> bytes | serving.Failed:
        # The parser mistakes a reset for the end of a body without a length.
        closed = self._response.closed_connection
        if closed is None:
            return serving.Failed(
                kind=serving.FailureKind.BROKEN,
                reason='end of the body is not known',
            )
        try:
            # A time limit must not cancel the future, which others may await.
            await asyncio.shield(closed)
        except aiohttp.ClientConnectionError as error:
            return _make_failure(serving.FailureKind.BROKEN, error)
        return b''


@attrs.define(eq=False)
class WorkerCalls:
    """Sends requests to workers."""

    _reused: aiohttp.ClientSession
    _fresh: aiohttp.ClientSession
    _turns: _chunk_turns.ChunkTurns = attrs.field(
        factory=_chunk_turns.ChunkTurns
    )

    async def run(
        self, call: serving.Call, dispatch: serving.Dispatch, *, fresh: bool
    ) -> Exchange | serving.Failed:
        """Sends a request and waits for the start of its answer.

        :param call: the request.
        :param dispatch: worker and limits.
        :param fresh: whether a new connection is used, so that a request that
            may not be repeated is not lost on a stale one.
        """
        headers = _make_headers(call, dispatch)
        if dispatch.source is not None:
            source = dispatch.source
            headers.append(
                (
                    _headers.KV_SOURCE,
                    f'{source.worker.address}/{source.handle}',
                )
            )
        exchange = await self._send(call, dispatch, headers, fresh=fresh)
        if isinstance(exchange, Exchange) and not exchange.is_proven:
            exchange.close_connection()
            return serving.Failed(
                kind=serving.FailureKind.FOREIGN,
                reason=f'status {exchange.answer.status} without a digest',
            )
        return exchange

    async def prefill(
        self, call: serving.Call, dispatch: serving.Dispatch
    ) -> serving.KvSource | serving.Failed:
        """Has a worker prefill a prompt; this does not run the request.

        :param call: the request.
        :param dispatch: worker and limits.
        """
        headers = _make_headers(call, dispatch)
        headers.append((_headers.STAGE, 'prefill'))
        exchange = await self._send(call, dispatch, headers, fresh=False)
        if isinstance(exchange, serving.Failed):
            return exchange
        try:
            return await _read_handle(exchange, dispatch)
        finally:
            exchange.release()

    async def free(self, source: serving.KvSource, timeout_s: float) -> bool:
        """Frees the KV cache of a prompt that no worker will fetch.

        :param source: the KV cache.
        :param timeout_s: time limit in seconds.
        """
        url = yarl.URL(
            f'http://{source.worker.address}/v1/kv-handle/{source.handle}'
        )
        limit = aiohttp.ClientTimeout(total=timeout_s)
        # The worker may have closed a kept connection; freeing the same KV cache
        # twice changes nothing.
        for session in (self._reused, self._fresh):
            try:
                async with session.delete(url, timeout=limit) as response:
                    return response.status == _OK
            except httpclient.ConnectionLostError as error:
                telemetry.log_event(
                    'free_unanswered',
                    worker=source.worker.id,
                    handle=source.handle,
                    reason=str(error),
                )
            # TimeoutError is a subclass of OSError.
            except (aiohttp.ClientError, OSError):
                return False
        return False

    async def has_ended(self, worker: schema.serving.Worker) -> bool:
        """Returns whether a worker refuses connections, as its process ended.

        :param worker: the worker.
        :returns: False where it accepts one, or where its host can't be
            reached, which says nothing about the process.
        """
        host, _, port = worker.address.rpartition(':')
        try:
            async with asyncio.timeout(_CHECK_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return True
        except (TimeoutError, OSError) as error:
            telemetry.log_event(
                'worker_check_failed', worker=worker.id, reason=repr(error)
            )
            return False
        writer.close()
        return False

    async def close(self) -> None:
        """Closes all connections."""
        await self._reused.close()
        await self._fresh.close()

    async def _send(
        self,
        call: serving.Call,
        dispatch: serving.Dispatch,
        headers: list[serving.Header],
        *,
        fresh: bool,
    ) -> Exchange | serving.Failed:
        session = self._fresh if fresh else self._reused
        url = yarl.URL(
            f'http://{dispatch.worker.address}{call.path}', encoded=True
        )
        try:
            response = await session.request(
                call.method,
                url,
                data=call.body or None,
                headers=headers,
                allow_redirects=False,
            )
        # TimeoutError is a subclass of OSError.
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return _make_failure(_classify_error(error), error)
        return _check_response(call, response, self._turns)


def _check_response(
    call: serving.Call,
    response: _sessions.Response,
    turns: _chunk_turns.ChunkTurns,
) -> Exchange | serving.Failed:
    failure = _classify_failure(call, response)
    if failure is not None:
        # A faulty worker may send a refusal twice; the second one would count
        # for the next request on the connection, which may be the same one.
        response.close_connection()
        return failure
    answer = serving.Answer(
        status=response.status,
        headers=_answer_headers.filter_headers(response),
        load=_answer_headers.decode_load(response),
        backpressure=_answer_headers.decode_backpressure(response),
    )
    return Exchange(answer, response, turns)


def _classify_failure(
    call: serving.Call, response: _sessions.Response
) -> serving.Failed | None:
    headers = response.headers
    status = response.status
    load = _answer_headers.decode_load(response)
    echoed = headers.get(_headers.REQUEST_ID)
    if echoed is not None and echoed != call.id:
        return serving.Failed(
            kind=serving.FailureKind.FOREIGN,
            reason=f'the answer is for request {echoed}',
        )
    if echoed is None and call.id:
        # Bytes after an earlier answer on the connection name no request.
        return serving.Failed(
            kind=serving.FailureKind.FOREIGN,
            reason=f'status {status} names no request',
            load=load,
        )
    backpressure = _answer_headers.decode_backpressure(response)
    if status == _MISDIRECTED:
        return serving.Failed(
            kind=serving.FailureKind.WRONG_WORKER,
            reason='status 421',
            load=load,
        )
    if _headers.NOT_EXECUTED in headers:
        return serving.Failed(
            kind=serving.FailureKind.REJECTED,
            reason=f'status {status}',
            load=load,
            backpressure=backpressure,
        )
    if status not in _FINAL_STATUSES or status in _NOT_RUN_STATUSES:
        return serving.Failed(
            kind=serving.FailureKind.BROKEN,
            reason=f'status {status} without a statement that it did not run',
            load=load,
            backpressure=backpressure,
        )
    return None


async def _read_handle(
    exchange: Exchange, dispatch: serving.Dispatch
) -> serving.KvSource | serving.Failed:
    if exchange.answer.status != _OK:
        return serving.Failed(
            kind=serving.FailureKind.BROKEN,
            reason=f'prefill answered {exchange.answer.status}',
            load=exchange.answer.load,
            backpressure=exchange.answer.backpressure,
        )
    body = await exchange.read_whole()
    if isinstance(body, serving.Failed):
        return body
    try:
        tree = orjson.loads(body)
        return serving.KvSource(
            worker=dispatch.worker,
            handle=str(tree['kvHandle']),
            tokens=int(tree['tokens']),
            load=exchange.answer.load,
            backpressure=exchange.answer.backpressure,
        )
    except (KeyError, TypeError, ValueError) as error:
        return _make_failure(serving.FailureKind.FOREIGN, error)


def _make_headers(
    call: serving.Call, dispatch: serving.Dispatch
) -> list[serving.Header]:
    headers = _list_client_headers(call)
    urgency = min(_LEAST_URGENT, dispatch.rank * _URGENCIES_PER_RANK)
    remaining_ms = max(1, int(dispatch.remaining_s * _MS_PER_S))
    headers.extend(
        (
            (_headers.DEADLINE_MS, str(remaining_ms)),
            (_headers.EXPECTED_WORKER, dispatch.worker.id),
        )
    )
    if call.account:
        headers.append((_headers.ACCOUNT, call.account))
    if call.prompt is not None:
        headers.append((_headers.URGENCY, str(urgency)))
    if dispatch.last_event:
        headers.append((_headers.LAST_EVENT, dispatch.last_event))
    if dispatch.cache_holder is not None:
        headers.append((_headers.KV_FETCH, dispatch.cache_holder.address))
    return headers


def _list_client_headers(call: serving.Call) -> list[serving.Header]:
    """Lists the headers of the client in their order."""
    headers = list(call.headers)
    directory = call.directory
    if directory is None:
        return headers
    dropped = 0
    for position, header in call.identity_headers:
        is_key = header[0].lower() == _headers.AUTHORIZATION.lower()
        if directory.requires_key or (is_key and directory.has_required_key):
            dropped += 1
        else:
            headers.insert(position - dropped, header)
    return headers


def _classify_error(error: BaseException) -> serving.FailureKind:
    for kind_of_error, kind in _KINDS_BY_ERROR:
        if isinstance(error, kind_of_error):
            return kind
    return serving.FailureKind.BROKEN


def _make_failure(
    kind: serving.FailureKind, error: BaseException
) -> serving.Failed:
    if kind in _LOST_KINDS and _is_unreachable(error):
        kind = serving.FailureKind.UNREACHABLE
    return serving.Failed(kind=kind, reason=f'{type(error).__name__}: {error}')


def _is_unreachable(error: BaseException | None) -> bool:
    """Returns whether a connection ended on unacknowledged bytes."""
    while error is not None:
        if getattr(error, 'errno', None) == errno.ETIMEDOUT:
            return True
        error = error.__cause__
    return False


def make_worker_calls(connections: int = 0) -> WorkerCalls:
    """Makes the client of workers; a running event loop is needed.

    :param connections: connections to one worker; 0 for no limit.
    """
    return WorkerCalls(
        _sessions.make_session(connections, force_close=False),
        _sessions.make_session(connections, force_close=True),
    )
