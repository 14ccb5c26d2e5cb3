"""Input of the policies that choose the engine that prefills a prompt."""

import random
import typing

import attrs

from briarknot import schema
from briarknot.serving import (
    _calls,
    _plain_choice,
    _prompt_load,
    _topology,
    _worker_records,
)


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
    :param processes: processes that choose on the same stale snapshot.
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


# Frozen classes take twice as long to make, and there is one for each engine.
@attrs.define(eq=False)
class Engine:
    """An engine, with what a choice for one prompt reads of it.

    :param worker: the engine.
    :param record: load and health of the engine.
    :param queued: work of prompts that are queued there, in tokens.
    :param streams: generations of all processes there.
    :param cached: estimated tokens of the prompt in its cache.
    :param fetchable: those of them that other engines can fetch now.
    """

    worker: schema.serving.Worker
    record: _worker_records.WorkerRecord
    queued: int
    streams: int
    cached: int
    fetchable: int


Engines = tuple[Engine, ...]


def list_engines(
    view: PlacementView,
    workers: _plain_choice.Workers,
    prompt: _calls.Prompt,
    now: float,
) -> Engines:
    """Reads the load and the cache of each worker once.

    :param view: input of the policy.
    :param workers: the workers.
    :param prompt: the prompt.
    :param now: monotonic time in seconds.
    """
    get_total = view.load.work.get_total
    get_record = view.worker_records.get
    counts = view.load.caches.count_each(
        [one.id for one in workers], prompt, now
    )
    return tuple(
        Engine(
            worker,
            get_record(worker.id),
            total.tokens,
            total.streams,
            cached,
            fetchable,
        )
        for worker, (cached, fetchable), total in zip(
            workers,
            counts,
            [get_total(one.id, now) for one in workers],
            strict=True,
        )
    )
