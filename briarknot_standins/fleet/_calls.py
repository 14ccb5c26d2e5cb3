"""Client calls, and the parts of their answers that tests check."""

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
    """Result of one streamed completion.

    :param status: HTTP status.
    :param request_id: id of the request.
    :param chunks: texts of the chunks, in order of arrival.
    :param is_complete: whether the stream ended as a complete answer.
    :param problem: body of a refusal, or the error that ended the stream.
    :param first_token_s: time to the first token; 0 without one.
    :param total_s: time to the end of the answer.
    """

    status: int
    request_id: str = ''
    chunks: tuple[str, ...] = ()
    is_complete: bool = False
    problem: dict[str, typing.Any] = attrs.field(factory=dict)
    first_token_s: float = 0
    total_s: float = 0

    @property
    def text(self) -> str:
        """Concatenated text of all chunks."""
        return ''.join(self.chunks)


@attrs.define
class _EventReader:
    """Reads the server-sent events of a completion."""

    _started_s: float
    chunks: list[str] = attrs.field(factory=list)
    problem: dict[str, typing.Any] = attrs.field(factory=dict)
    is_complete: bool = False
    first_token_s: float = 0

    async def read(self, body: aiohttp.StreamReader) -> None:
        """Reads to the end of the stream."""
        try:
            async for line in body:
                if line.startswith(_DATA):
                    self._handle_event(line.removeprefix(_DATA).strip())
        except aiohttp.ClientError as error:
            self.problem = {'detail': repr(error)}

    def _handle_event(self, event: bytes) -> None:
        if event == _DONE:
            self.is_complete = True
            return
        chunk = orjson.loads(event)
        if 'error' in chunk:
            self.problem = chunk['error']
            return
        text = chunk['choices'][0]['text']
        if text and not self.chunks:
            self.first_token_s = time.monotonic() - self._started_s
        if text:
            self.chunks.append(text)


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
    started_s = time.monotonic()
    reader = _EventReader(started_s)
    async with session.post(
        f'{url}/v1/completions', json={**body, 'stream': True}, headers=headers
    ) as response:
        if response.status == _OK:
            await reader.read(response.content)
        else:
            reader.problem = orjson.loads(await response.read())
        return Completion(
            status=response.status,
            request_id=response.headers.get('X-Request-Id', ''),
            chunks=tuple(reader.chunks),
            is_complete=reader.is_complete,
            problem=reader.problem,
            first_token_s=reader.first_token_s,
            total_s=time.monotonic() - started_s,
        )
