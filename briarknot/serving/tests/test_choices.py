"""Tests of worker selection and prompt placement."""

import random

import attrs
import pytest

from briarknot import schema, serving

_Stage = schema.serving.Stage
_TOPOLOGY = serving.Topology('a', {'a': 'north', 'b': 'north', 'c': 'south'})


def make_plain_view():
    """Makes the input of the plain policies, with a fixed seed."""
    return serving.PlainView(
        serving.make_worker_records(), _TOPOLOGY, random.Random(1)
    )


def make_workers(*domains, stage=_Stage.NONE):
    """Makes a worker in each domain."""
    return tuple(
        schema.serving.Worker(
            id=f'w{index}', service='s', domain=domain, slots=4, stage=stage
        )
        for index, domain in enumerate(domains)
    )


def make_prompt(key, shared=1000):
    """Makes a prompt with one shared part."""
    parts = (
        schema.serving.PromptPart(id=key, tokens=shared),
        schema.serving.PromptPart(id=f'{key}-own', tokens=100),
    )
    return serving.Prompt(parts=parts, tokens=shared + 100, output_tokens=10)


def test_near_worker_is_chosen():
    """Calls to other regions have higher latency and are billed by volume."""
    policy = serving.PLAIN_POLICIES.get('least_cost')
    view = make_plain_view()
    workers = make_workers('c', 'a', 'c')
    assert policy(view, workers, 0) is workers[1]


def test_failing_worker_is_avoided():
    """A worker that fails fast looks idle and would attract all requests."""
    policy = serving.PLAIN_POLICIES.get('least_cost')
    view = make_plain_view()
    near, far = make_workers('a', 'c')
    for _ in range(6):
        view.worker_records.get(near.id).record_answer(0.05, is_error=True)
    assert policy(view, (near, far), 0) is far


def test_silence_of_a_worker_counts_once_for_all_its_streams():
    """Each of its streams doubled the time without requests, up to 4 s."""
    record = serving.make_worker_records().get('w')
    record.in_flight = 12
    for _ in range(12):
        record.record_silence(now=0)
    assert record.is_blocked(0.1)
    assert not record.failure_rate
    record.in_flight = 0
    assert not record.is_blocked(0.6)


def test_worker_that_goes_on_gets_requests_at_once():
    """A sound worker stayed blocked while streams were under way there."""
    record = serving.make_worker_records().get('w')
    record.in_flight = 12
    record.record_silence(now=0)
    record.record_recovery()
    assert not record.is_blocked(0.1)


def test_unreachable_worker_is_blocked_temporarily():
    """Without the block each request waits to connect to a crashed worker."""
    record = serving.make_worker_records().get('w')
    record.record_failure(serving.FailureKind.NOT_SENT, now=0)
    assert record.is_blocked(0.1)
    assert not record.is_blocked(10)
    record.record_failure(serving.FailureKind.REJECTED, now=20)
    assert not record.is_blocked(20)


def test_removed_worker_changes_only_its_own_ranking():
    """Removing a worker must not move prompts away from other workers."""
    workers = make_workers('a', 'b', 'c', 'a', 'b', 'c', stage=_Stage.PREFILL)
    keys = [f'k{index}' for index in range(200)]
    before = {key: serving.rank_workers(key, workers)[0].id for key in keys}
    others = tuple(one for one in workers if one.id != 'w0')
    after = {key: serving.rank_workers(key, others)[0].id for key in keys}
    moved = {key for key in keys if before[key] != after[key]}
    assert moved == {key for key in keys if before[key] == 'w0'}


def test_remembered_order_holds_for_its_list_only():
    """A worker that is leaving would get prompts from an outdated order."""
    ranks = serving.make_prompt_load().ranks
    workers = make_workers('a', 'b', 'c', 'a', stage=_Stage.PREFILL)
    restarted = attrs.evolve(workers[0], born_ms=5)
    lists = (workers, workers[1:], (restarted, *workers[1:]), (), workers)
    for key in ('k', 'other', 'k'):
        for listed in lists:
            expected = serving.rank_workers(key, listed)
            assert ranks.rank(key, listed) == expected
            assert ranks.rank(key, tuple(listed)) == expected


def make_view(prefills, decodes=(), target_s=60):
    """Makes the input of the placement policies."""
    return serving.PlacementView(
        load=serving.make_prompt_load(),
        worker_records=serving.make_worker_records(),
        topology=_TOPOLOGY,
        prefills=tuple(prefills),
        decodes=tuple(decodes),
        target_s=target_s,
    )


@pytest.mark.parametrize('name', serving.PLACEMENT_POLICIES.names)
def test_all_processes_choose_the_same_worker(name):
    """Otherwise each process has the same shared part recomputed elsewhere."""
    policy = serving.PLACEMENT_POLICIES.get(name)
    workers = make_workers('a', 'b', 'c', stage=_Stage.PREFILL)
    chosen = {
        policy(make_view(order), make_prompt('k'), 0).prefill_worker.id
        for order in (workers, tuple(reversed(workers)))
    }
    assert len(chosen) == 1


def test_prompts_avoid_a_busy_preferred_worker():
    """A burst of prompts with one shared part would queue at one worker."""
    policy = serving.PLACEMENT_POLICIES.get('predicted')
    workers = make_workers('a', 'b', 'c', stage=_Stage.PREFILL)
    view = make_view(workers)
    prompt = make_prompt('k')
    used = []
    for _ in range(40):
        placement = policy(view, prompt, 0)
        view.load.add(placement, prompt, 0)
        used.append(placement.prefill_worker.id)
    ranked = [one.id for one in serving.rank_workers('k', workers)]
    assert used[0] == ranked[0]
    assert set(used) == {ranked[0], ranked[1]}


def test_decode_worker_prefills_without_prefill_workers():
    """Requests would be rejected although a worker can run them."""
    decodes = make_workers('a', stage=_Stage.DECODE)
    for name in serving.PLACEMENT_POLICIES.names:
        policy = serving.PLACEMENT_POLICIES.get(name)
        placement = policy(make_view((), decodes), make_prompt('k'), 0)
        assert placement.is_colocated


def test_part_is_recomputed_if_its_cache_holder_would_be_late():
    """Prompts missed their target in a queue while other workers were idle."""
    policy = serving.PLACEMENT_POLICIES.get('predicted')
    domains = ('a', 'b', 'a', 'b', 'a', 'b', 'a', 'b', 'a', 'b')
    workers = make_workers(*domains, stage=_Stage.PREFILL)
    prompt = make_prompt('k', shared=13000)
    preferred = serving.rank_workers('k', workers)[0]
    chosen = []
    for target_s in (60, 0.7):
        view = make_view(workers, target_s=target_s)
        for number, worker in enumerate(serving.rank_workers('k', workers)[:2]):
            view.load.work.add(worker.id, tokens=45000 + number)
        view.load.caches.record_prompt(preferred.id, prompt, 0)
        chosen.append(policy(view, prompt, 0).prefill_worker)
    assert chosen[0] is preferred
    assert chosen[1] not in serving.rank_workers('k', workers)[:2]


def test_no_part_is_recomputed_while_all_workers_have_queues():
    """Avoidable prefill work made more prompts miss their target."""
    policy = serving.PLACEMENT_POLICIES.get('predicted')
    workers = make_workers('a', 'b', 'a', 'b', 'a', 'b', stage=_Stage.PREFILL)
    prompt = make_prompt('k', shared=13000)
    preferred = serving.rank_workers('k', workers)[0]
    view = make_view(workers, target_s=0.7)
    for worker in workers:
        # The cache holder's queue is longer by more than a recomputation.
        tokens = 75000 if worker is preferred else 30000
        view.load.work.add(worker.id, tokens=tokens)
    view.load.caches.record_prompt(preferred.id, prompt, 0)
    assert policy(view, prompt, 0).prefill_worker is preferred


def test_short_prompt_is_prefilled_near_the_client():
    """Latency to other regions exceeded the prefill time of short prompts."""
    policy = serving.PLACEMENT_POLICIES.get('predicted')
    far, near = make_workers('c', 'a', stage=_Stage.PREFILL)
    view = make_view((far, near))
    for number in range(20):
        prompt = make_prompt(f'k{number}', shared=300)
        assert policy(view, prompt, 0).prefill_worker is near


def test_network_latency_does_not_count_as_slowdown():
    """A worker in another region was estimated to prefill four times slower."""
    workers = make_workers('c', stage=_Stage.PREFILL)
    view = make_view(workers)
    policy = serving.PLACEMENT_POLICIES.get('predicted')
    for number in range(50):
        prompt = make_prompt(f'k{number}', shared=number * 200)
        placement = policy(view, prompt, 0)
        view.load.add(placement, prompt, 0)
        view.load.remove(
            placement, prompt, 0, placement.expected_s, is_prefilled=True
        )
    slowdown = view.load.get_slowdown(workers[0])
    assert slowdown == pytest.approx(1, abs=0.1)


def test_decode_worker_near_the_cache_is_chosen_unless_busy():
    """KV transfers between regions are slow, but a full worker is slower."""
    policy = serving.DECODE_POLICIES.get('least_tokens')
    view = serving.DecodeView(
        serving.make_worker_records(),
        _TOPOLOGY,
        random.Random(1),
        serving.make_prompt_load(),
    )
    source = serving.KvSource(
        worker=make_workers('c')[0], handle='h', tokens=1000
    )
    far, near = make_workers('a', 'c', stage=_Stage.DECODE)
    assert policy(view, (far, near), source, 0) is near
    view.worker_records.get(near.id).in_flight = 4
    assert policy(view, (far, near), source, 0) is far


def test_one_request_probes_a_worker_after_a_block():
    """Many requests would wait to connect to a worker that is unreachable."""
    record = serving.make_worker_records().get('w')
    record.record_failure(serving.FailureKind.UNREACHABLE, now=0)
    assert not record.is_blocked(5)
    record.in_flight = 1
    assert record.is_blocked(5)
    record.record_answer(0.1, is_error=False)
    assert not record.is_blocked(5)
