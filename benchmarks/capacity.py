"""Measures the slopes of docs/CAPACITY.md: ``python -m benchmarks.capacity``.

Each slope is measured at three or more sizes and fitted by least squares, so
that the page can derive the figures at the design size. Processes are measured
while they are otherwise idle.
"""

import pathlib
import typing

import attrs
import cappa
import orjson
import rich.console
import rich.table

from benchmarks import (  # noqa: F401 - fill MEASUREMENTS
    _capacity_decisions,
    _capacity_processes,
    _gateway_choices,
    _gateway_exchange,
    _gateway_requests,
    _slopes,
)


@cappa.command(name='benchmarks.capacity')
@attrs.frozen(kw_only=True)
class Arguments:
    """Arguments of the measurement.

    :param output: path of a JSON file for the slopes.
    :param only: names of measurements with commas between them.
    """

    output: typing.Annotated[pathlib.Path | None, cappa.Arg(long=True)] = None
    only: typing.Annotated[str, cappa.Arg(default='all')] = 'all'


def _print_table(slopes: list[_slopes.Slope]) -> None:
    table = rich.table.Table(title='Slopes')
    for heading in ('figure', 'unit', 'at 0', 'per', 'rise', 'points'):
        table.add_column(heading)
    for slope in slopes:
        points = ', '.join(
            f'{point.size:g}: {point.measured:.4g}' for point in slope.points
        )
        table.add_row(
            slope.name,
            slope.unit,
            f'{slope.base:.4g}',
            slope.per,
            f'{slope.rise:.4g}',
            points,
        )
    rich.console.Console(width=140).print(table)


def main() -> None:
    """Runs the measurements and prints their slopes."""
    arguments = cappa.parse(Arguments)
    names = _slopes.MEASUREMENTS.names
    if arguments.only != 'all':
        names = tuple(arguments.only.split(','))
    slopes: list[_slopes.Slope] = []
    for name in names:
        slopes.extend(_slopes.MEASUREMENTS.get(name)())
    _print_table(slopes)
    if arguments.output:
        arguments.output.write_bytes(
            orjson.dumps(
                [attrs.asdict(slope) for slope in slopes],
                option=orjson.OPT_INDENT_2,
            )
        )


if __name__ == '__main__':
    main()
