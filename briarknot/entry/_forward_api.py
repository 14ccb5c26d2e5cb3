"""HTTP interface for requests that other entry processes forward."""

import contextlib
import hmac

import attrs
from aiohttp import web

from briarknot import outcomes, telemetry
from briarknot.entry import (
    _answers,
    _caller_api,
    _completion,
    _context,
    _hops,
    _identity,
    _recorder,
    _requests,
    _service_calls,
    _stream,
)

_HOST_HEADER = 'X-Briarknot-Host'
_ACCOUNT_HEADER = 'X-Briarknot-Account'
_RANK_HEADER = 'X-Briarknot-Rank'
_CLAIMED_HEADER = 'X-Briarknot-Claimed'


@attrs.define(eq=False)
class ForwardApi:
    """Handlers of forwarded requests, on the peer port."""

    _context: _context.Context

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes to the application of the peer port."""
        path = _hops.FORWARD_PATH
        app.router.add_post(f'{path}/v1/completions', self._complete)
        app.router.add_route(
            '*',
            f'{path}{_service_calls.SERVICE_PATH}{{name}}/{{path:.*}}',
            self._call_service,
        )

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        with (
            self._context.open_requests.counted(),
            self._recorded(request, 'completion') as recorder,
        ):
            identity = self._identify(request)
            if not isinstance(identity, _identity.Identity):
                return _refuse(recorder, identity)
            body = await _caller_api.read_limited_body(request)
            if not isinstance(body, bytes):
                return _refuse(recorder, body)
            parsed = _parse_completion(self._context, body)
            if not isinstance(parsed, _requests.CompletionRequest):
                return _refuse(recorder, parsed)
            crashed_endpoints = _parse_crashed_endpoints(request)
            completion = _completion.make_completion(
                self._context,
                parsed,
                identity,
                recorder,
                # A suspect comes from the local domain, and may still hop to
                # another one.
                may_hop=bool(crashed_endpoints),
                crashed_endpoints=crashed_endpoints,
            )
            return await _send_chunks(request, completion, parsed, recorder)

    async def _call_service(self, request: web.Request) -> web.Response:
        with (
            self._context.open_requests.counted(),
            self._recorded(request, 'service') as recorder,
        ):
            identity = self._identify(request)
            if not isinstance(identity, _identity.Identity):
                return _refuse(recorder, identity)
            body = await _caller_api.read_limited_body(request)
            if not isinstance(body, bytes):
                return _refuse(recorder, body)
            recorder.rank = identity.rank
            call = attrs.evolve(
                _service_calls.make_call(request, body, identity),
                is_claimed=_CLAIMED_HEADER in request.headers,
            )
            answer = await _service_calls.run_call(
                self._context, call, recorder, may_hop=False
            )
            if isinstance(answer, _service_calls.Answer):
                return answer.make_response(recorder.request_id)
            return _refuse(recorder, answer)

    def _identify(
        self, request: web.Request
    ) -> _identity.Identity | outcomes.Refusal:
        offered = request.headers.get('Authorization', '').encode()
        secret = f'Bearer {self._context.node.peer_secret}'.encode()
        if not hmac.compare_digest(offered, secret):
            return outcomes.make_refusal(
                'unauthenticated', 'the peer secret is missing or wrong'
            )
        return self._context.directory.identify_forwarded(
            request.headers.get(_ACCOUNT_HEADER, ''),
            request.headers.get(_RANK_HEADER, ''),
        )

    @contextlib.contextmanager
    def _recorded(self, request: web.Request, kind: str):
        """Records the hop in the journal, under the request's original id."""
        request_id = request.headers.get(_answers.REQUEST_ID_HEADER, '')
        recorder = _recorder.make_recorder(request_id, self._context.node, kind)
        recorder.set_fields(peer_of=request.headers.get(_HOST_HEADER, ''))
        try:
            with telemetry.make_span(
                'peer hop', request.headers, request_id=request_id
            ):
                yield recorder
        finally:
            self._close(recorder)

    def _close(self, recorder: _recorder.RequestRecorder) -> None:
        if not recorder.record.outcome:
            recorder.record_refusal(
                outcomes.make_refusal(
                    'caller_left',
                    'the forwarding process closed the connection',
                    outcome=outcomes.Outcome.UNKNOWN,
                )
            )
        self._context.journal.add(recorder.close())


def _parse_crashed_endpoints(request: web.Request) -> tuple[str, ...]:
    """Returns the crashed endpoints that a suspect's header lists."""
    listed = request.headers.get(_completion.SUSPECT_HEADER, '')
    return tuple(listed.split(',')) if listed else ()


def _parse_completion(
    context: _context.Context, body: bytes
) -> _requests.CompletionRequest | outcomes.Refusal:
    tree = _requests.parse_body(body, context.settings.limits)
    if not isinstance(tree, dict):
        return tree
    parsed = _requests.parse_completion(tree, is_chat=False)
    if not isinstance(parsed, _requests.CompletionRequest):
        return parsed
    return attrs.evolve(
        parsed, is_stream=True, resume_from=int(tree.get('resume_from', 0))
    )


def _refuse(
    recorder: _recorder.RequestRecorder, refusal: outcomes.Refusal
) -> web.Response:
    recorder.record_refusal(refusal)
    return _answers.make_refusal_response(refusal, recorder.request_id)


async def _send_chunks(
    request: web.Request,
    completion: _completion.Completion,
    parsed: _requests.CompletionRequest,
    recorder: _recorder.RequestRecorder,
) -> web.StreamResponse:
    """Sends chunks in the engines' format.

    An incomplete stream ends without ``[DONE]``; the forwarding process then
    resumes it on another endpoint.
    """
    writer = _answers.make_writer(request, recorder.request_id)

    async def send(deltas: list[_stream.Delta]) -> None:
        chunks = [
            {
                'request_id': recorder.request_id,
                'offset': delta.offset,
                'text': delta.text,
            }
            for delta in deltas
        ]
        await writer.write([_answers.encode_event(chunk) for chunk in chunks])

    end = await completion.run(send)
    if isinstance(end, outcomes.Refusal):
        if not writer.is_started:
            return _refuse(recorder, end)
        recorder.record_refusal(end)
        return await writer.finish(b'')
    recorder.record_completion(writer.deltas)
    chunk = {
        'request_id': recorder.request_id,
        'offset': parsed.resume_from + writer.deltas,
        'finish_reason': end.reason,
        'usage': end.usage,
    }
    return await writer.finish(
        _answers.encode_event(chunk) + _answers.DONE_EVENT
    )


def make_forward_api(context: _context.Context) -> ForwardApi:
    """Makes the handlers of forwarded requests.

    :param context: components of the process.
    """
    return ForwardApi(context)
