"""Pattern: prompts exceed the capacity of the engines for some seconds."""

import pytest

from benchmarks import _prompt_order

#: Least sum of the gains of the ranks. Engines with empty caches are hardly
#: overloaded with 90 processes and this seed: the sum was 0.0096.
_LEAST_GAINS = {'burst': 0.2, 'empty_caches': 0, 'return': 0.2}
#: Rank 0 lost 0.0105 after an outage, with 90 processes.
_MAX_LOSS = 0.02


def simulate(*case):
    """Returns the gains by the new order in each share, by rank."""
    results = [
        _prompt_order.simulate(pattern, order, processes, seeds=(1,))
        for order in ('by_rank', 'on_time_first')
        for pattern, processes in (case,)
    ]
    gains = []
    for rank in _prompt_order.RANKS:
        before, after = (
            _prompt_order.compute_shares(one, (rank,)) for one in results
        )
        gains.append(
            [new - old for old, new in zip(before, after, strict=True)]
        )
    return gains


@pytest.mark.parametrize(('pattern', 'least_gain'), _LEAST_GAINS.items())
@pytest.mark.parametrize('processes', list(_prompt_order.ENGINES))
def test_fewer_prompts_are_late(pattern, least_gain, processes):
    """Each prompt waited behind others that were late anyway."""
    gains = simulate(pattern, processes)
    assert gains[0][0] > -_MAX_LOSS
    assert sum(on_time for on_time, _, _ in gains) > least_gain
    for on_time, _, silent in gains:
        # Late prompts must not be given up for the others.
        assert silent <= max(0, on_time)


@pytest.mark.parametrize('processes', list(_prompt_order.ENGINES))
def test_large_accounts_leave_others_their_share(processes):
    """Two accounts with most of the demand made all others late."""
    before, after = (
        _prompt_order.simulate(
            'return', order, processes, (1,), _prompt_order.ACCOUNTS
        )
        for order in ('by_rank', 'on_time_first')
    )
    small = _prompt_order.list_accounts('small')
    gains = [
        new - old
        for old, new in zip(
            _prompt_order.compute_shares(before, small),
            _prompt_order.compute_shares(after, small),
            strict=True,
        )
    ]
    assert gains[0] > 0
    assert gains[-1] < gains[0]
    for account in _prompt_order.list_accounts('mean'):
        # The target is half of what it asks for; a quarter is required.
        on_time, _, _ = _prompt_order.compute_shares(after, (account,))
        assert on_time >= 1 / 2
