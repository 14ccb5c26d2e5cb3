"""What the pointers of a Cap'n Proto struct point to: texts, lists and structs."""

import functools
import struct
import typing

import attrs

from briarknot.schema import _deferred

#: Errors of reading what is malformed, or was written by another version.
READ_ERRORS = (ValueError, IndexError, struct.error)
WORD_BYTES = 8
POINTER = struct.Struct('<iI')
#: Kinds of pointers.
STRUCT, _LIST = 0, 1
#: Sizes of the elements of lists.
_BYTES, _POINTERS, _COMPOSITE = 2, 6, 7
_KIND_BITS, _SIZE_BITS = 2, 3
_KIND_MASK, _SIZE_MASK = 3, 7


class PointerField(typing.Protocol):
    """Reads and writes what a pointer points to."""

    def read(self, data: bytes, at: int) -> typing.Any:
        """Reads a value by the pointer at a position."""

    def write(self, data: bytearray, at: int, value: typing.Any) -> None:
        """Appends a value, and sets the pointer at a position."""


class Layout(typing.Protocol):
    """Layout of a struct.

    :param kind: its class.
    :param size: words of numbers and number of pointers, as pointers state them.
    :param length: bytes of a struct.
    """

    kind: type
    size: int
    length: int

    def read(self, data: bytes, start: int) -> typing.Any:
        """Reads a struct at a position."""

    def read_all(
        self, data: bytes, start: int, count: int
    ) -> tuple[typing.Any, ...]:
        """Reads structs that follow each other."""

    def write(self, data: bytearray, start: int, value: typing.Any) -> None:
        """Writes a struct at a position."""


def find_target(data: bytes, at: int, kind: int) -> tuple[int, int] | None:
    """Returns the position of a pointer's target and its size field.

    :returns: None for a null pointer.
    """
    low, high = POINTER.unpack_from(data, at)
    if not low and not high:
        return None
    if low & _KIND_MASK != kind:
        raise ValueError('unexpected kind of pointer')
    return at + WORD_BYTES * (1 + (low >> _KIND_BITS)), high


def _set_pointer(data: bytearray, at: int, kind: int, size: int) -> None:
    """Lets the pointer at a position point to the end of the data."""
    words = (len(data) - at) // WORD_BYTES - 1
    POINTER.pack_into(data, at, words << _KIND_BITS | kind, size)


def read_text(data: bytes, at: int, low: int, high: int) -> str:
    """Reads a text.

    :param data: a message.
    :param at: position of the pointer.
    :param low: first half of the pointer.
    :param high: second half of the pointer.
    :raises ValueError: if it is malformed.
    """
    if not low and not high:
        return ''
    start = at + WORD_BYTES * (1 + (low >> _KIND_BITS))
    end = start + (high >> _SIZE_BITS) - 1
    if low & _KIND_MASK != _LIST or high & _SIZE_MASK != _BYTES or data[end]:
        raise ValueError('malformed text')
    return str(data[start:end], 'utf-8')


@attrs.frozen
class Text:
    """Texts."""

    def read(self, data: bytes, at: int) -> str:
        """Reads a text."""
        low, high = POINTER.unpack_from(data, at)
        return read_text(data, at, low, high)

    def write(self, data: bytearray, at: int, value: str) -> None:
        """Appends a text with its terminating zero."""
        if value:
            encoded = value.encode()
            size = (len(encoded) + 1) << _SIZE_BITS | _BYTES
            _set_pointer(data, at, _LIST, size)
            data += encoded
            data += bytes(WORD_BYTES - len(encoded) % WORD_BYTES)


@attrs.frozen
class TextList:
    """Lists of texts."""

    _text: Text = Text()

    def read(self, data: bytes, at: int) -> tuple[str, ...]:
        """Reads a list."""
        target = find_target(data, at, _LIST)
        if target is None:
            return ()
        start, size = target
        if size & _SIZE_MASK != _POINTERS:
            raise ValueError('malformed list of texts')
        end = start + (size >> _SIZE_BITS) * WORD_BYTES
        return tuple(
            self._text.read(data, position)
            for position in range(start, end, WORD_BYTES)
        )

    def write(self, data: bytearray, at: int, value: tuple[str, ...]) -> None:
        """Appends a list."""
        if value:
            start = len(data)
            _set_pointer(data, at, _LIST, len(value) << _SIZE_BITS | _POINTERS)
            data += bytes(len(value) * WORD_BYTES)
            for index, one in enumerate(value):
                self._text.write(data, start + index * WORD_BYTES, one)


@attrs.frozen
class Struct:
    """Structs inside of structs."""

    _layout: Layout

    def read(self, data: bytes, at: int) -> typing.Any:
        """Reads a struct."""
        target = find_target(data, at, STRUCT)
        if target is None:
            return self._layout.kind()
        start, size = target
        if size != self._layout.size:
            raise ValueError('struct of another size')
        return self._layout.read(data, start)

    def write(self, data: bytearray, at: int, value: typing.Any) -> None:
        """Appends a struct."""
        start = len(data)
        _set_pointer(data, at, STRUCT, self._layout.size)
        data += bytes(self._layout.length)
        self._layout.write(data, start, value)


@attrs.frozen
class StructList:
    """Lists of structs."""

    _layout: Layout
    _is_deferred: bool

    def read(
        self, data: bytes, at: int
    ) -> tuple[typing.Any, ...] | _deferred.DeferredList:
        """Reads a list, or checks only its size."""
        length = self._layout.length
        target = find_target(data, at, _LIST)
        if target is None:
            return ()
        start, size = target
        tag, element_size = POINTER.unpack_from(data, start)
        count = tag >> _KIND_BITS
        if (
            size & _SIZE_MASK != _COMPOSITE
            or element_size != self._layout.size
            or count * length != (size >> _SIZE_BITS) * WORD_BYTES
        ):
            raise ValueError('list of elements of another size')
        load = functools.partial(
            self._layout.read_all, data, start + WORD_BYTES, count
        )
        if self._is_deferred:
            return _deferred.DeferredList(load, count, READ_ERRORS)
        return load()

    def write(
        self, data: bytearray, at: int, value: tuple[typing.Any, ...]
    ) -> None:
        """Appends a list."""
        if not value:
            return
        length = self._layout.length
        start = len(data) + WORD_BYTES
        words = len(value) * length // WORD_BYTES
        _set_pointer(data, at, _LIST, words << _SIZE_BITS | _COMPOSITE)
        data += POINTER.pack(len(value) << _KIND_BITS, self._layout.size)
        data += bytes(len(value) * length)
        for index, one in enumerate(value):
            self._layout.write(data, start + index * length, one)
