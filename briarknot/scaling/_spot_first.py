"""Policy that replaces most workers by spot workers, and follows the demand."""

import collections
import math
import typing

import attrs

from briarknot import planning
from briarknot.scaling import _allocation, _groups, _need, _policies, _snapshot

#: Share of the workers that are left before demand has been observed. Caches are
#: empty then, and prompts need more prefill.
_START_SHARE = 2 / 3
#: Workers released at a time, as a share of the serving ones, and the pause after
#: it: a released worker drains for 4 s, and the list shows its end a second later.
_RELEASE_SHARE = 0.2
_RELEASE_PAUSE_S = 5.0
#: Time for which a need is remembered before workers are released: longer than a
#: wave of 11 s, so that a worker isn't released in one trough and ordered again.
_MEMORY_S = 15.0
#: Time for which the first list of workers must not grow before anything is ordered.
#: An order that counts an incomplete list would end the workers that are missing in
#: it; workers renew their rows about every second.
_LIST_SETTLE_S = 1.0


@attrs.frozen
class _PastTarget:
    time_s: float
    kept: int
    counts: typing.Mapping[_allocation.Key, int]


@_policies.SCALING_POLICIES.register('spot_first')
@attrs.define(eq=False)
class SpotFirst:
    """Keeps as many workers as the demand needs, most of them spot workers.

    Workers that are missing are ordered at once. Others are released a few at a
    time, and only while those that are left serve and no prompt waits.
    """

    _window: _need.DemandWindow = attrs.field(factory=_need.DemandWindow)
    _records: _groups.GroupRecords = attrs.field(factory=_groups.GroupRecords)
    _targets: collections.deque[_PastTarget] = attrs.field(
        factory=collections.deque
    )
    _floor: int = 0
    _released_s: float = float('-inf')
    _listed: int = 0
    _listed_s: float = float('-inf')

    def plan(
        self, snapshot: _snapshot.Snapshot, now: float
    ) -> tuple[_snapshot.WorkerOrder, ...]:
        """Returns the orders to send now.

        :param snapshot: the workers and their load.
        :param now: monotonic time in seconds.
        """
        self._records.update(snapshot, now)
        self._window.add(snapshot.demand, now)
        if not self._is_list_complete(snapshot, now):
            return ()
        need = self._compute_need(snapshot, now)
        target = _allocation.allocate(
            snapshot, need, self._records.list_room(snapshot, now)
        )
        self._targets.append(
            _PastTarget(now, max(need.kept, target.total), target.counts)
        )
        while self._targets[0].time_s < now - _MEMORY_S:
            self._targets.popleft()
        raised = self._raise(target, snapshot.limits.most, now)
        lowered = {}
        if need.is_quiet:
            lowered = self._release(snapshot.demand, now)
        return tuple(
            self._make_order(key, desired, need, now)
            for key, desired in (raised | lowered).items()
        )

    def _is_list_complete(
        self, snapshot: _snapshot.Snapshot, now: float
    ) -> bool:
        """Returns whether the list of workers has all that are present."""
        listed = sum(one.serving for one in snapshot.groups)
        if listed > self._listed:
            self._listed = listed
            self._listed_s = now
        is_settled = now - self._listed_s >= _LIST_SETTLE_S
        return listed > 0 and (is_settled or self._records.has_orders)

    def _compute_need(
        self, snapshot: _snapshot.Snapshot, now: float
    ) -> _need.Need:
        need = self._window.compute_need(snapshot, now)
        if need.is_observed:
            return need
        present = self._records.count_expected()
        if not self._records.has_orders:
            start = math.ceil(_START_SHARE * present)
            self._floor = max(self._floor, start)
        # Where an earlier leader has ordered, the number stays as it is.
        return attrs.evolve(
            need,
            total=max(need.total, self._floor),
            kept=max(need.kept, self._floor or present),
            # Expensive workers aren't ordered for the load of a moment.
            lasting=0,
        )

    def _raise(
        self, target: _allocation.Allocation, most: int, now: float
    ) -> dict[_allocation.Key, int]:
        """Returns the numbers of groups that need more, or whose workers don't come."""
        raised, ended = {}, {}
        for record in self._records.list_all():
            domain, is_spot = record.key
            # Workers of the other kind leave only after these serve.
            room = most - self._records.get((domain, not is_spot)).desired
            wanted = max(0, min(target.counts.get(record.key, 0), room))
            if wanted > record.expected and record.can_grow(now):
                raised[record.key] = wanted
            elif record.is_reclaimed:
                ended[record.key] = wanted
        raised |= ended | self._records.list_undelivered(target.counts, now)
        return {
            key: desired
            for key, desired in raised.items()
            if self._records.get(key).needs_order(desired, now)
        }

    def _release(
        self,
        demand: _snapshot.Demand,
        now: float,
    ) -> dict[_allocation.Key, int]:
        """Returns the lower numbers of groups that have too many workers."""
        surplus = self._records.count_kept() - max(
            one.kept for one in self._targets
        )
        # The platform may choose decode workers only.
        spare_decodes = (
            demand.decode_workers
            - planning.count_least_decode_workers(demand.versions)
        )
        limit = min(
            int(_RELEASE_SHARE * self._records.count_kept()), spare_decodes
        )
        count = min(surplus, max(1, limit))
        if count <= 0 or now - self._released_s < _RELEASE_PAUSE_S:
            return {}
        wanted: dict[_allocation.Key, int] = {}
        for past in self._targets:
            for key, number in past.counts.items():
                wanted[key] = max(wanted.get(key, 0), number)
        lowered = self._records.choose_released(wanted, count, now)
        if lowered:
            self._released_s = now
        return lowered

    def _make_order(
        self, key: _allocation.Key, desired: int, need: _need.Need, now: float
    ) -> _snapshot.WorkerOrder:
        record = self._records.get(key)
        record.record_order(desired, now)
        domain, is_spot = key
        return _snapshot.WorkerOrder(
            domain=domain,
            is_spot=is_spot,
            desired=desired,
            reason=(
                f'{record.serving} serve, {self._records.count_kept()} in all;'
                f' needed {need.total}, for some seconds {need.short_term}:'
                f' {need.reason}'
            ),
        )
