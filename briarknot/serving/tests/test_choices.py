"""Guards the choices of workers."""

import random

import pytest

from briarknot import schema, serving

_Stage = schema.serving.Stage
_PLACES = serving.Topology('a', {'a': 'north', 'b': 'north', 'c': 'south'})


def make_choice():
    """Makes what the policies use, with a fixed seed."""
    return serving.PlainView(
        serving.make_worker_records(), _PLACES, random.Random(1)
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
    """Regions are far and paid by volume."""
    policy = serving.PLAIN_POLICIES.get('least_cost')
    choice = make_choice()
    workers = make_workers('c', 'a', 'c')
    assert policy(choice, workers, 0) is workers[1]


def test_failing_worker_is_avoided():
    """A worker that fails with good health must not get all requests."""
    policy = serving.PLAIN_POLICIES.get('least_cost')
    choice = make_choice()
    near, far = make_workers('a', 'c')
    for _ in range(6):
        choice.worker_records.get(near.id).record_answer(0.05, is_error=True)
    assert policy(choice, (near, far), 0) is far


def test_worker_without_connection_is_blocked_for_a_while():
    """Each request would wait for the connection of a crashed worker."""
    record = serving.make_worker_records().get('w')
    record.record_failure(serving.FailureKind.NOT_SENT, now=0)
    assert record.is_blocked(0.1)
    assert not record.is_blocked(10)
    record.record_failure(serving.FailureKind.REJECTED, now=20)
    assert not record.is_blocked(20)


def test_homes_move_only_with_their_worker():
    """A worker that leaves must not move the prompts of all others."""
    workers = make_workers('a', 'b', 'c', 'a', 'b', 'c', stage=_Stage.PREFILL)
    keys = [f'k{index}' for index in range(200)]
    before = {key: serving.rank_workers(key, workers)[0].id for key in keys}
    others = tuple(one for one in workers if one.id != 'w0')
    after = {key: serving.rank_workers(key, others)[0].id for key in keys}
    moved = {key for key in keys if before[key] != after[key]}
    assert moved == {key for key in keys if before[key] == 'w0'}


def make_view(prefills, decodes=(), target_s=60):
    """Makes what the placement policies use."""
    return serving.PlacementView(
        load=serving.make_prompt_load(),
        worker_records=serving.make_worker_records(),
        topology=_PLACES,
        prefills=tuple(prefills),
        decodes=tuple(decodes),
        target_s=target_s,
    )


@pytest.mark.parametrize('name', serving.PLACEMENT_POLICIES.names)
def test_all_processes_find_the_same_home(name):
    """Each process would have the same shared part read again."""
    policy = serving.PLACEMENT_POLICIES.get(name)
    workers = make_workers('a', 'b', 'c', stage=_Stage.PREFILL)
    homes = {
        policy(make_view(order), make_prompt('k'), 0).prefill_worker.id
        for order in (workers, tuple(reversed(workers)))
    }
    assert len(homes) == 1


def test_prompts_leave_a_home_that_is_busy():
    """A burst of one shared part would wait at one worker."""
    policy = serving.PLACEMENT_POLICIES.get('predicted')
    workers = make_workers('a', 'b', 'c', stage=_Stage.PREFILL)
    view = make_view(workers)
    prompt = make_prompt('k')
    readers = []
    for _ in range(40):
        placement = policy(view, prompt, 0)
        view.load.add(placement, prompt)
        readers.append(placement.prefill_worker.id)
    homes = [one.id for one in serving.rank_workers('k', workers)]
    assert readers[0] == homes[0]
    assert set(readers) == {homes[0], homes[1]}


def test_decode_worker_reads_a_prompt_where_prefill_workers_are_away():
    """Requests would be refused though a worker could run them."""
    decodes = make_workers('a', stage=_Stage.DECODE)
    for name in serving.PLACEMENT_POLICIES.names:
        policy = serving.PLACEMENT_POLICIES.get(name)
        placement = policy(make_view((), decodes), make_prompt('k'), 0)
        assert placement.is_colocated


def test_part_is_read_once_more_where_its_holder_would_be_late():
    """Prompts were late behind a queue while other workers were idle."""
    policy = serving.PLACEMENT_POLICIES.get('predicted')
    domains = ('a', 'b', 'a', 'b', 'a', 'b', 'a', 'b', 'a', 'b')
    workers = make_workers(*domains, stage=_Stage.PREFILL)
    prompt = make_prompt('k', shared=13000)
    home = serving.rank_workers('k', workers)[0]
    readers = []
    for target_s in (60, 0.7):
        view = make_view(workers, target_s=target_s)
        for number, worker in enumerate(serving.rank_workers('k', workers)[:2]):
            view.load.work.add(worker.id, tokens=45000 + number)
        view.load.caches.record_prompt(home.id, prompt)
        readers.append(policy(view, prompt, 0).prefill_worker)
    assert readers[0] is home
    assert readers[1] not in serving.rank_workers('k', workers)[:2]


def test_no_part_is_read_again_while_all_workers_have_queues():
    """Work that could be spared made still more prompts late."""
    policy = serving.PLACEMENT_POLICIES.get('predicted')
    workers = make_workers('a', 'b', 'a', 'b', 'a', 'b', stage=_Stage.PREFILL)
    prompt = make_prompt('k', shared=13000)
    home = serving.rank_workers('k', workers)[0]
    view = make_view(workers, target_s=0.7)
    for worker in workers:
        # The home's queue is longer by what reading the part again takes.
        tokens = 75000 if worker is home else 30000
        view.load.work.add(worker.id, tokens=tokens)
    view.load.caches.record_prompt(home.id, prompt)
    assert policy(view, prompt, 0).prefill_worker is home


def test_short_prompt_is_read_near_the_client():
    """Short prompts went to homes in other regions and waited for the way."""
    policy = serving.PLACEMENT_POLICIES.get('predicted')
    far, near = make_workers('c', 'a', stage=_Stage.PREFILL)
    view = make_view((far, near))
    for number in range(20):
        prompt = make_prompt(f'k{number}', shared=300)
        assert policy(view, prompt, 0).prefill_worker is near


def test_way_to_a_worker_does_not_make_it_slow():
    """A worker in another region was believed to read four times slower."""
    workers = make_workers('c', stage=_Stage.PREFILL)
    view = make_view(workers)
    policy = serving.PLACEMENT_POLICIES.get('predicted')
    for number in range(50):
        prompt = make_prompt(f'k{number}', shared=number * 200)
        placement = policy(view, prompt, 0)
        view.load.add(placement, prompt)
        view.load.remove(placement, placement.expected_s, is_prefilled=True)
    slowdown = view.load.get_slowdown(workers[0])
    assert slowdown == pytest.approx(1, abs=0.1)


def test_decode_worker_near_the_cache_is_chosen_until_it_is_busy():
    """Moves between regions are slow; a full worker is slower."""
    policy = serving.DECODE_POLICIES.get('least_tokens')
    choice = serving.DecodeView(
        serving.make_worker_records(),
        _PLACES,
        random.Random(1),
        serving.EngineWork(),
    )
    source = serving.KvSource(
        worker=make_workers('c')[0], handle='h', tokens=1000
    )
    far, near = make_workers('a', 'c', stage=_Stage.DECODE)
    assert policy(choice, (far, near), source, 0) is near
    choice.worker_records.get(near.id).in_flight = 4
    assert policy(choice, (far, near), source, 0) is far


def test_one_request_tries_a_worker_that_was_away():
    """Many requests would wait for the connection of a worker that is away."""
    record = serving.make_worker_records().get('w')
    record.record_failure(serving.FailureKind.UNREACHABLE, now=0)
    assert not record.is_blocked(5)
    record.in_flight = 1
    assert record.is_blocked(5)
    record.record_answer(0.1, is_error=False)
    assert not record.is_blocked(5)
