"""Policy that replaces most workers by spot workers, and follows the demand."""

import attrs

from briarknot.scaling import _policies, _snapshot


@_policies.SCALING_POLICIES.register('spot_first')
@attrs.define(eq=False)
class SpotFirst:
    """Keeps as many workers as the demand needs, most of them spot workers."""

    def plan(
        self, snapshot: _snapshot.Snapshot, now: float
    ) -> tuple[_snapshot.WorkerOrder, ...]:
        """Returns the orders to send now.

        :param snapshot: the workers and their load.
        :param now: monotonic time in seconds.
        """
        return ()
