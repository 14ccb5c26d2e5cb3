"""Checks of the targets of scenarios."""

import typing

import attrs

from benchmarks import _measures, _scenarios
from briarknot import registry


@attrs.frozen(kw_only=True)
class Verdict:
    """A bound and the measured figure.

    :param scenario: name of the scenario.
    :param seed: seed of the arrivals.
    :param bound: the bound.
    :param measured: figure that the check computed.
    """

    scenario: str
    seed: int
    bound: _scenarios.Bound
    measured: float

    @property
    def is_green(self) -> bool:
        """Whether the target is met."""
        return self.bound.least <= self.measured <= self.bound.most


#: Computes the figure of a bound from the runs on the same arrivals; the first
#: run is the product's.
Check = typing.Callable[[_scenarios.Bound, list[_measures.Figures]], float]

#: Functions that compute the figure of a bound.
CHECKS: registry.Registry[Check] = registry.Registry('check')


def check_bounds(
    scenario: _scenarios.Scenario, runs: list[_measures.Figures]
) -> list[Verdict]:
    """Checks the bounds of a scenario.

    :param scenario: the scenario.
    :param runs: its runs on the same arrivals, the product's first.
    """
    first = runs[0]
    return [
        Verdict(
            scenario=first.scenario,
            seed=first.seed,
            bound=bound,
            measured=CHECKS.get(bound.check)(bound, runs),
        )
        for bound in scenario.bounds
    ]


@CHECKS.register('in_target')
def compute_in_target(
    bound: _scenarios.Bound, runs: list[_measures.Figures]
) -> float:
    """Computes the share of a rank's requests within their targets."""
    return runs[0].get_window(bound.window).get_rank(bound.rank).share


@CHECKS.register('floor')
def compute_floor(
    bound: _scenarios.Bound, runs: list[_measures.Figures]
) -> float:
    """Computes the served work of a rank relative to its floor."""
    return runs[0].get_window(bound.window).get_rank(bound.rank).floor


@CHECKS.register('failed')
def compute_failed(
    bound: _scenarios.Bound, runs: list[_measures.Figures]
) -> float:
    """Counts requests that neither completed nor were refused as not run."""
    window = runs[0].get_window(bound.window)
    return sum(rank.failed for rank in window.ranks)


@CHECKS.register('role_changes')
def compute_role_changes(
    _bound: _scenarios.Bound, runs: list[_measures.Figures]
) -> float:
    """Counts role changes."""
    return runs[0].role_changes


@CHECKS.register('static_share')
def compute_static_share(
    _bound: _scenarios.Bound, runs: list[_measures.Figures]
) -> float:
    """Computes goodput relative to the best fixed roles of each phase."""
    product, *statics = runs
    phases = [one.window for one in product.windows if one.window != 'all']
    achieved, best = 0, 0
    for phase in phases:
        length_s = product.get_window(phase).length_s
        achieved += product.get_window(phase).goodput * length_s
        best += length_s * max(run.get_window(phase).goodput for run in statics)
    return achieved / best


@CHECKS.register('overshoot')
def compute_overshoot(
    bound: _scenarios.Bound, runs: list[_measures.Figures]
) -> float:
    """Computes the share by which admitted work exceeds the limit."""
    return runs[0].get_window(bound.window).limit_use - 1


@CHECKS.register('limit_use')
def compute_limit_use(
    bound: _scenarios.Bound, runs: list[_measures.Figures]
) -> float:
    """Computes admitted work relative to the limit."""
    return runs[0].get_window(bound.window).limit_use
