"""Cap'n Proto encoding of generated classes."""

import enum
import functools
import pathlib
import typing

import attrs
import capnp

from briarknot.schema import _deferred, _errors, _fields, _plain
from briarknot.schema._generated import messages

_DEFINITIONS = pathlib.Path(__file__).parent / 'definitions'
_KINDS = {
    member: kind for kind, member in messages.PEER_MESSAGE_MEMBERS.items()
}
#: Errors of a malformed message; some show only when a field is read.
_READ_ERRORS = (capnp.KjException, KeyError, ValueError)

_Builder = typing.Callable[[typing.Any], typing.Any]

capnp.remove_import_hook()


@functools.cache
def _load(module_name: str) -> typing.Any:
    return capnp.load(str(_DEFINITIONS / f'{module_name}.capnp'))


def _to_camel(name: str) -> str:
    first, *rest = name.split('_')
    return first + ''.join(part.capitalize() for part in rest)


def _write_list(
    struct: typing.Any, camel: str, elements: typing.Sequence[typing.Any]
) -> None:
    if not elements:
        return
    target = struct.init(camel, len(elements))
    first = elements[0]
    if attrs.has(type(first)):
        write = _make_writer(type(first))
        for index, element in enumerate(elements):
            write(target[index], element)
    else:
        for index, element in enumerate(elements):
            target[index] = element


@functools.cache
def _make_writer(
    kind: type,
) -> typing.Callable[[typing.Any, typing.Any], None]:
    """Returns a function that writes a value of a class to a struct."""
    lists, structs, scalars = [], [], []
    for name, field_kind in _plain.get_field_types(kind).items():
        if typing.get_origin(field_kind) is tuple:
            lists.append((name, _to_camel(name)))
        elif attrs.has(field_kind):
            nested = _make_writer(field_kind)
            structs.append((name, _to_camel(name), nested))
        else:
            scalars.append((name, _to_camel(name)))

    def write(struct: typing.Any, value: typing.Any) -> None:
        for name, camel in scalars:
            scalar = getattr(value, name)
            if isinstance(scalar, enum.Enum):
                scalar = scalar.value
            setattr(struct, camel, scalar)
        for name, camel in lists:
            _write_list(struct, camel, getattr(value, name))
        for name, camel, write_nested in structs:
            write_nested(struct.init(camel), getattr(value, name))

    return write


@functools.cache
def _make_builder(kind: typing.Any) -> _Builder:
    """Returns a function that builds a value of a kind from a reader.

    The types of all fields are resolved once, as a gateway of a large fleet
    decodes some hundred messages per second.
    """
    if typing.get_origin(kind) is tuple:
        build_element = _make_builder(typing.get_args(kind)[0])
        return lambda reader: tuple([build_element(item) for item in reader])
    if attrs.has(kind):
        builders = tuple(
            (
                attribute.name,
                _to_camel(attribute.name),
                _make_field_builder(kind, attribute),
            )
            for attribute in attrs.fields(kind)
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


def _make_field_builder(kind: type, attribute: attrs.Attribute) -> _Builder:
    build = _make_builder(_plain.get_field_types(kind)[attribute.name])
    if not _fields.get_field_info(attribute).deferred:
        return build

    def defer(reader: typing.Any) -> _deferred.DeferredList:
        # The reader keeps the received message in memory until it is used.
        return _deferred.DeferredList(
            functools.partial(build, reader), len(reader), _READ_ERRORS
        )

    return defer


def encode(value: typing.Any) -> bytes:
    """Encodes a peer message.

    :param value: an instance of a member of ``messages.PeerMessage``.
    :returns: one packed Cap'n Proto message.

    >>> from briarknot import schema
    >>> heartbeat = schema.messages.Heartbeat(incarnation=1, revision=2)
    >>> decode(encode(heartbeat)) == heartbeat
    True
    """
    union = _load('messages').PeerMessage.new_message()
    member = messages.PEER_MESSAGE_MEMBERS[type(value)]
    _make_writer(type(value))(union.init(member), value)
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
        member = str(reader.which())
        return _make_builder(_KINDS[member])(getattr(reader, member))
    except _READ_ERRORS as error:
        return _errors.DecodeError(str(error))
