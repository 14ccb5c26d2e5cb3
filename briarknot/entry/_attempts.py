"""Attempts at engines, and at entry processes of other failure domains."""

import aiohttp
import attrs
import orjson

from briarknot import (
    httpclient,
    outcomes,
    routing,
    schema,
    sentinels,
    telemetry,
)
from briarknot.entry import _requests, _stream

_OK = 200
_SERVICE_UNAVAILABLE = 503
_CLIENT_ERRORS = range(400, 500)
_TOO_MANY_REQUESTS = 429
#: Why an answer of a prefill engine holds no handle.
_DECODE_ERRORS = (KeyError, TypeError, ValueError)
#: Read limit for answers other than streams, which are short.
_MAX_PROBLEM_BYTES = 65536
#: Failures before the connection is established; no byte has been sent.
CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


@attrs.frozen
class NotRun(sentinels.Sentinel):
    """Sentinel for an attempt that did not run on its target.

    :param reason: what happened.
    :param is_final: whether other endpoints would refuse it too.
    :param engine: engine that failed, if it is not the target itself.
    :param has_prefilled: whether another engine had run the prefill.
    """

    reason: str
    is_final: bool = False
    engine: str = ''
    has_prefilled: bool = False


#: How an attempt ends.
End = _stream.Finish | _stream.Broken | NotRun


@attrs.frozen(kw_only=True)
class Target:
    """Destination of an attempt.

    :param name: name of the engine, or of the peer host.
    :param url: URL of the request.
    :param headers: headers of the request.
    :param choice: the router's choice; None for a hop to another domain.
    :param queue_s: maximum wait in the target's admission queue, in seconds.
    """

    name: str
    url: str
    headers: dict[str, str]
    choice: routing.Choice | None = None
    queue_s: float = 0

    @property
    def engine_names(self) -> tuple[str, ...]:
        """Names of the engines that may run the request, the target last."""
        if self.choice is None or self.choice.prefill_engine is None:
            return (self.name,)
        return self.choice.prefill_engine.name, self.name

    @property
    def reason(self) -> str:
        """Why the target was chosen."""
        if self.choice is None:
            return 'no engine of the own failure domain meets the target'
        return self.choice.reason


@attrs.define(eq=False, kw_only=True)
class Sender:
    """Sends the attempts of one process.

    :param session: client session without connection reuse.
    :param timing: time limits.
    """

    _session: aiohttp.ClientSession
    _timing: schema.settings.Timing

    async def send(
        self,
        target: Target,
        request: _requests.CompletionRequest,
        request_id: str,
        priority: int,
        offset: int,
        deliver: _stream.Deliver,
    ) -> End:
        """Runs one attempt.

        :param target: destination.
        :param request: the caller's request.
        :param request_id: id of the request.
        :param priority: index of the rank.
        :param offset: offset of the first missing token.
        :param deliver: called with deltas, in order.
        """
        kv_from = None
        if target.choice is not None and target.choice.prefill_engine:
            body = _requests.encode_engine_body(
                request, request_id, priority=priority, resume_from=0
            )
            kv_from = await self._prefill(target, body)
            if not isinstance(kv_from, dict):
                return attrs.evolve(
                    kv_from, engine=target.choice.prefill_engine.name
                )
        body = _requests.encode_engine_body(
            request,
            request_id,
            priority=priority,
            resume_from=offset,
            kv_from=kv_from,
        )
        end = await self._stream(target, body, request_id, offset, deliver)
        if isinstance(end, NotRun) and kv_from is not None:
            return attrs.evolve(end, has_prefilled=True)
        return end

    async def _stream(
        self,
        target: Target,
        body: bytes,
        request_id: str,
        offset: int,
        deliver: _stream.Deliver,
    ) -> End:
        """Sends the completion and reads its stream."""
        silence_s = self._timing.prefill_silence_s + target.queue_s
        try:
            async with self._session.post(
                target.url,
                data=body,
                headers=_make_headers(target),
                # A silent connection may never deliver the status line.
                timeout=aiohttp.ClientTimeout(
                    sock_connect=self._timing.connect_timeout_s,
                    sock_read=silence_s,
                ),
            ) as response:
                if response.status != _OK:
                    return await _read_refusal(response)
                return await _stream.read_stream(
                    response.content, request_id, offset, self._timing, deliver
                )
        except CONNECT_ERRORS as error:
            return NotRun(f'cannot connect: {error}')
        except aiohttp.SocketTimeoutError:
            return _stream.Broken(f'silent for {silence_s:g} s', is_silent=True)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return _stream.Broken(f'{type(error).__name__}: {error}')

    async def _prefill(
        self, target: Target, body: bytes
    ) -> dict[str, str] | End:
        """Runs prefill and returns the source of the KV transfer."""
        engine = target.choice.prefill_engine
        try:
            with telemetry.make_span('prefill', engine=engine.name):
                answer = await self._post_prefill(target, engine.url, body)
        except CONNECT_ERRORS as error:
            return NotRun(f'prefill on {engine.name}: cannot connect: {error}')
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return _stream.Broken(
                f'prefill on {engine.name}: {type(error).__name__}: {error}'
            )
        if isinstance(answer, str):
            return {'url': engine.url, 'kv_handle': answer}
        return answer

    async def _post_prefill(
        self, target: Target, engine_url: str, body: bytes
    ) -> str | End:
        """Returns the handle of the KV cache, or the failure."""
        async with self._session.post(
            f'{engine_url}/v1/prefill',
            data=body,
            headers=_make_headers(target),
            timeout=aiohttp.ClientTimeout(
                total=self._timing.prefill_silence_s,
                sock_connect=self._timing.connect_timeout_s,
            ),
        ) as response:
            if response.status != _OK:
                return await _read_refusal(response)
            return _decode_handle(await response.read())


def _decode_handle(body: bytes) -> str | _stream.Broken:
    try:
        return str(orjson.loads(body)['kv_handle'])
    except _DECODE_ERRORS as error:
        return _stream.Broken(f'prefill answer: {type(error).__name__}')


def _make_headers(target: Target) -> dict[str, str]:
    headers = {'Content-Type': 'application/json', **target.headers}
    return telemetry.inject_context(headers)


async def _read_refusal(response: aiohttp.ClientResponse) -> End:
    """Classifies an answer that is not a stream."""
    body = await response.content.read(_MAX_PROBLEM_BYTES)
    reason = f'status {response.status}: {body[:200].decode(errors="replace")}'
    failure = parse_problem(body)
    if failure is not None:
        return failure
    if response.status in {_SERVICE_UNAVAILABLE, _TOO_MANY_REQUESTS}:
        return NotRun(reason)
    if response.status in _CLIENT_ERRORS:
        return NotRun(reason, is_final=True)
    return _stream.Broken(reason)


def parse_problem(body: bytes) -> NotRun | _stream.Broken | None:
    """Parses a refusal of another entry process.

    :param body: body of the answer.
    :returns: the failure; None if the answer is not a refusal.
    """
    try:
        tree = orjson.loads(body)
    except orjson.JSONDecodeError:
        return None
    if not isinstance(tree, dict) or 'outcome' not in tree:
        return None
    reason = f'{tree.get("cause")}: {tree.get("detail")}'
    if tree['outcome'] == outcomes.Outcome.NOT_RUN:
        return NotRun(reason)
    return _stream.Broken(reason)


def make_sender(
    session: aiohttp.ClientSession, timing: schema.settings.Timing
) -> Sender:
    """Makes the sender of a process.

    :param session: client session from :func:`make_session`.
    :param timing: time limits.
    """
    return Sender(session=session, timing=timing)


def make_session(timing: schema.settings.Timing) -> aiohttp.ClientSession:
    """Makes a client session for endpoints.

    Connections are not reused. One that has become silent while new ones work
    would cost its next request a timeout, and leave it unknown whether a
    non-repeatable call ran. A new connection costs one round trip within the
    domain.

    :param timing: time limits.
    """
    return httpclient.make_session(
        # Bodies are passed on as they arrive.
        connector=httpclient.Connector(
            max_answer_bytes=0, limit=0, force_close=True
        ),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=timing.connect_timeout_s
        ),
        auto_decompress=False,
        read_bufsize=2**18,
    )
