"""Tests the decoding of scaling limits and spot workers."""

import pytest

from briarknot import platform

_LIMITS = {
    'min': 1,
    'max': 10,
    'bootTimeoutS': 4.0,
    'spotPrice': 0.22,
    'zonePrices': {'a': 1.0, 'b': 0.8},
}
_ENTRY = {
    'service': 's',
    'address': '127.0.0.1:1',
    'zone': 'a',
    'slots': 4,
    'state': 'draining',
    'coldRemainingMs': 0,
}


def decode(*services):
    """Decodes a manifest."""
    return platform.decode_manifest(
        {
            'version': 1,
            'routes': [],
            'services': list(services),
            'limits': {
                'maxHeaderBytes': 1,
                'maxBodyBytes': 1,
                'headerTimeoutMs': 1,
                'idleTimeoutMs': 1,
            },
        }
    )


def test_limits_are_decoded():
    """Workers were not ordered, or at the price of another failure domain."""
    manifest = decode({'name': 's', 'scaling': _LIMITS}, {'name': 't'})
    scaled, other = manifest.services
    assert scaled.has_scaling
    assert not other.has_scaling
    assert (scaled.scaling.least, scaled.scaling.most) == (1, 10)
    assert scaled.scaling.spot_price == pytest.approx(0.22)
    prices = {one.domain: one.price for one in scaled.scaling.prices}
    assert prices == {'a': 1.0, 'b': 0.8}
    assert not manifest.invalid_scaling


@pytest.mark.parametrize(
    'scaling',
    (
        None,
        [],
        'x',
        {},
        {**_LIMITS, 'min': 11},
        {**_LIMITS, 'max': True},
        {**_LIMITS, 'spotPrice': '0.2'},
        {**_LIMITS, 'bootTimeoutS': -1},
        {**_LIMITS, 'zonePrices': ['a']},
        {**_LIMITS, 'zonePrices': {'a': None}},
    ),
)
def test_malformed_limits_leave_the_manifest_usable(scaling):
    """A mistake in the limits kept a whole manifest from coming into force."""
    manifest = decode({'name': 's', 'scaling': scaling}, {'name': 't'})
    assert manifest
    assert [one.name for one in manifest.services] == ['s', 't']
    assert not manifest.services[0].has_scaling
    assert len(manifest.invalid_scaling) == 1
    assert manifest.invalid_scaling[0].startswith('service s: ')


@pytest.mark.parametrize(
    ('fields', 'expected'),
    (
        ({'spot': True, 'leaves_ms': 2400}, (True, 2.4)),
        ({'spot': True, 'leaves_ms': 2400, 'state': 'ready'}, (True, 0)),
        ({'spot': 'yes', 'leaves_ms': 'soon'}, (False, 0)),
        ({'leaves_ms': None}, (False, 0)),
        ({}, (False, 0)),
    ),
)
def test_spot_worker_is_decoded(fields, expected):
    """An entry with a mistake in these fields removed its worker from the list."""
    worker = platform.decode_worker('w', {**_ENTRY, **fields})
    assert (worker.is_spot, worker.leaves_s) == expected
