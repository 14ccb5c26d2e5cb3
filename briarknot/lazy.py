"""Packages that load a module when one of its names is first used.

A program that uses a part of a package starts without the rest: each ``attrs``
class takes about 0.7 ms at every start, and some modules import large libraries.
"""

import importlib
import sys
import types
import typing


def make_getattr(
    package: str, modules: typing.Mapping[str, tuple[str, ...]]
) -> typing.Callable[[str], typing.Any]:
    """Makes the ``__getattr__`` of a package (PEP 562).

    :param package: name of the package.
    :param modules: the names that the package exports, by the module of the
        package that defines them.

    >>> load = make_getattr('briarknot', {'sentinels': ('Sentinel',)})
    >>> load('Sentinel').__module__
    'briarknot.sentinels'
    """
    homes = {
        name: module for module, names in modules.items() for name in names
    }

    def load_name(name: str) -> typing.Any:
        if name not in homes:
            raise AttributeError(f'{package!r} has no attribute {name!r}')
        module = importlib.import_module(f'{package}.{homes[name]}')
        found = getattr(module, name)
        # The next look-up finds it without this function.
        setattr(sys.modules[package], name, found)
        return found

    return load_name


def make_module_getattr(
    package: str, parent: str, names: tuple[str, ...]
) -> typing.Callable[[str], types.ModuleType]:
    """Makes the ``__getattr__`` of a package that exports whole modules.

    :param package: name of the package.
    :param parent: package that contains the modules.
    :param names: names of the modules.
    """

    def load_module(name: str) -> types.ModuleType:
        if name not in names:
            raise AttributeError(f'{package!r} has no attribute {name!r}')
        module = importlib.import_module(f'{parent}.{name}')
        setattr(sys.modules[package], name, module)
        return module

    return load_module


def list_names(
    modules: typing.Mapping[str, tuple[str, ...]],
) -> tuple[str, ...]:
    """Returns the names that a package exports, sorted.

    :param modules: the names by module.
    """
    return tuple(sorted(name for names in modules.values() for name in names))
