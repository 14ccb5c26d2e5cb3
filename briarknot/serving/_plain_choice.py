"""Chooses a worker of a plain service."""

import random
import typing

import attrs

from briarknot import registry, schema
from briarknot.serving import _topology, _worker_records

#: Cost of the way to a worker in seconds, there and back. Regions are some
#: tens of milliseconds apart, and bytes between them are paid by volume.
_DISTANCE_S = {
    _topology.Distance.SAME_DOMAIN: 0,
    _topology.Distance.SAME_REGION: 0.01,
    _topology.Distance.OTHER_REGION: 0.09,
}
#: Assumed time to an answer before the first one.
_ANSWER_S = 0.08
#: Cost of a failed attempt in seconds: a client's retry takes about that long.
_FAILURE_S = 0.6

Workers = tuple[schema.serving.Worker, ...]


@attrs.frozen
class PlainView:
    """What a policy may use.

    :param worker_records: load and health of workers.
    :param topology: distances.
    :param random_source: source of randomness.
    """

    worker_records: _worker_records.WorkerRecords
    topology: _topology.Topology
    random_source: random.Random


class PlainPolicy(typing.Protocol):
    """Chooses one of several workers."""

    def __call__(
        self, choice: PlainView, workers: Workers, now: float
    ) -> schema.serving.Worker: ...


PLAIN_POLICIES: registry.Registry[PlainPolicy] = registry.Registry(
    'plain_policy'
)


@PLAIN_POLICIES.register('random')
def choose_random(
    choice: PlainView, workers: Workers, now: float
) -> schema.serving.Worker:
    """Chooses any worker; a baseline."""
    return choice.random_source.choice(workers)


@PLAIN_POLICIES.register('least_cost')
def choose_least_cost(
    choice: PlainView, workers: Workers, now: float
) -> schema.serving.Worker:
    """Chooses the worker with the least expected time to a good answer."""
    costs = [
        (
            _find_cost(choice, worker, now),
            choice.random_source.random(),
            worker,
        )
        for worker in workers
    ]
    return min(costs, key=lambda cost: cost[:2])[-1]


def _find_cost(
    choice: PlainView, worker: schema.serving.Worker, now: float
) -> float:
    record = choice.worker_records.get(worker.id)
    answer_s = record.answer_s or _ANSWER_S
    load = record.get_load(now)
    busy = record.in_flight
    if load is not None:
        busy = max(busy, load.running + load.waiting)
    slots = max(1, worker.slots)
    distance = choice.topology.compute_distance(
        choice.topology.domain, worker.domain
    )
    return (
        _DISTANCE_S[distance]
        + answer_s * (1 + busy / slots)
        + record.failure_rate * _FAILURE_S
    )
