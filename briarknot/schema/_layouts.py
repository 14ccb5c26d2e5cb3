"""Layout of generated classes in Cap'n Proto messages of one segment.

pycapnp converts one field at a time, at 1 us each or more. Layouts read and write
all numbers of a struct at once, at the offsets that the definition assigns. They
read only messages that pycapnp has copied, so that all pointers are valid, and
only structs of exactly the known size; anything else raises an exception, and is
left to pycapnp.
"""

import collections.abc
import enum
import functools
import operator
import struct
import typing

import attrs
import capnp

from briarknot.schema import _fields, _plain, _pointers

POINTERS_SHIFT = 16
#: Format and bytes of the numbers of a struct.
_NUMBERS = {
    'uint8': ('B', 1),
    'uint16': ('H', 2),
    'uint32': ('I', 4),
    'uint64': ('Q', 8),
    'int64': ('q', 8),
    'float64': ('d', 8),
    'enum': ('H', 2),
}

Converter = collections.abc.Callable[[typing.Any], typing.Any]


@attrs.define(eq=False)
class Layout:
    """Layout of a generated class.

    :param kind: the class.
    :param size: words of numbers and number of pointers, as pointers state them.
    :param length: bytes of a struct.
    """

    kind: type
    size: int
    length: int
    _numbers: struct.Struct
    _number_names: tuple[str, ...]
    _get_numbers: Converter
    #: Converters of numbers that are not stored as they are, by index and name.
    _to_number: dict[int, Converter]
    _from_number: dict[str, Converter]
    #: Byte and mask of each truth value by name.
    _bits: dict[str, tuple[int, int]]
    #: Position and kind of each pointer by name.
    _pointers: dict[str, tuple[int, _pointers.PointerField]]
    _numbers_and_pointers: struct.Struct

    @property
    def _is_flat(self) -> bool:
        """Whether it has only numbers that are stored as they are, and texts."""
        texts = (field for _, field in self._pointers.values())
        return not (self._bits or self._to_number) and all(
            isinstance(field, _pointers.Text) for field in texts
        )

    def read(self, data: bytes, start: int) -> typing.Any:
        """Reads a value.

        :param data: a message.
        :param start: position of the struct.
        """
        fields = dict(
            zip(
                self._number_names,
                self._numbers.unpack_from(data, start),
                strict=True,
            )
        )
        for name, convert in self._from_number.items():
            fields[name] = convert(fields[name])
        for name, (byte, mask) in self._bits.items():
            fields[name] = bool(data[start + byte] & mask)
        for name, (position, field) in self._pointers.items():
            fields[name] = field.read(data, start + position)
        return self.kind(**fields)

    def read_all(
        self, data: bytes, start: int, count: int
    ) -> tuple[typing.Any, ...]:
        """Reads the elements of a list.

        :param data: a message.
        :param start: position of the first element.
        :param count: number of elements.
        """
        end = start + count * self.length
        positions = range(start, end, self.length)
        if not self._is_flat:
            return tuple([self.read(data, position) for position in positions])
        # Most elements are numbers and texts. They are read without a call for
        # each, since lists are most of each message.
        rows = self._numbers_and_pointers.iter_unpack(data[start:end])
        names, pointers = self._number_names, tuple(self._pointers.items())
        elements = []
        for position, row in zip(positions, rows, strict=True):
            # The pointers at the end of the row have no names.
            fields = dict(zip(names, row))  # noqa: B905
            index = len(names)
            for name, (offset, _) in pointers:
                fields[name] = _pointers.read_text(
                    data, position + offset, row[index], row[index + 1]
                )
                index += 2
            elements.append(self.kind(**fields))
        return tuple(elements)

    def write(self, data: bytearray, start: int, value: typing.Any) -> None:
        """Writes a value.

        :param data: a message; what pointers point to is appended.
        :param start: position of the struct, whose bytes are zero.
        :param value: the value.
        """
        numbers = self._get_numbers(value)
        if self._to_number:
            numbers = list(numbers)
        for index, convert in self._to_number.items():
            numbers[index] = convert(numbers[index])
        self._numbers.pack_into(data, start, *numbers)
        for name, (byte, mask) in self._bits.items():
            if getattr(value, name):
                data[start + byte] |= mask
        for name, (position, field) in self._pointers.items():
            field.write(data, start + position, getattr(value, name))


def _make_getter(names: list[str]) -> Converter:
    if len(names) > 1:
        return operator.attrgetter(*names)
    return lambda value: [getattr(value, name) for name in names]


def _make_pointer_field(
    kind: typing.Any, load: Converter, *, is_deferred: bool
) -> _pointers.PointerField:
    if kind is str:
        return _pointers.Text()
    if kind == tuple[str, ...]:
        return _pointers.TextList()
    if typing.get_origin(kind) is tuple:
        element = make_layout(typing.get_args(kind)[0], load)
        return _pointers.StructList(element, is_deferred)
    return _pointers.Struct(make_layout(kind, load))


@attrs.frozen
class _Converters:
    """Functions between a value and its stored number."""

    to_number: Converter
    from_number: Converter


def _make_converters(kind: typing.Any, default: int) -> _Converters | None:
    """Returns the functions to and from the stored number, if it differs."""
    if issubclass(kind, enum.Enum):
        members = tuple(kind)
        return _Converters(members.index, members.__getitem__)
    if default:
        # Cap'n Proto stores the difference from the default value.
        differ = functools.partial(operator.xor, default)
        return _Converters(differ, differ)
    return None


@attrs.frozen(order=True)
class _Number:
    """Position of a number among those of a struct.

    :param start: position of its first byte.
    :param end: position after its last byte.
    :param code: its format.
    :param name: name of the field.
    :param default: default value.
    """

    start: int
    end: int
    code: str
    name: str
    default: int


@functools.cache
def make_layout(kind: type, load: Converter) -> Layout:
    """Makes the layout of a generated class.

    :param kind: the class.
    :param load: returns the loaded module of definitions by its name.
    :raises ValueError: if the class has a field of an unsupported type.
    """
    node = getattr(load(kind.__schema__), kind.__name__).schema.node.struct
    numbers, bits, pointers = [], {}, {}
    fields = zip(node.fields, _plain.get_field_types(kind).items(), strict=True)
    for field, (name, field_kind) in fields:
        type_name = field.slot.type.which()
        offset = field.slot.offset
        if type_name == 'bool':
            bits[name] = (
                offset // _pointers.WORD_BYTES,
                1 << offset % _pointers.WORD_BYTES,
            )
        elif type_name in _NUMBERS:
            default = getattr(field.slot.defaultValue, type_name)
            code, width = _NUMBERS[type_name]
            end = (offset + 1) * width
            numbers.append(_Number(offset * width, end, code, name, default))
        elif type_name in {'text', 'list', 'struct'}:
            position = (node.dataWordCount + offset) * _pointers.WORD_BYTES
            info = _fields.get_field_info(getattr(attrs.fields(kind), name))
            pointers[name] = (
                position,
                _make_pointer_field(
                    field_kind, load, is_deferred=info.deferred
                ),
            )
        else:
            raise ValueError(f'unsupported type {type_name}')
    return _assemble(kind, node, sorted(numbers), bits, pointers)


def _assemble(
    kind: type,
    node: capnp.lib.capnp._DynamicStructReader,
    numbers: list[_Number],
    bits: dict[str, tuple[int, int]],
    pointers: dict[str, tuple[int, _pointers.PointerField]],
) -> Layout:
    number_format, end = '<', 0
    to_number: dict[int, Converter] = {}
    from_number: dict[str, Converter] = {}
    types = _plain.get_field_types(kind)
    for index, number in enumerate(numbers):
        number_format += f'{number.start - end}x{number.code}'
        end = number.end
        converters = _make_converters(types[number.name], number.default)
        if converters is not None:
            to_number[index] = converters.to_number
            from_number[number.name] = converters.from_number
    names = [one.name for one in numbers]
    padding = node.dataWordCount * _pointers.WORD_BYTES - end
    pointer_format = _pointers.POINTER.format.lstrip('<') * node.pointerCount
    return Layout(
        kind,
        node.dataWordCount | node.pointerCount << POINTERS_SHIFT,
        (node.dataWordCount + node.pointerCount) * _pointers.WORD_BYTES,
        struct.Struct(number_format),
        tuple(names),
        _make_getter(names),
        to_number,
        from_number,
        bits,
        # In the order of their positions.
        dict(sorted(pointers.items(), key=lambda one: one[1][0])),
        struct.Struct(f'{number_format}{padding}x{pointer_format}'),
    )
