"""Guards the figures and verdicts of the load scenarios."""

import pytest

from benchmarks import _bounds, _events, _scenarios, _variants, _work


@pytest.mark.parametrize('name', _scenarios.SCENARIOS.names)
def test_scenario_uses_registered_names(name):
    """A misspelt name would abort a benchmark run of many minutes."""
    scenario = _scenarios.SCENARIOS.get(name)()
    assert {one.check for one in scenario.bounds} <= set(_bounds.CHECKS.names)
    assert {one.kind for one in scenario.events} <= set(_events.EVENTS.names)
    assert set(scenario.variants) <= set(_variants.VARIANTS.names)
    windows = {window.name for window in scenario.all_windows}
    assert {bound.window for bound in scenario.bounds} <= windows


def test_variants_get_the_same_arrivals():
    """Policies can be compared only on the same arrivals."""
    flows = _scenarios.SCENARIOS.get('shift')().flows
    first = _work.make_arrivals(flows, 1)
    assert first == _work.make_arrivals(flows, 1)
    assert first != _work.make_arrivals(flows, 2)


@pytest.mark.parametrize(
    ('bound', 'is_green'),
    [
        (_scenarios.Bound(check='floor', least=0.9), False),
        (_scenarios.Bound(check='floor', least=0.8), True),
        (_scenarios.Bound(check='failed', most=0), False),
    ],
)
def test_bound_that_is_missed_is_red(bound, is_green):
    """A missed target shown as green would hide a regression."""
    verdict = _bounds.Verdict(scenario='s', seed=1, bound=bound, measured=0.85)
    assert verdict.is_green is is_green
