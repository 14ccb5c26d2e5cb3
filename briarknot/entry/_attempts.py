"""Attempts at engines, and at entry processes of other failure domains."""

import collections.abc
import typing

import aiohttp
import attrs
import orjson

from briarknot import outcomes, routing, schema, telemetry
from briarknot.entry import _requests, _stream

_OK = 200
_REFUSED_UNRUN = 503
_CLIENT_ERRORS = range(400, 500)
_TOO_MANY = 429
#: An answer that is no stream is short; more of it is not read.
_PROBLEM_BYTES = 65536


@attrs.frozen
class NotRun:
    """Sentinel for an attempt of which no byte was run.

    :param reason: what happened.
    :param is_final: whether no other endpoint would take it either.
    """

    reason: str
    is_final: bool = False

    def __bool__(self) -> bool:
        """Counts as false, so that callers can test for it."""
        return False


Event = _stream.Event | NotRun


@attrs.frozen(kw_only=True)
class Target:
    """Where an attempt goes.

    :param name: name of the engine, or of the peer host.
    :param url: URL of the request.
    :param headers: headers of the request.
    :param choice: the router's choice; None for a hop to another domain.
    """

    name: str
    url: str
    headers: dict[str, str]
    choice: routing.Choice | None = None

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
    ) -> collections.abc.AsyncIterator[Event]:
        """Runs one attempt and yields its events.

        :param target: where it goes.
        :param request: the caller's request.
        :param request_id: id of the request.
        :param priority: index of the rank.
        :param offset: first token that is still missing.
        """
        kv_from = None
        if target.choice is not None and target.choice.prefill_engine:
            handle = await self._prefill(target, request, request_id, priority)
            if not isinstance(handle, dict):
                yield handle
                return
            kv_from = handle
        body = _requests.write_engine_body(
            request,
            request_id,
            priority=priority,
            resume_from=offset,
            kv_from=kv_from,
        )
        async for event in self._stream(target, body, request_id, offset):
            yield event

    async def _stream(
        self, target: Target, body: bytes, request_id: str, offset: int
    ) -> collections.abc.AsyncIterator[Event]:
        try:
            async with self._session.post(
                target.url, data=body, headers=_make_headers(target)
            ) as response:
                if response.status != _OK:
                    yield await _read_refusal(response)
                    return
                async for event in _stream.read_stream(
                    response.content, request_id, offset, self._timing
                ):
                    yield event
        except aiohttp.ClientConnectorError as error:
            yield NotRun(f'cannot connect: {error}')
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            yield _stream.Broken(f'{type(error).__name__}: {error}')

    async def _prefill(
        self,
        target: Target,
        request: _requests.CompletionRequest,
        request_id: str,
        priority: int,
    ) -> dict[str, str] | Event:
        """Runs prefill and returns where the KV cache can be imported."""
        engine = target.choice.prefill_engine
        body = _requests.write_engine_body(
            request, request_id, priority=priority, resume_from=0
        )
        url = f'{engine.url}/v1/prefill'
        try:
            with telemetry.make_span('prefill', engine=engine.name):
                async with self._session.post(
                    url,
                    data=body,
                    headers=_make_headers(target),
                    timeout=aiohttp.ClientTimeout(
                        total=self._timing.prefill_silence_s,
                        sock_connect=self._timing.connect_timeout_s,
                    ),
                ) as response:
                    if response.status != _OK:
                        return await _read_refusal(response)
                    tree = orjson.loads(await response.read())
        except aiohttp.ClientConnectorError as error:
            return NotRun(f'prefill on {engine.name}: cannot connect: {error}')
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return _stream.Broken(
                f'prefill on {engine.name}: {type(error).__name__}: {error}'
            )
        return {'url': engine.url, 'kv_handle': tree['kv_handle']}


def _make_headers(target: Target) -> dict[str, str]:
    headers = {'Content-Type': 'application/json', **target.headers}
    return telemetry.inject_context(headers)


async def _read_refusal(response: aiohttp.ClientResponse) -> Event:
    """Reads an answer that is no stream."""
    body = await response.content.read(_PROBLEM_BYTES)
    reason = f'status {response.status}: {body[:200].decode(errors="replace")}'
    problem = _read_problem(body)
    if 'outcome' in problem:
        # An entry process of another failure domain says what it knows.
        if problem['outcome'] == outcomes.Outcome.NOT_RUN:
            return NotRun(f'{problem.get("cause")}: {problem.get("detail")}')
        return _stream.Broken(reason)
    if response.status in {_REFUSED_UNRUN, _TOO_MANY}:
        return NotRun(reason)
    if response.status in _CLIENT_ERRORS:
        return NotRun(reason, is_final=True)
    return _stream.Broken(reason)


def _read_problem(body: bytes) -> dict[str, typing.Any]:
    try:
        tree = orjson.loads(body)
    except orjson.JSONDecodeError:
        return {}
    return tree if isinstance(tree, dict) else {}


def make_sender(
    session: aiohttp.ClientSession, timing: schema.settings.Timing
) -> Sender:
    """Makes the sender of a process.

    :param session: session of :func:`make_session`.
    :param timing: time limits.
    """
    return Sender(session=session, timing=timing)


def make_session(timing: schema.settings.Timing) -> aiohttp.ClientSession:
    """Makes a client session for endpoints.

    Connections are not reused: one that has gone silent while new ones work
    would cost its next request a timeout, and a call that may not be repeated
    its certainty. A new connection costs one round trip in the domain.

    :param timing: time limits.
    """
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=True),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=timing.connect_timeout_s
        ),
        auto_decompress=False,
        read_bufsize=2**18,
    )

