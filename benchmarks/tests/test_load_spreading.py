"""Pattern: many processes choose engines on load that is up to a second old."""

import pytest

from benchmarks import _load_spreading

_SECONDS = 25


def compare(name, choosers, age_s):
    """Runs the new policy and the present one on the same arrivals."""
    return [
        _load_spreading.average(
            _load_spreading.simulate(
                _load_spreading.KINDS[name],
                policy,
                choosers,
                age_s,
                seed,
                _SECONDS,
            )
            for seed in (1, 2)
        )
        for policy in ('water_filling', 'near_cheapest')
    ]


@pytest.mark.parametrize('name', ['prefill', 'decode'])
@pytest.mark.parametrize(('choosers', 'age_s'), [(30, 0.5), (90, 0.5)])
def test_load_is_more_even_on_stale_information(name, choosers, age_s):
    """The engines with the least known load got all requests of half a second."""
    filling, present = compare(name, choosers, age_s)
    assert filling.deviation < 0.9 * present.deviation
    assert filling.wait_s < 0.9 * present.wait_s


def test_load_of_a_small_fleet_is_as_even():
    """Few processes know nearly all work, and must still use what they know."""
    filling, present = compare('decode', 8, 0.1)
    assert filling.deviation < 1.2 * present.deviation
