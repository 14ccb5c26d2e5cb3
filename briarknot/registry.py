"""Registries of interchangeable behaviour, filled by decorators."""

import typing

import attrs

from briarknot import sentinels

Item = typing.TypeVar('Item')


@attrs.frozen
class UnknownName(sentinels.Sentinel):
    """Sentinel for a name that is not registered.

    :param registry: name of the registry.
    :param name: requested name.
    :param known: registered names, sorted.
    """

    registry: str
    name: str
    known: tuple[str, ...]


@attrs.define
class Registry(typing.Generic[Item]):
    """Maps names to interchangeable classes or functions.

    :param name: name of the registry, as the documents use it.

    >>> scores = Registry('router')
    >>> @scores.register('constant')
    ... def score_constant():
    ...     return 1
    >>> scores.get('constant')()
    1
    >>> scores.names
    ('constant',)
    """

    _name: str
    _items: dict[str, Item] = attrs.field(factory=dict, init=False)

    @property
    def name(self) -> str:
        """Name of the registry."""
        return self._name

    @property
    def names(self) -> tuple[str, ...]:
        """Registered names, sorted."""
        return tuple(sorted(self._items))

    def register(self, name: str) -> typing.Callable[[Item], Item]:
        """Returns a decorator that registers its argument.

        :param name: name under which it can be chosen.
        :raises ValueError: if the name is already registered.
        """

        def decorate(member: Item) -> Item:
            if name in self._items:
                raise ValueError(f'{self._name}: {name!r} is registered twice')
            self._items[name] = member
            return member

        return decorate

    def get(self, name: str) -> Item | UnknownName:
        """Returns the member that is registered under a name.

        :param name: registered name.
        :returns: the member, or :class:`UnknownName`.
        """
        if name in self._items:
            return self._items[name]
        return UnknownName(self._name, name, self.names)
