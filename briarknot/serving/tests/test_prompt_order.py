"""Pattern: more prompts arrive than the engines can prefill in time."""

import attrs

from briarknot import schema, serving
from briarknot.serving import _prompt_order
from briarknot.serving.tests import test_choices as choices

_Stage = schema.serving.Stage
#: Work that an engine prefills in about 2 s.
_QUEUE = 110_000


def place(view, order='on_time_first', rank=1, *, is_above_share=False):
    """Places a prompt by the present policy."""
    levels = _prompt_order.PROMPT_ORDERS.get(order)(
        rank, is_above_share=is_above_share
    )
    policy = serving.PLACEMENT_POLICIES.get('predicted')
    prompt = choices.make_prompt('k')
    return policy(attrs.evolve(view, levels=levels), prompt, 0)


def make_view(*levels, target_s=1):
    """Makes a view of one prefill worker with a queue at some levels."""
    workers = choices.make_workers('a', stage=_Stage.PREFILL)
    view = choices.make_view(workers, target_s=target_s)
    for level in levels:
        view.load.work.add('w0', tokens=_QUEUE, level=level)
    return view


def test_prompt_goes_before_late_ones():
    """All prompts were late, each behind others that were late anyway."""
    ahead = place(make_view(4))
    assert (ahead.level, ahead.is_late) == (3, False)
    assert ahead.expected_s < 1
    behind = place(make_view(3))
    assert (behind.level, behind.is_late) == (4, True)
    assert behind.expected_s > 2


def test_late_prompt_waits_for_earlier_and_equal_levels():
    """Its client would wait for a time that the engine can't keep."""
    view = make_view(3, 4, 6, target_s=0.01)
    assert 4 < place(view).expected_s < 5
    assert place(view, rank=2).expected_s > 6


def test_work_without_a_level_goes_first():
    """Processes of the previous version report no levels."""
    assert place(make_view(None)).is_late
    assert place(make_view(None, 4)).expected_s > 4


def test_order_by_rank_reports_no_levels():
    """Messages and choices of a fleet without the setting would change."""
    view = make_view(None, 9)
    placement = place(view, 'by_rank')
    assert (placement.level, placement.is_late) == (3, False)
    assert placement.expected_s > 4
    view = make_view()
    view.load.add(place(view, 'by_rank'), choices.make_prompt('k'), 0)
    assert not view.load.work.local[0].level_tokens


def test_ended_prompt_leaves_no_work_at_its_level():
    """Prompts would wait behind it for as long as the process runs."""
    view = make_view(3)
    placement = place(view)
    prompt = choices.make_prompt('k')
    view.load.add(placement, prompt, 0)
    work = view.load.work.local[0]
    assert work.level_tokens == (0, 0, 0, _QUEUE, placement.work)
    view.load.remove(placement, prompt, 5, 5, is_prefilled=True)
    assert view.load.work.local[0].level_tokens == (0, 0, 0, _QUEUE)
    # Prompts that overtook it say nothing on the speed of the engine.
    assert view.load.get_slowdown(placement.prefill_worker) == 1


def test_account_above_its_share_comes_later_where_others_wait():
    """One account's burst made the prompts of all others late."""
    assert place(make_view(4), is_above_share=True).level == 5
    assert place(make_view(5), is_above_share=True).level == 4
    assert place(make_view(), is_above_share=True).level == 3
    assert place(make_view(9), rank=3, is_above_share=True).level == 9


def test_only_accounts_with_recent_work_have_shares():
    """An account would come later although the others ask for nothing."""
    shares = serving.make_prompt_load().account_shares
    group = ('s', 1)
    for account, work in (('a', 30), ('b', 10), ('', 99)):
        shares.record(group, account, work, now=0)
    shares.record(('s', 2), 'b', 99, now=4)
    assert shares.is_above(group, 'a', now=5)
    assert not shares.is_above(group, 'b', now=5)
    assert not shares.is_above(group, 'c', now=5)
    shares.record(group, 'a', 5, now=5)
    assert not shares.is_above(group, 'a', now=6)


def test_resumed_streams_keep_the_first_level():
    """A broken stream waited behind prompts of its rank, and its client left."""
    levels = _prompt_order.order_on_time_first(
        1, is_above_share=True, is_resumed=True
    )
    view = attrs.evolve(make_view(3, target_s=-5), levels=levels)
    policy = serving.PLACEMENT_POLICIES.get('predicted')
    assert policy(view, choices.make_prompt('k'), 0).level == 3


def test_levels_above_the_sum_hide_no_work_ahead():
    """A prompt would be expected at once behind a queue of its level."""
    work = schema.messages.WorkerWork(tokens=30, level_tokens=(20, 0, 40))
    assert _prompt_order.count_ahead(work, 0) == 20
    assert _prompt_order.count_ahead(work, 9) == 30


def test_free_engine_is_chosen_before_the_client_leaves():
    """A request was refused for the queue of cache holders beside a free one."""
    workers = choices.make_workers('a', 'a', 'a', 'a', stage=_Stage.PREFILL)
    view = choices.make_view(workers, target_s=0.01)
    parts = (
        schema.serving.PromptPart(id='k', tokens=12_000),
        schema.serving.PromptPart(id='own', tokens=400),
    )
    prompt = serving.Prompt(parts=parts, tokens=12_400, output_tokens=200)
    for worker in workers[:3]:
        view.load.caches.record_prompt(worker.id, prompt, 0)
        view.load.work.add(worker.id, tokens=_QUEUE * 2, level=3)
    levels = _prompt_order.order_on_time_first(1, is_above_share=False)
    view = attrs.evolve(view, levels=levels)
    policy = serving.PLACEMENT_POLICIES.get('predicted')
    assert policy(view, prompt, 0).expected_s > 3
    in_time = attrs.evolve(view, max_expected_s=3)
    placement = policy(in_time, prompt, 0)
    assert placement.prefill_worker == workers[3]
    assert placement.expected_s < 1
