"""Patterns of arrivals that exceed the capacity of engines for some seconds."""

import collections.abc
import random

from briarknot import registry

#: Requests that arrive earlier don't count, as caches fill up first.
WARM_UP_S = 4.0
END_S = 24.0

#: Yields the times of arrival of a pattern, by the usual rate per second.
Arrivals = collections.abc.Callable[
    [float, random.Random], collections.abc.Iterator[float]
]
PATTERNS: registry.Registry[Arrivals] = registry.Registry('pattern')


def _arrive(
    rate: float, source: random.Random, start_s: float, end_s: float
) -> collections.abc.Iterator[float]:
    now = start_s + source.expovariate(rate)
    while now < end_s:
        yield now
        now += source.expovariate(rate)


@PATTERNS.register('burst')
def arrive_in_burst(
    rate: float, source: random.Random
) -> collections.abc.Iterator[float]:
    """Yields 1.7 times the usual demand for 6 s."""
    yield from _arrive(rate, source, 0, END_S)
    yield from _arrive(0.7 * rate, source, 6, 12)


@PATTERNS.register('empty_caches')
def arrive_at_start(
    rate: float, source: random.Random
) -> collections.abc.Iterator[float]:
    """Yields the usual demand, from the start of all engines on."""
    yield from _arrive(rate, source, WARM_UP_S, END_S)


@PATTERNS.register('return')
def return_after_outage(
    rate: float, source: random.Random
) -> collections.abc.Iterator[float]:
    """Yields the demand of 4 s within 1 s after an outage."""
    yield from _arrive(rate, source, 0, 5)
    yield from _arrive(4 * rate, source, 9, 10)
    yield from _arrive(rate, source, 9, END_S)
