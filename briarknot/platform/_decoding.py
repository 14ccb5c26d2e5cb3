"""Decodes the operators' manifest and workers' entries into product types."""

import ipaddress
import typing

import attrs

from briarknot import schema, sentinels
from briarknot.platform import _client_accounts

#: Table and key of the operators' manifest.
MANIFEST_TABLE = 'op'
MANIFEST_KEY = 'config'
#: Table in which workers register themselves.
WORKERS_TABLE = 'servers'
_MS_PER_S = 1000
_BITS_PER_MBIT = 1e6
_KINDS = {
    'idempotent': schema.serving.RequestKind.IDEMPOTENT,
    'non_idempotent': schema.serving.RequestKind.NON_IDEMPOTENT,
    'streaming': schema.serving.RequestKind.GENERATION,
}
_STAGES = {
    'prefill': schema.serving.Stage.PREFILL,
    'decode': schema.serving.Stage.DECODE,
}
#: Errors that a tree of an unexpected shape raises.
_SHAPE_ERRORS = (AttributeError, KeyError, TypeError, ValueError)
#: Workers of a service in a failure domain; larger limits are mistakes.
_MAX_WORKERS = 100_000
#: Larger figures name no worker; they would not fit messages and connections.
_MAX_SLOTS = 1_000_000
_MAX_PORT = 65535
_MAX_TIME_MS = 1 << 53
#: Longest text, as the store limits its keys. Updates of the list of workers must
#: fit a datagram.
_MAX_TEXT = 200
_STATES = {'ready': False, 'draining': True}
#: Event gap of a route that states none; only its timeout applies then.
_NO_GAP_MS = 0
#: Clients abandon a stream without an event for the longest of two seconds, four
#: times its latency target, and eight times its event gap.
_MIN_SILENCE_S = 2.0
_SILENCE_TARGETS = 4
_SILENCE_GAPS = 8


@attrs.frozen
class Malformed(sentinels.Sentinel):
    """Sentinel for an entry that can't be used.

    :param reason: what is wrong with it.
    """

    reason: str


def decode_manifest(tree: typing.Any) -> schema.serving.Manifest | Malformed:
    """Decodes the operators' configuration.

    :param tree: plain value of its row.
    """
    try:
        # Unlike in other optional fields, a null is no absent list: it would open
        # all routes.
        decoded = _client_accounts.decode_accounts(tree.get('tenants', []))
        return schema.serving.Manifest(
            version=_check_number(tree['version'], int),
            routes=tuple(_decode_route(one) for one in tree['routes']),
            services=tuple(_decode_service(one) for one in tree['services']),
            limits=_decode_limits(tree['limits']),
            accounts=decoded.accounts,
            has_accounts='tenants' in tree,
            invalid_accounts=decoded.findings,
            invalid_scaling=_list_scaling_findings(tree['services']),
        )
    except _SHAPE_ERRORS as error:
        return Malformed(f'{type(error).__name__}: {error}')


def read_manifest_version(tree: typing.Any) -> int | None:
    """Returns the version of the operators' configuration without decoding it.

    :param tree: plain value of its row.
    :returns: the version; None where it can't be read.
    """
    version = tree.get('version') if isinstance(tree, dict) else None
    return version if isinstance(version, int) else None


def decode_worker(
    worker_id: str, tree: typing.Any
) -> schema.serving.Worker | Malformed:
    """Decodes a worker's registration.

    :param worker_id: key of its row.
    :param tree: plain value of its row; its shape is not trusted.
    """
    try:
        return schema.serving.Worker(
            id=worker_id,
            service=_check_text(tree['service']),
            address=_check_address(tree['address']),
            domain=_check_text(tree['zone']),
            slots=_check_range(tree['slots'], 1, _MAX_SLOTS),
            draining=_STATES[tree['state']],
            stage=(
                _STAGES[tree['stage']]
                if 'stage' in tree
                else schema.serving.Stage.NONE
            ),
            cold_s=_check_number(tree['coldRemainingMs'], float, int)
            / _MS_PER_S,
            born_ms=_check_range(tree.get('born', 0), 0, _MAX_TIME_MS),
            version=_check_text(tree['version']) if 'version' in tree else '',
            is_spot=tree.get('spot') is True,
            leaves_s=_decode_leaves_s(tree),
        )
    except _SHAPE_ERRORS as error:
        return Malformed(f'{type(error).__name__}: {error}')


def _decode_route(tree: dict[str, typing.Any]) -> schema.serving.Route:
    kind = _KINDS[tree['kind']]
    target_s = tree.get('targetLatencyMs', tree['timeoutMs']) / _MS_PER_S
    event_gap_s = tree.get('gapTargetMs', _NO_GAP_MS) / _MS_PER_S
    max_silence_s = 0
    if kind == schema.serving.RequestKind.GENERATION:
        max_silence_s = max(
            _MIN_SILENCE_S,
            target_s * _SILENCE_TARGETS,
            event_gap_s * _SILENCE_GAPS,
        )
    return schema.serving.Route(
        name=tree['name'],
        host=tree['host'].lower(),
        path_prefix=tree['pathPrefix'],
        kind=kind,
        timeout_s=tree['timeoutMs'] / _MS_PER_S,
        target_s=target_s,
        rank=tree.get('priority', 0),
        destinations=_decode_destinations(tree),
        max_attempts=tree.get('maxAttempts', 1),
        resumable=tree.get('resumable', False),
        event_gap_s=event_gap_s,
        max_silence_s=max_silence_s,
        is_public=tree.get('public', False) is True,
    )


def _decode_destinations(
    tree: dict[str, typing.Any],
) -> tuple[schema.serving.Destination, ...]:
    if 'split' in tree:
        return tuple(
            schema.serving.Destination(
                service=one['service'], weight=float(one['weight'])
            )
            for one in tree['split']
        )
    return (schema.serving.Destination(service=tree['service'], weight=1.0),)


def _decode_service(tree: dict[str, typing.Any]) -> schema.serving.Service:
    engine = tree.get('engine')
    scaling = _decode_scaling(tree)
    return schema.serving.Service(
        name=tree['name'],
        max_connections=tree.get('maxConnections', 0),
        has_engines=engine is not None,
        engine=_decode_engine(engine or {}),
        has_scaling=bool(scaling),
        scaling=scaling or schema.serving.ScalingLimits(),
    )


def _list_scaling_findings(
    services: list[dict[str, typing.Any]],
) -> tuple[str, ...]:
    """Lists what is wrong with scaling limits; services without any are left out."""
    found = ((one['name'], _decode_scaling(one)) for one in services)
    return tuple(
        f'service {name}: {scaling.reason}'
        for name, scaling in found
        if isinstance(scaling, Malformed)
    )


def _decode_scaling(
    service: dict[str, typing.Any],
) -> schema.serving.ScalingLimits | Malformed | None:
    """Decodes scaling limits, without which the service can still be used.

    :param service: entry of the service.
    :returns: the limits; None where it has none.
    """
    if 'scaling' not in service:
        return None
    tree = service['scaling']
    try:
        most = _check_range(tree['max'], 1, _MAX_WORKERS)
        return schema.serving.ScalingLimits(
            least=_check_range(tree['min'], 0, most),
            most=most,
            boot_s=float(_check_number(tree['bootTimeoutS'], float, int)),
            spot_price=float(_check_number(tree['spotPrice'], float, int)),
            prices=_decode_prices(tree['zonePrices']),
        )
    except _SHAPE_ERRORS as error:
        return Malformed(f'{type(error).__name__}: {error}')


def _decode_prices(
    tree: dict[str, typing.Any],
) -> tuple[schema.serving.DomainPrice, ...]:
    return tuple(
        schema.serving.DomainPrice(
            domain=_check_text(domain),
            price=float(_check_number(price, float, int)),
        )
        for domain, price in tree.items()
    )


def _decode_leaves_s(tree: dict[str, typing.Any]) -> float:
    """Returns the time until a leaving worker ends; 0 where none can be read.

    A worker must not be lost from the list for this field.
    """
    try:
        leaves_ms = _check_number(tree.get('leaves_ms', 0), float, int)
    except _SHAPE_ERRORS:
        return 0
    return leaves_ms / _MS_PER_S if _STATES[tree['state']] else 0


def _decode_engine(tree: dict[str, typing.Any]) -> schema.serving.EngineLimits:
    return schema.serving.EngineLimits(
        slots=tree.get('slots', 0),
        kv_tokens=tree.get('kvTokens', 0),
        kv_token_bytes=tree.get('kvBytes', 0),
        link_bits_per_s=tree.get('linkMbps', 0) * _BITS_PER_MBIT,
        handle_ttl_s=float(tree.get('handleTtlS', 0)),
        switch_s=float(tree.get('switchS', 0)),
    )


def _decode_limits(tree: dict[str, typing.Any]) -> schema.serving.ClientLimits:
    return schema.serving.ClientLimits(
        header_bytes=tree['maxHeaderBytes'],
        body_bytes=tree['maxBodyBytes'],
        header_timeout_s=tree['headerTimeoutMs'] / _MS_PER_S,
        idle_timeout_s=tree['idleTimeoutMs'] / _MS_PER_S,
    )


def _check_text(value: typing.Any) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= _MAX_TEXT:
        raise TypeError(f'expected a text, found {value!r:.{_MAX_TEXT}}')
    return value


def _check_range(value: typing.Any, least: int, most: int) -> int:
    number = _check_number(value, int)
    if not least <= number <= most:
        raise ValueError(f'{number} is not from {least} to {most}')
    return number


def _check_number(value: typing.Any, *kinds: type) -> typing.Any:
    if isinstance(value, bool) or not isinstance(value, kinds) or value < 0:
        raise TypeError(f'expected a number, found {value!r}')
    return value


def _check_address(value: typing.Any) -> str:
    host, _, port = _check_text(value).rpartition(':')
    if not port.isascii() or not port.isdigit():
        raise ValueError(f'expected IP:PORT, found {value!r}')
    ipaddress.IPv4Address(host)
    _check_range(int(port), 1, _MAX_PORT)
    return value
