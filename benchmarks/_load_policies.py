"""Candidates for the choice among equal workers on stale information."""

import collections.abc
import math
import random
import typing

import attrs

from briarknot import registry
from briarknot.serving import _chance, _send_rates, _water_filling

_SUBSET = 3
_DOMAINS = 6


@attrs.frozen(kw_only=True)
class View:
    """What a chooser knows of equal workers.

    Load is in seconds of work, or in requests relative to a worker's slots.

    :param chooser: number of the chooser.
    :param choosers: number of choosers.
    :param loads: load of each worker in the snapshot that all choosers share.
    :param changes: change of the chooser's own load since the snapshot.
    :param true_loads: present load.
    :param reports: load that a worker reported with the chooser's latest answer.
    :param age_s: age of the snapshot.
    :param tick_s: time between snapshots.
    :param tick: number of the newest snapshot, which nobody knows yet.
    :param arriving: load that all choosers send per second.
    :param request: mean load of a request.
    :param drain_s: mean time of a request; None if workers do one second of work
        per second.
    :param tolerance: difference in load between workers that are nearly equal; 0
        where the present policy uses only the reports.
    :param now: virtual time.
    :param source: source of randomness.
    :param memory: what the choosers remember of earlier snapshots.
    :param snapshots: all snapshots.
    """

    chooser: int
    choosers: int
    loads: list[float]
    changes: list[float]
    true_loads: list[float]
    reports: list[float]
    age_s: float
    tick_s: float
    tick: int
    arriving: float
    request: float
    drain_s: float | None
    tolerance: float
    now: float
    source: random.Random
    memory: dict[str, typing.Any]
    snapshots: list[list[float]]

    @property
    def own(self) -> list[float]:
        """Loads with the chooser's present requests."""
        return [
            max(0, load + change)
            for load, change in zip(self.loads, self.changes, strict=True)
        ]

    def drain(self, load: float, seconds: float) -> float:
        """Returns what is left of a load after a time."""
        if self.drain_s is None:
            return max(0, load - seconds)
        return load * math.exp(-seconds / self.drain_s)


Policy = collections.abc.Callable[[View], int]
POLICIES: registry.Registry[Policy] = registry.Registry('load_policy')


def _choose_least(view: View, loads: list[float]) -> int:
    ranked = [(load, view.source.random()) for load in loads]
    return ranked.index(min(ranked))


def _choose_weighted(view: View, weights: list[float]) -> int:
    if not any(weights):
        weights = [1 for _ in weights]
    return view.source.choices(range(len(weights)), weights)[0]


def _fill(loads: list[float], amount: float) -> list[float]:
    """Distributes an amount so that the lowest loads become equal."""
    level = _water_filling.compute_level(loads, amount)
    return [max(0, level - load) for load in loads]


@POLICIES.register('perfect')
def choose_perfect(view: View) -> int:
    """Least present load: the bound without stale information."""
    return _choose_least(view, view.true_loads)


@POLICIES.register('random')
def choose_random(view: View) -> int:
    """No information at all."""
    return view.source.randrange(len(view.loads))


@POLICIES.register('near_cheapest')
def choose_near_cheapest(view: View) -> int:
    """The present policies."""
    if view.tolerance:
        spread = view.tolerance * _chance.compute_share(view.choosers)
        return _chance.choose_near_cheapest(
            range(len(view.loads)), view.own, spread, view.source
        )
    own = [max(0, change) for change in view.changes]
    return _choose_least(view, list(map(max, own, view.reports)))


@POLICIES.register('own_sends')
def choose_by_own_sends(view: View) -> int:
    """Least load in the snapshot with the chooser's own requests."""
    return _choose_least(view, view.own)


@POLICIES.register('quota')
def choose_by_quota(view: View) -> int:
    """Each request of a chooser uses as much of its share of free capacity."""
    limit = max(view.loads) + view.request
    return _choose_weighted(
        view,
        [
            max(0, (limit - load) / view.choosers - max(0, change))
            for load, change in zip(view.loads, view.changes, strict=True)
        ],
    )


@POLICIES.register('free_capacity')
def choose_by_free_capacity(view: View) -> int:
    """Random, weighted by free capacity; a queue may be as long as the longest."""
    own = view.own
    limit = max(own) + view.request
    if view.drain_s is not None:
        limit = max(1, *own)
    return _choose_weighted(view, [limit - load for load in own])


@POLICIES.register('two_choices')
def choose_of_two(view: View) -> int:
    """The better of two random workers."""
    own = view.own
    pair = view.source.sample(range(len(own)), 2)
    return min(pair, key=own.__getitem__)


@POLICIES.register('subset')
def choose_in_subset(view: View) -> int:
    """Least load in a fixed subset that depends on the chooser."""
    subset = random.Random(view.chooser).sample(
        range(len(view.loads)), min(_SUBSET, len(view.loads))
    )
    own = view.own
    return min(subset, key=own.__getitem__)


@POLICIES.register('allocation')
def allocate(view: View) -> int:
    """One process of a domain assigns the domain's requests.

    It knows them at once and nothing of other domains' requests since the
    snapshot; the delay of assignments within the domain is left out.
    """
    domain = view.chooser % _DOMAINS
    sent = [
        (sent_s, worker)
        for sent_s, worker in view.memory.get(domain, ())
        if view.now - sent_s < view.age_s
    ]
    loads = list(view.loads)
    for _, worker in sent:
        loads[worker] += view.request
    chosen = _choose_least(view, loads)
    view.memory[domain] = [*sent, (view.now, chosen)]
    return chosen


@POLICIES.register('water_filling')
def choose_by_filling(view: View) -> int:
    """Others have filled the lowest loads since the snapshot.

    The rate of their sends is estimated from that of the chooser, and the age of
    the snapshot from the number of choosers.
    """
    rates = view.memory.setdefault(view.chooser, _send_rates.SendRates())
    own_per_s = rates.get_per_s('s', '', view.now, view.request)
    rates.record('s', '', view.request, view.now)
    others = _water_filling.estimate_others_load(own_per_s, view.choosers)
    workers = len(view.loads)
    return _water_filling.choose(
        range(workers),
        view.own,
        [0 for _ in view.loads],
        _water_filling.Arrivals(others / workers, view.request),
        view.tolerance or view.request,
        view.source,
    )


@POLICIES.register('forecast')
def choose_by_forecast(view: View) -> int:
    """Others have sent as the policy would have at each earlier snapshot."""
    shares = view.memory.setdefault('shares', {})
    start = len(shares)
    for tick in range(start, view.tick + 1):
        shares[tick] = _forecast(view, shares, tick)
    loads = _estimate(view, shares, view.tick, view.age_s)
    loads = [
        max(0, load + change)
        for load, change in zip(loads, view.changes, strict=True)
    ]
    return _choose_weighted(view, _fill(loads, _get_step(view)))


def _get_step(view: View) -> float:
    return max(view.request, view.arriving * view.tick_s)


def _forecast(
    view: View, shares: dict[int, list[float]], tick: int
) -> list[float]:
    loads = _estimate(view, shares, tick, view.age_s)
    amounts = _fill(loads, _get_step(view))
    total = sum(amounts)
    return [amount / total for amount in amounts]


def _estimate(
    view: View, shares: dict[int, list[float]], tick: int, age_s: float
) -> list[float]:
    """Estimates loads at a snapshot from one that is older and sends since."""
    ticks = round(age_s / view.tick_s)
    first = max(0, tick - ticks)
    loads = list(view.snapshots[first])
    sent = view.arriving * view.tick_s
    for one in range(first, tick):
        loads = [
            view.drain(load + sent * share, view.tick_s)
            for load, share in zip(loads, shares[one], strict=True)
        ]
    return loads
