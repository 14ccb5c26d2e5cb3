"""Pattern: choices that are computed with less work must stay the same.

The policies compute once what several workers share. They are compared with
plain forms, which compute each worker's cost by itself.
"""

import random
from unittest import mock

import hypothesis
from hypothesis import strategies as st

from briarknot import schema, serving
from briarknot.serving import _chance
from briarknot.serving.tests import _plain_policies

_Stage = schema.serving.Stage
_NOW = _plain_policies.NOW
_TOPOLOGY = _plain_policies.TOPOLOGY
_MAX_ENGINES = 20
_PARTS = (900, 4000, 13000)
#: Values of an engine. There are few, so that costs are often equal.
_ENGINE = {
    'domain': 'abcdef',
    'stage': (_Stage.PREFILL, _Stage.DECODE),
    'slots': (0, 4, 8),
    'tokens': (0, 0, 3000, 20_000, 90_000),
    'streams': (0, 3, 9),
    'failures': (0, 0, 0.25),
    'answer_s': (0, 0.25, 1),
    'ratio': (None, 1, 1.7),
    'reported_s': (99.9, 90),
    'slowdown': (0.5, 1, 1, 3),
    'wait_s': (None, None, None, 0, 0.3),
    'in_flight': (0, 2, 4),
}
#: Values that the engines of a view have in common.
_VIEW = {
    'engines': range(1, _MAX_ENGINES + 1),
    'versions': (('',), ('',), ('v1', 'v2'), ('', 'v1', 'v2')),
    'stages': (
        tuple(_Stage),
        tuple(_Stage),
        (_Stage.PREFILL,),
        (_Stage.DECODE,),
    ),
    'cached': ((0,), (0, 0, 1), (0, 1, 2, 3)),
    'link': (0, 1e10, 1e11, 4e11),
    'target_s': (-1, 0.2, 0.7, 60),
    'gap_s': (0, 0.1, 0.3),
    'processes': (1, 90, 340),
    'parts': (0, 1, 3, 4, 4),
}


def draw(source, values):
    """Draws a value of each field."""
    return {name: source.choice(among) for name, among in values.items()}


def make_views(seed):
    """Makes the inputs of the three kinds of choices."""
    source = random.Random(seed)
    drawn = draw(source, _VIEW)
    load = serving.make_prompt_load()
    waits_s = {}
    records = serving.make_worker_records()
    workers = []
    # Prompts with one part, or none, have no shared parts.
    parts = tuple(
        schema.serving.PromptPart(id=f'p{number}', tokens=tokens)
        for number, tokens in enumerate((*_PARTS, 200))
    )[4 - drawn['parts'] :]
    tokens = sum(one.tokens for one in parts) or 50
    prompt = serving.Prompt(parts=parts, tokens=tokens, output_tokens=10)
    for number in range(drawn['engines']):
        engine = draw(source, _ENGINE)
        worker = schema.serving.Worker(
            id=f'w{number}',
            service='s',
            domain=engine['domain'],
            stage=engine['stage'],
            slots=engine['slots'],
            version=source.choice(drawn['versions']),
        )
        workers.append(worker)
        load.work.add(
            worker.id, tokens=engine['tokens'], streams=engine['streams']
        )
        for part in parts[: source.choice(drawn['cached'])]:
            cached = schema.messages.CachedPart(
                worker=worker.id, part=part.id, tokens=part.tokens
            )
            ready_s = _NOW + source.choice((-1, 0, 0, 3))
            load.caches.record_parts((cached,), ready_s)
        load._slowdowns[worker.id] = engine['slowdown']
        record = records.get(worker.id)
        record.failure_rate = engine['failures']
        record.answer_s = engine['answer_s']
        record.in_flight = engine['in_flight']
        if engine['ratio'] is not None:
            reported = serving.Load(
                running=3, waiting=1, slots=4, work_time_ratio=engine['ratio']
            )
            record.record_load(reported, engine['reported_s'])
        if engine['wait_s'] is not None:
            waits_s[worker.id] = engine['wait_s']
    load.gaps.record('s', 0.4, queued_s=1)
    stages = {
        stage: tuple(
            one
            for one in workers
            if one.stage == stage and stage in drawn['stages']
        )
        for stage in _Stage
    }
    view = serving.PlacementView(
        load=load,
        worker_records=records,
        topology=_TOPOLOGY,
        prefills=stages[_Stage.PREFILL],
        decodes=stages[_Stage.DECODE],
        target_s=drawn['target_s'],
        limits=schema.serving.EngineLimits(
            kv_token_bytes=20_000, link_bits_per_s=drawn['link']
        ),
        event_gap_s=drawn['gap_s'],
        random_source=source,
        processes=drawn['processes'],
        turn_waits_s=waits_s,
    )
    decode = serving.DecodeView(
        records,
        _TOPOLOGY,
        source,
        load,
        drawn['gap_s'],
        drawn['processes'],
        waits_s,
    )
    plain = serving.PlainView(records, _TOPOLOGY, source, waits_s)
    return view, decode, plain, tuple(workers), prompt


def run(policy, *inputs):
    """Runs a policy; returns its results, costs, and use of randomness.

    Its results are its choice, and what it returns for each other option.
    """
    source = inputs[0].random_source
    state = source.getstate()
    chosen = policy(*inputs)
    used = source.getstate()
    source.setstate(state)
    results = [chosen]
    costs = []

    def force(options, option_costs, spread, _source):
        costs.append((*option_costs, spread))
        index = len(costs) - 1
        return options[min(index, len(options) - 1)]

    with mock.patch.object(_chance, 'choose_near_cheapest', force):
        results.extend(policy(*inputs) for _ in range(_MAX_ENGINES))
    source.setstate(state)
    return results, costs, used


@hypothesis.settings(max_examples=400)
@hypothesis.given(seed=st.integers(0, 2**32))
def test_choices_are_those_of_the_plain_policies(seed):
    """A faster choice sent prompts elsewhere than the policy says."""
    view, decode, plain, workers, prompt = make_views(seed)
    kv_source = serving.KvSource(worker=workers[0], handle='h', tokens=1)
    place = serving.PLACEMENT_POLICIES.get('predicted')
    choose_decode = serving.DECODE_POLICIES.get('least_tokens')
    choose_plain = serving.PLAIN_POLICIES.get('least_cost')
    assert run(place, view, prompt, _NOW) == run(
        _plain_policies.place, view, prompt
    )
    assert run(choose_decode, decode, workers, kv_source, _NOW) == run(
        _plain_policies.choose_decode, decode, workers, kv_source
    )
    assert run(choose_plain, plain, workers, _NOW) == run(
        _plain_policies.choose_plain, plain, workers
    )
