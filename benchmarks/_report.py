"""Results as JSON, and as tables in ``docs/measurements.md``."""

import math
import pathlib

import attrs
import orjson

from benchmarks import _bounds, _fleets, _measures, _scenarios
from briarknot import schema

_ROOT = pathlib.Path(__file__).resolve().parent.parent
RESULTS_PATH = _ROOT / 'benchmarks' / 'results.json'
PAGE_PATH = _ROOT / 'docs' / 'measurements.md'
_START = '<!-- benchmarks: start -->'
_END = '<!-- benchmarks: end -->'


@attrs.define
class Results:
    """Results of several scenarios.

    :param runs: figures of each run.
    :param verdicts: verdicts on the bounds.
    """

    runs: list[_measures.Figures] = attrs.field(factory=list)
    verdicts: list[_bounds.Verdict] = attrs.field(factory=list)

    @property
    def is_green(self) -> bool:
        """Whether all targets are met."""
        return all(verdict.is_green for verdict in self.verdicts)


def format_run(run: _measures.Figures) -> str:
    """Formats a run as lines of text."""
    lines = [
        f'{run.scenario} {run.variant} seed {run.seed}: {run.role_changes} '
        f'role changes, {run.retries} retries, {run.causes}, client '
        f'{run.client_cpu:.0%} of a core, late {run.late_send_s * 1000:.0f} '
        f'ms, {run.wall_s:.1f} s{" DISTURBED" if run.is_disturbed else ""}'
    ]
    for window in run.windows:
        lines.append(
            f'  {window.window}: goodput {window.goodput:.1f} of '
            f'{window.offered:.1f} worth/s'
        )
        lines.extend(
            f'    {rank.rank}: {rank.offered} offered, {rank.whole} complete, '
            f'{rank.share:.1%} in target, {rank.refused} refused, '
            f'{rank.failed} failed, first token {rank.first_token_s:.3f} s, '
            f'interval {rank.interval_s * 1000:.0f} ms, floor {rank.floor:.2f}'
            for rank in window.ranks
        )
    return '\n'.join(lines)


def format_verdict(verdict: _bounds.Verdict) -> str:
    """Formats a verdict as a line of text."""
    bound = verdict.bound
    colour = 'green' if verdict.is_green else 'RED'
    return (
        f'{colour}: {verdict.scenario} {bound.check} {bound.rank} '
        f'{bound.window}: {verdict.measured:.3f}, bound {_format_bound(bound)}'
    )


def _format_bound(bound: _scenarios.Bound) -> str:
    if math.isfinite(bound.least):
        return f'at least {bound.least:g}'
    return f'at most {bound.most:g}'


def write_results(results: Results) -> None:
    """Writes ``benchmarks/results.json`` and the tables of the page.

    :param results: results of all scenarios.
    """
    tree = {
        'compression': _fleets.COMPRESSION,
        'tokens_per_unit': _fleets.TOKENS_PER_UNIT,
        'runs': schema.to_plain(results.runs),
        'verdicts': [
            schema.to_plain(verdict) | {'is_green': verdict.is_green}
            for verdict in results.verdicts
        ],
    }
    RESULTS_PATH.write_bytes(
        orjson.dumps(tree, option=orjson.OPT_INDENT_2) + b'\n'
    )
    page = PAGE_PATH.read_text()
    head, _, rest = page.partition(_START)
    tail = rest.partition(_END)[2]
    tables = f'{_make_bounds_table(results)}\n\n{_make_runs_table(results)}'
    PAGE_PATH.write_text(f'{head}{_START}\n\n{tables}\n\n{_END}{tail}')


def _make_bounds_table(results: Results) -> str:
    rows = [
        '| scenario | target | rank | window | measured | bound | |',
        '| --- | --- | --- | --- | --- | --- | --- |',
    ]
    for verdict in results.verdicts:
        bound = verdict.bound
        rows.append(
            f'| {verdict.scenario} | {bound.check} | {bound.rank or "all"} | '
            f'{bound.window} | {verdict.measured:.3f} | {_format_bound(bound)} | '
            f'{"green" if verdict.is_green else "red"} |'
        )
    return '\n'.join(rows)


def _make_runs_table(results: Results) -> str:
    rows = [
        '| scenario | variant | window | goodput / offered | in target by rank '
        '| floor by rank | roles changed | retries | refused or failed |',
        '| --- | --- | --- | --- | --- | --- | --- | --- | --- |',
    ]
    for run in results.runs:
        causes = ', '.join(
            f'{name} {count}' for name, count in run.causes.items()
        )
        rows.extend(
            f'| {run.scenario} | {_name_variant(run)} | {window.window} | '
            f'{window.goodput:.0f} / {window.offered:.0f} | '
            f'{_join(f"{rank.share:.1%}" for rank in window.ranks)} | '
            f'{_join(f"{rank.floor:.2f}" for rank in window.ranks)} | '
            f'{run.role_changes} | {run.retries} | {causes} |'
            for window in run.windows
        )
    return '\n'.join(rows)


def _name_variant(run: _measures.Figures) -> str:
    return f'{run.variant} (disturbed)' if run.is_disturbed else run.variant


def _join(parts) -> str:
    return ' / '.join(parts)
