"""Pattern: many processes choose on the same late load; see test_herding."""

import collections
import random

import hypothesis
import pytest
from hypothesis import strategies

from briarknot import schema, serving
from briarknot.serving import _send_rates, _water_filling
from briarknot.serving.tests import test_choices as choices

_Stage = schema.serving.Stage
_NOW = 1000.0
_loads = strategies.lists(strategies.floats(0, 100), min_size=1, max_size=60)


@hypothesis.given(_loads, strategies.floats(0.001, 100))
def test_level_holds_the_whole_amount(loads, amount):
    """A level that is too low sends the requests of others to fewer workers."""
    level = _water_filling.compute_level(loads, amount)
    held = sum(max(0, level - load) for load in loads)
    assert held >= amount * 0.999
    assert level <= min(loads) + amount


def choose_streams(domains, policy_name, processes):
    """Counts the workers that get streams; the first one already has a stream.

    :param domains: failure domain of each worker.
    :param policy_name: name of the policy.
    :param processes: processes that choose.
    """
    workers = choices.make_workers(*domains, stage=_Stage.DECODE)
    load = serving.make_prompt_load()
    load.work.add('w0', streams=1)
    # At the time of the choices, each process has sent a stream every 10 s.
    load.sent_streams.record('s', '', 1, _NOW - 100)
    view = serving.DecodeView(
        serving.make_worker_records(),
        serving.Topology('a', {'a': 'north', 'b': 'north', 'c': 'south'}),
        random.Random(1),
        load,
        processes=processes,
    )
    policy = serving.DECODE_POLICIES.get(policy_name)
    return collections.Counter(
        policy(view, workers, None, _NOW).id for _ in range(200)
    )


def test_requests_stay_near_when_others_fill_near_workers():
    """Traffic to other regions is billed, and only real load justifies it."""
    counts = choose_streams('aaacccccc', 'least_tokens_filled', 90)
    assert counts.keys() <= {'w0', 'w1', 'w2'}
    assert 2 * counts['w0'] < min(counts['w1'], counts['w2'])


def test_single_process_chooses_as_before():
    """A process without others has nobody's requests to expect."""
    counts = choose_streams('aaa', 'least_tokens_filled', 1)
    assert counts == choose_streams('aaa', 'least_tokens', 1)
    assert 'w0' not in counts


def test_prompts_avoid_a_long_queue_and_spread_over_others():
    """Prompts must not go to a loaded engine because others are expected."""
    workers = choices.make_workers('a', 'a', 'a', 'a', stage=_Stage.PREFILL)
    load = serving.make_prompt_load()
    view = serving.PlacementView(
        load=load,
        worker_records=serving.make_worker_records(),
        topology=serving.Topology('a', {'a': 'north'}),
        prefills=workers,
        decodes=(),
        target_s=1,
        random_source=random.Random(1),
        processes=90,
    )
    prompt = choices.make_prompt('k', shared=4000)
    for worker in workers:
        load.caches.record_prompt(worker.id, prompt, 0)
    load.work.add('w0', tokens=50_000)
    policy = serving.PLACEMENT_POLICIES.get('predicted_filled')
    chosen = {policy(view, prompt, 1).prefill_worker.id for _ in range(100)}
    assert chosen == {'w1', 'w2', 'w3'}


def test_rate_of_a_started_process_is_not_taken_for_idle():
    """After a power loss all processes start with few sends at once."""
    rates = _send_rates.SendRates()
    assert rates.get_per_s('s', '', 0, 1) == pytest.approx(1)
    for number in range(40):
        rates.record('s', '', 1, number * 0.5)
    assert rates.get_per_s('s', '', 20, 1) == pytest.approx(2, rel=0.2)
    assert rates.get_per_s('s', '', 80, 1) == pytest.approx(0.1, rel=0.1)
