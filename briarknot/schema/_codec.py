"""Cap'n Proto encoding of generated classes."""

import enum
import functools
import pathlib
import struct
import typing

import attrs
import capnp

from briarknot.schema import (
    _deferred,
    _errors,
    _plain,
    _pointers,
    _union_layout,
)
from briarknot.schema._generated import messages

_DEFINITIONS = pathlib.Path(__file__).parent / 'definitions'

#: Room for the root pointer of a copy.
_SPARE_WORDS = 2
_KINDS = {
    member: kind for kind, member in messages.PEER_MESSAGE_MEMBERS.items()
}

capnp.remove_import_hook()


@functools.cache
def _load(module_name: str) -> typing.Any:
    return capnp.load(str(_DEFINITIONS / f'{module_name}.capnp'))


@functools.cache
def _to_camel(name: str) -> str:
    first, *rest = name.split('_')
    return first + ''.join(part.capitalize() for part in rest)


def _to_struct(value: typing.Any) -> typing.Any:
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, (tuple, _deferred.DeferredList)):
        return [_to_struct(element) for element in value]
    if attrs.has(type(value)):
        return {
            _to_camel(attribute.name): _to_struct(
                getattr(value, attribute.name)
            )
            for attribute in attrs.fields(type(value))
        }
    return value


_Builder = typing.Callable[[typing.Any], typing.Any]


@functools.cache
def _make_builder(kind: typing.Any) -> _Builder:
    """Returns a function that builds a value of a kind from a reader."""
    if typing.get_origin(kind) is tuple:
        build_element = _make_builder(typing.get_args(kind)[0])
        return lambda reader: tuple(build_element(item) for item in reader)
    if attrs.has(kind):
        builders = tuple(
            (name, _to_camel(name), _make_builder(field_kind))
            for name, field_kind in _plain.get_field_types(kind).items()
        )
        return lambda reader: kind(
            **{
                name: build(getattr(reader, camel))
                for name, camel, build in builders
            }
        )
    if issubclass(kind, enum.Enum):
        return lambda reader: kind(str(reader))
    return lambda reader: reader


def encode(value: typing.Any) -> bytes:
    """Encodes a peer message.

    :param value: an instance of a member of ``messages.PeerMessage``.
    :returns: one packed Cap'n Proto message.

    >>> from briarknot import schema
    >>> heartbeat = schema.messages.Heartbeat(incarnation=1, revision=2)
    >>> decode(encode(heartbeat)) == heartbeat
    True
    """
    try:
        written = _get_layout().write(value)
    except struct.error:
        # pycapnp says which number is out of its range.
        member = messages.PEER_MESSAGE_MEMBERS[type(value)]
        union = _load('messages').PeerMessage.new_message(
            **{member: _to_struct(value)}
        )
    else:
        with _load('messages').PeerMessage.from_bytes(
            written, traversal_limit_in_words=len(written)
        ) as reader:
            union = _copy(reader)
    # Packing halves a load message, most of whose bytes are zero.
    return union.to_bytes_packed()


def decode(frame: bytes) -> typing.Any:
    """Decodes a peer message.

    :param frame: one packed Cap'n Proto message.
    :returns: an instance of a member of ``messages.PeerMessage``, or
        :class:`DecodeError`.
    """
    try:
        reader = _load('messages').PeerMessage.from_bytes_packed(frame)
        # The copy has one segment, and no pointer that leads out of it.
        copied = _copy(reader).to_bytes()
    except capnp.KjException as error:
        return _errors.DecodeError(str(error))
    try:
        return _get_layout().read(copied)
    except _pointers.READ_ERRORS:
        return _decode_by_field(reader)


def _copy(reader: typing.Any) -> typing.Any:
    """Copies a message to a builder of one segment."""
    return reader.as_builder(reader.total_size.word_count + _SPARE_WORDS)


@functools.cache
def _get_layout() -> _union_layout.UnionLayout:
    return _union_layout.make_union_layout(
        'PeerMessage', messages.PEER_MESSAGE_MEMBERS, _load
    )


def _decode_by_field(reader: typing.Any) -> typing.Any:
    """Decodes a message of another version, or a malformed one."""
    try:
        member = str(reader.which())
        return _make_builder(_KINDS[member])(getattr(reader, member))
    except (capnp.KjException, KeyError, ValueError) as error:
        return _errors.DecodeError(str(error))
