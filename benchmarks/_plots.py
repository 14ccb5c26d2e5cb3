"""Plots of the results, as SVG files."""

import pathlib

import matplotlib as mpl
from matplotlib import figure

from benchmarks import _measures, _report

FOLDER = pathlib.Path(__file__).resolve().parent.parent / 'docs' / 'img'
_BAR_WIDTH = 0.25
_SIZE_INCHES = (9, 4)


def write_plots(results: _report.Results) -> None:
    """Writes the plots of all results.

    :param results: results of all scenarios.
    """
    FOLDER.mkdir(parents=True, exist_ok=True)
    # A fixed salt makes the files of equal results equal.
    with mpl.rc_context({'svg.hashsalt': 'briarknot'}):
        _write_goodput(results.runs)
        _write_ranks([run for run in results.runs if run.variant == 'product'])


def _write_goodput(runs: list[_measures.Figures]) -> None:
    """Draws the share of offered worth within targets of all runs."""
    plot = figure.Figure(figsize=_SIZE_INCHES, layout='constrained')
    axes = plot.subplots()
    names = [f'{run.scenario} {run.variant}' for run in runs]
    totals = [run.get_window('all') for run in runs]
    axes.bar(names, [one.goodput / one.offered for one in totals])
    axes.set_ylabel('goodput / offered worth')
    axes.set_ylim(0, 1)
    axes.tick_params('x', rotation=90)
    _save(plot, 'goodput')


def _write_ranks(runs: list[_measures.Figures]) -> None:
    """Draws the share within target by rank in each scenario's last window."""
    plot = figure.Figure(figsize=_SIZE_INCHES, layout='constrained')
    axes = plot.subplots()
    for number, rank in enumerate(('urgent', 'ordinary', 'waiting')):
        service = [run.windows[-1].get_rank(rank) for run in runs]
        axes.bar(
            [position + number * _BAR_WIDTH for position in range(len(runs))],
            [one.share for one in service],
            width=_BAR_WIDTH,
            label=rank,
        )
    axes.set_xticks(
        [position + _BAR_WIDTH for position in range(len(runs))],
        [f'{run.scenario}\n{run.windows[-1].window}' for run in runs],
        rotation=90,
    )
    axes.set_ylabel('share of offered requests within target')
    axes.set_ylim(0, 1)
    axes.legend()
    _save(plot, 'ranks')


def _save(plot: figure.Figure, name: str) -> None:
    plot.savefig(FOLDER / f'{name}.svg', metadata={'Date': None})
