"""Policies that choose the engine that prefills a prompt."""

import typing

from briarknot import registry
from briarknot.serving import (
    _calls,
    _chance,
    _placement_costs,
    _placement_view,
    _plain_choice,
    _prefill_time,
    _prompt_load,
    _transfers,
    _water_filling,
)

_Placement = _prompt_load.Placement
#: Difference in cost that divides the probability of a choice by e. It is a
#: fraction of the prefill time of a usual prompt, which others may have sent
#: since the last sum of their work.
_COST_SPREAD_S = 0.015
#: Number of preferred workers that are candidates for a prompt besides its
#: cache holders. Each further worker would have to recompute the shared parts.
_PREFERRED_WORKERS = 2

PlacementView = _placement_view.PlacementView
_Engines = _placement_view.Engines
_Choose = typing.Callable[
    [
        PlacementView,
        _placement_costs.PlacementCosts,
        _Engines,
        list[float],
        float,
    ],
    _placement_view.Engine,
]


class PlacementPolicy(typing.Protocol):
    """Chooses the prefill worker of a prompt; None if no worker is usable."""

    def __call__(
        self, view: PlacementView, prompt: _calls.Prompt, now: float
    ) -> _Placement | None: ...


PLACEMENT_POLICIES: registry.Registry[PlacementPolicy] = registry.Registry(
    'placement_policy'
)


@PLACEMENT_POLICIES.register('home')
def place_at_preferred(
    view: PlacementView, prompt: _calls.Prompt, now: float
) -> _Placement | None:
    """Baseline: prefills each prompt at the preferred worker of its part."""
    workers = view.prefills or view.decodes
    if not workers:
        return None
    preferred = _rank(view, prompt, workers)[:1]
    engine = _placement_view.list_engines(view, preferred, prompt, now)[0]
    costs = _placement_costs.PlacementCosts(view, prompt, now, (), ())
    return costs.make_placement(engine, engine.worker.id)


@PLACEMENT_POLICIES.register('predicted')
def place_by_prediction(
    view: PlacementView, prompt: _calls.Prompt, now: float
) -> _Placement | None:
    """Chooses the worker with the lowest expected cost.

    The cost is the expected time to first token plus penalties for failures,
    recomputed shared parts, other regions, interference with decode, the KV
    transfer, and late first tokens.
    """
    return _place(view, prompt, now, _choose_near_cheapest)


@PLACEMENT_POLICIES.register('predicted_filled')
def place_by_filling(
    view: PlacementView, prompt: _calls.Prompt, now: float
) -> _Placement | None:
    """Chooses by the same cost, and expects that others fill short queues."""
    is_alone = view.processes == 1
    choose = _choose_near_cheapest if is_alone else _choose_by_filling
    return _place(view, prompt, now, choose)


def _choose_near_cheapest(
    view: PlacementView,
    costs: _placement_costs.PlacementCosts,
    options: _Engines,
    costs_s: list[float],
    now: float,
) -> _placement_view.Engine:
    return _chance.choose_near_cheapest(
        options,
        costs_s,
        _COST_SPREAD_S * _chance.compute_share(view.processes),
        view.random_source,
    )


def _choose_by_filling(
    view: PlacementView,
    costs: _placement_costs.PlacementCosts,
    options: _Engines,
    costs_s: list[float],
    now: float,
) -> _placement_view.Engine:
    queues_s = [
        one.queued / _prefill_time.get_prefill_speed(one.worker.stage)
        for one in options
    ]
    cheapest = options[costs_s.index(min(costs_s))]
    work = costs.make_placement(cheapest, None).work
    workers = view.prefills or view.decodes
    speed = _prefill_time.get_prefill_speed(workers[0].stage)
    versions = {(one.service, one.version) for one in workers}
    own_per_s = sum(
        view.load.sent_work.get_per_s(
            service, version, now, 0 if index else work
        )
        for index, (service, version) in enumerate(sorted(versions))
    )
    others = _water_filling.estimate_others_load(own_per_s, view.processes)
    arrivals = _water_filling.Arrivals(
        others / speed / len(workers), work / speed
    )
    bases_s = [
        cost_s - queue_s
        for cost_s, queue_s in zip(costs_s, queues_s, strict=True)
    ]
    return _water_filling.choose(
        options, costs_s, bases_s, arrivals, _COST_SPREAD_S, view.random_source
    )


def _place(
    view: PlacementView,
    prompt: _calls.Prompt,
    now: float,
    choose: _Choose,
) -> _Placement | None:
    """Chooses a worker, unless the cheapest computes parts for the first time.

    :param view: input of the policy.
    :param prompt: the prompt.
    :param now: monotonic time in seconds.
    :param choose: chooses among the candidates by their costs.
    """
    prefills, decodes = (
        _placement_view.list_engines(view, workers, prompt, now)
        for workers in (view.prefills, view.decodes)
    )
    shared = sum(part.tokens for part in prompt.parts[:-1])
    cache_holders = {
        one.worker.id for one in (*prefills, *decodes) if one.cached >= shared
    }
    # If no engine holds the shared parts, the preferred worker computes them
    # for the first time, so that they don't count as recomputed there.
    first_workers = (
        (view.prefills or view.decodes) if shared and not cache_holders else ()
    )
    preferred = _rank(view, prompt, first_workers)[:1]
    first_id = preferred[0].id if preferred else None
    model = _placement_costs.PlacementCosts(
        view, prompt, now, prefills, decodes
    )
    options = (
        *_list_candidates(view, prompt, prefills, cache_holders),
        *_list_candidates(view, prompt, decodes, cache_holders),
    )
    if not options:
        return None
    costs = model.compute_costs(options, first_id)
    cheapest = options[costs.index(min(costs))]
    if cheapest.worker.id == first_id:
        # All processes must have a new part computed by the same worker.
        return model.make_placement(cheapest, first_id)
    chosen = choose(view, model, options, costs, now)
    return model.make_placement(chosen, first_id)


def _list_candidates(
    view: PlacementView,
    prompt: _calls.Prompt,
    engines: _Engines,
    cache_holders: set[str],
) -> _Engines:
    """Lists the workers of a stage that are candidates for a prompt.

    These are the preferred workers, the cache holders of its shared parts, and
    the worker with the shortest queue, as recomputing a part is better than
    waiting when all others have long queues. Where the shared parts can be
    fetched from a cache holder, all workers are candidates.
    """
    if not engines or (cache_holders and _transfers.is_known(view.limits)):
        return engines
    by_id = {one.worker.id: one for one in engines}
    ranked = _rank(view, prompt, tuple(one.worker for one in engines))
    chosen = {
        worker.id: by_id[worker.id]
        for rank, worker in enumerate(ranked)
        if rank < _PREFERRED_WORKERS or worker.id in cache_holders
    }
    least = min(one.queued for one in engines)
    distances = view.topology.list_distances(
        view.topology.domain, (one.worker.domain for one in engines)
    )
    least_queued = min(
        (one for one in engines if one.queued == least),
        key=lambda one: distances[one.worker.domain],
    )
    chosen.setdefault(least_queued.worker.id, least_queued)
    return tuple(chosen.values())


def _rank(
    view: PlacementView, prompt: _calls.Prompt, workers: _plain_choice.Workers
) -> _plain_choice.Workers:
    return view.load.ranks.rank(prompt.shared_key, workers)
