"""Interface and registry of scaling policies, and the baseline."""

import typing

import attrs

from briarknot import registry
from briarknot.scaling import _snapshot


class ScalingPolicy(typing.Protocol):
    """Plans the workers of one service.

    A policy keeps windows of demand, so that each service has its own object.
    """

    def plan(
        self, snapshot: _snapshot.Snapshot, now: float
    ) -> tuple[_snapshot.WorkerOrder, ...]:
        """Returns the orders to send now, the most urgent first.

        It is called every 0.25 s, also while orders are being sent. An order is
        repeated after a second until the group shows it in ``ordered``. An order
        for the number that the group shows already is to be sent too: its workers
        were unavailable, or didn't come.

        :param snapshot: the workers and their load.
        :param now: monotonic time in seconds.
        """


#: Factories of scaling policies.
SCALING_POLICIES: registry.Registry[typing.Callable[[], ScalingPolicy]] = (
    registry.Registry('scaling_policy')
)


@SCALING_POLICIES.register('keep_present')
@attrs.define(eq=False)
class KeepPresent:
    """Baseline: orders nothing."""

    def plan(
        self, snapshot: _snapshot.Snapshot, now: float
    ) -> tuple[_snapshot.WorkerOrder, ...]:
        """Returns no orders."""
        return ()
