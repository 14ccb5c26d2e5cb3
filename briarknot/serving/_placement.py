"""Policies that choose the engine that prefills a prompt."""

import random
import typing

import attrs

from briarknot import registry, schema
from briarknot.serving import (
    _calls,
    _chance,
    _engine_choice,
    _lateness,
    _plain_choice,
    _prefill_time,
    _prompt_load,
    _topology,
    _transfers,
    _worker_records,
)

_Placement = _prompt_load.Placement
#: Time of a KV transfer and of its queueing, without the call to the decode
#: worker.
_KV_TRANSFER_S = 0.04
#: Cost of prefill in another region; traffic between regions is billed by
#: volume.
_OTHER_REGION_COST_S = 0.05
#: Cost of a turn at a worker with a limit of requests, and the work of a prompt in
#: tokens for which it falls by half. Short prompts leave the turns to long ones,
#: which take more work off other workers.
_TURN_COST_S = 0.5
_TURN_TOKENS = 2000
#: Cost in seconds per second of prefill at a decode worker, which pauses the
#: streams of other requests.
_INTERFERENCE_FACTOR = 0.5
#: Cost in seconds per second of prefill that is queued at a decode worker: it
#: slows down the streams for longer, up to their time limits.
_DECODE_QUEUEING_FACTOR = 1.0
#: Cost in seconds per second of prefill that recomputes shared parts: queued
#: prompts wait for it, and the part evicts another one from the KV cache.
_RECOMPUTE_FACTOR = 2.0
#: Relative growth of the recompute cost per second of mean queueing time. When
#: all engines have queues, avoidable work delays more prompts than it helps.
_RECOMPUTE_GROWTH_PER_S = 6.0
#: Cost of a first token that is certainly late. It is high enough that a shared
#: part of usual length is recomputed to be in time.
_LATE_COST_S = 1.0
#: Cost of having to use a decode worker without free slots while others are idle, as
#: only some fit the KV cache.
_CROWDING_COST_S = 0.5
#: Difference in cost that divides the probability of a choice by e. It is a
#: fraction of the prefill time of a usual prompt, which others may have sent
#: since the last sum of their work.
_COST_SPREAD_S = 0.015
#: Number of preferred workers that are candidates for a prompt besides its
#: cache holders. Each further worker would have to recompute the shared parts.
_PREFERRED_WORKERS = 2


@attrs.frozen
class PlacementView:
    """Input of a placement policy.

    :param load: prompts at engines.
    :param worker_records: load and health of workers.
    :param topology: distances between failure domains.
    :param prefills: usable prefill workers.
    :param decodes: usable decode workers.
    :param target_s: remaining time until the first token is late, in seconds.
    :param limits: properties of the engines.
    :param event_gap_s: gap from which an event is late, in seconds; 0 for none.
    :param random_source: source of randomness.
    :param processes: processes that choose on the same late picture.
    :param turn_waits_s: time until another request may be sent to a worker, by
        the ids of the workers that have a limit.
    """

    load: _prompt_load.PromptLoad
    worker_records: _worker_records.WorkerRecords
    topology: _topology.Topology
    prefills: _plain_choice.Workers
    decodes: _plain_choice.Workers
    target_s: float
    limits: schema.serving.EngineLimits = schema.serving.EngineLimits()
    event_gap_s: float = 0
    random_source: random.Random = attrs.field(factory=random.Random)
    processes: int = 1
    turn_waits_s: typing.Mapping[str, float] = attrs.field(factory=dict)


@attrs.frozen
class _Holder:
    """An engine that holds shared parts of a prompt.

    :param worker: the engine.
    :param tokens: estimated tokens of the prompt in its cache.
    """

    worker: schema.serving.Worker
    tokens: int


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
    preferred = _engine_choice.rank_workers(prompt.shared_key, workers)[0]
    return _estimate_placement(view, preferred, prompt, now, is_first=True)


@PLACEMENT_POLICIES.register('predicted')
def place_by_prediction(
    view: PlacementView, prompt: _calls.Prompt, now: float
) -> _Placement | None:
    """Chooses the worker with the lowest expected cost.

    The cost is the expected time to first token plus penalties for failures,
    recomputed shared parts, other regions, interference with decode, the KV
    transfer, and late first tokens.
    """
    holders = _list_holders(view, prompt, now)
    shared = sum(part.tokens for part in prompt.parts[:-1])
    cache_holders = {
        worker.id
        for worker in (*view.prefills, *view.decodes)
        if view.load.caches.count_cached(worker.id, prompt) >= shared
    }
    # If no engine holds the shared parts, the preferred worker computes them
    # for the first time, so that they don't count as recomputed there.
    first_workers = (
        (view.prefills or view.decodes) if shared and not cache_holders else ()
    )
    preferred = {one.id for one in _rank(prompt, first_workers)[:1]}
    candidates = [
        _estimate_placement(
            view,
            worker,
            prompt,
            now,
            holders=holders,
            is_first=worker.id in preferred,
        )
        for workers in (view.prefills, view.decodes)
        for worker in _list_candidates(
            view, prompt, workers, cache_holders, now
        )
    ]
    if not candidates:
        return None
    wait_s = _compute_mean_wait(view, now)
    costs = [_compute_cost(view, one, wait_s, now) for one in candidates]
    cheapest = candidates[costs.index(min(costs))]
    if cheapest.prefill_worker.id in preferred:
        # All processes must have a new part computed by the same worker.
        return cheapest
    return _chance.choose_near_cheapest(
        candidates,
        costs,
        _COST_SPREAD_S * _chance.compute_share(view.processes),
        view.random_source,
    )


def _list_holders(
    view: PlacementView, prompt: _calls.Prompt, now: float
) -> tuple[_Holder, ...]:
    """Lists the engines from which shared parts of a prompt can be fetched."""
    counts = (
        _Holder(worker, view.load.caches.count_cached(worker.id, prompt, now))
        for worker in (*view.prefills, *view.decodes)
    )
    return tuple(one for one in counts if one.tokens)


def _list_candidates(
    view: PlacementView,
    prompt: _calls.Prompt,
    workers: _plain_choice.Workers,
    cache_holders: set[str],
    now: float,
) -> _plain_choice.Workers:
    """Lists the workers of a stage that are candidates for a prompt.

    These are the preferred workers, the cache holders of its shared parts, and
    the worker with the shortest queue, as recomputing a part is better than
    waiting when all others have long queues. Where the shared parts can be
    fetched from a cache holder, all workers are candidates.
    """
    if cache_holders and _transfers.is_known(view.limits):
        return workers
    candidates = [
        worker
        for rank, worker in enumerate(_rank(prompt, workers))
        if rank < _PREFERRED_WORKERS or worker.id in cache_holders
    ]
    least_queued = min(
        workers,
        key=lambda one: (
            view.load.get_queued_work(one, now),
            _get_distance(view, one),
        ),
        default=None,
    )
    if least_queued is not None and least_queued not in candidates:
        candidates.append(least_queued)
    return tuple(candidates)


def _rank(
    prompt: _calls.Prompt, workers: _plain_choice.Workers
) -> _plain_choice.Workers:
    return _engine_choice.rank_workers(prompt.shared_key, workers)


def _estimate_placement(
    view: PlacementView,
    worker: schema.serving.Worker,
    prompt: _calls.Prompt,
    now: float,
    *,
    holders: tuple[_Holder, ...] = (),
    is_first: bool,
) -> _Placement:
    cached = view.load.caches.count_cached(worker.id, prompt)
    speed = _prefill_time.get_prefill_speed(worker.stage)
    source, transfer_s = _choose_source(view, worker, cached, holders)
    fetched = source.tokens - cached if source else 0
    uncached = max(1, prompt.tokens - cached - fetched)
    work = _prefill_time.compute_work(uncached, prompt.tokens)
    waiting = view.load.get_queued_work(worker, now)
    overhead_s = transfer_s + _prefill_time.get_overhead_s(
        _get_distance(view, worker)
    )
    prefill_s = (work + waiting) / speed
    ratio = view.worker_records.get(worker.id).get_work_time_ratio(
        now, prefill_s
    )
    unshared = prompt.parts[-1].tokens if prompt.parts else prompt.tokens
    return _Placement(
        prefill_worker=worker,
        expected_s=overhead_s
        + prefill_s * view.load.get_slowdown(worker) * ratio
        + view.turn_waits_s.get(worker.id, 0),
        uncached=uncached,
        work=work,
        recomputed_tokens=0 if is_first else max(0, uncached - unshared),
        prefill_s=prefill_s,
        overhead_s=overhead_s,
        cache_holder=source.worker if source else None,
        fetched_tokens=fetched,
    )


def _choose_source(
    view: PlacementView,
    worker: schema.serving.Worker,
    cached: int,
    holders: tuple[_Holder, ...],
) -> tuple[_Holder | None, float]:
    """Chooses the engine from which a worker fetches shared parts.

    :param view: input of the policy.
    :param worker: the worker.
    :param cached: tokens of the prompt in its cache.
    :param holders: engines that hold shared parts.
    :returns: the engine and the time of the transfer in seconds; None and 0
        where prefilling the parts is as fast.
    """
    if not _transfers.is_known(view.limits):
        return None, 0
    speed = _prefill_time.get_prefill_speed(worker.stage)
    gains = []
    for index, one in enumerate(holders):
        tokens = one.tokens - cached
        if tokens <= 0 or one.worker.id == worker.id:
            continue
        if one.worker.version != worker.version:
            # Caches of other versions are not known to fit.
            continue
        distance = view.topology.compute_distance(
            one.worker.domain, worker.domain
        )
        transfer_s = _transfers.compute_transfer_s(
            tokens, view.limits, distance
        )
        gains.append((tokens / speed - transfer_s, -index, transfer_s))
    gain_s, negative_index, transfer_s = max(gains, default=(0, 0, 0))
    if gain_s <= 0:
        return None, 0
    return holders[-negative_index], transfer_s


def _compute_mean_wait(view: PlacementView, now: float) -> float:
    """Returns the mean queueing time at all engines, in seconds."""
    waits = [
        view.load.get_queued_work(worker, now)
        / _prefill_time.get_prefill_speed(worker.stage)
        for worker in (*view.prefills, *view.decodes)
    ]
    return sum(waits) / max(1, len(waits))


def _get_distance(
    view: PlacementView, worker: schema.serving.Worker
) -> _topology.Distance:
    return view.topology.compute_distance(view.topology.domain, worker.domain)


def _compute_cost(
    view: PlacementView, placement: _Placement, wait_s: float, now: float
) -> float:
    """Returns the cost of a placement in seconds.

    :param view: input of the policy.
    :param placement: the placement.
    :param wait_s: mean queueing time at all engines, in seconds.
    :param now: monotonic time in seconds.
    """
    worker = placement.prefill_worker
    distance = _get_distance(view, worker)
    cost_s = (
        placement.expected_s + view.worker_records.get(worker.id).failure_rate
    )
    recomputed_s = (
        placement.recomputed_tokens / _prefill_time.PREFILL_TOKENS_PER_S
    )
    cost_s += (
        recomputed_s
        * _RECOMPUTE_FACTOR
        * (1 + _RECOMPUTE_GROWTH_PER_S * wait_s)
    )
    if distance == _topology.Distance.OTHER_REGION:
        cost_s += _OTHER_REGION_COST_S
    if worker.id in view.turn_waits_s:
        cost_s += _TURN_COST_S / (1 + placement.work / _TURN_TOKENS)
    holder = placement.cache_holder
    if holder is not None:
        cost_s += _transfers.compute_cost_s(
            placement.fetched_tokens,
            view.limits,
            view.topology.compute_distance(holder.domain, worker.domain),
        )
    first_token_s = placement.expected_s
    if placement.is_colocated:
        speed = _prefill_time.get_prefill_speed(worker.stage)
        waiting = view.load.get_queued_work(worker, now)
        cost_s += _INTERFERENCE_FACTOR * placement.work / speed
        cost_s += _DECODE_QUEUEING_FACTOR * waiting / speed
    else:
        # The decode worker is chosen near the prefill worker.
        transfer_s = _KV_TRANSFER_S + _prefill_time.get_call_s(distance)
        cost_s += transfer_s + _compute_crowding_s(view, worker, now)
        first_token_s += transfer_s
    in_time = 1 - _lateness.compute_late_probability(
        first_token_s, view.target_s
    )
    if placement.is_colocated and view.event_gap_s:
        late_before, late_after = _compute_gap_probabilities(
            view, placement, waiting
        )
        in_time *= 1 - late_after
        streams = view.load.work.get_total(worker.id, now).streams
        cost_s += _LATE_COST_S * streams * (late_after - late_before)
    return cost_s + _LATE_COST_S * (1 - in_time)


def _compute_crowding_s(
    view: PlacementView, worker: schema.serving.Worker, now: float
) -> float:
    """Returns the cost of decode workers that are busier than others.

    Only those of the prefill worker's version can use its KV cache.
    """
    if len({one.version for one in view.decodes}) < 2:
        return 0
    shares = {
        one.id: view.load.work.get_total(one.id, now).streams
        / max(1, one.slots)
        for one in view.decodes
    }
    fitting = [
        shares[one.id] for one in view.decodes if one.version == worker.version
    ]
    least = min(shares.values())
    return _CROWDING_COST_S * (min(fitting, default=1) - least)


def _compute_gap_probabilities(
    view: PlacementView, placement: _Placement, waiting: int
) -> tuple[float, float]:
    """Returns how probable late events are at a decode worker.

    :param view: input of the policy.
    :param placement: placement at the worker.
    :param waiting: prefill work that is queued there, in tokens.
    :returns: the probabilities without and with the prompt.
    """
    worker = placement.prefill_worker
    speed = _prefill_time.get_prefill_speed(worker.stage)
    before, after = (
        _lateness.compute_late_probability(
            view.load.gaps.estimate(worker.service, work / speed),
            view.event_gap_s,
        )
        for work in (waiting, waiting + placement.work)
    )
    return before, after
