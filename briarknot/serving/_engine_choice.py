"""Policies that choose a decode worker."""

import random
import typing

import attrs

from briarknot import registry, schema
from briarknot.serving import (
    _calls,
    _chance,
    _lateness,
    _plain_choice,
    _prefill_time,
    _prompt_load,
    _topology,
    _water_filling,
    _worker_records,
)

#: Cost of a KV transfer, as a share of a decode worker's slots: a farther worker
#: is chosen when its share of used slots is lower by this much.
_KV_TRANSFER_COST = {
    _topology.Distance.SAME_DOMAIN: 0,
    _topology.Distance.SAME_REGION: 0.1,
    _topology.Distance.OTHER_REGION: 0.35,
}
#: Cost of a second of prefill queued at a decode worker, as a share of its
#: slots: its streams are about three times slower while it prefills.
_QUEUED_PREFILL_COST = 0.5
#: Cost of a second until a worker's limit allows the request, as a share of its
#: slots. The stream starts later by that time, where others only slow it down.
_TURN_WAIT_COST = 1.0
#: Cost of events that are certainly late, as a share of a decode worker's slots.
_LATE_EVENT_COST = 0.5
#: Difference in load that divides the probability of a choice by e, as a share
#: of a decode worker's slots.
_LOAD_SPREAD = 0.02

Workers = _plain_choice.Workers


@attrs.frozen
class DecodeView:
    """Input of a decode policy.

    :param worker_records: load and health of workers.
    :param topology: distances between failure domains.
    :param random_source: source of randomness.
    :param load: prompts and streams at the engines.
    :param event_gap_s: gap from which an event is late, in seconds; 0 for none.
    :param processes: processes that choose on the same stale snapshot.
    :param turn_waits_s: time until another request may be sent to a worker, by
        the ids of the workers that have a limit.
    """

    worker_records: _worker_records.WorkerRecords
    topology: _topology.Topology
    random_source: random.Random
    load: _prompt_load.PromptLoad
    event_gap_s: float = 0
    processes: int = 1
    turn_waits_s: typing.Mapping[str, float] = attrs.field(factory=dict)


class DecodePolicy(typing.Protocol):
    """Chooses the decode worker of a generation."""

    def __call__(
        self,
        view: DecodeView,
        workers: Workers,
        source: _calls.KvSource | None,
        now: float,
    ) -> schema.serving.Worker: ...


DECODE_POLICIES: registry.Registry[DecodePolicy] = registry.Registry(
    'decode_policy'
)


@DECODE_POLICIES.register('least_tokens')
def choose_least_tokens(
    view: DecodeView,
    workers: Workers,
    source: _calls.KvSource | None,
    now: float,
) -> schema.serving.Worker:
    """Chooses the worker with the lowest sum of load and KV transfer cost."""
    transfers = _list_transfer_costs(view, workers, source)
    costs = [
        _compute_load(view, worker, now) + transfer
        for worker, transfer in zip(workers, transfers, strict=True)
    ]
    return _chance.choose_near_cheapest(
        workers,
        costs,
        _LOAD_SPREAD * _chance.compute_share(view.processes),
        view.random_source,
    )


@DECODE_POLICIES.register('least_tokens_filled')
def choose_by_filling(
    view: DecodeView,
    workers: Workers,
    source: _calls.KvSource | None,
    now: float,
) -> schema.serving.Worker:
    """Chooses by the same cost, and expects that others fill free slots."""
    if view.processes == 1:
        return choose_least_tokens(view, workers, source, now)
    transfers = _list_transfer_costs(view, workers, source)
    costs = [
        _compute_load(view, worker, now) + transfer
        for worker, transfer in zip(workers, transfers, strict=True)
    ]
    slots = sum(max(1, worker.slots) for worker in workers)
    versions = {(worker.service, worker.version) for worker in workers}
    own_per_s = sum(
        view.load.sent_streams.get_per_s(service, version, now, int(not index))
        for index, (service, version) in enumerate(sorted(versions))
    )
    others = _water_filling.estimate_others_load(own_per_s, view.processes)
    arrivals = _water_filling.Arrivals(others / slots, len(workers) / slots)
    return _water_filling.choose(
        workers, costs, transfers, arrivals, _LOAD_SPREAD, view.random_source
    )


def _list_transfer_costs(
    view: DecodeView, workers: Workers, source: _calls.KvSource | None
) -> list[float]:
    """Returns the cost of the KV transfer to each worker."""
    start = source.worker.domain if source else view.topology.domain
    distances = view.topology.list_distances(
        start, (worker.domain for worker in workers)
    )
    return [_KV_TRANSFER_COST[distances[worker.domain]] for worker in workers]


def _compute_load(
    view: DecodeView, worker: schema.serving.Worker, now: float
) -> float:
    record = view.worker_records.get(worker.id)
    work = view.load.work.get_total(worker.id, now)
    busy = max(record.in_flight, work.streams)
    wait_s = work.tokens / _prefill_time.get_prefill_speed(worker.stage)
    late = 0
    if view.event_gap_s:
        late = _lateness.compute_late_probability(
            view.load.gaps.estimate(worker.service, wait_s), view.event_gap_s
        )
    return (
        busy / max(1, worker.slots)
        + wait_s * _QUEUED_PREFILL_COST
        + late * _LATE_EVENT_COST
        + record.failure_rate
        + view.turn_waits_s.get(worker.id, 0) * _TURN_WAIT_COST
    )
