"""Choice by chance among options of nearly the same cost.

Many processes choose on the same stale snapshot of the engines. If each took the
cheapest option, all would send their requests to the same one.
"""

import math
import random
import typing

Option = typing.TypeVar('Option')
#: Options that cost this much more, relative to the spread, are never chosen.
_MAX_DISTANCE = 8.0
#: Processes from which choices differ by the whole spread. Fewer ones send less
#: in the time between two messages, and know each other's work.
_MANY_PROCESSES = 100


def compute_share(processes: int) -> float:
    """Returns the share of a spread by which the choices of a fleet differ.

    :param processes: processes that choose on the same stale snapshot.

    >>> compute_share(25), compute_share(300)
    (0.25, 1)
    """
    return min(1, processes / _MANY_PROCESSES)


def choose_near_cheapest(
    options: typing.Sequence[Option],
    costs: typing.Sequence[float],
    spread: float,
    random_source: random.Random,
) -> Option:
    """Chooses an option with a probability that falls with its cost.

    :param options: at least one option.
    :param costs: cost of each option.
    :param spread: difference in cost that divides the probability by e.
    :param random_source: source of randomness.

    >>> costs = [1.0, 1.0, 2.0]
    >>> source = random.Random(1)
    >>> chosen = [
    ...     choose_near_cheapest('abc', costs, 0.01, source) for _ in range(50)
    ... ]
    >>> sorted(set(chosen))
    ['a', 'b']
    """
    least = min(costs)
    weights = [
        math.exp(-(cost - least) / spread)
        if cost - least < _MAX_DISTANCE * spread
        else 0
        for cost in costs
    ]
    return random_source.choices(options, weights)[0]
