"""Times at which leaving workers end."""

import collections
import math

import attrs

from briarknot import schema
from briarknot.serving import _worker_starts

#: Leaving workers that are remembered.
_MAX_STARTS = 1000


@attrs.define(eq=False)
class WorkerEnds:
    """Times at which workers end, as far as their entries state them."""

    _ends_s: collections.OrderedDict[str, float] = attrs.field(
        factory=collections.OrderedDict
    )

    def record(self, worker: schema.serving.Worker, now: float) -> None:
        """Records the end of a worker whose entry states when it leaves.

        Each entry is read some time after it was written, so that the earliest of
        the stated times is the best one.

        :param worker: the worker.
        :param now: monotonic time in seconds.
        """
        if not worker.leaves_s:
            return
        start = _worker_starts.name_start(worker)
        end_s = now + worker.leaves_s
        self._ends_s[start] = min(end_s, self._ends_s.get(start, end_s))
        if len(self._ends_s) > _MAX_STARTS:
            self._ends_s.popitem(last=False)

    def get_remaining_s(
        self, worker: schema.serving.Worker, now: float
    ) -> float:
        """Returns the longest time until a worker ends.

        :param worker: the worker.
        :param now: monotonic time in seconds.
        :returns: the time; infinity where it is not known to end.
        """
        if not self._ends_s:
            return math.inf
        start = _worker_starts.name_start(worker)
        return self._ends_s.get(start, math.inf) - now
