"""Choice by chance that expects others to have sent to the least loaded workers.

Pattern: many processes choose on the same load, which is up to a second old. Each
sends to the workers that had the least load then, so that these have long queues
while others are idle. Here a process assumes that the requests which others have
sent since have made the lowest loads equal, as water fills a vessel, and chooses a
worker with the probability of getting one of these requests.
"""

import collections
import collections.abc
import math
import random
import typing

import attrs

_Option = typing.TypeVar('_Option')
#: Differences in cost are ignored beyond this many times the tolerance.
_MAX_DISTANCE = 8.0
#: Limit that keeps the time linear in the number of workers. A level that is not
#: exact yet is too high by less than the last step.
_MAX_PASSES = 8
#: Time of sends that the load may lack, by how processes exchange their work:
#: directly every 0.15 s, or through relays, whose sums are 0.2 to 1.3 s old. Both
#: are about twice the usual age, as too low an estimate makes the load less even
#: than too high a one (docs/design/even-load.md).
_DIRECT_S = 0.3
_RELAYED_S = 1.0
#: Largest number of processes that exchange their work directly.
_MAX_DIRECT_PROCESSES = 23


@attrs.frozen
class Arrivals:
    """Load that other processes have sent since the known load was current.

    :param per_worker: mean load for each worker.
    :param least: load of a usual request, which is the least that is assumed.
    """

    per_worker: float
    least: float


def estimate_others_load(own_per_s: float, processes: int) -> float:
    """Estimates what other processes have sent since the load was current.

    :param own_per_s: load that this process sends per second. Clients spread
        their requests over the processes, so that others send as much.
    :param processes: processes of the fleet, with this one.

    >>> round(estimate_others_load(2, 11), 3), estimate_others_load(2, 91)
    (6.0, 180.0)
    """
    is_direct = processes <= _MAX_DIRECT_PROCESSES
    age_s = _DIRECT_S if is_direct else _RELAYED_S
    return own_per_s * (processes - 1) * age_s


def compute_level(loads: typing.Sequence[float], amount: float) -> float:
    """Returns the load of the least loaded workers once they share an amount.

    :param loads: load of each worker.
    :param amount: load that is distributed; above 0.

    >>> compute_level([0.0, 1.0, 9.0], 3)
    2.0
    """
    below = loads
    count = 0
    level = min(loads) + amount
    for _ in range(_MAX_PASSES):
        below = [load for load in below if load < level]
        if len(below) == count:
            break
        count = len(below)
        level = (sum(below) + amount) / count
    return level


def choose(
    options: typing.Sequence[_Option],
    costs: typing.Sequence[float],
    bases: typing.Sequence[float],
    arrivals: Arrivals,
    tolerance: float,
    random_source: random.Random,
) -> _Option:
    """Chooses an option whose cost is expected to be among the lowest.

    Only workers that cost nearly the same without their load share the requests
    of others: those in another region don't get more of them because the near
    ones fill up.

    :param options: at least one worker.
    :param costs: cost of each worker; load counts as it is known.
    :param bases: the part of these costs that does not depend on the load.
    :param arrivals: load that others have sent since.
    :param tolerance: difference in cost between workers that are nearly equal.
    :param random_source: source of randomness.
    """
    levels = _compute_levels(costs, bases, arrivals, tolerance)
    expected = list(map(max, costs, levels))
    least = min(expected)
    weights = [
        (level - cost) * math.exp((least - level) / tolerance)
        if cost < level < least + _MAX_DISTANCE * tolerance
        else 0
        for cost, level in zip(costs, levels, strict=True)
    ]
    if not any(weights):
        return options[costs.index(min(costs))]
    return random_source.choices(options, weights)[0]


def _compute_levels(
    costs: typing.Sequence[float],
    bases: typing.Sequence[float],
    arrivals: Arrivals,
    tolerance: float,
) -> list[float]:
    """Returns the level of each worker's group of nearly equal workers."""
    keys = [round(base / tolerance) for base in bases]
    groups: dict[int, list[float]] = collections.defaultdict(list)
    for key, cost in zip(keys, costs, strict=True):
        groups[key].append(cost)
    levels = {
        group_key: compute_level(
            group, max(arrivals.per_worker * len(group), arrivals.least)
        )
        for group_key, group in groups.items()
    }
    return list(map(levels.__getitem__, keys))
