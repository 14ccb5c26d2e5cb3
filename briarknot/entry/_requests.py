"""Callers' requests: parsing and limits."""

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
    :param max_tokens: bound of the output.
    :param is_stream: whether the answer is sent as server-sent events.
    :param is_chat: whether the answer has the form of a chat.
    :param include_usage: whether a stream ends with its usage.
    :param resume_from: first token that is wanted; above 0 only for a hop
        between failure domains.
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
        """Kind of request, by which output lengths are learned."""
        return 'chat' if self.is_chat else 'text'


@attrs.define
class _Problems:
    """Collects what is wrong with a body."""

    _found: list[str] = attrs.field(factory=list, init=False)

    @property
    def found(self) -> list[str]:
        """Findings, each with the path of its field."""
        return self._found

    def read(
        self,
        tree: dict[str, typing.Any],
        name: str,
        kind: type,
        default: typing.Any,
    ) -> typing.Any:
        """Reads a field of a kind; a null counts as not given."""
        found = tree.get(name)
        if found is None:
            return default
        if type(found) is not kind:
            self._found.append(f'{name}: expected {kind.__name__}')
            return default
        return found

    def require(self, is_met: object, finding: str) -> None:
        """Adds a finding where a condition is not met."""
        if not is_met:
            self._found.append(finding)


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


def read_body(
    body: bytes, limits: schema.settings.Limits
) -> dict[str, typing.Any] | outcomes.Refusal:
    """Reads a JSON object.

    :param body: the request's body.
    :param limits: limit of its nesting.
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


def read_completion(
    tree: dict[str, typing.Any], *, is_chat: bool
) -> CompletionRequest | outcomes.Refusal:
    """Reads a completion or chat request, with all findings at once.

    :param tree: the request's body.
    :param is_chat: whether it has messages in place of a prompt.

    >>> read_completion({'model': 'm', 'prompt': 'a b'}, is_chat=False).prompt
    'a b'
    """
    problems = _Problems()
    model = problems.read(tree, 'model', str, '')
    problems.require(model, 'model: expected a name')
    prompt = (
        _read_messages(tree, problems)
        if is_chat
        else problems.read(tree, 'prompt', str, '')
    )
    problems.require(prompt, 'messages or prompt: expected a text')
    max_tokens = problems.read(tree, 'max_tokens', int, _DEFAULT_MAX_TOKENS)
    max_tokens = problems.read(tree, 'max_completion_tokens', int, max_tokens)
    problems.require(
        0 < max_tokens <= _MAX_OUTPUT_TOKENS,
        f'max_tokens: expected 1 to {_MAX_OUTPUT_TOKENS}',
    )
    count = problems.read(tree, 'n', int, 1)
    problems.require(count == 1, 'n: only 1 is supported')
    is_stream = problems.read(tree, 'stream', bool, False)
    options = problems.read(tree, 'stream_options', dict, {})
    if problems.found:
        return outcomes.make_refusal('bad_request', '; '.join(problems.found))
    return CompletionRequest(
        model=model,
        prompt=prompt,
        max_tokens=max_tokens,
        is_stream=is_stream,
        is_chat=is_chat,
        include_usage=bool(options.get('include_usage')),
    )


def _read_messages(tree: dict[str, typing.Any], problems: _Problems) -> str:
    lines = []
    messages = problems.read(tree, 'messages', list, [])
    for index, message in enumerate(messages):
        where = f'messages[{index}]'
        if not isinstance(message, dict):
            problems.require(False, f'{where}: expected an object')
            continue
        role = message.get('role')
        problems.require(
            isinstance(role, str), f'{where}.role: expected a text'
        )
        text = _read_content(message.get('content'))
        problems.require(text is not None, f'{where}.content: expected a text')
        lines.append(f'{role}: {text}')
    return '\n'.join(lines)


def _read_content(content: typing.Any) -> str | None:
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
    """Writes the body of an engine's ``/v1/completions``.

    :param request: the caller's request.
    :param request_id: id by which the engine tags each chunk.
    :param priority: index of the rank, 0 being the most urgent.
    :param resume_from: first token that is wanted.
    :param kv_from: where the engine imports the KV cache from.
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
    # The standard encoder also writes lone surrogates, which JSON escapes
    # can carry into a prompt.
    return json.dumps(tree).encode()
