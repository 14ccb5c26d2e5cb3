"""Pattern: long prompts with shared parts arrive while caches are cold.

Prefill workers have queues, and each shared part is in the cache of one engine
at most.
"""

from briarknot import schema, serving
from briarknot.serving.tests import test_choices as choices

_Stage = schema.serving.Stage
_LIMITS = schema.serving.EngineLimits(
    kv_tokens=600_000, kv_token_bytes=20_000, link_bits_per_s=4e11
)
_SHARED = 13_000
_TARGET_S = 0.6
_MS_PER_S = 1000


def make_view(prefills, decodes=(), **changes):
    """Makes the input of the placement policies, with known transfers."""
    return serving.PlacementView(
        load=serving.make_prompt_load(),
        worker_records=serving.make_worker_records(),
        topology=serving.Topology('a', {'a': 'north', 'b': 'north'}),
        prefills=tuple(prefills),
        decodes=tuple(decodes),
        target_s=_TARGET_S,
        limits=_LIMITS,
        **changes,
    )


def place(view, prompt, now=0):
    """Returns the placement of a prompt."""
    return serving.PLACEMENT_POLICIES.get('predicted')(view, prompt, now)


def test_shared_part_is_fetched_from_a_busy_holder():
    """A prompt queued at its cache holder while other workers were idle."""
    workers = choices.make_workers('a', 'b', 'a', stage=_Stage.PREFILL)
    view = make_view(workers)
    prompt = choices.make_prompt('k', shared=_SHARED)
    view.load.caches.record_prompt('w1', prompt, now=0)
    view.load.work.add('w1', tokens=40_000)
    placement = place(view, prompt, now=1)
    assert placement.prefill_worker.id != 'w1'
    assert placement.cache_holder.id == 'w1'
    assert placement.fetched_tokens == _SHARED
    assert placement.uncached < _SHARED


def test_part_is_not_fetched_before_it_is_prefilled():
    """The fetch found nothing, and the shared part was prefilled twice."""
    workers = choices.make_workers('a', 'b', stage=_Stage.PREFILL)
    view = make_view(workers)
    prompt = choices.make_prompt('k', shared=_SHARED)
    first = place(view, prompt)
    view.load.add(first, prompt, now=0)
    assert place(view, prompt, now=0).cache_holder is None
    later = first.expected_s + 0.1
    view.load.work.add(first.prefill_worker.id, tokens=40_000)
    assert place(view, prompt, now=later).cache_holder is first.prefill_worker


def test_prompt_that_was_not_prefilled_leaves_no_part():
    """Prompts went to a worker whose request had been cancelled."""
    workers = choices.make_workers('a', stage=_Stage.PREFILL)
    view = make_view(workers)
    prompt = choices.make_prompt('k', shared=_SHARED)
    placement = place(view, prompt)
    view.load.add(placement, prompt, now=0)
    view.load.remove(placement, prompt, 0.1, 0.1, is_prefilled=False)
    assert view.load.count_uncached(workers[0], prompt) == prompt.tokens
    assert view.load.caches.take_unsent_parts()[-1].tokens == 0


def test_cache_size_of_the_manifest_is_used():
    """Parts counted as evicted although engines with more memory held them."""
    load = serving.make_prompt_load()
    load.caches.set_engine_limits(
        schema.serving.EngineLimits(kv_tokens=1_000_000)
    )
    prompts = [choices.make_prompt(f'k{number}') for number in range(600)]
    for prompt in prompts:
        load.caches.record_prompt('w0', prompt, 0)
    assert load.caches.count_cached('w0', prompts[0]) == 1000


def serve_burst(*, stall_s):
    """Places 60 long prompts on two prefill and two decode workers at once.

    :param stall_s: gap of streams beside continuous prefill, in seconds.
    :returns: the prefill work of each decode worker, in ms.
    """
    workers = choices.make_workers('a', 'b', stage=_Stage.PREFILL)
    decodes = tuple(
        schema.serving.Worker(
            id=f'd{index}', service='s', domain='a', stage=_Stage.DECODE
        )
        for index in range(2)
    )
    view = make_view(workers, decodes, event_gap_s=0.25)
    for decode in decodes:
        view.load.work.add(decode.id, streams=20)
    for _ in range(30):
        view.load.gaps.record('s', 0.05, queued_s=0)
        view.load.gaps.record('s', stall_s, queued_s=1)
    for number in range(60):
        prompt = choices.make_prompt(f'k{number}', shared=4000)
        view.load.add(place(view, prompt), prompt, 0)
    seconds = [view.load.get_queued_s(one, 0) for one in decodes]
    return [round(wait_s * _MS_PER_S) for wait_s in seconds]


def test_burst_of_long_prompts_does_not_stall_running_streams():
    """Queued prompts at decode workers made all their streams late."""
    assert max(serve_burst(stall_s=0.4)) < 200


def test_decode_workers_prefill_where_their_streams_bear_it():
    """Prompts waited for prefill workers beside decode workers with room."""
    assert min(serve_burst(stall_s=0.1)) > 200
