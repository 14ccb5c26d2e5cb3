"""Interface and registry of role planners."""

import typing

import attrs

from briarknot import registry
from briarknot.planning import _snapshot


@attrs.frozen(kw_only=True)
class PlannerOptions:
    """Times and thresholds of a planner.

    :param horizon_s: time within which the gain of a change must exceed its
        cost.
    :param change_s: time for which a changing engine is unavailable.
    :param persist_s: time for which the gain must persist before a proposal;
        shorter peaks are noise.
    :param settle_s: time after a proposal in which its group gets no further
        one, so that both windows can reflect the effect.
    :param stale_s: age beyond which a report is ignored.
    """

    horizon_s: float = 60
    change_s: float = 8
    persist_s: float = 6
    settle_s: float = 30
    stale_s: float = 6


class Planner(typing.Protocol):
    """Proposes role changes one at a time."""

    def choose_change(
        self, snapshot: _snapshot.Snapshot, now: float
    ) -> _snapshot.RoleChange | _snapshot.NoChange:
        """Returns a proposed change, or the reason why there is none."""


Factory = typing.Callable[[PlannerOptions], Planner]

#: Factories of role planners.
PLANNERS: registry.Registry[Factory] = registry.Registry('planner')


def make_planner(
    policy_name: str, options: PlannerOptions | None = None
) -> Planner | registry.UnknownName:
    """Makes a role planner.

    :param policy_name: name in :data:`PLANNERS`.
    :param options: times and thresholds; None for the defaults.
    :returns: the planner, or a sentinel if the name is unknown.

    >>> bool(make_planner('no such planner'))
    False
    """
    factory = PLANNERS.get(policy_name)
    if isinstance(factory, registry.UnknownName):
        return factory
    return factory(options or PlannerOptions())
