"""Registry of checks of a whole value."""

import collections.abc
import importlib
import typing

import attrs

from briarknot import registry


@attrs.frozen
class Problem:
    """A problem that a check found.

    :param path: path of the field.
    :param found: what was found.
    :param allowed: what is allowed there.
    """

    path: str
    found: str
    allowed: str


@attrs.frozen
class Check:
    """A check of one kind of value.

    :param kind: generated class that it checks.
    :param run: function that yields the problems of a value.
    """

    kind: type
    run: typing.Callable[[typing.Any], collections.abc.Iterable[Problem]]


#: Modules that fill the registry, by the schema of the kinds that they check. A
#: program that reads only its settings starts without them.
_MODULES = {'fleet': 'briarknot.document._fleet_checks'}
#: Checks that run after the fields have been read.
CHECKS: registry.Registry[Check] = registry.Registry('document check')


def register_check(
    name: str, kind: type
) -> typing.Callable[[typing.Any], typing.Any]:
    """Returns a decorator that registers a check function for a kind."""

    def decorate(function: typing.Any) -> typing.Any:
        CHECKS.register(name)(Check(kind, function))
        return function

    return decorate


def run_checks(
    kind: type, value: typing.Any
) -> collections.abc.Iterator[Problem]:
    """Yields the problems that all checks of a kind find in a value."""
    if kind.__schema__ in _MODULES:
        importlib.import_module(_MODULES[kind.__schema__])
    for name in CHECKS.names:
        check = CHECKS.get(name)
        if isinstance(check, Check) and check.kind is kind:
            yield from check.run(value)
