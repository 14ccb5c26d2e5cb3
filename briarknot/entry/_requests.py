"""Parses and validates completion requests, and encodes them for engines."""

import collections.abc
import json
import typing

import attrs
import orjson

from briarknot import outcomes, schema

_DEFAULT_MAX_TOKENS = 256
_MAX_OUTPUT_TOKENS = 1_000_000


@attrs.frozen(kw_only=True)
class CompletionRequest:
    """A request to a model.

    :param model: name of the model.
    :param prompt: the prompt; a chat is rendered as one text.
    :param max_tokens: maximum of output tokens.
    :param is_stream: whether the answer is sent as server-sent events.
    :param is_chat: whether the answer has the form of a chat.
    :param include_usage: whether a stream ends with its token counts.
    :param resume_from: offset of the first requested token; above 0 only for
        requests that another entry process forwarded.
    """

    model: str
    prompt: str
    max_tokens: int = _DEFAULT_MAX_TOKENS
    is_stream: bool = False
    is_chat: bool = False
    include_usage: bool = False
    resume_from: int = 0

    @property
    def kind(self) -> str:
        """Kind of request, a key of the estimated output lengths."""
        return 'chat' if self.is_chat else 'text'


@attrs.define
class _Validation:
    """Collects the validation errors of a request body."""

    _errors: list[str] = attrs.field(factory=list, init=False)

    @property
    def errors(self) -> list[str]:
        """Errors, each with the path of its field."""
        return self._errors

    def read(
        self,
        tree: dict[str, typing.Any],
        name: str,
        kind: type,
        default: typing.Any,
    ) -> typing.Any:
        """Returns a field of the given type; null counts as missing."""
        field = tree.get(name)
        if field is None:
            return default
        if type(field) is not kind:
            self._errors.append(f'{name}: expected {kind.__name__}')
            return default
        return field

    def require(self, is_met: object, error: str) -> None:
        """Adds an error if a condition is not met."""
        if not is_met:
            self._errors.append(error)


def _list_children(
    parent: dict[str, typing.Any] | list[typing.Any],
) -> collections.abc.Iterable[typing.Any]:
    return parent.values() if isinstance(parent, dict) else parent


def _is_deeper(tree: typing.Any, limit: int) -> bool:
    """Returns whether a tree is nested more deeply than the limit."""
    level = [tree]
    for _ in range(limit + 1):
        level = [
            child
            for parent in level
            if isinstance(parent, (dict, list))
            for child in _list_children(parent)
        ]
        if not level:
            return False
    return True


def parse_body(
    body: bytes, limits: schema.settings.Limits
) -> dict[str, typing.Any] | outcomes.Refusal:
    """Parses a request body, which must be a JSON object.

    :param body: the request's body.
    :param limits: limits of requests, among them that of the nesting depth.
    """
    try:
        tree = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return outcomes.make_refusal('bad_request', f'body: {error}')
    if not isinstance(tree, dict):
        return outcomes.make_refusal('bad_request', 'body: expected an object')
    if _is_deeper(tree, limits.json_depth):
        return outcomes.make_refusal(
            'too_large', f'body: more than {limits.json_depth} levels'
        )
    return tree


def parse_completion(
    tree: dict[str, typing.Any], *, is_chat: bool
) -> CompletionRequest | outcomes.Refusal:
    """Parses a completion or chat request; a refusal names all errors.

    :param tree: the request's body.
    :param is_chat: whether it has messages in place of a prompt.

    >>> parse_completion({'model': 'm', 'prompt': 'a b'}, is_chat=False).prompt
    'a b'
    """
    validation = _Validation()
    model = validation.read(tree, 'model', str, '')
    validation.require(model, 'model: expected a name')
    prompt = (
        _render_messages(tree, validation)
        if is_chat
        else validation.read(tree, 'prompt', str, '')
    )
    validation.require(prompt, 'messages or prompt: expected a text')
    max_tokens = validation.read(tree, 'max_tokens', int, _DEFAULT_MAX_TOKENS)
    max_tokens = validation.read(tree, 'max_completion_tokens', int, max_tokens)
    validation.require(
        0 < max_tokens <= _MAX_OUTPUT_TOKENS,
        f'max_tokens: expected 1 to {_MAX_OUTPUT_TOKENS}',
    )
    count = validation.read(tree, 'n', int, 1)
    validation.require(count == 1, 'n: only 1 is supported')
    is_stream = validation.read(tree, 'stream', bool, False)
    options = validation.read(tree, 'stream_options', dict, {})
    if validation.errors:
        return outcomes.make_refusal(
            'bad_request', '; '.join(validation.errors)
        )
    return CompletionRequest(
        model=model,
        prompt=prompt,
        max_tokens=max_tokens,
        is_stream=is_stream,
        is_chat=is_chat,
        include_usage=bool(options.get('include_usage')),
    )


def _render_messages(
    tree: dict[str, typing.Any], validation: _Validation
) -> str:
    lines = []
    messages = validation.read(tree, 'messages', list, [])
    for index, message in enumerate(messages):
        where = f'messages[{index}]'
        if not isinstance(message, dict):
            validation.require(False, f'{where}: expected an object')
            continue
        role = message.get('role')
        validation.require(
            isinstance(role, str), f'{where}.role: expected a text'
        )
        text = _join_text_parts(message.get('content'))
        validation.require(
            text is not None, f'{where}.content: expected a text'
        )
        lines.append(f'{role}: {text}')
    return '\n'.join(lines)


def _join_text_parts(content: typing.Any) -> str | None:
    """Joins the text parts of a message; other parts are not supported."""
    if isinstance(content, str):
        return content
    if not isinstance(content, list):
        return None
    parts = [
        part.get('text') if isinstance(part, dict) else None for part in content
    ]
    if all(isinstance(part, str) for part in parts):
        return ''.join(parts)
    return None


def encode_engine_body(
    request: CompletionRequest,
    request_id: str,
    *,
    priority: int,
    resume_from: int,
    kv_from: dict[str, str] | None = None,
) -> bytes:
    """Encodes a request body for an engine's ``/v1/completions``.

    :param request: the caller's request.
    :param request_id: id by which the engine tags each chunk.
    :param priority: index of the rank, 0 being the most urgent.
    :param resume_from: offset of the first requested token.
    :param kv_from: source of the KV cache, by URL and handle; None for none.
    """
    tree: dict[str, typing.Any] = {
        'request_id': request_id,
        'model': request.model,
        'prompt': request.prompt,
        'max_tokens': request.max_tokens,
        'priority': priority,
        'resume_from': resume_from,
    }
    if kv_from:
        tree['kv_from'] = kv_from
    # orjson rejects lone surrogates, which a prompt can contain through JSON
    # escapes; the standard encoder accepts them.
    return json.dumps(tree).encode()
