"""Guards what a process believes of the engines' caches."""

from briarknot import schema, serving
from briarknot.serving.tests import test_choices as choices

_Stage = schema.serving.Stage
_CachedPart = schema.messages.CachedPart


def choose_reader(view, prompt):
    """Returns the engine that the prompt is read at."""
    policy = serving.PLACEMENT_POLICIES.get('predicted')
    return policy(view, prompt, 0).prefill_worker


def make_engines():
    """Makes two prefill workers and four decode workers."""
    prefills = choices.make_workers('a', 'b', stage=_Stage.PREFILL)
    everyone = choices.make_workers(
        'a', 'b', 'c', 'a', 'b', 'c', stage=_Stage.DECODE
    )
    decodes = everyone[len(prefills) :]
    return prefills, decodes


def test_prompt_goes_where_another_process_had_its_part_read():
    """A shared part was read again at its home though others had moved it."""
    prefills, decodes = make_engines()
    view = choices.make_view(prefills, decodes)
    # Reading it again takes longer than the way to another region.
    prompt = choices.make_prompt('k', shared=12000)
    ranked = serving.rank_workers('k', decodes)
    part = _CachedPart(worker=ranked[-1].id, part='k', tokens=12000)
    assert choose_reader(view, prompt) in prefills
    view.load.caches.record_parts((part,))
    assert choose_reader(view, prompt) is ranked[-1]


def test_worker_that_started_again_holds_nothing():
    """Prompts went to a worker whose cache a crash had emptied."""
    load = serving.make_prompt_load()
    prompt = choices.make_prompt('k')
    worker = choices.make_workers('a')[0]
    load.caches.record_prompt(worker.id, prompt)
    assert load.count_uncached(worker, prompt) == 100
    load.remove_worker(worker.id)
    assert load.count_uncached(worker, prompt) == 1100


def test_parts_that_had_to_yield_are_not_believed():
    """A cache without a limit promises parts that were dropped long ago."""
    load = serving.make_prompt_load()
    prompts = [choices.make_prompt(f'k{number}') for number in range(2000)]
    for prompt in prompts:
        load.caches.record_prompt('w0', prompt)
    assert load.caches.count_cached('w0', prompts[0]) == 0
    assert load.caches.count_cached('w0', prompts[-1]) == 1000


def test_news_is_told_once():
    """Each message would repeat all parts since the start."""
    load = serving.make_prompt_load()
    load.caches.record_prompt('w0', choices.make_prompt('k'))
    part = _CachedPart(worker='w0', part='k', tokens=1000)
    assert load.caches.take_unsent_parts() == (part,)
    assert not load.caches.take_unsent_parts()
