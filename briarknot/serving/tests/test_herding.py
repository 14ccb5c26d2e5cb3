"""Pattern: many processes choose engines on the same stale snapshot.

All send their prompts to the engine that looked best, which then has a queue
while others are idle.
"""

import collections
import random

import pytest

from briarknot import schema, serving
from briarknot.serving.tests import test_choices as choices

_Stage = schema.serving.Stage
_WORKERS = 20
#: Prompts that are placed before a process learns of those of others: 200 a
#: second, and a lag of 0.25 s.
_PROMPTS = 50
#: Largest share of one worker in these. By chance alone, 50 prompts at 20
#: workers put 7 at one of them in 1 of 20 trials.
_MAX_AT_ONE = 10


def count_prompts(processes):
    """Places prompts by processes that don't know of each other's.

    :param processes: number of processes that choose in turn.
    :returns: prompts by worker.
    """
    workers = choices.make_workers(
        *('a' for _ in range(_WORKERS)), stage=_Stage.PREFILL
    )
    policy = serving.PLACEMENT_POLICIES.get('predicted')
    views = [
        serving.PlacementView(
            load=serving.make_prompt_load(),
            worker_records=serving.make_worker_records(),
            topology=serving.Topology('a', {'a': 'north'}),
            prefills=workers,
            decodes=(),
            target_s=1,
            limits=schema.serving.EngineLimits(
                kv_tokens=600_000, kv_token_bytes=20_000, link_bits_per_s=4e11
            ),
            random_source=random.Random(number),
            processes=processes,
        )
        for number in range(processes)
    ]
    counts = collections.Counter()
    for number in range(_PROMPTS):
        view = views[number % processes]
        prompt = choices.make_prompt('k', shared=4000)
        for worker in workers:
            view.load.caches.record_prompt(worker.id, prompt, 0)
        placement = policy(view, prompt, 1)
        view.load.add(placement, prompt, 1)
        counts[placement.prefill_worker.id] += 1
    return counts


@pytest.mark.parametrize('processes', [8, 34, 195, 340])
def test_prompts_of_many_processes_spread(processes):
    """With 195 processes, the first worker of the list got all prompts."""
    counts = count_prompts(processes)
    assert max(counts.values()) <= _MAX_AT_ONE
    assert len(counts) >= _WORKERS * 0.7


def test_streams_of_many_processes_spread():
    """The decode worker with the fewest streams got the next fifty."""
    decodes = choices.make_workers(
        *('a' for _ in range(_WORKERS)), stage=_Stage.DECODE
    )
    policy = serving.DECODE_POLICIES.get('least_tokens')
    counts = collections.Counter()
    for number in range(_PROMPTS):
        view = serving.DecodeView(
            serving.make_worker_records(),
            serving.Topology('a', {'a': 'north'}),
            random.Random(number),
            serving.make_prompt_load(),
            processes=200,
        )
        counts[policy(view, decodes, None, 0).id] += 1
    assert max(counts.values()) <= _MAX_AT_ONE


def test_loaded_worker_is_not_chosen_by_chance():
    """Chance must not send prompts into a queue beside idle workers."""
    workers = choices.make_workers('a', 'a', 'a', stage=_Stage.PREFILL)
    view = choices.make_view(workers)
    prompt = choices.make_prompt('k', shared=4000)
    for worker in workers:
        view.load.caches.record_prompt(worker.id, prompt, 0)
    view.load.work.add('w0', tokens=20_000)
    policy = serving.PLACEMENT_POLICIES.get('predicted')
    chosen = {policy(view, prompt, 1).prefill_worker.id for _ in range(200)}
    assert chosen == {'w1', 'w2'}
