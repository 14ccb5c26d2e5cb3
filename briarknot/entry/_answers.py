"""Encodes answers to callers in the formats of the completions API."""

import math
import time
import typing

import attrs
import orjson
from aiohttp import web

from briarknot import outcomes
from briarknot.entry import _requests, _stream

PROBLEM_TYPE = 'application/problem+json'
EVENT_STREAM_TYPE = 'text/event-stream'
REQUEST_ID_HEADER = 'X-Request-Id'
#: Marks a refusal of this system. Answers of plain services never have it, as
#: headers with this prefix are not forwarded.
OUTCOME_HEADER = 'X-Briarknot-Outcome'
DONE_EVENT = b'data: [DONE]\n\n'


def make_problem(
    refusal: outcomes.Refusal, request_id: str
) -> dict[str, typing.Any]:
    """Returns the body of a refusal.

    :param refusal: the refusal.
    :param request_id: id of the request.
    """
    info = outcomes.get_cause_info(refusal.cause)
    return {
        'type': 'about:blank',
        'title': info.doc,
        'status': info.status.value,
        'detail': refusal.reason,
        'request_id': request_id,
        'outcome': refusal.outcome.value,
        'cause': refusal.cause.value,
    }


def make_refusal_response(
    refusal: outcomes.Refusal, request_id: str
) -> web.Response:
    """Returns the response of a refusal.

    :param refusal: the refusal.
    :param request_id: id of the request.
    """
    headers = {
        REQUEST_ID_HEADER: request_id,
        OUTCOME_HEADER: refusal.outcome.value,
    }
    if refusal.retry_after_s:
        headers['Retry-After'] = str(math.ceil(refusal.retry_after_s))
    problem = make_problem(refusal, request_id)
    return web.Response(
        status=problem['status'],
        body=orjson.dumps(problem),
        content_type=PROBLEM_TYPE,
        headers=headers,
    )


def encode_event(tree: typing.Any) -> bytes:
    """Encodes a server-sent event."""
    return b'data: %b\n\n' % orjson.dumps(tree)


@attrs.frozen
class AnswerEncoder:
    """Encodes the answer of one completion or chat.

    :param request: the caller's request.
    :param request_id: id of the request.
    :param created_s: Unix time of the answer, in whole seconds.
    """

    request: _requests.CompletionRequest
    request_id: str
    created_s: int

    def encode_delta(self, text: str) -> bytes:
        """Encodes the event of a text delta."""
        if self.request.is_chat:
            choice = {'delta': {'content': text}}
        else:
            choice = {'text': text}
        return encode_event(self._make_chunk(choice, None))

    def encode_finish(self, finish: _stream.Finish) -> bytes:
        """Encodes the last events of a complete answer."""
        choice = {'delta': {}} if self.request.is_chat else {'text': ''}
        events = encode_event(self._make_chunk(choice, finish.reason))
        if self.request.include_usage:
            chunk = self._make_chunk({}, None)
            chunk.update(choices=[], usage=_make_usage(finish))
            events += encode_event(chunk)
        return events + DONE_EVENT

    def encode_failure(self, refusal: outcomes.Refusal) -> bytes:
        """Encodes the event that ends an incomplete stream.

        No ``[DONE]`` follows, so that no client takes the text for complete.
        """
        problem = make_problem(refusal, self.request_id)
        problem['message'] = refusal.reason
        return encode_event({'error': problem})

    def encode_complete(self, text: str, finish: _stream.Finish) -> bytes:
        """Encodes the body of an answer that is not streamed."""
        if self.request.is_chat:
            choice = {'message': {'role': 'assistant', 'content': text}}
        else:
            choice = {'text': text}
        body = self._make_chunk(choice, finish.reason)
        body['usage'] = _make_usage(finish)
        if self.request.is_chat:
            body['object'] = 'chat.completion'
        return orjson.dumps(body)

    def _make_chunk(
        self, choice: dict[str, typing.Any], finish_reason: str | None
    ) -> dict[str, typing.Any]:
        is_chat = self.request.is_chat
        return {
            'id': self.request_id,
            'object': 'chat.completion.chunk' if is_chat else 'text_completion',
            'created': self.created_s,
            'model': self.request.model,
            'choices': [{'index': 0, 'finish_reason': finish_reason, **choice}],
        }


def make_encoder(
    request: _requests.CompletionRequest, request_id: str
) -> AnswerEncoder:
    """Makes the encoder of a request's answer.

    :param request: the caller's request.
    :param request_id: id of the request.
    """
    return AnswerEncoder(request, request_id, int(time.time()))


def _make_usage(finish: _stream.Finish) -> dict[str, int]:
    prompt = finish.usage.get('prompt_tokens', 0)
    output = finish.usage.get('completion_tokens', 0)
    return {
        'prompt_tokens': prompt,
        'completion_tokens': output,
        'total_tokens': prompt + output,
    }


@attrs.define(eq=False)
class EventWriter:
    """Writes server-sent events; the response starts with the first one."""

    _request: web.Request
    _response: web.StreamResponse
    _deltas: int = attrs.field(default=0, init=False)

    @property
    def is_started(self) -> bool:
        """Whether the status was sent."""
        return self._response.prepared

    @property
    def deltas(self) -> int:
        """Number of events written by :meth:`write`."""
        return self._deltas

    async def write(self, events: list[bytes]) -> None:
        """Writes events in one chunk, one event for each delta."""
        if not self._response.prepared:
            await self._response.prepare(self._request)
        self._deltas += len(events)
        await self._response.write(b''.join(events))

    async def finish(self, events: bytes) -> web.StreamResponse:
        """Writes the last events and ends the response.

        :param events: the events; empty for none.
        """
        if not self._response.prepared:
            await self._response.prepare(self._request)
        await self._response.write_eof(events)
        return self._response


def make_writer(request: web.Request, request_id: str) -> EventWriter:
    """Makes the writer of a streamed answer.

    :param request: the request that is answered.
    :param request_id: id of the request.
    """
    headers = {
        REQUEST_ID_HEADER: request_id,
        'Content-Type': EVENT_STREAM_TYPE,
        'Cache-Control': 'no-store',
    }
    return EventWriter(request, web.StreamResponse(headers=headers))
