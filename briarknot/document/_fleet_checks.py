"""Checks of the fleet document beyond single fields."""

import collections
import collections.abc
import itertools

import attrs

from briarknot import schema
from briarknot.document import _checks

_Fleet = schema.fleet.Fleet
_Problems = collections.abc.Iterator[_checks.Problem]

#: The registry with the checks of this module.
CHECKS = _checks.CHECKS
#: Names of the checks of the fleet document.
FLEET_CHECKS = (
    'unique_names',
    'references',
    'floors',
    'key_hashes',
    'services',
)

_NAMED_LISTS = ('domains', 'ranks', 'models', 'engines', 'services', 'accounts')


@_checks.register_check('unique_names', _Fleet)
def check_unique_names(fleet: schema.fleet.Fleet) -> _Problems:
    """Names identify domains, ranks, and so on, so each may occur once."""
    for list_name in _NAMED_LISTS:
        names = [member.name for member in getattr(fleet, list_name)]
        yield from _find_repeated(
            (name, f'{list_name}[{index}].name')
            for index, name in enumerate(names)
        )
    yield from _find_repeated(_iterate_endpoint_names(fleet))


def _iterate_endpoint_names(
    fleet: schema.fleet.Fleet,
) -> collections.abc.Iterator[tuple[str, str]]:
    for index, engine in enumerate(fleet.engines):
        yield engine.name, f'engines[{index}].name'
    for index, service in enumerate(fleet.services):
        for number, endpoint in enumerate(service.endpoints):
            path = f'services[{index}].endpoints[{number}].name'
            yield endpoint.name, path


def _find_repeated(
    names: collections.abc.Iterable[tuple[str, str]],
) -> _Problems:
    first_paths: dict[str, str] = {}
    for name, path in names:
        if name in first_paths:
            yield _checks.Problem(
                path, f'{name!r}, as in {first_paths[name]}', 'a unique name'
            )
        else:
            first_paths[name] = path


@_checks.register_check('references', _Fleet)
def check_references(fleet: schema.fleet.Fleet) -> _Problems:
    """A field that names a domain, model, or rank needs that one to exist."""
    yield from _check_object(fleet, fleet, '')


def _check_object(
    fleet: schema.fleet.Fleet, value: object, prefix: str
) -> _Problems:
    for attribute in attrs.fields(type(value)):
        path = f'{prefix}{attribute.name}'
        member = getattr(value, attribute.name)
        target = schema.get_field_info(attribute).references
        members = member if isinstance(member, tuple) else (member,)
        for index, element in enumerate(members):
            is_list = isinstance(member, tuple)
            element_path = f'{path}[{index}]' if is_list else path
            if attrs.has(type(element)):
                yield from _check_object(fleet, element, f'{element_path}.')
            elif target and element:
                yield from _check_reference(
                    fleet, target, element, element_path
                )


def _check_reference(
    fleet: schema.fleet.Fleet, target: str, name: str, path: str
) -> _Problems:
    known = sorted({member.name for member in getattr(fleet, target)})
    if name not in known:
        allowed = f'one of {", ".join(known)}' if known else 'nothing'
        yield _checks.Problem(path, repr(name), allowed)


@_checks.register_check('floors', _Fleet)
def check_floors(fleet: schema.fleet.Fleet) -> _Problems:
    """Floors are shares of the same capacity and can't exceed it."""
    total = sum(rank.floor_share for rank in fleet.ranks)
    if total > 1:
        yield _checks.Problem(
            'ranks', f'floors that add up to {total:g}', 'at most 1'
        )


@_checks.register_check('key_hashes', _Fleet)
def check_key_hashes(fleet: schema.fleet.Fleet) -> _Problems:
    """An API key must identify one account."""
    hashes = itertools.chain.from_iterable(
        (
            (key_hash, f'accounts[{index}].key_hashes[{number}]')
            for number, key_hash in enumerate(account.key_hashes)
        )
        for index, account in enumerate(fleet.accounts)
    )
    seen: set[str] = set()
    for key_hash, path in hashes:
        if key_hash in seen:
            yield _checks.Problem(
                path, 'the hash of another key', 'a hash that occurs once'
            )
        seen.add(key_hash)


@_checks.register_check('services', _Fleet)
def check_services(fleet: schema.fleet.Fleet) -> _Problems:
    """With one of these lists empty, every request would be refused."""
    counts = collections.Counter(
        domains=len(fleet.domains), ranks=len(fleet.ranks)
    )
    for list_name in ('domains', 'ranks'):
        if not counts[list_name]:
            yield _checks.Problem(list_name, 'an empty list', 'one or more')
    for index, service in enumerate(fleet.services):
        if not service.endpoints:
            yield _checks.Problem(
                f'services[{index}].endpoints', 'an empty list', 'one or more'
            )
