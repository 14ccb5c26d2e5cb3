"""Layout of a message that has one of several members."""

import struct
import typing

import attrs

from briarknot.schema import _layouts, _pointers

#: Number of further segments, and words of the first.
_SEGMENTS = struct.Struct('<II')
_MEMBER = struct.Struct('<H')
#: Bytes of the segment table, the root pointer, and a union of structs.
_UNION_BYTES = 4 * _pointers.WORD_BYTES


@attrs.frozen
class UnionLayout:
    """Layout of a message that has one of several members.

    :param members: number and kind of each member.
    """

    _members: dict[type, tuple[int, _pointers.Struct]]
    _kinds: dict[int, _pointers.Struct]

    #: One word with the number of the member, and one pointer.
    _SIZE: typing.ClassVar[int] = 1 | 1 << _layouts.POINTERS_SHIFT

    def read(self, data: bytes) -> typing.Any:
        """Reads a message of one segment with its segment table.

        :param data: the message.
        :raises ValueError: if it is of another version.
        """
        target = _pointers.find_target(
            data, _pointers.WORD_BYTES, _pointers.STRUCT
        )
        further_segments, _ = _SEGMENTS.unpack_from(data)
        if further_segments or target is None or target[1] != self._SIZE:
            raise ValueError('message of another version')
        start = target[0]
        number = _MEMBER.unpack_from(data, start)[0]
        if number not in self._kinds:
            raise ValueError(f'unknown member {number}')
        return self._kinds[number].read(data, start + _pointers.WORD_BYTES)

    def write(self, value: typing.Any) -> bytes:
        """Writes a message with its segment table.

        :param value: the value of the member.
        :raises struct.error: if a number is out of its range.
        """
        number, member = self._members[type(value)]
        data = bytearray(_UNION_BYTES)
        _pointers.POINTER.pack_into(
            data, _pointers.WORD_BYTES, _pointers.STRUCT, self._SIZE
        )
        _MEMBER.pack_into(data, 2 * _pointers.WORD_BYTES, number)
        member.write(data, 3 * _pointers.WORD_BYTES, value)
        _SEGMENTS.pack_into(data, 0, 0, len(data) // _pointers.WORD_BYTES - 1)
        return bytes(data)


def make_union_layout(
    name: str, kinds: dict[type, str], load: _layouts.Converter
) -> UnionLayout:
    """Makes the layout of a message with one of several members.

    :param name: name of the struct in the definition of messages.
    :param kinds: name of the member of each class.
    :param load: returns the loaded module of definitions by its name.
    """
    node = getattr(load('messages'), name).schema.node.struct
    numbers = {field.name: field.discriminantValue for field in node.fields}
    members = {
        kind: (
            numbers[member],
            _pointers.Struct(_layouts.make_layout(kind, load)),
        )
        for kind, member in kinds.items()
    }
    return UnionLayout(
        members, {number: member for number, member in members.values()}
    )
