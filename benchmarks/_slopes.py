"""Slopes fitted to measured points."""

import collections.abc
import statistics
import typing

import attrs

from briarknot import registry


@attrs.frozen
class Point:
    """One measured point.

    :param size: size at which it was measured.
    :param measured: the figure.
    """

    size: float
    measured: float


@attrs.frozen(kw_only=True)
class Slope:
    """A line through measured points.

    :param name: name of the figure.
    :param per: what the size counts.
    :param unit: unit of the figure.
    :param base: figure at size 0.
    :param rise: increase of the figure for each unit of the size.
    :param points: the measured points.
    """

    name: str
    per: str
    unit: str
    base: float
    rise: float
    points: tuple[Point, ...]

    def predict(self, size: float) -> float:
        """Returns the fitted figure at a size."""
        return self.base + self.rise * size


def fit_slope(
    name: str,
    per: str,
    unit: str,
    points: collections.abc.Iterable[Point],
) -> Slope:
    """Fits a line by least squares.

    :param name: name of the figure.
    :param per: what the size counts.
    :param unit: unit of the figure.
    :param points: two points or more.

    >>> line = fit_slope('a', 'b', 's', [Point(1, 3), Point(2, 5)])
    >>> line.base, line.rise
    (1.0, 2.0)
    """
    points = tuple(points)
    rise, base = statistics.linear_regression(
        [point.size for point in points], [point.measured for point in points]
    )
    return Slope(
        name=name, per=per, unit=unit, base=base, rise=rise, points=points
    )


Measurement = typing.Callable[[], collections.abc.Iterable[Slope]]

#: Measurements by name; each returns at least one slope.
MEASUREMENTS: registry.Registry[Measurement] = registry.Registry('measurement')
