"""Lists, orders and loads that made the decision about paid workers end workers."""

import math

import attrs
import pytest

from briarknot import scaling
from briarknot.scaling import _allocation, _need
from briarknot.scaling.tests import virtual_fleet

_PERIOD_S = 0.25
#: Share of late prompts that is as good as none.
_FEW = 0.01
_DOMAINS = tuple(virtual_fleet.LIMITS.prices)
_BUSY = scaling.Demand(
    prefill_workers=18, busy_prefill=8, decode_workers=8, busy_decode_share=0.3
)


def make_policy():
    """Makes a policy without history."""
    return scaling.SCALING_POLICIES.get('spot_first')()


def make_snapshot(groups, demand=_BUSY, **limits):
    """Makes a snapshot of groups that are given by domain and kind."""
    return scaling.Snapshot(
        limits=attrs.evolve(virtual_fleet.LIMITS, **limits),
        groups=tuple(
            scaling.Group(domain=key[0], is_spot=key[1], **values)
            for key, values in groups.items()
        ),
        demand=demand,
        target_s=virtual_fleet.TARGET_S,
    )


def play(policy, snapshot, start_s, seconds, *, applies=False):
    """Repeats a snapshot; returns the orders with their times.

    :param applies: whether orders are accepted and fulfilled at once.
    """
    groups = {(one.domain, one.is_spot): one for one in snapshot.groups}
    orders = []
    for step in range(int(seconds / _PERIOD_S)):
        now = start_s + step * _PERIOD_S
        present = attrs.evolve(snapshot, groups=tuple(groups.values()))
        for order in policy.plan(present, now):
            key = (order.domain, order.is_spot)
            orders.append((now, key, order.desired))
            if applies:
                groups[key] = scaling.Group(
                    domain=order.domain,
                    is_spot=order.is_spot,
                    serving=order.desired,
                    ordered=order.desired,
                )
    return orders


def make_present(serving=5, ordered=None):
    """Makes groups of workers that can't be reclaimed."""
    return {
        (domain, False): {'serving': serving, 'ordered': ordered}
        for domain in _DOMAINS
    }


def test_small_service_pays_for_two_workers_only():
    """Five of six workers couldn't be reclaimed, and nothing was saved."""
    fleet = virtual_fleet.Fleet(rate=5, present=1)
    fleet.run(60)
    assert fleet.count() <= 8
    assert fleet.count(is_spot=False) == 2
    assert fleet.fewest >= 5
    assert fleet.late_share() < _FEW


@pytest.mark.parametrize(('lasting', 'safe'), [(0, 2), (6, 2), (9, 3), (24, 6)])
def test_quarter_of_the_lasting_need_is_safe(lasting, safe):
    """A reclaim of all domains leaves these, and more of them cost too much."""
    need = _need.Need(
        total=max(6, lasting),
        kept=0,
        lasting=lasting,
        short_term=5,
        is_observed=True,
        is_quiet=True,
        reason='',
    )
    target = _allocation.allocate(make_snapshot({}), need, {})
    counts = target.counts.items()
    assert sum(count for key, count in counts if not key[1]) == safe


@pytest.mark.parametrize(
    ('prefills', 'decodes'), [(27, 2), (28, 1), (1, 29), (30, 0), (0, 30)]
)
def test_nothing_is_released_while_a_stage_is_short(prefills, decodes):
    """One worker left every 5 s, also the last one of a stage."""
    demand = scaling.Demand(
        prefill_workers=prefills,
        busy_prefill=1,
        decode_workers=decodes,
        busy_decode_share=0.01,
    )
    orders = play(make_policy(), make_snapshot(make_present(), demand), 0, 60)
    assert orders
    assert all(is_spot for _, (_, is_spot), _ in orders)


def test_workers_that_leave_after_an_order_are_no_reclaim():
    """New spot workers were cancelled while released ones still drained."""
    policy = make_policy()
    groups = make_present(2, ordered=2) | {
        (domain, True): {'serving': 2, 'ordered': 2} for domain in _DOMAINS
    }
    play(policy, make_snapshot(groups), 0, 5)
    drains = {'serving': 0, 'ordered': 0, 'is_leaving': True}
    play(policy, make_snapshot(groups | {('b', True): drains}), 5, 1)
    boots = {'serving': 0, 'ordered': 3, 'is_leaving': True}
    orders = play(policy, make_snapshot(groups | {('b', True): boots}), 6, 3)
    assert ('b', True) not in {key for _, key, _ in orders}


def test_next_leader_recognizes_a_reclaim():
    """A leader that starts during a reclaim waited for the ordered workers."""
    leaving = {'serving': 0, 'ordered': 4, 'is_leaving': True}
    groups = make_present(2, ordered=2) | {('b', True): leaving}
    orders = play(make_policy(), make_snapshot(groups), 0, 2)
    assert ('b', True, 0) in {(*key, desired) for _, key, desired in orders}


def test_next_leader_waits_for_a_complete_list():
    """Stored orders for one group made the list of all others count as complete."""
    policy = make_policy()
    for step in range(6):
        groups = make_present(step) | {
            ('b', True): {'serving': 1, 'ordered': 1}
        }
        assert not policy.plan(make_snapshot(groups), step * _PERIOD_S)


def test_domain_that_is_cut_off_keeps_its_workers():
    """Workers that still served their domain were ended when their rows expired."""
    policy = make_policy()
    groups = make_present(5, ordered=5)
    play(policy, make_snapshot(groups), 0, 20)
    cut = {('a', False): {'serving': 0, 'ordered': 5}}
    orders = play(policy, make_snapshot(groups | cut), 20, 20)
    assert all(
        desired >= 5 for _, key, desired in orders if key == ('a', False)
    )
    # Workers that are gone for good are paid no longer than necessary.
    orders = play(policy, make_snapshot(groups | cut), 40, 30)
    assert any(desired < 5 for _, key, desired in orders if key == ('a', False))


def test_lost_workers_are_ordered_again():
    """A group whose workers didn't come was blocked again and again."""
    policy = make_policy()
    groups = make_present(1, ordered=1)
    play(policy, make_snapshot(groups), 0, 5)
    lost = {('b', False): {'serving': 0, 'ordered': 1}}
    orders = play(policy, make_snapshot(groups | lost), 5, 25)
    assert ('b', False) in {key for _, key, _ in orders}


def test_early_request_is_no_demand():
    """A request 30 s before the demand let the workers leave until it came."""
    policy = make_policy()
    groups = make_present()
    idle = scaling.Demand(prefill_workers=21, decode_workers=9)
    probe = attrs.evolve(idle, busy_prefill=1)
    play(policy, make_snapshot(groups, idle), 0, 3)
    play(policy, make_snapshot(groups, probe), 3, 0.5)
    orders = play(policy, make_snapshot(groups, idle), 3.5, 60, applies=True)
    latest = {key: 5 for key in groups} | {
        key: desired for _, key, desired in orders
    }
    assert sum(latest.values()) >= 20


def test_pause_of_the_leader_releases_nothing():
    """After a suspension the window was empty, and a fifth of the workers left."""
    policy = make_policy()
    groups = make_present(4, ordered=4)
    play(policy, make_snapshot(groups), 0, 30)
    orders = play(policy, make_snapshot(groups), 60, 4)
    assert all(is_spot or desired >= 4 for _, (_, is_spot), desired in orders)


def test_demand_that_stops_and_returns_gets_workers():
    """A pause of callers leaves a minimum, from which the fleet grows again."""
    fleet = virtual_fleet.Fleet(rate=70)
    fleet.run(40)
    fleet.run(60, factor=0)
    assert 6 <= fleet.count() <= 12
    assert fleet.count(is_spot=False) >= 2
    fleet.run(30)
    assert fleet.late_share(start_s=115) < _FEW


@pytest.mark.parametrize('prices', [{}, {'a': 0}])
@pytest.mark.parametrize('most', [0, 3])
def test_limits_without_room_are_bounded(prices, most):
    """Services may have no priced domain, or no room for what they need."""
    limits = {'prices': prices, 'least': 0, 'most': most}
    for groups in ({}, make_present(3), make_present(3, ordered=3)):
        snapshot = make_snapshot(groups, **limits)
        orders = play(make_policy(), snapshot, 0, 30)
        assert {key[0] for _, key, _ in orders} <= set(prices)
        assert all(desired <= 3 for _, _, desired in orders)


def test_state_is_bounded():
    """A policy runs for weeks."""
    policy = make_policy()
    snapshot = make_snapshot(make_present())
    sizes = []
    for start_s in (0, 60):
        play(policy, snapshot, start_s, 60)
        sizes.append((len(policy._targets), len(policy._window._samples)))
    assert sizes[0] == sizes[1]
    assert max(sizes[1]) <= math.ceil(15 / _PERIOD_S) + 1


@pytest.mark.parametrize('is_new_leader', [True, False])
def test_loss_of_all_workers_is_repaired(is_new_leader):
    """Nothing was ordered for an empty list, so that it stayed empty."""
    policy = make_policy()
    if not is_new_leader:
        present = make_snapshot(make_present(1, ordered=1))
        play(policy, present, -20, 20)
    empty = make_snapshot(make_present(0, ordered=1), scaling.Demand())
    early = play(policy, empty, 0, 5)
    assert all(is_spot for _, (_, is_spot), _ in early)
    orders = play(policy, empty, 5, 20)
    assert sum({key: desired for _, key, desired in orders}.values()) >= 5


def test_empty_list_without_orders_orders_nothing():
    """Workers are present at the start, and an order for fewer would end them."""
    assert not play(make_policy(), make_snapshot({}), 0, 60)


def test_domain_without_responses_is_replaced():
    """Workers of an order without a response counted as coming for ever."""
    policy = make_policy()
    groups = make_present(2, ordered=2) | {
        (domain, True): {'serving': 2, 'ordered': 2} for domain in _DOMAINS
    }
    groups['b', True] = {'serving': 0, 'ordered': 6, 'is_accepted': False}
    snapshot = make_snapshot(groups)
    before = play(policy, snapshot, 0, 10)
    after = play(policy, snapshot, 10, 30)
    raised = {(key, desired) for _, key, desired in after}
    raised -= {(key, desired) for _, key, desired in before}
    assert any(key[0] != 'b' and desired > 2 for key, desired in raised)
