"""Conversion between generated classes and trees of plain values."""

import enum
import functools
import typing

import attrs

from briarknot.schema import _deferred


@functools.cache
def get_field_types(kind: type) -> dict[str, typing.Any]:
    """Returns the types of the fields of a generated class by field name."""
    return typing.get_type_hints(kind)


def to_plain(value: typing.Any) -> typing.Any:
    """Converts a generated value to dicts, lists, and scalars.

    :param value: an instance of a generated class, or a field's value.
    :returns: a tree that any JSON library can write, with snake_case keys.

    >>> from briarknot import schema
    >>> to_plain(schema.fleet.CallPattern(path='/bookings'))
    {'method': 'POST', 'path': '/bookings'}
    """
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, (tuple, list, _deferred.DeferredList)):
        return [to_plain(element) for element in value]
    if attrs.has(type(value)):
        return {
            attribute.name: to_plain(getattr(value, attribute.name))
            for attribute in attrs.fields(type(value))
        }
    return value


def from_plain(kind: typing.Any, tree: typing.Any) -> typing.Any:
    """Builds a generated value from a tree of plain values.

    Unknown keys are ignored, so that a newer sender does not break an older
    receiver; use ``briarknot.document`` for input that people write.

    :param kind: generated class, enum, ``tuple[X, ...]``, or scalar type.
    :param tree: dicts, lists, and scalars with snake_case keys.
    :raises TypeError: where a scalar has the wrong type.
    :raises ValueError: where an enum has no such member.
    """
    if typing.get_origin(kind) is tuple:
        element_kind = typing.get_args(kind)[0]
        return tuple(from_plain(element_kind, element) for element in tree)
    if attrs.has(kind):
        return _build(kind, tree)
    if kind is float and isinstance(tree, int) and not isinstance(tree, bool):
        return float(tree)
    if issubclass(kind, enum.Enum):
        return kind(tree)
    if not isinstance(tree, kind) or isinstance(tree, bool) is not (
        kind is bool
    ):
        raise TypeError(f'expected {kind.__name__}, found {tree!r}')
    return tree


def _build(kind: type, tree: typing.Any) -> typing.Any:
    if not isinstance(tree, dict):
        raise TypeError(f'expected an object for {kind.__name__}')
    types = get_field_types(kind)
    return kind(
        **{
            name: from_plain(types[name], tree[name])
            for name in types
            if name in tree
        }
    )
