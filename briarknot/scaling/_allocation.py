"""Distributes workers over failure domains and kinds."""

import math
import typing

import attrs

from briarknot import planning
from briarknot.scaling import _need, _snapshot

#: Share of the lasting need that workers carry which can't be reclaimed, so that a
#: reclaim in several domains leaves capacity for the most urgent requests.
_SAFE_SHARE = 0.25
#: Prefill workers beside the least decode workers that can't be reclaimed.
_SAFE_PREFILL_WORKERS = 2

#: Domain and whether its workers are spot workers.
Key = tuple[str, bool]


@attrs.frozen(kw_only=True)
class Allocation:
    """Numbers of workers by domain and kind."""

    counts: typing.Mapping[Key, int]

    @property
    def total(self) -> int:
        """Number of workers of both kinds."""
        return sum(self.counts.values())


@attrs.define(eq=False)
class _Counts:
    """Numbers of workers while they are distributed.

    :param limits: what the manifest states.
    :param room: workers that a group may have; groups without an entry have no
        limit of their own.
    """

    limits: _snapshot.ScalingLimits
    room: typing.Mapping[Key, int]
    counts: dict[Key, int] = attrs.field(factory=dict)

    def add(self, count: int, *, is_spot: bool) -> int:
        """Adds workers one by one where there are fewest, the cheapest first.

        :param count: workers to add.
        :param is_spot: their kind.
        :returns: the workers for which there was no room.
        """
        for missing in range(count, 0, -1):
            best = min(
                (
                    (self.counts.get((domain, is_spot), 0), price, domain)
                    for domain, price in self.limits.prices.items()
                    if self._has_room(domain, is_spot=is_spot)
                ),
                default=None,
            )
            if best is None:
                return missing
            self.add_to(best[-1], is_spot=is_spot)
        return 0

    def add_to(self, domain: str, *, is_spot: bool) -> None:
        """Adds a worker to a domain."""
        key = (domain, is_spot)
        self.counts[key] = self.counts.get(key, 0) + 1

    def fill_domains(self) -> None:
        """Adds the workers that each domain has at least."""
        for domain in self.limits.prices:
            while self._count(domain) < self.limits.least:
                is_spot = self._has_room(domain, is_spot=True)
                self.add_to(domain, is_spot=is_spot)

    def count_spot_domains(self) -> int:
        """Returns the domains that have room for further spot workers."""
        return sum(
            self._has_room(one, is_spot=True) for one in self.limits.prices
        )

    def count_after_reclaim(self) -> int:
        """Returns the workers left if the largest spot group is reclaimed."""
        spot = [count for key, count in self.counts.items() if key[1]]
        return sum(self.counts.values()) - max(spot, default=0)

    def _count(self, domain: str) -> int:
        return sum(self.counts.get((domain, one), 0) for one in (True, False))

    def _has_room(self, domain: str, *, is_spot: bool) -> bool:
        key = (domain, is_spot)
        room = self.room.get(key, self.limits.most)
        is_full = self._count(domain) >= self.limits.most
        return not is_full and self.counts.get(key, 0) < room


def allocate(
    snapshot: _snapshot.Snapshot,
    need: _need.Need,
    room: typing.Mapping[Key, int],
) -> Allocation:
    """Distributes the workers that the demand needs.

    Spot workers are added until there are enough, also after the reclaim of any
    domain. Where too few are available, others are added, but only as many as
    suffice for some seconds.

    :param snapshot: the workers and their limits.
    :param need: workers that the demand needs.
    :param room: workers that a group may have where no further ones are available.
    """
    counts = _Counts(snapshot.limits, room)
    safe = max(
        math.ceil(need.lasting * _SAFE_SHARE),
        planning.count_least_decode_workers(snapshot.demand.versions)
        + _SAFE_PREFILL_WORKERS,
    )
    counts.add(min(safe, need.total), is_spot=False)
    missing = counts.add(max(0, need.total - safe), is_spot=True)
    counts.fill_domains()
    while not missing and counts.count_after_reclaim() < need.short_term:
        if counts.count_spot_domains() < 2:
            # More workers in a single domain are reclaimed with it.
            break
        missing = counts.add(1, is_spot=True)
    counts.add(
        max(0, need.short_term - counts.count_after_reclaim()), is_spot=False
    )
    return Allocation(counts=counts.counts)
