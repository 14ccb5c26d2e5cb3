"""Tests of the estimated contents of the engines' KV caches."""

from briarknot import schema, serving
from briarknot.serving.tests import test_choices as choices

_Stage = schema.serving.Stage
_CachedPart = schema.messages.CachedPart


def choose_prefill_worker(view, prompt):
    """Returns the worker that prefills the prompt."""
    policy = serving.PLACEMENT_POLICIES.get('predicted')
    return policy(view, prompt, 0).prefill_worker


def make_engines():
    """Makes two prefill workers and four decode workers."""
    prefills = choices.make_workers('a', 'b', stage=_Stage.PREFILL)
    workers = choices.make_workers(
        'a', 'b', 'c', 'a', 'b', 'c', stage=_Stage.DECODE
    )
    decodes = workers[len(prefills) :]
    return prefills, decodes


def test_prompt_goes_to_the_cache_holder_of_another_process():
    """A shared part was recomputed although a peer had it cached elsewhere."""
    prefills, decodes = make_engines()
    view = choices.make_view(prefills, decodes)
    # Recomputing it takes longer than a call to another region.
    prompt = choices.make_prompt('k', shared=12000)
    ranked = serving.rank_workers('k', decodes)
    part = _CachedPart(worker=ranked[-1].id, part='k', tokens=12000)
    assert choose_prefill_worker(view, prompt) in prefills
    view.load.caches.record_parts((part,), 0)
    assert choose_prefill_worker(view, prompt) is ranked[-1]


def test_restarted_worker_holds_nothing():
    """Prompts went to a worker whose cache was empty after a crash."""
    load = serving.make_prompt_load()
    prompt = choices.make_prompt('k')
    worker = choices.make_workers('a')[0]
    load.caches.record_prompt(worker.id, prompt, 0)
    assert load.count_uncached(worker, prompt) == 100
    load.remove_worker(worker.id)
    assert load.count_uncached(worker, prompt) == 1100


def test_evicted_parts_do_not_count_as_cached():
    """Without a capacity, parts count as cached long after their eviction."""
    load = serving.make_prompt_load()
    prompts = [choices.make_prompt(f'k{number}') for number in range(2000)]
    for prompt in prompts:
        load.caches.record_prompt('w0', prompt, 0)
    assert load.caches.count_cached('w0', prompts[0]) == 0
    assert load.caches.count_cached('w0', prompts[-1]) == 1000


def test_parts_are_sent_once():
    """Otherwise each message repeats all parts since the start."""
    load = serving.make_prompt_load()
    load.caches.record_prompt('w0', choices.make_prompt('k'), 0)
    part = _CachedPart(worker='w0', part='k', tokens=1000)
    assert load.caches.take_unsent_parts() == (part,)
    assert not load.caches.take_unsent_parts()
