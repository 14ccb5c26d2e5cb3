"""Calls of a client, with what a test needs to know of their answers."""

import time
import typing

import aiohttp
import attrs
import orjson

_DATA = b'data: '
_DONE = b'[DONE]'
_OK = 200


@attrs.frozen(kw_only=True)
class Completion:
    """What a client got for one completion.

    :param status: HTTP status.
    :param request_id: id of the request.
    :param pieces: texts in the order in which they came.
    :param is_whole: whether the stream ended as a whole answer.
    :param problem: body of a refusal, or of the error that ended the stream.
    :param first_token_s: time to the first token; 0 where there was none.
    :param total_s: time to the end.
    """

    status: int
    request_id: str = ''
    pieces: tuple[str, ...] = ()
    is_whole: bool = False
    problem: dict[str, typing.Any] = attrs.field(factory=dict)
    first_token_s: float = 0
    total_s: float = 0

    @property
    def text(self) -> str:
        """The whole text."""
        return ''.join(self.pieces)


async def complete(
    session: aiohttp.ClientSession,
    url: str,
    headers: dict[str, str],
    body: dict[str, typing.Any],
) -> Completion:
    """Sends a streamed completion and reads it to its end.

    :param session: client session.
    :param url: base URL of an entry process.
    :param headers: headers with the API key.
    :param body: body without ``stream``.
    """
    started = time.monotonic()
    first_token_s = 0.0
    pieces: list[str] = []
    problem: dict[str, typing.Any] = {}
    is_whole = False
    async with session.post(
        f'{url}/v1/completions', json={**body, 'stream': True}, headers=headers
    ) as response:
        if response.status != _OK:
            problem = orjson.loads(await response.read())
        else:
            try:
                async for line in response.content:
                    if not line.startswith(_DATA):
                        continue
                    data = line[len(_DATA) :].strip()
                    if data == _DONE:
                        is_whole = True
                        break
                    chunk = orjson.loads(data)
                    if 'error' in chunk:
                        problem = chunk['error']
                        break
                    text = chunk['choices'][0]['text']
                    if text:
                        first_token_s = first_token_s or (
                            time.monotonic() - started
                        )
                        pieces.append(text)
            except aiohttp.ClientError as error:
                problem = {'detail': repr(error)}
        return Completion(
            status=response.status,
            request_id=response.headers.get('X-Request-Id', ''),
            pieces=tuple(pieces),
            is_whole=is_whole,
            problem=problem,
            first_token_s=first_token_s,
            total_s=time.monotonic() - started,
        )
