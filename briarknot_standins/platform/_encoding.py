"""JSON encoding of the store's rows and transactions."""

import base64
import time
import typing

import orjson
from aiohttp import web

from briarknot import schema
from briarknot_standins.platform import _state, _store

_MS_PER_S = 1000


def describe_store(platform: _state.Platform) -> dict[str, int]:
    """Returns the version and the clock of the store."""
    return {
        'ver': platform.tables.version,
        'nowMs': int(time.monotonic() * _MS_PER_S),
    }


def describe_row(
    table: str, key: str, row: _store.Row
) -> dict[str, typing.Any]:
    """Returns the JSON form of a row."""
    tree = {'table': table, 'part': '', 'key': key, 'ver': row.version}
    if row.value is None:
        return {**tree, 'deleted': True}
    return {**tree, 'value': base64.b64encode(row.value).decode()}


def describe_current_row(
    platform: _state.Platform, expected: _store.Expected
) -> dict[str, typing.Any]:
    """Returns the current row that conflicts with an expected version."""
    row = platform.tables.read(expected.table, expected.key)
    return describe_row(
        expected.table, expected.key, row or _store.Row(None, 0)
    )


def parse_transaction(
    body: bytes,
) -> tuple[list[_store.Expected], list[_store.Put]]:
    """Parses the expected versions and the writes of a transaction."""
    try:
        tree = orjson.loads(body)
        expected = [
            _store.Expected(
                **_parse_row_key(one),
                version=schema.from_plain(int, one['ver']),
            )
            for one in tree.get('expected', ())
        ]
        puts = [
            _store.Put(
                **_parse_row_key(one), value=base64.b64decode(one['value'])
            )
            for one in tree.get('put', ())
        ]
        removed = [
            _store.Put(**_parse_row_key(one), value=None)
            for one in tree.get('remove', ())
        ]
    except (TypeError, ValueError, KeyError) as error:
        raise web.HTTPBadRequest(text=repr(error)) from error
    return expected, puts + removed


def _parse_row_key(tree: dict[str, typing.Any]) -> dict[str, str]:
    return {
        name: schema.from_plain(str, tree[name]) for name in ('table', 'key')
    }
