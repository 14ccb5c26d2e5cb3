"""Reads from engines on the platform what their KV caches hold."""

import collections
import typing

import aiohttp
import attrs
import orjson

from briarknot import httpclient, schema
from briarknot.platform import _engine_orders, _headers, _sessions

#: Time limit of a call. The next process asks the engine a second after this
#: one, and must not find the call still under way.
_TIMEOUT_S = 0.5
_MAX_ANSWER_BYTES = 1 << 20
_OK = 200
#: Entries that are read. The KV cache of an engine holds some hundred thousand
#: tokens, and a shared part has some hundred at least.
_MAX_PARTS = 3000
#: Longest identity of a part in bytes, as long as other texts of the platform
#: may be. 300 of them fit into a datagram.
_MAX_ID_BYTES = 200
_MAX_TOKENS = 0xFFFFFFFF
_ENTRY_FIELDS = 4
_CALL_ERRORS = (TimeoutError, aiohttp.ClientError, OSError, ValueError)


@attrs.frozen
class CacheContents:
    """Contents of an engine's KV cache as the engine reports them.

    :param parts: the shared parts.
    :param left_out: number of entries that were left out.
    """

    parts: tuple[schema.messages.HeldPart, ...]
    left_out: int


@attrs.frozen
class _Entry:
    """A well-formed entry of a list, with its model."""

    part: schema.messages.HeldPart
    model: str


@attrs.define(eq=False)
class CacheLists:
    """Reads the lists of engines; no method raises on an outage."""

    _session: aiohttp.ClientSession

    async def read(
        self, engine: schema.serving.Worker
    ) -> CacheContents | _engine_orders.Unreported:
        """Reads the contents of an engine's cache once, without a retry.

        :param engine: the engine.
        """
        try:
            async with self._session.get(
                f'http://{engine.address}/v1/kv-list',
                headers={_headers.EXPECTED_WORKER: engine.id},
                timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
                allow_redirects=False,
            ) as response:
                if response.status != _OK:
                    return _engine_orders.Unreported(
                        f'status {response.status}'
                    )
                body = await _sessions.read_limited(response, _MAX_ANSWER_BYTES)
        except _CALL_ERRORS as error:
            return _engine_orders.Unreported(f'{type(error).__name__}: {error}')
        return _decode_list(body)

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()


def _decode_list(
    body: bytes | None,
) -> CacheContents | _engine_orders.Unreported:
    if body is None:
        return _engine_orders.Unreported('the answer does not end')
    try:
        held: typing.Any = orjson.loads(body)['held']
    except (KeyError, TypeError, ValueError) as error:
        return _engine_orders.Unreported(f'{type(error).__name__}: {error}')
    if not isinstance(held, list):
        return _engine_orders.Unreported('expected a list of parts')
    entries = [
        entry
        for entry in map(_decode_entry, held[:_MAX_PARTS])
        if entry is not None
    ]
    model = _find_model(entries)
    parts = {
        entry.part.part: entry.part for entry in entries if entry.model == model
    }
    return CacheContents(tuple(parts.values()), len(held) - len(parts))


def _decode_entry(tree: typing.Any) -> _Entry | None:
    """Decodes an entry; returns None where it is malformed."""
    if not isinstance(tree, list) or len(tree) != _ENTRY_FIELDS:
        return None
    scope, part_id, tokens, model = tree
    if [type(one) for one in tree] != [str, str, int, str] or scope:
        return None
    id_bytes = len(part_id.encode())
    if not (0 < id_bytes <= _MAX_ID_BYTES and 0 < tokens <= _MAX_TOKENS):
        return None
    return _Entry(schema.messages.HeldPart(part=part_id, tokens=tokens), model)


def _find_model(entries: list[_Entry]) -> str:
    """Returns the model of most entries.

    Neither the manifest nor the list of workers names the model of an engine.
    """
    counts = collections.Counter(entry.model for entry in entries)
    return counts.most_common(1)[0][0] if counts else ''


def make_cache_lists() -> CacheLists:
    """Makes the client of the lists; a running event loop is needed.

    Each call has a connection of its own: a kept one that the engine has closed
    would count as a failure of the engine.
    """
    session = httpclient.make_session(
        connector=_sessions.make_limited_connector(),
        response_class=_sessions.Response,
    )
    return CacheLists(session)
