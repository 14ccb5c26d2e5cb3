"""Checks of a manifest that the gateways' decoder has decoded.

No finding holds the key of an account.
"""

import collections
import collections.abc
import functools

from briarknot import schema
from briarknot.platform import _config_registry

#: Weights that operators write as decimal shares don't add up to 1 exactly.
_SHARE_MARGIN = 1e-6
_Candidate = _config_registry.Candidate
_Problems = _config_registry.Problems
_error = functools.partial(
    _config_registry.register_check,
    severity=_config_registry.Severity.ERROR,
)
_warning = functools.partial(
    _config_registry.register_check,
    severity=_config_registry.Severity.WARNING,
)


@_error('account_left_out')
def _check_accounts(candidate: _Candidate) -> _Problems:
    for finding in candidate.manifest.invalid_accounts:
        yield 'tenants', finding


@_error('unknown_service')
def _check_services(candidate: _Candidate) -> _Problems:
    known = {one.name for one in candidate.manifest.services}
    for route in candidate.manifest.routes:
        for destination in route.destinations:
            if destination.service not in known:
                yield (
                    _name_route(route),
                    f'no service {destination.service!r}',
                )


@_error('old_version')
def _check_version(candidate: _Candidate) -> _Problems:
    version = candidate.manifest.version
    if candidate.version is not None and version <= candidate.version:
        yield (
            'version',
            f'{version} is not above {candidate.version}, which is in force',
        )


@_error('shared_key')
def _check_keys(candidate: _Candidate) -> _Problems:
    names = collections.defaultdict(list)
    for account in candidate.manifest.accounts:
        for key_hash in account.key_hashes:
            names[key_hash].append(account.name)
    shared = collections.Counter(
        tuple(holders) for holders in names.values() if len(holders) > 1
    )
    for holders, count in shared.items():
        yield 'tenants', f'{", ".join(holders)} share {count} key(s)'


@_error('scaling_ignored')
def _check_scaling(candidate: _Candidate) -> _Problems:
    for finding in candidate.manifest.invalid_scaling:
        yield 'services', finding


@_warning('shadowed_route')
def _check_shadows(candidate: _Candidate) -> _Problems:
    first: dict[tuple[str, str], schema.serving.Route] = {}
    for route in candidate.manifest.routes:
        other = first.setdefault((route.host, route.path_prefix), route)
        if other is not route:
            yield (
                _name_route(route),
                f'{_name_route(other)} has the same host and prefix',
            )


@_warning('zero_weight')
def _check_weights(candidate: _Candidate) -> _Problems:
    for route in candidate.manifest.routes:
        for destination in route.destinations:
            if not destination.weight > 0:
                yield (
                    _name_route(route),
                    f'{destination.service!r} has weight {destination.weight}',
                )


@_warning('account_without_key')
def _check_keyless(candidate: _Candidate) -> _Problems:
    for account in candidate.manifest.accounts:
        if not account.key_hashes:
            yield f'tenants[{account.name}]', 'no key'


@_warning('unused_service')
def _check_unused(candidate: _Candidate) -> _Problems:
    used = {
        destination.service
        for route in candidate.manifest.routes
        for destination in route.destinations
    }
    for service in candidate.manifest.services:
        if service.name not in used:
            yield f'services[{service.name}]', 'no route uses it'


@_warning('timeout_below_target')
def _check_targets(candidate: _Candidate) -> _Problems:
    for route in candidate.manifest.routes:
        if route.timeout_s < route.target_s:
            yield (
                _name_route(route),
                f'its time limit of {route.timeout_s} s is below its latency '
                f'target of {route.target_s} s',
            )


@_warning('attempts_above_workers')
def _check_attempts(candidate: _Candidate) -> _Problems:
    if candidate.workers is None:
        return
    for route in candidate.manifest.routes:
        services = {one.service for one in route.destinations}
        count = sum(candidate.workers.get(one, 0) for one in services)
        if route.max_attempts > count:
            yield (
                _name_route(route),
                f'maxAttempts is {route.max_attempts}, workers: {count}',
            )


@_warning('body_below_header')
def _check_sizes(candidate: _Candidate) -> _Problems:
    limits = candidate.manifest.limits
    if limits.body_bytes < limits.header_bytes:
        yield (
            'limits',
            f'maxBodyBytes of {limits.body_bytes} is below maxHeaderBytes of '
            f'{limits.header_bytes}',
        )


@_warning('shares_above_one')
def _check_shares(candidate: _Candidate) -> _Problems:
    for route in candidate.manifest.routes:
        total = sum(one.weight for one in route.destinations)
        if total > 1 + _SHARE_MARGIN:
            yield _name_route(route), f'its weights add up to {total:g}'


@_warning('header_above_idle')
def _check_times(candidate: _Candidate) -> _Problems:
    limits = candidate.manifest.limits
    # 0 stands for no time-out.
    if 0 < limits.idle_timeout_s < limits.header_timeout_s:
        yield (
            'limits',
            f'the header time-out of {limits.header_timeout_s} s is above the '
            f'idle time-out of {limits.idle_timeout_s} s',
        )


@_warning('resumable_no_generation')
def _check_resumable(candidate: _Candidate) -> _Problems:
    for route in candidate.manifest.routes:
        is_generation = route.kind is schema.serving.RequestKind.GENERATION
        if route.resumable and not is_generation:
            yield _name_route(route), 'it is resumable, but no generation'


def _name_route(route: schema.serving.Route) -> str:
    return f'routes[{route.name}]'
