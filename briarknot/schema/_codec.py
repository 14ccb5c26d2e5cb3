"""Cap'n Proto encoding of generated classes."""

import enum
import functools
import pathlib
import typing

import attrs
import capnp

from briarknot import sentinels
from briarknot.schema import _plain
from briarknot.schema._generated import messages

_DEFINITIONS = pathlib.Path(__file__).parent / 'definitions'

capnp.remove_import_hook()


@attrs.frozen
class DecodeError(sentinels.Sentinel):
    """Sentinel for bytes that are not a valid message.

    :param reason: what is wrong with them.
    """

    reason: str


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
    if isinstance(value, tuple):
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
    """Returns a function that builds a value of a kind from a reader.

    The types of all fields are resolved once, as a gateway of a large fleet
    decodes some hundred messages per second.
    """
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
    member = messages.PEER_MESSAGE_MEMBERS[type(value)]
    union = _load('messages').PeerMessage.new_message(
        **{member: _to_struct(value)}
    )
    # Packing halves a load message, most of whose bytes are zero.
    return union.to_bytes_packed()


def decode(frame: bytes) -> typing.Any:
    """Decodes a peer message.

    :param frame: one packed Cap'n Proto message.
    :returns: an instance of a member of ``messages.PeerMessage``, or
        :class:`DecodeError`.
    """
    kinds = {
        member: kind for kind, member in messages.PEER_MESSAGE_MEMBERS.items()
    }
    try:
        reader = _load('messages').PeerMessage.from_bytes_packed(frame)
        member = str(reader.which())
        return _make_builder(kinds[member])(getattr(reader, member))
    except (capnp.KjException, KeyError, ValueError) as error:
        return DecodeError(str(error))
