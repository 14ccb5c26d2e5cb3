"""Differences between two documents."""

import collections.abc
import typing

import attrs

from briarknot import schema

_MISSING = 'nothing'


@attrs.frozen
class Change:
    """A difference between two documents.

    :param path: path of the field; list members with a name are shown by it.
    :param before: value before, as text.
    :param after: value after, as text.
    """

    path: str
    before: str
    after: str


def compare(before: typing.Any, after: typing.Any) -> tuple[Change, ...]:
    """Returns the differences between two values of a generated class.

    Members of lists are matched by name where they have one, so that an
    added engine does not show all engines behind it as changed.

    >>> old = schema.fleet.CallPattern(path='/a')
    >>> compare(old, schema.fleet.CallPattern(path='/b'))
    (Change(path='path', before="'/a'", after="'/b'"),)
    """
    return tuple(
        _compare_plain(schema.to_plain(before), schema.to_plain(after), '')
    )


def _compare_plain(
    before: typing.Any, after: typing.Any, path: str
) -> collections.abc.Iterator[Change]:
    old = _get_parts(before)
    new = _get_parts(after)
    if old is None or new is None:
        if before != after:
            yield Change(path, _format(before), _format(after))
        return
    for key in dict.fromkeys((*old, *new)):
        key_path = f'{path}{key}' if key.startswith('[') else f'{path}.{key}'
        yield from _compare_plain(
            old.get(key, _MISSING), new.get(key, _MISSING), key_path.lstrip('.')
        )


def _get_parts(plain: typing.Any) -> dict[str, typing.Any] | None:
    """Returns the members of an object or list by key, or None."""
    if isinstance(plain, dict):
        return plain
    if not isinstance(plain, list):
        return None
    parts = {}
    for index, element in enumerate(plain):
        named = isinstance(element, dict) and element.get('name')
        parts[f'[{named or index}]'] = element
    return parts


def _format(plain: typing.Any) -> str:
    return plain if plain is _MISSING else repr(plain)
