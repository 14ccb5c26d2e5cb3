"""Program ``python -m benchmarks``."""

import asyncio
import sys
import typing

import attrs
import cappa

from benchmarks import (
    _bounds,
    _measures,
    _plots,
    _report,
    _run,
    _scenarios,
    _variants,
)

_MAX_ATTEMPTS = 2
_Names = typing.Annotated[list[str], cappa.Arg(long=True, default=[])]


@cappa.command(name='python -m benchmarks')
@attrs.frozen(kw_only=True)
class Arguments:
    """Runs load scenarios and checks them against their targets.

    Without options all scenarios run and the results are written; with
    options they are only printed.

    :param scenario: scenarios to run.
    :param policy: variants to run instead of those of the scenario.
    :param seed: seed of the arrivals.
    """

    scenario: _Names
    policy: _Names
    seed: typing.Annotated[int, cappa.Arg(long=True)] = 1

    @property
    def is_partial(self) -> bool:
        """Whether only some scenarios or variants run."""
        return bool(self.scenario or self.policy)


async def run_all(arguments: Arguments) -> _report.Results:
    """Runs scenarios one after the other.

    :param arguments: what to run.
    """
    results = _report.Results()
    for name in arguments.scenario or _scenarios.SCENARIOS.names:
        scenario = _scenarios.SCENARIOS.get(name)()
        if scenario.is_extra and not arguments.scenario:
            continue
        runs = []
        for variant in arguments.policy or scenario.variants:
            runs.append(await _measure(name, variant, arguments.seed))
        results.runs.extend(runs)
        if not arguments.policy:
            verdicts = _bounds.check_bounds(scenario, runs)
            results.verdicts.extend(verdicts)
            for verdict in verdicts:
                sys.stdout.write(f'{_report.format_verdict(verdict)}\n')
    return results


async def _measure(name: str, variant: str, seed: int) -> _measures.Figures:
    """Runs a scenario; repeats it once if the machine was too busy."""
    for _ in range(_MAX_ATTEMPTS):
        run = await _run.run_scenario(name, variant, seed)
        figures = _measures.measure_run(run)
        sys.stdout.write(f'{_report.format_run(figures)}\n')
        sys.stdout.flush()
        if not run.is_disturbed:
            break
    return figures


def check_names(arguments: Arguments) -> list[str]:
    """Returns the names that are not registered."""
    return [
        name
        for name, known in (
            *((name, _scenarios.SCENARIOS) for name in arguments.scenario),
            *((name, _variants.VARIANTS) for name in arguments.policy),
        )
        if name not in known.names
    ]


def main() -> None:
    """Runs the benchmarks; exit code 1 where a target is missed."""
    arguments = cappa.parse(Arguments)
    unknown = check_names(arguments)
    if unknown:
        sys.exit(
            f'unknown names: {", ".join(unknown)}; scenarios '
            f'{_scenarios.SCENARIOS.names}; variants '
            f'{_variants.VARIANTS.names}'
        )
    results = asyncio.run(run_all(arguments))
    if not arguments.is_partial:
        _report.write_results(results)
        _plots.write_plots(results)
    sys.exit(0 if results.is_green else 1)


if __name__ == '__main__':
    main()
