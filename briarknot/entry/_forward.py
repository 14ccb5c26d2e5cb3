"""Requests that entry processes of other failure domains forward."""

import contextlib
import hmac

import attrs
from aiohttp import web

from briarknot import outcomes, telemetry
from briarknot.entry import (
    _answers,
    _callers,
    _completion,
    _context,
    _identity,
    _peers,
    _requests,
    _service_calls,
    _story,
    _stream,
)

_HOST_HEADER = 'X-Briarknot-Host'
_ACCOUNT_HEADER = 'X-Briarknot-Account'
_RANK_HEADER = 'X-Briarknot-Rank'
_CLAIMED_HEADER = 'X-Briarknot-Claimed'


@attrs.define(eq=False)
class Forwarder:
    """Handlers of the peer port for forwarded requests."""

    _context: _context.Context

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes to the application of the peer port."""
        path = _peers.FORWARD_PATH
        app.router.add_post(f'{path}/v1/completions', self._complete)
        app.router.add_route(
            '*',
            f'{path}{_service_calls.SERVICE_PATH}{{name}}/{{path:.*}}',
            self._call_service,
        )

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        with (
            self._context.open_requests.counted(),
            self._recorded(request, 'completion') as story,
        ):
            identity = self._identify(request)
            if not isinstance(identity, _identity.Identity):
                return _refuse(story, identity)
            body = await _callers.read_limited(request)
            if not isinstance(body, bytes):
                return _refuse(story, body)
            parsed = _read_completion(self._context, body)
            if not isinstance(parsed, _requests.CompletionRequest):
                return _refuse(story, parsed)
            crashed = _read_crashed(request)
            completion = _completion.make_completion(
                self._context,
                parsed,
                identity,
                story,
                # A suspect comes from the own domain and has not hopped yet.
                may_hop=bool(crashed),
                crashed=crashed,
            )
            return await _send_chunks(request, completion, parsed, story)

    async def _call_service(self, request: web.Request) -> web.Response:
        with (
            self._context.open_requests.counted(),
            self._recorded(request, 'service') as story,
        ):
            identity = self._identify(request)
            if not isinstance(identity, _identity.Identity):
                return _refuse(story, identity)
            body = await _callers.read_limited(request)
            if not isinstance(body, bytes):
                return _refuse(story, body)
            story.rank = identity.rank
            call = attrs.evolve(
                _service_calls.read_call(request, body, identity),
                is_claimed=_CLAIMED_HEADER in request.headers,
            )
            answer = await _service_calls.run_call(
                self._context, call, story, may_hop=False
            )
            if isinstance(answer, _service_calls.Answer):
                return answer.make_response(story.request_id)
            return _refuse(story, answer)

    def _identify(
        self, request: web.Request
    ) -> _identity.Identity | outcomes.Refusal:
        offered = request.headers.get('Authorization', '').encode()
        secret = f'Bearer {self._context.node.peer_secret}'.encode()
        if not hmac.compare_digest(offered, secret):
            return outcomes.make_refusal(
                'unauthenticated', 'the peer secret is missing or wrong'
            )
        return self._context.directory.trust(
            request.headers.get(_ACCOUNT_HEADER, ''),
            request.headers.get(_RANK_HEADER, ''),
        )

    @contextlib.contextmanager
    def _recorded(self, request: web.Request, kind: str):
        """Writes a journal record for the hop, under the first host's id."""
        request_id = request.headers.get(_answers.REQUEST_ID_HEADER, '')
        story = _story.make_story(request_id, self._context.node, kind)
        story.note(peer_of=request.headers.get(_HOST_HEADER, ''))
        try:
            with telemetry.make_span(
                'peer hop', request.headers, request_id=request_id
            ):
                yield story
        finally:
            self._close(story)

    def _close(self, story: _story.Story) -> None:
        if not story.record.outcome:
            story.refuse(
                outcomes.make_refusal(
                    'caller_left',
                    'the forwarding process closed the connection',
                    outcome=outcomes.Outcome.UNKNOWN,
                )
            )
        self._context.journal.add(story.close())


def _read_crashed(request: web.Request) -> tuple[str, ...]:
    """Returns the crashed endpoints that come with a suspect."""
    listed = request.headers.get(_completion.SUSPECT_HEADER, '')
    return tuple(listed.split(',')) if listed else ()


def _read_completion(
    context: _context.Context, body: bytes
) -> _requests.CompletionRequest | outcomes.Refusal:
    tree = _requests.read_body(body, context.settings.limits)
    if not isinstance(tree, dict):
        return tree
    parsed = _requests.read_completion(tree, is_chat=False)
    if not isinstance(parsed, _requests.CompletionRequest):
        return parsed
    return attrs.evolve(
        parsed, is_stream=True, resume_from=int(tree.get('resume_from', 0))
    )


def _refuse(story: _story.Story, refusal: outcomes.Refusal) -> web.Response:
    story.refuse(refusal)
    return _answers.make_refusal_response(refusal, story.request_id)


async def _send_chunks(
    request: web.Request,
    completion: _completion.Completion,
    parsed: _requests.CompletionRequest,
    story: _story.Story,
) -> web.StreamResponse:
    """Sends chunks in the engines' format.

    A stream that is not whole ends without ``[DONE]``; the forwarding process
    then resumes it elsewhere.
    """
    writer = _answers.make_writer(request, story.request_id)

    async def send(pieces: list[_stream.Piece]) -> None:
        chunks = [
            {
                'request_id': story.request_id,
                'offset': piece.offset,
                'text': piece.text,
            }
            for piece in pieces
        ]
        await writer.write([_answers.write_event(chunk) for chunk in chunks])

    end = await completion.run(send)
    if isinstance(end, outcomes.Refusal):
        if not writer.is_started:
            return _refuse(story, end)
        story.refuse(end)
        return await writer.finish(b'')
    story.complete(writer.pieces)
    chunk = {
        'request_id': story.request_id,
        'offset': parsed.resume_from + writer.pieces,
        'finish_reason': end.reason,
        'usage': end.usage,
    }
    return await writer.finish(_answers.write_event(chunk) + _answers.DONE)


def make_forwarder(context: _context.Context) -> Forwarder:
    """Makes the handlers of forwarded requests.

    :param context: parts of the process.
    """
    return Forwarder(context)
