"""HTTP interface for callers: one handler task for each connection."""

import contextlib
import time

import attrs
from aiohttp import hdrs, web

from briarknot import journal, outcomes, telemetry
from briarknot.entry import (
    _answers,
    _bodies,
    _completion,
    _context,
    _identity,
    _recorder,
    _requests,
    _service_calls,
    _stream,
)

_RANK_HEADER = 'X-Briarknot-Rank'


@attrs.define(eq=False)
class CallerApi:
    """Handlers of the callers' port."""

    _context: _context.Context
    _bodies: _bodies.Bodies
    _is_stopping: bool = attrs.field(default=False, init=False)

    def make_app(self) -> web.Application:
        """Makes the application of the callers' port."""
        limits = self._context.settings.limits
        app = web.Application(client_max_size=limits.body_bytes)
        app.on_response_prepare.append(self._announce_close)
        app.router.add_post('/v1/completions', self._complete)
        app.router.add_post('/v1/chat/completions', self._complete_chat)
        app.router.add_get('/v1/models', self._list_models)
        app.router.add_route('*', '/services/{name}', self._call_service)
        app.router.add_route(
            '*', '/services/{name}/{path:.*}', self._call_service
        )
        return app

    def refuse_new_requests(self) -> None:
        """Refuses new requests from now on; open ones continue."""
        self._is_stopping = True

    async def _announce_close(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Has each answer of a stopping process close its connection.

        The next request on it would cross the close at the end of the process.

        :param request: the request.
        :param response: its answer, before its headers are sent.
        """
        if self._is_stopping:
            response.headers[hdrs.CONNECTION] = 'close'
            response.force_close()

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        return await self._answer_completion(request, is_chat=False)

    async def _complete_chat(self, request: web.Request) -> web.StreamResponse:
        return await self._answer_completion(request, is_chat=True)

    async def _answer_completion(
        self, request: web.Request, *, is_chat: bool
    ) -> web.StreamResponse:
        recorder = self._make_recorder('completion')
        with (
            telemetry.make_span(
                'entry', request.headers, request_id=recorder.request_id
            ),
            self._recorded(recorder),
        ):
            identity = self._identify(request, recorder)
            if not isinstance(identity, _identity.Identity):
                return _refuse(recorder, identity)
            with self._context.open_requests.counted(identity.account.name):
                return await self._run_completion(
                    request, identity, recorder, is_chat=is_chat
                )

    async def _run_completion(
        self,
        request: web.Request,
        identity: _identity.Identity,
        recorder: _recorder.RequestRecorder,
        *,
        is_chat: bool,
    ) -> web.StreamResponse:
        async with self._bodies.receive(request) as body:
            if not isinstance(body, bytes):
                return _refuse(recorder, body)
            return await self._run_received(
                request, body, identity, recorder, is_chat=is_chat
            )

    async def _run_received(
        self,
        request: web.Request,
        body: bytes,
        identity: _identity.Identity,
        recorder: _recorder.RequestRecorder,
        *,
        is_chat: bool,
    ) -> web.StreamResponse:
        tree = _requests.parse_body(body, self._context.settings.limits)
        if not isinstance(tree, dict):
            return _refuse(recorder, tree)
        parsed = _requests.parse_completion(tree, is_chat=is_chat)
        if not isinstance(parsed, _requests.CompletionRequest):
            return _refuse(recorder, parsed)
        models = {model.name for model in self._context.fleet.models}
        if parsed.model not in models:
            return _refuse(
                recorder,
                outcomes.make_refusal(
                    'unknown_target', f'no model {parsed.model!r}'
                ),
            )
        completion = _completion.make_completion(
            self._context, parsed, identity, recorder
        )
        encoder = _answers.make_encoder(parsed, recorder.request_id)
        if parsed.is_stream:
            return await _send_stream(request, completion, encoder, recorder)
        return await _send_complete(completion, encoder, recorder)

    async def _list_models(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                'object': 'list',
                'data': [
                    {'id': model.name, 'object': 'model', 'owned_by': 'fleet'}
                    for model in self._context.fleet.models
                ],
            }
        )

    async def _call_service(self, request: web.Request) -> web.StreamResponse:
        recorder = self._make_recorder('service')
        with (
            telemetry.make_span(
                'entry', request.headers, request_id=recorder.request_id
            ),
            self._recorded(recorder),
        ):
            identity = self._identify(request, recorder)
            if not isinstance(identity, _identity.Identity):
                return _refuse(recorder, identity)
            with self._context.open_requests.counted(identity.account.name):
                return await self._run_service(request, identity, recorder)

    async def _run_service(
        self,
        request: web.Request,
        identity: _identity.Identity,
        recorder: _recorder.RequestRecorder,
    ) -> web.Response:
        async with self._bodies.receive(request) as body:
            if not isinstance(body, bytes):
                return _refuse(recorder, body)
            call = _service_calls.make_call(request, body, identity)
            answer = await _service_calls.run_call(
                self._context, call, recorder
            )
        if isinstance(answer, _service_calls.Answer):
            return answer.make_response(recorder.request_id)
        return _refuse(recorder, answer)

    def _make_recorder(self, kind: str) -> _recorder.RequestRecorder:
        node = self._context.node
        request_id = journal.make_request_id(node.host, time.time())
        return _recorder.make_recorder(request_id, node, kind)

    def _identify(
        self, request: web.Request, recorder: _recorder.RequestRecorder
    ) -> _identity.Identity | outcomes.Refusal:
        if self._is_stopping:
            return outcomes.make_refusal(
                'shutting_down',
                'the entry process is stopping',
                retry_after_s=1,
            )
        if not self._context.follower.revision:
            return outcomes.make_refusal(
                'no_document', 'no fleet document yet', retry_after_s=1
            )
        identity = self._context.directory.identify(
            request.headers.get('Authorization', ''),
            request.headers.get(_RANK_HEADER, ''),
        )
        if isinstance(identity, _identity.Identity):
            recorder.rank = identity.rank
            recorder.set_fields(
                account=identity.account.name,
                rank=identity.rank.name,
                revision=self._context.follower.revision,
            )
            # A refusal is falsy, so that `or` would discard it.
            refusal = self._check_streams(identity)
            return identity if refusal is None else refusal
        return identity

    def _check_streams(
        self, identity: _identity.Identity
    ) -> outcomes.Refusal | None:
        """Refuses a request above the account's limit of open ones."""
        account = identity.account
        if self._context.open_requests.count(account.name) < (
            account.max_streams
        ):
            return None
        return outcomes.make_refusal(
            'too_many_streams',
            f'{account.max_streams} requests of {account.name} are open',
            retry_after_s=1,
        )

    @contextlib.contextmanager
    def _recorded(self, recorder: _recorder.RequestRecorder):
        """Writes the journal record when the request ends, in any way."""
        try:
            yield
        finally:
            if not recorder.record.outcome:
                # The handler was cancelled or failed without an answer.
                recorder.record_refusal(_make_disconnect_refusal(recorder))
            self._context.journal.add(recorder.close())


def _make_disconnect_refusal(
    recorder: _recorder.RequestRecorder,
) -> outcomes.Refusal:
    outcome = outcomes.Outcome.NOT_RUN
    if recorder.record.attempts:
        outcome = outcomes.Outcome.UNKNOWN
    return outcomes.make_refusal(
        'caller_left', 'the connection was closed', outcome=outcome
    )


async def read_limited_body(request: web.Request) -> bytes | outcomes.Refusal:
    """Reads a body; refuses one above the limit of its application.

    :param request: the request.
    """
    try:
        return await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        return outcomes.make_refusal('too_large', f'body: {error.text}')


def _refuse(
    recorder: _recorder.RequestRecorder, refusal: outcomes.Refusal
) -> web.Response:
    recorder.record_refusal(refusal)
    return _answers.make_refusal_response(refusal, recorder.request_id)


async def _send_complete(
    completion: _completion.Completion,
    encoder: _answers.AnswerEncoder,
    recorder: _recorder.RequestRecorder,
) -> web.StreamResponse:
    """Sends the complete answer at once, or only a refusal."""
    texts: list[str] = []

    async def collect(deltas: list[_stream.Delta]) -> None:
        texts.extend(delta.text for delta in deltas)

    end = await completion.run(collect)
    if isinstance(end, outcomes.Refusal):
        return _refuse(recorder, end)
    recorder.record_completion(len(texts))
    return web.Response(
        body=encoder.encode_complete(''.join(texts), end),
        content_type='application/json',
        headers={_answers.REQUEST_ID_HEADER: recorder.request_id},
    )


async def _send_stream(
    request: web.Request,
    completion: _completion.Completion,
    encoder: _answers.AnswerEncoder,
    recorder: _recorder.RequestRecorder,
) -> web.StreamResponse:
    """Sends the answer as server-sent events.

    The response starts with the first delta, so that a request refused
    before it still gets a status and ``Retry-After``.
    """
    writer = _answers.make_writer(request, recorder.request_id)

    async def send(deltas: list[_stream.Delta]) -> None:
        events = [encoder.encode_delta(delta.text) for delta in deltas]
        await writer.write(events)

    end = await completion.run(send)
    if isinstance(end, outcomes.Refusal):
        if not writer.is_started:
            return _refuse(recorder, end)
        recorder.set_fields(output_tokens=writer.deltas)
        recorder.record_refusal(end)
        return await writer.finish(encoder.encode_failure(end))
    recorder.record_completion(writer.deltas)
    return await writer.finish(encoder.encode_finish(end))


def make_caller_api(context: _context.Context) -> CallerApi:
    """Makes the handlers of the callers' port.

    :param context: components of the process.
    """
    bodies = _bodies.make_bodies(context.settings.limits)
    return CallerApi(context, bodies)
