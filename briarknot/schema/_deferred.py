"""Lists of messages that are decoded only when they are read."""

import collections.abc
import typing

import attrs

from briarknot.schema import _errors

_Load = collections.abc.Callable[[], tuple[typing.Any, ...]]


@attrs.define(eq=False)
class DeferredList(collections.abc.Sequence):
    """Elements of a received message, decoded at the first use.

    Most sums of work are replaced by newer ones before a request needs them.
    """

    _load: _Load | None
    _length: int
    _load_errors: tuple[type[Exception], ...]
    _elements: tuple[typing.Any, ...] | _errors.DecodeError = ()

    def read(self) -> tuple[typing.Any, ...] | _errors.DecodeError:
        """Returns the elements, or what is wrong with them."""
        if self._load is not None:
            try:
                self._elements = self._load()
            except self._load_errors as error:
                self._elements = _errors.DecodeError(str(error))
            self._load = None
        return self._elements

    def __len__(self) -> int:
        """Returns the number of elements, without decoding them."""
        return self._length

    def __getitem__(self, index: int) -> typing.Any:
        """Returns an element.

        :raises ValueError: if the list is malformed.
        """
        elements = self.read()
        if isinstance(elements, _errors.DecodeError):
            raise ValueError(elements.reason)
        return elements[index]

    def __eq__(self, other: object) -> bool:
        """Returns whether another sequence has the same elements."""
        if isinstance(other, (tuple, DeferredList)):
            return tuple(self) == tuple(other)
        return NotImplemented

    def __hash__(self) -> int:
        """Returns the hash of the elements."""
        return hash(tuple(self))


def read_list(
    elements: tuple[typing.Any, ...] | DeferredList,
) -> tuple[typing.Any, ...] | _errors.DecodeError:
    """Reads a list of a message, whether it was received or made here.

    :param elements: the list.
    :returns: its elements, or :class:`DecodeError`.
    """
    if isinstance(elements, DeferredList):
        return elements.read()
    return elements
