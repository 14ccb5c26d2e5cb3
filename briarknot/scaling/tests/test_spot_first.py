"""Load patterns that the decision about paid workers handles."""

import attrs
import pytest

from briarknot import scaling
from briarknot.scaling.tests import virtual_fleet

_KEEP_S = 15
_SETTLED_S = 60
#: Share of late prompts that is as good as none.
_FEW = 0.01


def make_settled(rate=70):
    """Makes a fleet that has replaced most of its workers."""
    fleet = virtual_fleet.Fleet(rate=rate)
    fleet.run(_SETTLED_S)
    fleet.waits.clear()
    return fleet


def list_new(orders):
    """Lists the orders after the fleet had settled."""
    return [one for one in orders if one[0] > _SETTLED_S - 1 / 8]


def list_reversals(orders, present=5):
    """Lists orders that reduce a group within 15 s after one that raised it."""
    latest, raised, reversals = {}, {}, []
    for now, key, desired in orders:
        first = 0 if key[1] else present
        before = latest.get(key, first)
        latest[key] = desired
        if desired > before:
            raised[key] = now
        elif now - raised.get(key, -_KEEP_S) < _KEEP_S:
            reversals.append((now, key, desired))
    return reversals


@pytest.mark.parametrize(('rate', 'present'), [(35, 2), (70, 2), (70, 5)])
def test_start_replaces_kinds_without_a_loss_of_workers(rate, present):
    """All workers of the start were paid at the full price to the end."""
    fleet = virtual_fleet.Fleet(rate=rate, present=present)
    kept = virtual_fleet.Fleet(
        rate=rate, present=present, policy='keep_present'
    )
    for one in (fleet, kept):
        one.run(60)
    assert fleet.late_share() <= kept.late_share() + _FEW / 10
    assert fleet.fewest >= present * 4
    assert fleet.count(is_spot=False) in {5, 6, 7}
    assert fleet.count(is_spot=True) >= 7
    assert fleet.price < kept.price
    assert not list_reversals(fleet.orders, present)


def test_no_demand_yet_keeps_two_thirds():
    """Caches are empty when the first callers come, and prompts need more work."""
    fleet = virtual_fleet.Fleet(rate=0)
    fleet.run(60)
    assert fleet.fewest >= 20
    assert 20 <= fleet.count() <= 22
    assert fleet.count(is_spot=False) <= 8
    fleet.rate = 70
    fleet.run(30)
    assert fleet.late_share() < _FEW


def test_waves_of_demand_reverse_no_order():
    """Demand goes 27 % up and down every 11 s, faster than workers start."""
    fleet = make_settled()
    fleet.run(66)
    assert not list_reversals(fleet.orders)
    assert len(list_new(fleet.orders)) <= 12
    assert fleet.late_share() < _FEW


def test_step_to_a_multiple_gets_workers_within_seconds():
    """Queues of a step to 1.7 times the demand grew until its end."""
    fleet = make_settled()
    fleet.run(30, factor=1.7)
    # The load is 0.75 s old and averaged over 2 s.
    assert list_new(fleet.orders)[0][0] < 63
    assert fleet.late_share() < 3 * _FEW
    assert fleet.late_share(start_s=72) < _FEW
    assert not list_reversals(fleet.orders)


@pytest.mark.parametrize('elsewhere', [True, False])
def test_reclaim_of_a_domain_leaves_enough(elsewhere):
    """A reclaim takes all spot workers of a domain with a notice of 2 s."""
    fleet = make_settled()
    for domain in virtual_fleet.LIMITS.prices:
        if not elsewhere:
            fleet.no_spot[domain] = fleet.now + 10
    before = fleet.count()
    fleet.reclaim('b')
    fleet.run(20)
    assert fleet.late_share() < _FEW
    assert fleet.count() >= before - 2
    new = list_new(fleet.orders)
    raised = [key for now, key, desired in new if now < 70 and desired]
    assert raised
    assert ('b', True) not in raised
    if elsewhere:
        assert all(key[1] for key in raised)


def test_reclaim_of_all_domains_leaves_the_most_urgent_requests():
    """No spot workers for 10 s; the other kind replaces them meanwhile."""
    fleet = make_settled()
    safe = fleet.count(is_spot=False)
    for domain in virtual_fleet.LIMITS.prices:
        fleet.reclaim(domain)
    fleet.run(9)
    assert safe >= 5
    assert fleet.count(is_spot=False) >= 2 * safe
    fleet.run(60)
    assert fleet.late_share(start_s=75) < _FEW
    assert fleet.count(is_spot=False) <= safe + 1


def test_few_decode_workers_are_released_one_by_one():
    """The platform chose both decode workers beyond three, and all others too."""
    policy = scaling.SCALING_POLICIES.get('spot_first')()
    snapshot = scaling.Snapshot(
        limits=virtual_fleet.LIMITS,
        groups=tuple(
            scaling.Group(domain=domain, is_spot=False, serving=5)
            for domain in virtual_fleet.LIMITS.prices
        ),
        demand=scaling.Demand(
            prefill_workers=26, busy_prefill=2, decode_workers=4
        ),
    )
    released = []
    for step in range(40):
        for order in policy.plan(snapshot, step / 4):
            if not order.is_spot:
                released.append((step / 4, order.desired))
    assert released == [(2, 4), (7, 4)]
    no_decode = attrs.evolve(
        snapshot, demand=attrs.evolve(snapshot.demand, decode_workers=0)
    )
    for step in range(40, 80):
        orders = policy.plan(no_decode, step / 4)
        assert all(one.is_spot for one in orders)


def test_unavailable_workers_are_ordered_in_other_domains():
    """A domain answered 409, and its share of the workers was missing."""
    fleet = virtual_fleet.Fleet(rate=70)
    fleet.no_spot['b'] = 30
    fleet.run(25)
    counts = fleet.count(is_spot=True)
    assert counts >= 14
    refused = [now for now, key, _ in fleet.orders if key == ('b', True)]
    # One call every 2 s notices the end, far below 50 calls per second.
    assert len(refused) <= 13
    fleet.run(35)
    assert any(now > 30 for now, key, _ in fleet.orders if key == ('b', True))


def test_silent_platform_gets_no_flood_of_orders():
    """Orders without a response for 10 s were followed by others elsewhere."""
    fleet = make_settled()
    fleet.silent_until_s = fleet.now + 10
    fleet.reclaim('b')
    fleet.run(9)
    assert len(list_new(fleet.orders)) <= 20
    present = fleet.count()
    fleet.run(30)
    assert fleet.count() <= present + 8
    assert fleet.late_share(start_s=75) < _FEW


def test_next_leader_goes_on_from_what_is_listed():
    """A leader without figures reduced the workers, or ordered them again."""
    fleet = make_settled()
    before = fleet.count()
    fleet.change_leader()
    fleet.run(14)
    assert all(key[1] for _, key, _ in list_new(fleet.orders))
    assert fleet.count() >= before
    assert fleet.count() <= before + 6
    fleet.run(46)
    assert abs(fleet.count() - before) <= 4
    assert fleet.late_share() < _FEW


def test_incomplete_list_orders_nothing():
    """An order for the two listed workers of a domain ended three others."""
    policy = scaling.SCALING_POLICIES.get('spot_first')()
    for step in range(8):
        groups = tuple(
            scaling.Group(domain=domain, is_spot=False, serving=step)
            for domain in virtual_fleet.LIMITS.prices
        )
        snapshot = scaling.Snapshot(
            limits=virtual_fleet.LIMITS,
            groups=groups,
            demand=scaling.Demand(),
        )
        assert not policy.plan(snapshot, step * 0.25)
    assert policy.plan(snapshot, 2.75)


def test_full_domains_get_no_workers_beyond_the_limit():
    """The platform refuses an order for more workers than a domain may have."""
    fleet = virtual_fleet.Fleet(rate=120, present=9)
    fleet.run(5)
    assert any(key[1] for _, key, _ in fleet.orders)
    most = virtual_fleet.LIMITS.most
    latest = {key: desired for _, key, desired in fleet.orders}
    for domain in virtual_fleet.LIMITS.prices:
        others = latest.get((domain, False), 9)
        assert latest.get((domain, True), 0) + others <= most


def test_baseline_orders_nothing():
    """Baseline of comparisons."""
    fleet = virtual_fleet.Fleet(rate=70, policy='keep_present')
    fleet.run(5)
    assert not fleet.orders
