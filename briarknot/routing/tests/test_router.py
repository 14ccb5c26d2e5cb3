"""Tests that unfit engines get no work and old reports cause no herding."""

import collections

import attrs
import pytest

from briarknot import routing, schema

_Role = schema.fleet.Role
_FOUR_MIXED = (_Role.MIXED, _Role.MIXED, _Role.MIXED, _Role.MIXED)
_MODEL = schema.fleet.Model(name='m', max_streams=4)


def _make_view(*roles: schema.fleet.Role) -> routing.View:
    engines = tuple(
        schema.fleet.Engine(name=f'e{index}', domain='d', model='m', role=role)
        for index, role in enumerate(roles)
    )
    document = schema.fleet.Fleet(models=(_MODEL,), engines=engines)
    return routing.make_view(document, 'd')


def _estimate(word: str = 'word') -> routing.WorkEstimate:
    prompt = f'{word} ' * 8000
    blocks = routing.hash_blocks(prompt)
    estimator = routing.make_estimator([_MODEL])
    return estimator.estimate('a', 'k', 'm', blocks, len(prompt.split()), 100)


def _choose(view, now, policy='least_work', **options):
    router = routing.make_router(policy, 1)
    return router.choose_engine(view, _estimate(), now, **options)


@pytest.mark.parametrize('policy', routing.ROUTERS.names)
def test_unfit_engines_get_no_work(policy):
    """Drained, failed, and excluded engines must stay out of every policy."""
    view = _make_view(*_FOUR_MIXED)
    view.apply_drain('e0', 3, active=True)
    view.mark_failed('e1', 0)
    choice = _choose(view, 0, policy, exclude=frozenset(('e2',)))
    assert choice.engine.name == 'e3'
    view.apply_drain('e3', 4, active=True)
    none = _choose(view, 0, policy, exclude=frozenset(('e2',)))
    assert not none and '2 draining' in none.reason


def test_drain_mark_is_not_set_again_by_a_late_copy():
    """A mark that is repeated after its release would keep the engine idle."""
    view = _make_view(_Role.MIXED)
    view.apply_drain('e0', 3, active=True)
    view.apply_drain('e0', 3, active=False)
    view.apply_drain('e0', 3, active=True)
    view.apply_drain('e0', 2, active=True)
    assert _choose(view, 0)


def test_drain_mark_is_kept_until_its_engine_is_declared():
    """If a mark read before the document were lost, work would be cut off."""
    view = routing.make_view(schema.fleet.Fleet(), 'd')
    view.apply_drain('e0', 3, active=True)
    declared = _make_view(_Role.MIXED)
    view.apply_document(
        schema.fleet.Fleet(
            engines=tuple(
                attrs.evolve(one.engine, domain='d') for one in declared.engines
            )
        )
    )
    assert not _choose(view, 0)


def test_dispatches_count_before_the_report():
    """Stale reports of idle engines must not attract a whole burst."""
    view = _make_view(*_FOUR_MIXED)
    stale = schema.endpoints.LoadReport(role=_Role.MIXED, as_of_age_s=2)
    for name in ('e0', 'e1', 'e2', 'e3'):
        view.apply_report(name, stale, 10)
    used = collections.Counter()
    for index in range(40):
        work = _estimate(f'x{index}')
        choice = routing.make_router('least_work', index).choose_engine(
            view, work, 10
        )
        view.start_attempt(choice.engine.name, work, 10)
        used[choice.engine.name] += 1
    assert max(used.values()) - min(used.values()) <= 2


def test_report_that_includes_a_dispatch_replaces_it():
    """Counting a dispatch twice would halve the use of an engine."""
    view = _make_view(_Role.MIXED)
    view.start_attempt('e0', _estimate(), 1)
    one = view.find_engine('e0')
    report = schema.endpoints.LoadReport(
        as_of_age_s=0.5, running=1, queued_prefill_tokens=100
    )
    view.apply_report('e0', report, 2)
    assert one.count_streams(2) == 1
    assert one.prefill_backlog(1.5) == 100


def test_cached_prefix_attracts_until_its_engine_is_busy():
    """Prefix affinity that ignores load would overload an engine."""
    view = _make_view(_Role.MIXED, _Role.MIXED)
    work = _estimate()
    view.end_attempt(view.start_attempt('e1', work, 0), 1, ok=True)
    assert {_choose(view, 60).engine.name for _ in range(9)} == {'e1'}
    for index in range(8):
        view.start_attempt('e1', _estimate(f'y{index}'), 60)
    assert _choose(view, 60).engine.name == 'e0'


def test_slow_engine_loses_traffic_and_regains_it_gradually():
    """A slow engine that kept its share would miss the targets."""
    view = _make_view(_Role.MIXED, _Role.MIXED)
    attempt = view.start_attempt('e0', _estimate('a'), 0)
    view.end_attempt(attempt, 20, ok=True, first_token_s=20)
    assert _choose(view, 21).engine.name == 'e1'
    factors = [view.find_engine('e0').penalty(now) for now in (21, 30, 110)]
    assert factors == sorted(factors, reverse=True)
    assert factors[1] > 5 and factors[2] < 1 + 1e-3


def test_silent_engine_loses_traffic_before_its_attempt_ends():
    """An engine that stops sending must not get work until a timeout."""
    view = _make_view(_Role.MIXED, _Role.MIXED)
    view.start_attempt('e0', _estimate('a'), 0)
    assert view.find_engine('e0').penalty(60) > 10


def test_roles_are_paired_with_a_kv_transfer():
    """A decode engine can't prefill, and a prefill engine can't decode."""
    assert not _choose(_make_view(_Role.DECODE), 0)
    assert not _choose(_make_view(_Role.PREFILL), 0)
    choice = _choose(_make_view(_Role.PREFILL, _Role.DECODE), 0)
    assert choice.prefill_engine.name == 'e0' and choice.engine.name == 'e1'


def test_lost_cache_events_drop_the_older_blocks():
    """After lost evictions, blocks that the engine evicted would count."""
    view = _make_view(_Role.MIXED)
    events = [
        schema.endpoints.CacheEvent(seq=seq, stored=True, block=str(seq))
        for seq in (1, 2, 3, 4, 9)
    ]
    view.apply_cache_events('e0', events)
    cache = view.find_engine('e0').cache
    assert not cache.count_leading(('1',)) and cache.count_leading(('4', '9'))


def test_prior_of_output_length_loses_weight():
    """An estimator that kept its prior would underestimate long answers."""
    estimator = routing.make_estimator()
    for _ in range(40):
        estimator.learn('a', 'k', 1000)
    learned = estimator.estimate('a', 'k', 'm', (), 1, 0)
    assert 850 < learned.expected_tokens <= 1000
    other = estimator.estimate('b', 'k', 'm', (), 1, 0)
    assert 850 < other.expected_tokens < learned.expected_tokens
    assert estimator.estimate('a', 'l', 'm', (), 1, 0).expected_tokens == 128


def test_other_domain_only_where_the_target_is_missed():
    """A hop that saves nothing would be slow and billed by volume."""
    near, far = _make_view(_Role.MIXED), _make_view(_Role.MIXED)
    work = _estimate()
    near.start_attempt('e0', _estimate('busy'), 0)
    local_s = _choose(near, 0).expected_first_token_s
    summaries = (routing.make_summary(far, 0),)
    assert not routing.choose_domain(work, local_s, 5, summaries, 0.1)
    assert routing.choose_domain(work, local_s, 1.2, summaries, 0.1)
    assert not routing.choose_domain(work, local_s, 1.2, summaries, 2)
    far.mark_failed('e0', 0)
    summaries = (routing.make_summary(far, 0),)
    assert not routing.choose_domain(work, local_s, 1.2, summaries, 0.1)
