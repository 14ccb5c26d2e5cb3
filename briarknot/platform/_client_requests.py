"""Reads and decodes requests of the platform's clients."""

import typing

from aiohttp import http, web

from briarknot import schema, serving, telemetry
from briarknot.platform import _chunk_turns, _client_accounts, _headers

_MS_PER_S = 1000
#: Time limit of a request without a deadline; its route's timeout is shorter.
_DEFAULT_TIMEOUT_S = 60.0


def get_id(request: web.BaseRequest) -> str:
    """Returns the id of a client's attempt; empty where it has none."""
    return request.headers.get(_headers.REQUEST_ID, '')


async def send_continue(request: web.BaseRequest) -> None:
    """Asks for the body where the client waits before it sends it."""
    expected = request.headers.get('Expect', '').lower()
    if expected == '100-continue' and request.version == http.HttpVersion11:
        await request.writer.write(b'HTTP/1.1 100 Continue\r\n\r\n')
        # The interim answer is no part of the answer.
        request.writer.output_size = 0


async def read_body(
    request: web.BaseRequest, limit: int, turns: _chunk_turns.ChunkTurns
) -> bytes | None:
    """Reads the whole body of a request.

    :param request: the request.
    :param limit: largest body in bytes.
    :param turns: turns of reading small chunks.
    :returns: the body; None where it is larger.
    :raises _connections.Evicted: where it is refused meanwhile.
    """
    if not request.body_exists:
        return b''
    connection = request.protocol
    connection.start_body(request.content)
    # Parts may be as small as a byte; a list would hold an object for each.
    body = bytearray()
    try:
        while part := await request.content.readany():
            connection.record_body(len(part))
            if len(body) + len(part) > limit:
                return None
            if not body and request.content.at_eof():
                return part
            body += part
            if connection.client.has_tiny_chunks:
                await turns.take()
        return bytes(body)
    finally:
        # The traceback of a refusal holds it until it is collected.
        body.clear()


def decode_call(
    request: web.BaseRequest,
    body: bytes,
    received_s: float,
    timeout_s: float,
) -> serving.Call:
    """Decodes a request whose body was read.

    :param request: the request.
    :param body: its whole body.
    :param received_s: monotonic time at which it was received.
    :param timeout_s: seconds that the client waits.
    """
    headers = request.headers
    dropped = _headers.CONNECTION_HEADERS | _headers.SYSTEM_HEADERS
    for named in headers.getall('Connection', ()):
        dropped |= {name.strip().lower() for name in named.split(',')}
    forwarded, identity_headers = _split_headers(headers, dropped)
    return serving.Call(
        id=headers.get(_headers.REQUEST_ID, ''),
        host=headers.get('Host', '').partition(':')[0].lower(),
        method=request.method,
        path=request.raw_path,
        headers=forwarded,
        body=body,
        received_s=received_s,
        timeout_s=timeout_s,
        prompt=_decode_prompt(headers),
        last_event=headers.get(_headers.LAST_EVENT, ''),
        resumes=headers.get(_headers.RESUMES, ''),
        key_hash=_client_accounts.decode_key(
            headers.getall(_headers.AUTHORIZATION, ())
        ),
        identity_headers=identity_headers,
    )


def _split_headers(
    headers: typing.Mapping[str, str], dropped: frozenset[str]
) -> tuple[tuple[serving.Header, ...], tuple[tuple[int, serving.Header], ...]]:
    """Separates the headers that say who the client is.

    :param headers: all headers.
    :param dropped: names of headers that are not forwarded, in lower case.
    :returns: the other forwarded headers; then those that say who the client is,
        with their positions among all forwarded ones.
    """
    forwarded = []
    identity_headers = []
    for name, value in headers.items():
        lower_name = name.lower()
        if lower_name in dropped:
            continue
        if lower_name in _headers.IDENTITY_HEADERS:
            position = len(forwarded) + len(identity_headers)
            identity_headers.append((position, (name, value)))
        else:
            forwarded.append((name, value))
    return tuple(forwarded), tuple(identity_headers)


def decode_timeout(text: str) -> float:
    """Decodes the time that a client waits.

    :param text: text of the header; empty if there is none.
    :returns: the time in seconds.
    """
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
