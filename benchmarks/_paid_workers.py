"""Compares scaling policies in virtual time: price, and late prompts.

Run with ``python -m benchmarks._paid_workers``.
"""

import typing

import attrs

from briarknot.scaling.tests import virtual_fleet

_SEEDS = (1, 2, 3)
_DURATION_S = 60
_POLICIES = ('keep_present', 'spot_first')


def _play_waves(fleet: virtual_fleet.Fleet) -> None:
    fleet.run(_DURATION_S)


def _play_step(fleet: virtual_fleet.Fleet) -> None:
    fleet.run(_DURATION_S / 2)
    fleet.run(_DURATION_S / 2, factor=1.7)


def _play_reclaim(fleet: virtual_fleet.Fleet) -> None:
    fleet.run(_DURATION_S / 2)
    fleet.reclaim('b')
    fleet.run(_DURATION_S / 2)


def _play_reclaim_of_all(fleet: virtual_fleet.Fleet) -> None:
    fleet.run(_DURATION_S / 2)
    for domain in virtual_fleet.LIMITS.prices:
        fleet.reclaim(domain)
    fleet.run(_DURATION_S / 2)


def _play_silence(fleet: virtual_fleet.Fleet) -> None:
    fleet.run(_DURATION_S / 2)
    fleet.silent_until_s = fleet.now + 10
    fleet.run(_DURATION_S / 2, factor=1.7)


@attrs.frozen
class _Pattern:
    """A load pattern.

    :param name: name in the table.
    :param rate: prompts per second.
    :param present: workers of each domain at the start.
    :param play: lets the pattern happen.
    """

    name: str
    rate: float
    present: int
    play: typing.Callable[[virtual_fleet.Fleet], None]


_PATTERNS = (
    _Pattern('waves, half the demand', 35, 2, _play_waves),
    _Pattern('waves, too few at the start', 70, 2, _play_waves),
    _Pattern('waves', 70, 5, _play_waves),
    _Pattern('step to 1.7 times', 70, 5, _play_step),
    _Pattern('step, platform silent for 10 s', 70, 5, _play_silence),
    _Pattern('reclaim of one domain', 70, 5, _play_reclaim),
    _Pattern('reclaim of all domains', 70, 5, _play_reclaim_of_all),
)


def _measure(pattern: _Pattern, policy: str) -> str:
    fleets = [
        virtual_fleet.Fleet(
            rate=pattern.rate, present=pattern.present, policy=policy, seed=seed
        )
        for seed in _SEEDS
    ]
    for fleet in fleets:
        pattern.play(fleet)
    count = len(fleets)
    price = sum(one.price for one in fleets) / count
    late = sum(one.late_share() for one in fleets) / count
    orders = sum(len(one.orders) for one in fleets) / count
    return f'{price:.0f} | {late:.2%} | {orders:.0f}'


def main() -> None:
    """Prints a table of the patterns."""
    heads = ' | '.join(
        f'{policy}: price | late | orders' for policy in _POLICIES
    )
    print(f'| pattern | prompts/s | workers | {heads} |')
    print(f'|{" --- |" * (3 + 3 * len(_POLICIES))}')
    for pattern in _PATTERNS:
        cells = ' | '.join(_measure(pattern, one) for one in _POLICIES)
        workers = pattern.present * len(virtual_fleet.LIMITS.prices)
        print(f'| {pattern.name} | {pattern.rate} | {workers} | {cells} |')


if __name__ == '__main__':
    main()
