"""Pattern: the mix of prompts and answers shifts between two stages.

Long prompts queue at prefill workers while decode workers have room, or long
answers fill the decode workers.
"""

import itertools

import attrs
import pytest

from briarknot import planning, schema

_Stage = schema.serving.Stage
_PERIOD_S = 0.25


def make_engines(prefills, decodes, *, queued_s=0, streams=0):
    """Makes engines of two stages, in turn in three domains."""
    stages = (
        *itertools.repeat(_Stage.PREFILL, prefills),
        *itertools.repeat(_Stage.DECODE, decodes),
    )
    return tuple(
        planning.StagedEngine(
            id=f'e{index:02}',
            domain='abc'[index % 3],
            stage=stage,
            queued_s=queued_s if stage == _Stage.PREFILL else 0,
            streams=streams if stage == _Stage.DECODE else 0,
            stream_tokens=streams * 5000 if stage == _Stage.DECODE else 0,
        )
        for index, stage in enumerate(stages)
    )


def plan(planner, engines, *, start_s=0, seconds=3):
    """Feeds a constant load; returns the first change with its time, or None."""
    snapshot = planning.StageSnapshot(
        engines=engines, slots=64, kv_tokens=600_000
    )
    for step in range(int(seconds / _PERIOD_S)):
        now = start_s + step * _PERIOD_S
        change = planner.plan(snapshot, now)
        if change:
            return now, change
    return None


def make_planner(name='queue_pressure'):
    """Makes a planner without history."""
    return planning.STAGE_PLANNERS.get(name)()


def test_wave_of_long_prompts_turns_an_idle_decode_worker():
    """Prompts waited 0.4 s beside decode workers with 7 streams each."""
    engines = make_engines(3, 4, queued_s=0.4, streams=7)
    time_s, change = plan(make_planner(), engines)
    assert change.stage == _Stage.PREFILL
    assert len(change.engines) == 1
    assert time_s < 2


def test_each_of_two_versions_keeps_two_decode_workers():
    """Streams of the only decode worker of a version ended with its crash."""
    engines = make_engines(3, 5, queued_s=0.4, streams=7)
    versions = ('v1', 'v1', 'v1', 'v1', 'v1', 'v2', 'v2', 'v2')
    mixed = tuple(
        attrs.evolve(engine, version=version)
        for engine, version in zip(engines, versions, strict=True)
    )
    _, change = plan(make_planner(), mixed)
    assert set(change.engines) <= {'e05', 'e06', 'e07'}
    assert plan(make_planner(), (*mixed[:5], *mixed[6:])) is None


def test_version_without_decode_workers_gets_one():
    """Half of the engines had no work: no decode worker could use their caches."""
    engines = make_engines(4, 2, streams=7)
    versions = ('v1', 'v1', 'v1', 'v2', 'v2', 'v2')
    mixed = tuple(
        attrs.evolve(engine, version=version)
        for engine, version in zip(engines, versions, strict=True)
    )
    _, change = plan(make_planner(), mixed)
    assert change.stage == _Stage.DECODE
    assert len(change.engines) == 1
    assert set(change.engines) <= {'e00', 'e01', 'e02'}
    assert plan(make_planner(), mixed[2:]) is None


def test_fixed_stages_change_nothing():
    """Baseline of comparisons."""
    engines = make_engines(3, 3, queued_s=5, streams=7)
    assert plan(make_planner('static'), engines) is None


def test_short_wave_changes_nothing():
    """A change takes longer than the wave, and costs the engine's work."""
    planner = make_planner()
    busy = make_engines(3, 4, queued_s=0.4, streams=7)
    idle = make_engines(3, 4, streams=7)
    for start_s in range(0, 60, 6):
        assert plan(planner, idle, start_s=start_s, seconds=5.5) is None
        assert plan(planner, busy, start_s=start_s + 5.5, seconds=0.5) is None


@pytest.mark.parametrize(
    ('prefills', 'decodes', 'streams'),
    [(1, 2, 1), (3, 3, 1), (3, 4, 50), (4, 2, 1)],
)
def test_needed_decode_workers_stay(prefills, decodes, streams):
    """The loss of one of two decode workers stops half of all answers."""
    engines = make_engines(prefills, decodes, queued_s=2, streams=streams)
    assert plan(make_planner(), engines) is None


def test_streams_of_the_last_seconds_count():
    """Between two bursts of streams, decode workers seemed to be idle."""
    planner = make_planner()
    burst = make_engines(3, 4, queued_s=0.4, streams=50)
    quiet = make_engines(3, 4, queued_s=0.4, streams=1)
    assert plan(planner, burst) is None
    assert plan(planner, quiet, start_s=3, seconds=2) is None


def test_large_fleet_turns_several_engines_of_several_domains():
    """One engine at a time took minutes to follow the mix."""
    engines = make_engines(21, 38, queued_s=0.5, streams=5)
    _, change = plan(make_planner(), engines)
    domains = {one.domain for one in engines if one.id in change.engines}
    assert len(change.engines) == 7
    assert domains == set('abc')


def test_full_decode_workers_get_a_spare_prefill_worker():
    """Answers waited for slots while prefill workers were idle."""
    engines = make_engines(4, 2, streams=60)
    _, change = plan(make_planner(), engines)
    assert change.stage == _Stage.DECODE
    assert len(change.engines) == 1


def test_next_change_waits_for_the_effect_of_the_last():
    """Stages oscillated, as the queues follow a change only after seconds."""
    planner = make_planner()
    engines = make_engines(3, 5, queued_s=0.4, streams=3)
    time_s, _ = plan(planner, engines)
    planner.record_change(time_s)
    assert plan(planner, engines, start_s=time_s, seconds=4) is None
    assert plan(planner, engines, start_s=time_s + 4, seconds=4)


def test_loss_of_all_decode_workers_is_repaired_at_once():
    """Three decode workers left; prompts were prefilled in vain until the end."""
    planner = make_planner()
    assert plan(planner, make_engines(7, 3, streams=7), seconds=2) is None
    planner.record_change(2)
    left = make_engines(7, 0, queued_s=0.4)
    time_s, change = plan(planner, left, start_s=2)
    assert time_s == 2
    assert change.stage == _Stage.DECODE
    assert len(change.engines) == 3
    domains = {one.domain for one in left if one.id in change.engines}
    assert domains == set('abc')


@pytest.mark.parametrize(('prefills', 'changed'), [(2, 1), (1, 1), (20, 6)])
def test_decode_comes_back_in_fleets_of_any_size(prefills, changed):
    """A lone prefill worker serves nobody; a decode worker prefills too."""
    time_s, change = plan(make_planner(), make_engines(prefills, 0))
    # The first list that a process reads may not be complete.
    assert time_s > 1
    assert change.stage == _Stage.DECODE
    assert len(change.engines) == changed


def test_one_version_gets_all_new_decode_workers():
    """KV caches stay within a version, so that one for each serves less."""
    engines = tuple(
        attrs.evolve(engine, version='v1' if index < 4 else 'v2')
        for index, engine in enumerate(make_engines(6, 0))
    )
    _, change = plan(make_planner(), engines)
    assert set(change.engines) <= {'e00', 'e01', 'e02', 'e03'}


def test_full_decode_workers_get_help_while_prompts_wait():
    """Most decode workers left; prompts waited for the slots of the last one."""
    engines = make_engines(5, 1, queued_s=0.4, streams=90)
    _, change = plan(make_planner(), engines)
    assert change.stage == _Stage.DECODE


def test_loss_of_all_prefill_workers_is_repaired():
    """Decode workers prefilled at half the speed, beside running streams."""
    planner = make_planner()
    _, change = plan(planner, make_engines(0, 6, streams=5))
    assert change.stage == _Stage.PREFILL
    assert plan(make_planner(), make_engines(0, 3, streams=5)) is None


def test_missing_decode_workers_come_back_together():
    """One at a time, the last decode worker had 2.5 times its streams for 10 s."""
    engines = make_engines(22, 1, queued_s=0.4, streams=160)
    _, change = plan(make_planner(), engines)
    assert change.stage == _Stage.DECODE
    assert len(change.engines) == 6


def test_few_idle_decode_workers_get_others():
    """Released workers left one decode worker of seven, which could be lost too."""
    _, change = plan(make_planner(), make_engines(6, 1, streams=1))
    assert change.stage == _Stage.DECODE
    assert len(change.engines) == 2


def test_replacement_of_decode_workers_is_not_repeated():
    """All prefill workers became decode workers before the first were listed."""
    planner = make_planner()
    time_s, change = plan(planner, make_engines(20, 0))
    planner.record_change(time_s)
    left = make_engines(20 - len(change.engines), 0)
    assert plan(planner, left, start_s=time_s, seconds=5) is None
    assert plan(planner, left, start_s=time_s + 5, seconds=1)
