"""Policies that choose a worker of a plain service."""

import random
import typing

import attrs

from briarknot import registry, schema
from briarknot.serving import _topology, _worker_records

#: Cost of the network path to a worker and back, in seconds. The latency
#: between regions is some tens of milliseconds, and traffic between them is
#: billed by volume.
_NETWORK_COST_S = {
    _topology.Distance.SAME_DOMAIN: 0,
    _topology.Distance.SAME_REGION: 0.01,
    _topology.Distance.OTHER_REGION: 0.09,
}
#: Assumed time to an answer of a worker that has not answered yet.
_DEFAULT_ANSWER_S = 0.08
#: Cost of a failed attempt: a client's retry takes about this long.
_FAILURE_COST_S = 0.6

Workers = tuple[schema.serving.Worker, ...]


@attrs.frozen
class PlainView:
    """Input of a policy for plain services.

    :param worker_records: load and health of workers.
    :param topology: distances between failure domains.
    :param random_source: source of randomness.
    :param turn_waits_s: time until another request may be sent to a worker, by
        the ids of the workers that have a limit.
    """

    worker_records: _worker_records.WorkerRecords
    topology: _topology.Topology
    random_source: random.Random
    turn_waits_s: typing.Mapping[str, float] = attrs.field(factory=dict)


class PlainPolicy(typing.Protocol):
    """Chooses one of several workers."""

    def __call__(
        self, view: PlainView, workers: Workers, now: float
    ) -> schema.serving.Worker: ...


PLAIN_POLICIES: registry.Registry[PlainPolicy] = registry.Registry(
    'plain_policy'
)


@PLAIN_POLICIES.register('random')
def choose_random(
    view: PlainView, workers: Workers, now: float
) -> schema.serving.Worker:
    """Baseline: chooses a worker at random."""
    return view.random_source.choice(workers)


@PLAIN_POLICIES.register('least_cost')
def choose_least_cost(
    view: PlainView, workers: Workers, now: float
) -> schema.serving.Worker:
    """Chooses the worker with the lowest expected time to success."""
    distances = view.topology.list_distances(
        view.topology.domain, (worker.domain for worker in workers)
    )
    costs = [
        (
            _NETWORK_COST_S[distances[worker.domain]]
            + _compute_answer_cost_s(view, worker, now)
            + view.worker_records.get(worker.id).failure_rate * _FAILURE_COST_S
            + view.turn_waits_s.get(worker.id, 0),
            view.random_source.random(),
        )
        for worker in workers
    ]
    return workers[costs.index(min(costs))]


def _compute_answer_cost_s(
    view: PlainView, worker: schema.serving.Worker, now: float
) -> float:
    """Returns the expected time to an answer without the network."""
    record = view.worker_records.get(worker.id)
    answer_s = record.answer_s or _DEFAULT_ANSWER_S
    load = record.get_load(now)
    busy = record.in_flight
    if load is not None:
        busy = max(busy, load.running + load.waiting)
    ratio = record.get_work_time_ratio(now, answer_s)
    return answer_s * ratio * (1 + busy / max(1, worker.slots))
