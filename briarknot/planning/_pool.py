"""Engines of one model in one group, counted by role."""

import typing

import attrs

from briarknot import schema
from briarknot.planning import _snapshot

_Role = schema.fleet.Role

#: Share of its time that a mixed engine spends on useful work; the rest is lost
#: to interference between prefill and decode.
_MIXED_SHARE = 0.9


@attrs.frozen(kw_only=True)
class Pool:
    """Numbers of engines by role.

    :param prefill: engines that only prefill.
    :param decode: engines that only decode.
    :param mixed: engines that do both.
    """

    prefill: int = 0
    decode: int = 0
    mixed: int = 0

    def move(self, origin: _Role, target: _Role | None) -> 'Pool':
        """Returns the pool with one engine moved to another role.

        :param origin: current role of the engine.
        :param target: new role; None while the engine is unavailable.
        """
        moved = attrs.evolve(
            self, **{origin.value: getattr(self, origin.value) - 1}
        )
        if target is None:
            return moved
        count = getattr(moved, target.value) + 1
        return attrs.evolve(moved, **{target.value: count})

    def count_unmet(self, demand: _snapshot.Demand) -> float:
        """Returns the demand that exceeds the capacity of the pool.

        Dedicated engines serve their kind of work, mixed ones the remainder.

        :param demand: demand on the pool.
        """
        no_prefill = self.prefill + self.mixed == 0
        no_decode = self.decode + self.mixed == 0
        if no_prefill or no_decode:
            # Each request needs both prefill and decode.
            return demand.prefill + demand.decode
        prefill_left = max(0, demand.prefill - self.prefill)
        decode_left = max(0, demand.decode - self.decode)
        absorbed = self.mixed * _MIXED_SHARE
        return max(0, prefill_left + decode_left - absorbed)


def count_pool(engines: typing.Iterable[_snapshot.EngineState]) -> Pool:
    """Counts engines by their current roles.

    >>> count_pool([_snapshot.EngineState(name='e1')]).mixed
    1
    """
    roles = [engine.role for engine in engines]
    return Pool(
        prefill=roles.count(_Role.PREFILL),
        decode=roles.count(_Role.DECODE),
        mixed=roles.count(_Role.MIXED),
    )
