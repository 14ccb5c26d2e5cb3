"""What a policy knows about the workers of each domain and kind."""

import itertools
import typing

import attrs

from briarknot.scaling import _allocation, _snapshot

#: Time after the boot in which a worker must be listed: the list is up to 1.3 s old,
#: and the store gets a heartbeat of each worker about every second.
_LISTING_S = 2.0
#: Time after a reclaim, or after workers that didn't come, in which a group gets no
#: orders: spot workers are unavailable for about 10 s.
_BLOCK_S = 10.0
#: Time after an order for more workers in which a group isn't reduced; demand moves
#: in waves of about 11 s.
_KEEP_S = 15.0
#: Period of an order that the group doesn't show yet: acquiring a grant and writing
#: the row of the orders take some hundred milliseconds.
_REPEAT_S = 1.0


@attrs.define(eq=False)
class GroupRecord:
    """Workers of one kind in one domain.

    :param key: domain and kind.
    :param serving: workers that are listed and not leaving.
    :param desired: number that is in force as far as known.
    :param is_reclaimed: whether the platform is taking all workers.
    """

    key: _allocation.Key
    serving: int = 0
    desired: int = 0
    is_reclaimed: bool = False
    _has_order: bool = False
    _is_coming: bool = False
    _short_since_s: float | None = None
    _blocked_until_s: float = float('-inf')
    _raised_s: float = float('-inf')
    _proposed: int | None = None
    _proposed_s: float = float('-inf')

    @property
    def expected(self) -> int:
        """Workers that serve now or within the time of a boot."""
        if self.is_reclaimed:
            return 0
        return self.desired if self._is_coming else self.kept

    @property
    def kept(self) -> int:
        """Workers that serve now and go on."""
        return min(self.serving, self.desired)

    @property
    def has_order(self) -> bool:
        """Whether a number was ordered, by this process or another."""
        return self._has_order

    def update(self, group: _snapshot.Group, boot_s: float, now: float) -> None:
        """Applies what is listed and ordered now.

        :param group: the workers and the latest order.
        :param boot_s: time from an order until a worker serves, in seconds.
        :param now: monotonic time in seconds.
        """
        before = self.desired
        self.serving = group.serving
        if group.ordered is None:
            self.desired = max(before, group.serving)
        else:
            self.desired = group.ordered
        if group.ordered is not None and not self._has_order:
            self._has_order = True
            if self._proposed is None:
                # Ordered by an earlier leader at an unknown time.
                self._raised_s = now
        self.is_reclaimed = (
            group.is_spot
            and group.is_leaving
            and not group.serving
            and self.desired > 0
        )
        self._update_shortage(group, before, boot_s, now)

    def can_grow(self, now: float) -> bool:
        """Returns whether further workers can be ordered.

        :param now: monotonic time in seconds.
        """
        return now >= self._blocked_until_s

    def can_shrink(self, now: float) -> bool:
        """Returns whether the latest order may be reduced.

        :param now: monotonic time in seconds.
        """
        return now - self._raised_s >= _KEEP_S

    def needs_order(self, desired: int, now: float) -> bool:
        """Returns whether an order isn't just being sent.

        :param desired: number to order.
        :param now: monotonic time in seconds.
        """
        is_repeated = desired == self._proposed
        return not is_repeated or now - self._proposed_s >= _REPEAT_S

    def record_order(self, desired: int, now: float) -> None:
        """Records an order that is to be sent.

        :param desired: number of workers.
        :param now: monotonic time in seconds.
        """
        if desired > self.kept:
            self._raised_s = now
            self._short_since_s = None
        self._proposed = desired
        self._proposed_s = now

    def _update_shortage(
        self, group: _snapshot.Group, before: int, boot_s: float, now: float
    ) -> None:
        if self.is_reclaimed:
            self._block(now + _BLOCK_S)
        if group.serving >= self.desired or self.is_reclaimed:
            self._short_since_s = None
            self._is_coming = False
            return
        since_s = self._short_since_s
        is_new = since_s is None or self.desired > before
        if since_s is None or is_new or not group.is_accepted:
            since_s = now
        self._short_since_s = since_s
        if now < group.unavailable_until_s:
            self._is_coming = False
            self._block(group.unavailable_until_s)
        elif now < self._blocked_until_s:
            self._is_coming = False
        elif now - since_s > boot_s + _LISTING_S:
            self._is_coming = False
            self._block(now + _BLOCK_S)
        else:
            self._is_coming = is_new or self._is_coming

    def _block(self, until_s: float) -> None:
        self._blocked_until_s = max(self._blocked_until_s, until_s)


@attrs.define(eq=False)
class GroupRecords:
    """Records of both kinds in all domains."""

    _records: dict[_allocation.Key, GroupRecord] = attrs.field(factory=dict)
    _limits: _snapshot.ScalingLimits | None = None

    @property
    def has_orders(self) -> bool:
        """Whether a number was ordered for any group."""
        return any(one.has_order for one in self._records.values())

    def update(self, snapshot: _snapshot.Snapshot, now: float) -> None:
        """Applies what is listed and ordered now.

        :param snapshot: the workers and their limits.
        :param now: monotonic time in seconds.
        """
        self._limits = snapshot.limits
        groups = {(one.domain, one.is_spot): one for one in snapshot.groups}
        keys = itertools.product(snapshot.limits.prices, (False, True))
        self._records = {
            key: self._records.get(key) or GroupRecord(key=key) for key in keys
        }
        for key, record in self._records.items():
            domain, is_spot = key
            group = groups.get(key) or _snapshot.Group(
                domain=domain, is_spot=is_spot, serving=0
            )
            record.update(group, snapshot.limits.boot_s, now)

    def get(self, key: _allocation.Key) -> GroupRecord:
        """Returns the record of a group."""
        return self._records[key]

    def list_all(self) -> tuple[GroupRecord, ...]:
        """Lists the records of all groups."""
        return tuple(self._records.values())

    def list_room(
        self, snapshot: _snapshot.Snapshot, now: float
    ) -> typing.Mapping[_allocation.Key, int]:
        """Returns how many workers the groups may have that can't grow.

        :param snapshot: the workers and their limits.
        :param now: monotonic time in seconds.
        """
        is_cheaper = snapshot.limits.spot_price < 1
        return {
            key: record.expected
            for key, record in self._records.items()
            if not record.can_grow(now) or (key[1] and not is_cheaper)
        }

    def count_expected(self) -> int:
        """Returns the workers that serve now or within the time of a boot."""
        return sum(one.expected for one in self._records.values())

    def count_kept(self) -> int:
        """Returns the workers that serve now and go on."""
        return sum(one.kept for one in self._records.values())

    def list_undelivered(
        self, wanted: typing.Mapping[_allocation.Key, int], now: float
    ) -> dict[_allocation.Key, int]:
        """Returns numbers for groups whose workers didn't come and aren't wanted.

        :param wanted: numbers that the groups should have.
        :param now: monotonic time in seconds.
        """
        return {
            key: max(wanted.get(key, 0), record.serving)
            for key, record in self._records.items()
            if record.expected < record.desired
            and record.desired > max(wanted.get(key, 0), record.serving)
            and record.can_shrink(now)
        }

    def choose_released(
        self,
        wanted: typing.Mapping[_allocation.Key, int],
        count: int,
        now: float,
    ) -> dict[_allocation.Key, int]:
        """Chooses workers to release where most are left over.

        :param wanted: numbers that the groups should have.
        :param count: largest number of workers to release.
        :param now: monotonic time in seconds.
        :returns: lower numbers of the groups.
        """
        left = {key: record.kept for key, record in self._records.items()}
        lowered = {}
        for _ in range(count):
            best = max(
                (
                    (left[key] - wanted.get(key, 0), self._get_price(key), key)
                    for key in left
                    if left[key] > wanted.get(key, 0)
                    and self._records[key].can_shrink(now)
                    and self._can_spare(key[0], left)
                ),
                default=None,
            )
            if best is None:
                break
            key = best[-1]
            left[key] -= 1
            lowered[key] = left[key]
        return lowered

    def _can_spare(
        self, domain: str, left: typing.Mapping[_allocation.Key, int]
    ) -> bool:
        """Returns whether a domain has more workers than it keeps at least."""
        least = self._limits.least if self._limits else 0
        return left[domain, False] + left[domain, True] > least

    def _get_price(self, key: _allocation.Key) -> float:
        domain, is_spot = key
        if self._limits is None:
            return 0
        price = self._limits.prices[domain]
        return price * self._limits.spot_price if is_spot else price
